package rpc

import (
	"context"
	"time"

	"dogwoodline.example/outcome"
	"dogwoodline.example/ring"
	"dogwoodline.example/rpc/peerpb"
	"dogwoodline.example/schedule"
)

// heartbeatInterval is how often a granting node shows that it is there.
const heartbeatInterval = 300 * time.Millisecond

// Ask is a message from a node that owns calls to the node that grants slots.
// Exactly one of the fields is set.
type Ask struct {
	Submit *schedule.Request
	// RunningOn names the backend server where a submitted call runs already.
	RunningOn schedule.BackendID
	Withdraw  schedule.CallID
	Progress  *Measured
	Finish    *Measured
}

// Measured is what the owner of a call measured.
type Measured struct {
	ID      schedule.CallID
	Backend schedule.BackendID
	Timing  schedule.Timing
}

// Grant is a message from the granting node: a grant or a refusal.
type Grant struct {
	ID      schedule.CallID
	Granted bool
	Backend schedule.BackendID
	Hedge   bool
	// StartID is the start id of the backend server, empty when unknown.
	StartID string
	Outcome outcome.Outcome
}

// AskStream is the asking node's end of a schedule stream.
type AskStream struct {
	stream peerpb.Peer_ScheduleClient
	done   func()
}

// Schedule opens a schedule stream. It ends with ctx, with Close or with the
// link.
func (k *Link) Schedule(ctx context.Context, self string) (*AskStream, error) {
	ctx, done := k.joined(ctx)
	stream, err := k.client.Schedule(ctx)
	if err == nil {
		hello := &peerpb.Hello{Incarnation: self}
		err = stream.Send(&peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Hello{Hello: hello}})
	}
	if err != nil {
		done()
		return nil, Error.Wrap(err)
	}
	return &AskStream{stream: stream, done: done}, nil
}

// Send sends one message. Now is the time from which waits are counted.
func (a *AskStream) Send(now time.Time, ask Ask) error {
	return Error.Wrap(a.stream.Send(encodeAsk(now, ask)))
}

// Receive waits for the next message. The second result is false for a
// heartbeat.
func (a *AskStream) Receive() (Grant, bool, error) {
	message, err := a.stream.Recv()
	if err != nil {
		return Grant{}, false, Error.Wrap(err)
	}
	if g := message.GetGrant(); g != nil {
		return Grant{
			ID: schedule.CallID(g.GetId()), Granted: true, Backend: schedule.BackendID(g.GetBackend()), Hedge: g.GetHedge(),
			StartID: g.GetStartId(),
		}, true, nil
	}
	if r := message.GetRefusal(); r != nil {
		return Grant{ID: schedule.CallID(r.GetId()), Outcome: outcome.Outcome{
			Code: outcome.Code(r.GetCode()), Reason: outcome.Reason(r.GetReason()), Detail: r.GetDetail(), RetryAfterMS: r.GetRetryAfterMs(),
		}}, true, nil
	}
	return Grant{}, false, nil
}

// Close ends the stream.
func (a *AskStream) Close() { a.done() }

// ServeAsks reads the messages of an asking node until its stream ends, hands
// them to take, and sends what is in grants meanwhile. Now tells the time from
// which waits are counted.
func ServeAsks(stream ScheduleServer, now func() time.Time, grants *ring.Ring[Grant], take func(from string, ask Ask) error) error {
	first, err := stream.Recv()
	if err != nil {
		return Error.Wrap(err)
	}
	from := first.GetHello().GetIncarnation()
	go sendGrants(stream, grants)
	for {
		message, err := stream.Recv()
		if err != nil {
			return Error.Wrap(err)
		}
		if err := take(from, decodeAsk(now(), message)); err != nil {
			return err
		}
	}
}

// sendGrants ends with the stream, or when the ring is closed.
func sendGrants(stream ScheduleServer, grants *ring.Ring[Grant]) {
	for {
		ctx, cancel := context.WithTimeout(stream.Context(), heartbeatInterval)
		grant, err := grants.Pop(ctx)
		cancel()
		message := &peerpb.ScheduleDown{Event: &peerpb.ScheduleDown_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}
		switch {
		case err == nil:
			message = encodeGrant(grant)
		case stream.Context().Err() != nil, ctx.Err() == nil:
			return
		}
		if stream.Send(message) != nil {
			return
		}
	}
}

