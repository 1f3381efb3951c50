package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodline.example/membership"
	"dogwoodline.example/ring"
	"dogwoodline.example/rpc"
	"dogwoodline.example/schedule"
)

const (
	// linkQueueSize is the capacity of the queue of messages to one granting
	// node. When the queue is full, the link counts as lost.
	linkQueueSize = 4096
	// linkTimeout is the time without a message from the granting node after
	// which a link counts as lost. Heartbeats are sent every 300 ms.
	linkTimeout = 1200 * time.Millisecond
	// linkRetryDelay is how long this node grants the slots itself after a
	// link was lost, before it tries the link again.
	linkRetryDelay = 500 * time.Millisecond
)

// granterLink is this node's stream to a granting node, which grants the slots
// on the backend servers of a pool.
type granterLink struct {
	granter      string // incarnation of the granting node
	outgoing     *ring.Ring[rpc.ScheduleEvent]
	cancel       context.CancelFunc
	lastReceived time.Time
}

// localCall is a call of this node that waits for a slot or runs.
type localCall struct {
	request  schedule.Request
	granter  string               // incarnation of the granting node; empty for this node
	backends []schedule.BackendID // where it runs; a hedged call runs on two
}

// runningOn returns the backend server that runs the first copy of the call, or
// "".
func (c *localCall) runningOn() schedule.BackendID {
	if len(c.backends) == 0 {
		return ""
	}
	return c.backends[0]
}

// slotRequester requests slots for the calls of this node. The slots of each
// pool are granted by one node, because two nodes that decide by separate views
// of the load would overload the same backend server. While the granting node
// cannot be reached, this node grants the slots itself. Only the scheduler duty
// uses a slotRequester.
type slotRequester struct {
	ctx          context.Context
	log          *slog.Logger
	self         string
	links        *rpc.Links
	view         func() *membership.View
	inputs       *ring.Ring[schedulerInput]
	localGranter *slotGranter

	knownView *membership.View
	calls     map[schedule.CallID]*localCall
	openLinks map[string]*granterLink
	retryAt   map[string]time.Time // when a lost link may be tried again, by incarnation
}

// granterOf returns the incarnation that grants the slots of a pool, or "" for
// this node. All nodes with the same member view choose the same one, except
// that a node whose link to it is lost grants the slots itself.
func (r *slotRequester) granterOf(now time.Time, pool string) string {
	best := granterIn(r.knownView, pool)
	if best == r.self || now.Before(r.retryAt[best]) {
		return ""
	}
	return best
}

// granterIn returns the incarnation that grants the slots of a pool, or "" when
// there is none. Rendezvous hashing chooses it from the members that are not
// draining.
func granterIn(view *membership.View, pool string) string {
	best, bestScore := "", uint64(0)
	for _, m := range view.Members {
		if m.Draining {
			continue
		}
		score := xxhash.Sum64String(m.Incarnation + "\x00" + pool)
		if best == "" || score > bestScore {
			best, bestScore = m.Incarnation, score
		}
	}
	return best
}

func (r *slotRequester) submit(now time.Time, request schedule.Request) {
	call := &localCall{request: request}
	r.calls[request.ID] = call
	r.requestSlot(now, call)
}

// requestSlot sends a call to the granting node of its pool. It queues the call
// here when this node grants the slots or the granting node cannot be reached.
func (r *slotRequester) requestSlot(now time.Time, call *localCall) {
	call.granter = r.granterOf(now, call.request.Pool)
	if call.granter != "" {
		if r.send(now, call.granter, rpc.ScheduleEvent{Submit: &call.request, RunningOn: call.runningOn()}) {
			return
		}
		call.granter = ""
	}
	r.localGranter.submit(now, origin{id: call.request.ID}, call.request, call.runningOn())
}

func (r *slotRequester) withdraw(now time.Time, id schedule.CallID) {
	call, ok := r.calls[id]
	if !ok {
		return
	}
	delete(r.calls, id)
	r.withdrawFromGranter(now, call)
}

// withdrawFromGranter removes a call from its granting node and frees the slots
// that the call holds there.
func (r *slotRequester) withdrawFromGranter(now time.Time, call *localCall) {
	id := call.request.ID
	for _, backend := range call.backends {
		r.releaseSlot(now, call.granter, id, backend, schedule.Timing{Cancelled: true})
	}
	switch {
	case len(call.backends) > 0:
	case call.granter == "":
		r.localGranter.withdraw(origin{id: id})
	default:
		r.send(now, call.granter, rpc.ScheduleEvent{Withdraw: id})
	}
}

// releaseSlot frees the slot of one copy of a call at the node that granted it.
func (r *slotRequester) releaseSlot(now time.Time, granter string, id schedule.CallID, backend schedule.BackendID, timing schedule.Timing) {
	if granter == "" {
		r.localGranter.finish(now, origin{id: id}, backend, timing)
		return
	}
	r.send(now, granter, rpc.ScheduleEvent{Finish: &rpc.Measurement{ID: id, Backend: backend, Timing: timing}})
}

