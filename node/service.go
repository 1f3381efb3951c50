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
	// ownerRetryDelay is the delay before a request is sent again to the owner
	// of its shard while the shard has no owner or is moving.
	ownerRetryDelay = 25 * time.Millisecond
	// replyGrace is how long after its deadline a request still waits for the
	// outcome that the programs duty assigns to it.
	replyGrace = time.Second
)

// service implements the API for callers. It handles requests for the programs of
// this node and forwards the others to the nodes that own their programs.
type service struct {
	clock clockwork.Clock
	node  *Node

	lastWaiterID atomic.Uint64
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
	return addressOf(first, second, s.node.settings.AddressTTL)
}

func addressOf(first, second *membership.Member, maxAge time.Duration) api.Address {
	address := api.Address{MaxAgeMS: maxAge.Milliseconds()}
	if first != nil {
		address.Address, address.Zone = first.HTTP, first.Zone
	}
	if second != nil {
		address.Second, address.SecondZone = second.HTTP, second.Zone
	}
	return address
}

// Ready implements api.Service.
func (s *service) Ready() error { return s.node.ready() }

// Start implements api.Service.
func (s *service) Start(ctx context.Context, tenant string, request api.StartRequest) program.Reply {
	timeout := time.Duration(request.DeadlineMS) * time.Millisecond
	return s.route(ctx, &rpc.ForwardRequest{
		Method: rpc.Start, Tenant: tenant, Program: request.ID, Request: mustEncode(request), Deadline: timeout,
	}, nil)
}

// Call implements api.Service.
func (s *service) Call(ctx context.Context, tenant, programID string, request api.CallRequest, stream func(program.Chunk) error) program.Reply {
	timeout := time.Duration(request.DeadlineMS) * time.Millisecond
	return s.route(ctx, &rpc.ForwardRequest{
		Method: rpc.Call, Tenant: tenant, Program: programID, Request: mustEncode(request), Body: request.Body,
		Stream: stream != nil, Deadline: timeout,
	}, stream)
}

// History implements api.Service.
func (s *service) History(ctx context.Context, tenant, programID string) program.Reply {
	return s.route(ctx, &rpc.ForwardRequest{Method: rpc.History, Tenant: tenant, Program: programID}, nil)
}

// End implements api.Service.
func (s *service) End(ctx context.Context, tenant, programID string) program.Reply {
	return s.route(ctx, &rpc.ForwardRequest{Method: rpc.End, Tenant: tenant, Program: programID}, nil)
}

// route sends a request to the owner of its program, and again while the owner
// changes. This is safe, because the owner recognises a repeated request by its
// id.
func (s *service) route(ctx context.Context, request *rpc.ForwardRequest, stream func(program.Chunk) error) program.Reply {
	deadline := deadlineAfter(s.clock.Now(), request.Deadline, defaultDeadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(replyGrace))
	defer cancel()
	progress := &streamProgress{send: stream}
	mayHaveRun := false
	for {
		request.Deadline = max(deadline.Sub(s.clock.Now()), time.Millisecond)
		reply, err := s.sendToOwner(ctx, request, progress)
		switch {
		case err == nil && !reply.Moved:
			return reply
		case progress.callerGone:
			return program.Reply{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.ConnectionLost}}
		case err != nil && !errors.Is(err, rpc.ErrNoLink):
			mayHaveRun = true // the owner may have taken the request
		}
		if !s.clock.Now().Before(deadline) || ctx.Err() != nil {
			return unroutedReply(mayHaveRun)
		}
		s.clock.Sleep(ownerRetryDelay)
	}
}

// unroutedReply returns the reply to a request for which no owner replied before
// the deadline.
func unroutedReply(mayHaveRun bool) program.Reply {
	if mayHaveRun {
		return program.Reply{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.ConnectionLost,
			Detail: "the owner of the program did not answer; repeat the request with the same request id"}}
	}
	return program.Reply{Outcome: outcome.NewNotRun(outcome.NoOwner, ownerRetryDelay)}
}

// sendToOwner sends a request once to the owner that the shard map names.
func (s *service) sendToOwner(ctx context.Context, request *rpc.ForwardRequest, progress *streamProgress) (program.Reply, error) {
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
	setResumePosition(request, progress)
	if owner == current.name {
		return s.serveLocally(ctx, current, *request, progress.deliver), nil
	}
	link, err := s.node.links.Get(owner)
	if err != nil {
		return program.Reply{}, err
	}
	return link.Forward(ctx, *request, progress.deliver)
}

// setResumePosition makes a repeated streamed call continue after the part that
// the caller has received.
func setResumePosition(request *rpc.ForwardRequest, progress *streamProgress) {
	if request.Method != rpc.Call || progress.attempt == 0 {
		return
	}
	var call api.CallRequest
	if err := json.Unmarshal(request.Request, &call); err != nil {
		panic("node: cannot decode a request that this node encoded: " + err.Error())
	}
	call.Attempt, call.Offset = progress.attempt, progress.offset
	request.Request = mustEncode(call)
}

