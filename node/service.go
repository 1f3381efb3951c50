package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/api"
	"dogwoodline.example/membership"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/ring"
	"dogwoodline.example/rpc"
)

const (
	// ownerRetry is the pause before a request is tried again at the owner
	// of its shard while the shard has none or is moving.
	ownerRetry = 25 * time.Millisecond
	// replyGrace is how much longer than its deadline a request waits for the
	// outcome that the programs duty gives it.
	replyGrace = time.Second
)

// service serves the requests of callers: those of its own programs itself,
// the others through their owners.
type service struct {
	clock clockwork.Clock
	node  *Node

	lastWaiter atomic.Uint64
}

var _ api.Service = (*service)(nil)

// Address implements api.Service.
func (s *service) Address(programID string) api.Address {
	current := s.node.current.Load()
	if current == nil {
		return api.Address{}
	}
	view := current.placement.View()
	owner := ""
	if shard := s.node.shardOf(programID); shard < len(view.Map.Shards) {
		owner = view.Map.Shards[shard].Owner
	}
	first, second := membership.ChooseForProgram(current.tracker.View(), programID, owner)
	return addressOf(first, second, s.node.settings.AddressKeep)
}

func addressOf(first, second *membership.Member, keep time.Duration) api.Address {
	answer := api.Address{MaxAgeMS: keep.Milliseconds()}
	if first != nil {
		answer.Address, answer.Zone = first.HTTP, first.Zone
	}
	if second != nil {
		answer.Second, answer.SecondZone = second.HTTP, second.Zone
	}
	return answer
}

// Ready implements api.Service.
func (s *service) Ready() error { return s.node.ready() }

// Start implements api.Service.
func (s *service) Start(ctx context.Context, tenant string, request api.StartRequest) program.Reply {
	wait := time.Duration(request.DeadlineMS) * time.Millisecond
	return s.route(ctx, &rpc.Forwarded{
		Method: rpc.Start, Tenant: tenant, Program: request.ID, Request: mustEncode(request), Deadline: wait,
	}, nil)
}

// Call implements api.Service.
func (s *service) Call(ctx context.Context, tenant, programID string, request api.CallRequest, stream func(program.Chunk) error) program.Reply {
	wait := time.Duration(request.DeadlineMS) * time.Millisecond
	return s.route(ctx, &rpc.Forwarded{
		Method: rpc.Call, Tenant: tenant, Program: programID, Request: mustEncode(request), Body: request.Body,
		Stream: stream != nil, Deadline: wait,
	}, stream)
}

// History implements api.Service.
func (s *service) History(ctx context.Context, tenant, programID string) program.Reply {
	return s.route(ctx, &rpc.Forwarded{Method: rpc.History, Tenant: tenant, Program: programID}, nil)
}

// End implements api.Service.
func (s *service) End(ctx context.Context, tenant, programID string) program.Reply {
	return s.route(ctx, &rpc.Forwarded{Method: rpc.End, Tenant: tenant, Program: programID}, nil)
}

// route brings a request to the owner of its program and repeats it there
// while ownership changes. Repeating is safe, because the owner recognises a
// request by its id.
func (s *service) route(ctx context.Context, request *rpc.Forwarded, stream func(program.Chunk) error) program.Reply {
	deadline := deadlineOf(s.clock.Now(), request.Deadline, defaultDeadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(replyGrace))
	defer cancel()
	progress := &streamProgress{send: stream}
	mayHaveRun := false
	for {
		request.Deadline = max(deadline.Sub(s.clock.Now()), time.Millisecond)
		reply, err := s.atOwner(ctx, request, progress)
		switch {
		case err == nil && !reply.Moved:
			return reply
		case progress.broken:
			return program.Reply{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.ConnectionLost}}
		case err != nil && !errors.Is(err, rpc.ErrNoLink):
			mayHaveRun = true // the owner may have taken the request
		}
		if !s.clock.Now().Before(deadline) || ctx.Err() != nil {
			return unrouted(mayHaveRun)
		}
		s.clock.Sleep(ownerRetry)
	}
}

func unrouted(mayHaveRun bool) program.Reply {
	if mayHaveRun {
		return program.Reply{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.ConnectionLost,
			Detail: "the owner of the program did not answer; repeat the request with the same request id"}}
	}
	return program.Reply{Outcome: outcome.NewNotRun(outcome.NoOwner, ownerRetry)}
}

func (s *service) atOwner(ctx context.Context, request *rpc.Forwarded, progress *streamProgress) (program.Reply, error) {
	current := s.node.current.Load()
	if current == nil {
		return program.Reply{Moved: true}, nil
	}
	shard := s.node.shardOf(request.Program)
	view := current.placement.View()
	if shard >= len(view.Map.Shards) || view.Map.Shards[shard].Owner == "" {
		return program.Reply{Moved: true}, nil
	}
	owner := view.Map.Shards[shard].Owner
	resumeFrom(request, progress)
	if owner == current.name {
		return s.local(ctx, current, *request, progress.take), nil
	}
	link, err := s.node.links.To(owner)
	if err != nil {
		return program.Reply{}, err
	}
	return link.Forward(ctx, *request, progress.take)
}