func encodeAsk(now time.Time, ask Ask) *peerpb.ScheduleUp {
	switch {
	case ask.Submit != nil:
		return &peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Submit{Submit: encodeSubmit(now, ask)}}
	case ask.Progress != nil:
		return &peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Progress{Progress: encodeMeasured(ask.Progress)}}
	case ask.Finish != nil:
		return &peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Finish{Finish: encodeMeasured(ask.Finish)}}
	default:
		return &peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Withdraw{Withdraw: uint64(ask.Withdraw)}}
	}
}

func encodeSubmit(now time.Time, ask Ask) *peerpb.Submit {
	r := ask.Submit
	submit := &peerpb.Submit{
		Id: uint64(r.ID), Pool: r.Pool, Program: r.Program, Tenant: r.Tenant, Class: r.Class, Priority: int32(r.Priority),
		Attained: r.Attained, Prefix: r.Prefix, PromptTokens: int32(r.PromptTokens), MaxTokens: int32(r.MaxTokens),
		WaitMs: r.Deadline.Sub(now).Milliseconds(), Alone: r.Isolated, Idempotent: r.Idempotent, RunningOn: string(ask.RunningOn),
	}
	for _, name := range r.Exclude {
		submit.Exclude = append(submit.Exclude, string(name))
	}
	return submit
}

func encodeMeasured(m *Measured) *peerpb.Measured {
	return &peerpb.Measured{
		Id: uint64(m.ID), Backend: string(m.Backend), FirstTokenUs: m.Timing.FirstToken.Microseconds(),
		TotalUs: m.Timing.Total.Microseconds(), Tokens: int32(m.Timing.Tokens), PromptTokens: int32(m.Timing.PromptTokens),
		CachedTokens: int32(m.Timing.CachedTokens), Failed: m.Timing.Failed, Cancelled: m.Timing.Cancelled,
	}
}

func decodeAsk(now time.Time, message *peerpb.ScheduleUp) Ask {
	if s := message.GetSubmit(); s != nil {
		return decodeSubmit(now, s)
	}
	if p := message.GetProgress(); p != nil {
		return Ask{Progress: decodeMeasured(p)}
	}
	if f := message.GetFinish(); f != nil {
		return Ask{Finish: decodeMeasured(f)}
	}
	return Ask{Withdraw: schedule.CallID(message.GetWithdraw())}
}

func decodeSubmit(now time.Time, s *peerpb.Submit) Ask {
	request := &schedule.Request{
		ID: schedule.CallID(s.GetId()), Pool: s.GetPool(), Program: s.GetProgram(), Tenant: s.GetTenant(), Class: s.GetClass(),
		Priority: int(s.GetPriority()), Attained: s.GetAttained(), Prefix: s.GetPrefix(), PromptTokens: int(s.GetPromptTokens()),
		MaxTokens: int(s.GetMaxTokens()), Arrived: now, Deadline: now.Add(time.Duration(s.GetWaitMs()) * time.Millisecond),
		Isolated: s.GetAlone(), Idempotent: s.GetIdempotent(),
	}
	for _, name := range s.GetExclude() {
		request.Exclude = append(request.Exclude, schedule.BackendID(name))
	}
	return Ask{Submit: request, RunningOn: schedule.BackendID(s.GetRunningOn())}
}

func decodeMeasured(m *peerpb.Measured) *Measured {
	return &Measured{ID: schedule.CallID(m.GetId()), Backend: schedule.BackendID(m.GetBackend()), Timing: schedule.Timing{
		FirstToken: time.Duration(m.GetFirstTokenUs()) * time.Microsecond, Total: time.Duration(m.GetTotalUs()) * time.Microsecond,
		Tokens: int(m.GetTokens()), PromptTokens: int(m.GetPromptTokens()), CachedTokens: int(m.GetCachedTokens()), Failed: m.GetFailed(), Cancelled: m.GetCancelled(),
	}}
}

func encodeGrant(g Grant) *peerpb.ScheduleDown {
	if g.Granted {
		granted := &peerpb.Granted{Id: uint64(g.ID), Backend: string(g.Backend), Hedge: g.Hedge, StartId: g.StartID}
		return &peerpb.ScheduleDown{Event: &peerpb.ScheduleDown_Grant{Grant: granted}}
	}
	return &peerpb.ScheduleDown{Event: &peerpb.ScheduleDown_Refusal{Refusal: &peerpb.Refused{
		Id: uint64(g.ID), Code: string(g.Outcome.Code), Reason: string(g.Outcome.Reason), Detail: g.Outcome.Detail,
		RetryAfterMs: g.Outcome.RetryAfterMS,
	}}}
}
