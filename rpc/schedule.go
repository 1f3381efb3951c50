package rpc

import (
	"context"
	"time"

	"dogwoodline.example/outcome"
	"dogwoodline.example/ring"
	"dogwoodline.example/rpc/peerpb"
	"dogwoodline.example/schedule"
)

// heartbeatInterval is the pause after which a granting node that has nothing else
// to send sends a heartbeat, so that the other node detects a lost connection.
const heartbeatInterval = 300 * time.Millisecond

// ScheduleEvent is a message from a node that owns calls to the node that grants
// slots of backend servers. Exactly one of Submit, Withdraw, Progress and Finish is set.
type ScheduleEvent struct {
	// Submit requests a slot for a call.
	Submit *schedule.Request
	// RunningOn is the backend server on which the submitted call already runs;
	// empty if it does not run.
	RunningOn schedule.BackendID
	// Withdraw cancels the request for a slot for a call.
	Withdraw schedule.CallID
	// Progress reports on a running copy of a call.
	Progress *Measurement
	// Finish reports that a copy of a call has ended or that its grant was not
	// used, which frees the slot.
	Finish *Measurement
}

// Measurement holds what the owner of a call measured of one copy of the call, on one
// backend server.
type Measurement struct {
	ID      schedule.CallID
	Backend schedule.BackendID
	Timing  schedule.Timing
}

// Decision is the granting node's decision on a call: a grant of a slot or a refusal.
type Decision struct {
	ID      schedule.CallID
	Granted bool
	// Backend is the backend server to run the call on, if granted.
	Backend schedule.BackendID
	// Hedge means that the grant is for a second copy of a running call.
	Hedge bool
	// StartID is the start id of the backend server; empty if unknown.
	StartID string
	// Outcome is the reason of a refusal.
	Outcome outcome.Outcome
}

// ScheduleStream is the requesting node's end of a schedule stream.
type ScheduleStream struct {
	stream peerpb.Peer_ScheduleClient
	done   func()
}

// Schedule opens a schedule stream and introduces this node by its incarnation,
// self. The stream ends when ctx ends, Close is called or the link is closed.
func (k *Link) Schedule(ctx context.Context, self string) (*ScheduleStream, error) {
	ctx, done := k.boundToLink(ctx)
	stream, err := k.client.Schedule(ctx)
	if err == nil {
		hello := &peerpb.Hello{Incarnation: self}
		err = stream.Send(&peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Hello{Hello: hello}})
	}
	if err != nil {
		done()
		return nil, Error.Wrap(err)
	}
	return &ScheduleStream{stream: stream, done: done}, nil
}

// Send sends a message. The deadline of a submitted call is sent as the time that
// remains from now.
func (a *ScheduleStream) Send(now time.Time, message ScheduleEvent) error {
	return Error.Wrap(a.stream.Send(encodeScheduleUp(now, message)))
}

// Receive waits for the next message. It returns false for a heartbeat, which
// contains no decision.
func (a *ScheduleStream) Receive() (Decision, bool, error) {
	message, err := a.stream.Recv()
	if err != nil {
		return Decision{}, false, Error.Wrap(err)
	}
	if g := message.GetGrant(); g != nil {
		return Decision{
			ID: schedule.CallID(g.GetId()), Granted: true, Backend: schedule.BackendID(g.GetBackend()), Hedge: g.GetHedge(),
			StartID: g.GetStartId(),
		}, true, nil
	}
	if r := message.GetRefusal(); r != nil {
		return Decision{ID: schedule.CallID(r.GetId()), Outcome: outcome.Outcome{
			Code: outcome.Code(r.GetCode()), Reason: outcome.Reason(r.GetReason()), Detail: r.GetDetail(), RetryAfterMS: r.GetRetryAfterMs(),
		}}, true, nil
	}
	return Decision{}, false, nil
}

// Close closes the stream.
func (a *ScheduleStream) Close() { a.done() }

// ServeSchedule serves a schedule stream until it ends. It calls handle with each
// message of the requesting node and with that node's incarnation, and meanwhile
// sends the decisions that are in the ring. Each deadline is the remaining wait in
// the message, counted from the time that now returns.
func ServeSchedule(stream ScheduleServer, now func() time.Time, decisions *ring.Ring[Decision], handle func(from string, message ScheduleEvent) error) error {
	first, err := stream.Recv()
	if err != nil {
		return Error.Wrap(err)
	}
	from := first.GetHello().GetIncarnation()
	go sendDecisions(stream, decisions)
	for {
		message, err := stream.Recv()
		if err != nil {
			return Error.Wrap(err)
		}
		if err := handle(from, decodeScheduleUp(now(), message)); err != nil {
			return err
		}
	}
}

// sendDecisions sends decisions, and heartbeats while there are none, until the
// stream ends or the ring is closed.
func sendDecisions(stream ScheduleServer, decisions *ring.Ring[Decision]) {
	for {
		ctx, cancel := context.WithTimeout(stream.Context(), heartbeatInterval)
		decision, err := decisions.Pop(ctx)
		cancel()
		message := &peerpb.ScheduleDown{Event: &peerpb.ScheduleDown_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}
		switch {
		case err == nil:
			message = encodeScheduleDown(decision)
		case stream.Context().Err() != nil, ctx.Err() == nil:
			return
		}
		if stream.Send(message) != nil {
			return
		}
	}
}