func (r *slotRequester) progress(now time.Time, id schedule.CallID, backend schedule.BackendID, timing schedule.Timing) {
	call, ok := r.calls[id]
	if !ok {
		return
	}
	if call.granter == "" {
		r.localGranter.progress(now, origin{id: id}, backend, timing)
		return
	}
	r.send(now, call.granter, rpc.ScheduleEvent{Progress: &rpc.Measurement{ID: id, Backend: backend, Timing: timing}})
}

// finish frees the slot of a copy that ended, or of a grant that was not used.
func (r *slotRequester) finish(now time.Time, id schedule.CallID, backend schedule.BackendID, timing schedule.Timing) {
	call, ok := r.calls[id]
	if !ok {
		return
	}
	for i, name := range call.backends {
		if name == backend {
			call.backends = append(call.backends[:i], call.backends[i+1:]...)
			break
		}
	}
	if len(call.backends) == 0 {
		delete(r.calls, id)
	}
	r.releaseSlot(now, call.granter, id, backend, timing)
}

// acceptDecision records a decision and reports whether it is still valid. It
// is not if the call has ended, if another node grants its slots now, or if the
// call already runs and the decision is not a hedge.
func (r *slotRequester) acceptDecision(from string, d decision) bool {
	call, ok := r.calls[d.id]
	if !ok || call.granter != from || len(call.backends) > 0 && !d.hedge {
		return false
	}
	if d.granted {
		call.backends = append(call.backends, d.backend)
	} else {
		delete(r.calls, d.id)
	}
	return true
}

// send queues a message for a granting node and reports whether it could. Only
// a submitted call opens a new link.
func (r *slotRequester) send(now time.Time, to string, message rpc.ScheduleEvent) bool {
	link, ok := r.openLinks[to]
	if !ok {
		if message.Submit == nil {
			return false // the granting node forgot the call when the stream ended
		}
		link = r.connect(now, to)
	}
	if link.outgoing.TryPush(message) == nil {
		return true
	}
	r.closeLink(now, link)
	return false
}

// connect opens a stream to a granting node. Its two goroutines only move
// messages between the stream and the rings; they end with the stream.
func (r *slotRequester) connect(now time.Time, to string) *granterLink {
	ctx, cancel := context.WithCancel(r.ctx)
	link := &granterLink{granter: to, outgoing: ring.New[rpc.ScheduleEvent](linkQueueSize), cancel: cancel, lastReceived: now}
	r.openLinks[to] = link
	go r.sendLoop(ctx, link)
	return link
}

func (r *slotRequester) sendLoop(ctx context.Context, link *granterLink) {
	defer func() { _ = r.inputs.Push(r.ctx, schedulerInput{kind: linkLost, link: link}) }()
	defer link.cancel()
	peer, err := r.links.Get(link.granter)
	if err != nil {
		return
	}
	stream, err := peer.Schedule(ctx, r.self)
	if err != nil {
		return
	}
	defer stream.Close()
	go r.receiveLoop(stream, link)
	for {
		message, err := link.outgoing.Pop(ctx)
		if err != nil || stream.Send(time.Now(), message) != nil {
			return
		}
	}
}

func (r *slotRequester) receiveLoop(stream *rpc.ScheduleStream, link *granterLink) {
	defer link.cancel()
	for {
		received, isDecision, err := stream.Receive()
		if err != nil {
			return
		}
		input := schedulerInput{kind: linkHeartbeat, link: link}
		if isDecision {
			input.kind, input.decision = linkDecision, received
		}
		if r.inputs.Push(r.ctx, input) != nil {
			return
		}
	}
}

// closeLink closes a link and requests slots for its calls again, without that
// granting node until the link may be retried.
func (r *slotRequester) closeLink(now time.Time, link *granterLink) {
	if r.openLinks[link.granter] != link {
		return
	}
	delete(r.openLinks, link.granter)
	r.retryAt[link.granter] = now.Add(linkRetryDelay)
	link.cancel()
	r.log.Info("scheduler: link to granting node lost, this node grants the slots until the link is retried", "node", link.granter)
	for _, call := range r.calls {
		if call.granter == link.granter {
			r.requestSlot(now, call)
		}
	}
}

// refresh closes links that are silent, allows lost links to be retried, and
// moves calls whose granting node changed.
func (r *slotRequester) refresh(now time.Time) {
	for _, link := range r.openLinks {
		if now.Sub(link.lastReceived) > linkTimeout {
			r.closeLink(now, link)
		}
	}
	retry := false
	for to, until := range r.retryAt {
		if !now.Before(until) {
			delete(r.retryAt, to)
			retry = true
		}
	}
	if view := r.view(); view != r.knownView || retry {
		r.knownView = view
		r.moveCalls(now)
	}
}

func (r *slotRequester) moveCalls(now time.Time) {
	for _, call := range r.calls {
		if r.granterOf(now, call.request.Pool) != call.granter {
			r.withdrawFromGranter(now, call)
			r.requestSlot(now, call)
		}
	}
}