// resumeFrom lets a repeated streamed call continue where the caller is.
func resumeFrom(request *rpc.Forwarded, progress *streamProgress) {
	if request.Method != rpc.Call || progress.attempt == 0 {
		return
	}
	var call api.CallRequest
	if err := json.Unmarshal(request.Request, &call); err != nil {
		panic("node: own request cannot be read: " + err.Error())
	}
	call.Attempt, call.Offset = progress.attempt, progress.offset
	request.Request = mustEncode(call)
}

// streamProgress hands the parts of an answer to the caller once each, over
// repeated requests.
type streamProgress struct {
	send    func(program.Chunk) error
	attempt int
	offset  int
	broken  bool // the caller is gone
}

func (p *streamProgress) take(chunk program.Chunk) error {
	if p.send == nil {
		return nil
	}
	if chunk.Attempt == p.attempt && chunk.Offset < p.offset {
		known := min(p.offset-chunk.Offset, len(chunk.Text))
		chunk.Offset += known
		chunk.Text = chunk.Text[known:]
	}
	if chunk.Text == "" {
		return nil
	}
	if err := p.send(chunk); err != nil {
		p.broken = true
		return err
	}
	p.attempt = chunk.Attempt
	p.offset = chunk.Offset + len(chunk.Text)
	return nil
}

// local serves a request of a program that this node owns. The reply says
// Moved when it does not.
func (s *service) local(ctx context.Context, at *incarnation, request rpc.Forwarded, chunk func(program.Chunk) error) program.Reply {
	to := caller{waiter: program.WaiterID(s.lastWaiter.Add(1)), answers: ring.New[answer](replySlots)}
	for {
		c, refusal := s.commandOf(request)
		if refusal != nil {
			return program.Reply{Outcome: *refusal}
		}
		c.from = to
		if err := at.programs.commands.TryPush(c); errors.Is(err, ring.ErrClosed) {
			return program.Reply{Moved: true}
		} else if err != nil {
			return program.Reply{Outcome: outcome.NewNotRun(outcome.Overloaded, ownerRetry)}
		}
		reply, lagged := s.await(ctx, at, to, &request, chunk)
		if !lagged {
			return at.doubted(reply)
		}
	}
}

// doubted turns the denial of a program into Moved while the node may have been
// taken over and not know it. The program may have been started at its new owner.
func (i *incarnation) doubted(reply program.Reply) program.Reply {
	denied := reply.Outcome.Code == outcome.Invalid && reply.Outcome.Reason == outcome.UnknownProgram
	if denied && i.ownership().doubtful(i.node.deps.Clock.Now(), i.node.settings.LeaseTTL) {
		return program.Reply{Moved: true, Outcome: outcome.NewNotRun(outcome.NoOwner, ownerRetry)}
	}
	return reply
}

// await hands on an answer's parts until its reply. The second result is true
// when the caller fell behind and the request has to be repeated.
func (s *service) await(ctx context.Context, at *incarnation, to caller, request *rpc.Forwarded, chunk func(program.Chunk) error) (program.Reply, bool) {
	progress := &streamProgress{send: chunk}
	for {
		a, err := to.answers.Pop(ctx)
		switch {
		case err != nil:
			_ = at.programs.commands.TryPush(command{from: to, detach: true})
			return program.Reply{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.DeadlineExceeded,
				Detail: "the call goes on; repeat it with the same request id"}}, false
		case a.reply != nil:
			return *a.reply, false
		case a.lagged:
			resumeFrom(request, progress)
			return program.Reply{}, true
		}
		if progress.take(a.chunk) != nil {
			_ = at.programs.commands.TryPush(command{from: to, detach: true})
			return program.Reply{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.ConnectionLost}}, false
		}
	}
}

// commandOf decodes a request into a command, with the resources in force.
func (s *service) commandOf(request rpc.Forwarded) (command, *outcome.Outcome) {
	target := &programOf{program: request.Program, tenant: request.Tenant}
	switch request.Method {
	case rpc.Start:
		var start api.StartRequest
		if err := json.Unmarshal(request.Request, &start); err != nil {
			return command{}, malformed(err)
		}
		spec, refusal := specOf(s.node.deps.Resources(), request.Tenant, start)
		return command{start: &spec}, refusal
	case rpc.Call:
		var asked api.CallRequest
		if err := json.Unmarshal(request.Request, &asked); err != nil {
			return command{}, malformed(err)
		}
		asked.Body = request.Body
		call := callOf(s.clock.Now(), request.Tenant, request.Program, asked, request.Deadline)
		return command{call: &call, stream: request.Stream}, nil
	case rpc.History:
		return command{history: target}, nil
	case rpc.End:
		return command{end: target}, nil
	default:
		return command{}, malformed(rpc.ErrUndecodable)
	}
}

func malformed(err error) *outcome.Outcome {
	refusal := outcome.NewInvalid(outcome.Malformed, err.Error())
	return &refusal
}