// streamProgress delivers each part of a streamed answer to the caller exactly
// once, even if the request is repeated.
type streamProgress struct {
	send       func(program.Chunk) error
	attempt    int
	offset     int
	callerGone bool // a part could not be sent
}

// deliver sends the part of the chunk that the caller has not received yet.
func (p *streamProgress) deliver(chunk program.Chunk) error {
	if p.send == nil {
		return nil
	}
	if chunk.Attempt == p.attempt && chunk.Offset < p.offset {
		delivered := min(p.offset-chunk.Offset, len(chunk.Text))
		chunk.Offset += delivered
		chunk.Text = chunk.Text[delivered:]
	}
	if chunk.Text == "" {
		return nil
	}
	if err := p.send(chunk); err != nil {
		p.callerGone = true
		return err
	}
	p.attempt = chunk.Attempt
	p.offset = chunk.Offset + len(chunk.Text)
	return nil
}

// serveLocally handles a request for a program of the incarnation owner. The
// reply has Moved set if owner does not own the program.
func (s *service) serveLocally(ctx context.Context, owner *incarnation, request rpc.ForwardRequest, chunk func(program.Chunk) error) program.Reply {
	waiting := caller{waiterID: program.WaiterID(s.lastWaiterID.Add(1)), messages: ring.New[callerMessage](callerRingSize)}
	for {
		cmd, refusal := s.newCommand(request)
		if refusal != nil {
			return program.Reply{Outcome: *refusal}
		}
		cmd.caller = waiting
		if err := owner.programs.commands.TryPush(cmd); errors.Is(err, ring.ErrClosed) {
			return program.Reply{Moved: true}
		} else if err != nil {
			return program.Reply{Outcome: outcome.NewNotRun(outcome.Overloaded, ownerRetryDelay)}
		}
		reply, lagged := s.awaitReply(ctx, owner, waiting, &request, chunk)
		if !lagged {
			return owner.redirectUnknownProgram(reply)
		}
	}
}

// redirectUnknownProgram replaces a reply that the program is unknown by one with
// Moved set while the node may have been taken over without knowing it, because
// the program may have been started at its new owner.
func (i *incarnation) redirectUnknownProgram(reply program.Reply) program.Reply {
	unknown := reply.Outcome.Code == outcome.Invalid && reply.Outcome.Reason == outcome.UnknownProgram
	if unknown && i.storeContact().mayBeTakenOver(i.node.deps.Clock.Now(), i.node.settings.LeaseTTL) {
		return program.Reply{Moved: true, Outcome: outcome.NewNotRun(outcome.NoOwner, ownerRetryDelay)}
	}
	return reply
}

// awaitReply delivers the parts of a streamed answer until the reply arrives. The
// second result is true if the caller fell behind the stream and the request must
// be repeated.
func (s *service) awaitReply(ctx context.Context, owner *incarnation, waiting caller, request *rpc.ForwardRequest, chunk func(program.Chunk) error) (program.Reply, bool) {
	progress := &streamProgress{send: chunk}
	for {
		message, err := waiting.messages.Pop(ctx)
		switch {
		case err != nil:
			_ = owner.programs.commands.TryPush(command{caller: waiting, detach: true})
			return program.Reply{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.DeadlineExceeded,
				Detail: "the call goes on; repeat it with the same request id"}}, false
		case message.reply != nil:
			return *message.reply, false
		case message.lagged:
			setResumePosition(request, progress)
			return program.Reply{}, true
		}
		if progress.deliver(message.chunk) != nil {
			_ = owner.programs.commands.TryPush(command{caller: waiting, detach: true})
			return program.Reply{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.ConnectionLost}}, false
		}
	}
}

// newCommand decodes a request into a command. The spec of a new program follows
// from the current resources.
func (s *service) newCommand(request rpc.ForwardRequest) (command, *outcome.Outcome) {
	target := &programRef{program: request.Program, tenant: request.Tenant}
	switch request.Method {
	case rpc.Start:
		var startRequest api.StartRequest
		if err := json.Unmarshal(request.Request, &startRequest); err != nil {
			return command{}, malformed(err)
		}
		spec, refusal := newSpec(s.node.deps.Resources(), request.Tenant, startRequest)
		return command{start: &spec}, refusal
	case rpc.Call:
		var callRequest api.CallRequest
		if err := json.Unmarshal(request.Request, &callRequest); err != nil {
			return command{}, malformed(err)
		}
		callRequest.Body = request.Body
		call := newCall(s.clock.Now(), request.Tenant, request.Program, callRequest, request.Deadline)
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