// encodeScheduleUp encodes a message of the requesting node. A deadline is encoded
// as the wait that remains from now.
func encodeScheduleUp(now time.Time, message ScheduleEvent) *peerpb.ScheduleUp {
	switch {
	case message.Submit != nil:
		return &peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Submit{Submit: encodeSubmit(now, message)}}
	case message.Progress != nil:
		return &peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Progress{Progress: encodeMeasured(message.Progress)}}
	case message.Finish != nil:
		return &peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Finish{Finish: encodeMeasured(message.Finish)}}
	default:
		return &peerpb.ScheduleUp{Event: &peerpb.ScheduleUp_Withdraw{Withdraw: uint64(message.Withdraw)}}
	}
}

func encodeSubmit(now time.Time, message ScheduleEvent) *peerpb.Submit {
	r := message.Submit
	submit := &peerpb.Submit{
		Id: uint64(r.ID), Pool: r.Pool, Program: r.Program, Tenant: r.Tenant, Class: r.Class, Priority: int32(r.Priority),
		Attained: r.Attained, Prefix: r.Prefix, PromptTokens: int32(r.PromptTokens), MaxTokens: int32(r.MaxTokens),
		WaitMs: r.Deadline.Sub(now).Milliseconds(), Alone: r.Isolated, Idempotent: r.Idempotent, RunningOn: string(message.RunningOn),
	}
	for _, name := range r.Exclude {
		submit.Exclude = append(submit.Exclude, string(name))
	}
	return submit
}

func encodeMeasured(m *Measurement) *peerpb.Measured {
	return &peerpb.Measured{
		Id: uint64(m.ID), Backend: string(m.Backend), FirstTokenUs: m.Timing.FirstToken.Microseconds(),
		TotalUs: m.Timing.Total.Microseconds(), Tokens: int32(m.Timing.Tokens), PromptTokens: int32(m.Timing.PromptTokens),
		CachedTokens: int32(m.Timing.CachedTokens), Failed: m.Timing.Failed, Cancelled: m.Timing.Cancelled,
	}
}

// decodeScheduleUp is the inverse of encodeScheduleUp. It counts the remaining wait
// from now.
func decodeScheduleUp(now time.Time, message *peerpb.ScheduleUp) ScheduleEvent {
	if s := message.GetSubmit(); s != nil {
		return decodeSubmit(now, s)
	}
	if p := message.GetProgress(); p != nil {
		return ScheduleEvent{Progress: decodeMeasured(p)}
	}
	if f := message.GetFinish(); f != nil {
		return ScheduleEvent{Finish: decodeMeasured(f)}
	}
	return ScheduleEvent{Withdraw: schedule.CallID(message.GetWithdraw())}
}

func decodeSubmit(now time.Time, s *peerpb.Submit) ScheduleEvent {
	request := &schedule.Request{
		ID: schedule.CallID(s.GetId()), Pool: s.GetPool(), Program: s.GetProgram(), Tenant: s.GetTenant(), Class: s.GetClass(),
		Priority: int(s.GetPriority()), Attained: s.GetAttained(), Prefix: s.GetPrefix(), PromptTokens: int(s.GetPromptTokens()),
		MaxTokens: int(s.GetMaxTokens()), Arrived: now, Deadline: now.Add(time.Duration(s.GetWaitMs()) * time.Millisecond),
		Isolated: s.GetAlone(), Idempotent: s.GetIdempotent(),
	}
	for _, name := range s.GetExclude() {
		request.Exclude = append(request.Exclude, schedule.BackendID(name))
	}
	return ScheduleEvent{Submit: request, RunningOn: schedule.BackendID(s.GetRunningOn())}
}

func decodeMeasured(m *peerpb.Measured) *Measurement {
	return &Measurement{ID: schedule.CallID(m.GetId()), Backend: schedule.BackendID(m.GetBackend()), Timing: schedule.Timing{
		FirstToken: time.Duration(m.GetFirstTokenUs()) * time.Microsecond, Total: time.Duration(m.GetTotalUs()) * time.Microsecond,
		Tokens: int(m.GetTokens()), PromptTokens: int(m.GetPromptTokens()), CachedTokens: int(m.GetCachedTokens()), Failed: m.GetFailed(), Cancelled: m.GetCancelled(),
	}}
}

func encodeScheduleDown(g Decision) *peerpb.ScheduleDown {
	if g.Granted {
		granted := &peerpb.Granted{Id: uint64(g.ID), Backend: string(g.Backend), Hedge: g.Hedge, StartId: g.StartID}
		return &peerpb.ScheduleDown{Event: &peerpb.ScheduleDown_Grant{Grant: granted}}
	}
	return &peerpb.ScheduleDown{Event: &peerpb.ScheduleDown_Refusal{Refusal: &peerpb.Refused{
		Id: uint64(g.ID), Code: string(g.Outcome.Code), Reason: string(g.Outcome.Reason), Detail: g.Outcome.Detail,
		RetryAfterMs: g.Outcome.RetryAfterMS,
	}}}
}
