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
	// askSlots bounds the messages that wait for one granting node. When they
	// find no room the link counts as lost.
	askSlots = 4096
	// linkSilence is the time without a heartbeat after which a link counts
	// as lost. Heartbeats come each 300 ms.
	linkSilence = 1200 * time.Millisecond
	// linkRetry is how long this node grants for itself before it tries a
	// lost link again.
	linkRetry = 500 * time.Millisecond
)

// askLink is this node's stream to a node that grants slots.
type askLink struct {
	to     string
	asks   *ring.Ring[rpc.Ask]
	cancel context.CancelFunc
	heard  time.Time
}

// askedCall is a call of this node that waits for a slot or runs.
type askedCall struct {
	request schedule.Request
	granter string               // incarnation; empty for this node
	copies  []schedule.BackendID // where it runs; a hedged call runs twice
}

// runningOn returns where the first copy of the call runs, or "".
func (c *askedCall) runningOn() schedule.BackendID {
	if len(c.copies) == 0 {
		return ""
	}
	return c.copies[0]
}

// asking brings the calls of this node to the nodes that grant slots: one node
// for each pool, so that no two nodes fill the same backend server by views of
// their own. While that node cannot be reached this node grants for itself.
// It belongs to the scheduler duty.
type asking struct {
	ctx    context.Context
	log    *slog.Logger
	self   string
	links  *rpc.Links
	view   func() *membership.View
	inputs *ring.Ring[schedulerInput]
	own    *granting

	known *membership.View
	calls map[schedule.CallID]*askedCall
	open  map[string]*askLink
	lost  map[string]time.Time // when a lost link is tried again
}

// granterOf returns the incarnation that grants slots of a pool, or "" for
// this node. All nodes with the same view choose the same one.
func (a *asking) granterOf(now time.Time, pool string) string {
	best := granterIn(a.known, pool)
	if best == a.self || now.Before(a.lost[best]) {
		return ""
	}
	return best
}

// granterIn returns the incarnation that grants slots of a pool, or "" when
// there is no member.
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

func (a *asking) submit(now time.Time, request schedule.Request) {
	call := &askedCall{request: request}
	a.calls[request.ID] = call
	a.ask(now, call)
}

// ask brings a call to the node that grants its pool.
func (a *asking) ask(now time.Time, call *askedCall) {
	call.granter = a.granterOf(now, call.request.Pool)
	if call.granter != "" {
		if a.send(now, call.granter, rpc.Ask{Submit: &call.request, RunningOn: call.runningOn()}) {
			return
		}
		call.granter = ""
	}
	a.own.submit(now, origin{id: call.request.ID}, call.request, call.runningOn())
}

func (a *asking) withdraw(now time.Time, id schedule.CallID) {
	call, ok := a.calls[id]
	if !ok {
		return
	}
	delete(a.calls, id)
	a.leave(now, call)
}

// leave takes a call back from the node that was asked.
func (a *asking) leave(now time.Time, call *askedCall) {
	id := call.request.ID
	for _, backend := range call.copies {
		a.release(now, call.granter, id, backend, schedule.Timing{Cancelled: true})
	}
	switch {
	case len(call.copies) > 0:
	case call.granter == "":
		a.own.withdraw(origin{id: id})
	default:
		a.send(now, call.granter, rpc.Ask{Withdraw: id})
	}
}

// release frees the slot of one copy at the node that granted it.
func (a *asking) release(now time.Time, granter string, id schedule.CallID, backend schedule.BackendID, timing schedule.Timing) {
	if granter == "" {
		a.own.finish(now, origin{id: id}, backend, timing)
		return
	}
	a.send(now, granter, rpc.Ask{Finish: &rpc.Measured{ID: id, Backend: backend, Timing: timing}})
}

func (a *asking) progress(now time.Time, id schedule.CallID, backend schedule.BackendID, timing schedule.Timing) {
	call, ok := a.calls[id]
	if !ok {
		return
	}
	if call.granter == "" {
		a.own.progress(now, origin{id: id}, backend, timing)
		return
	}
	a.send(now, call.granter, rpc.Ask{Progress: &rpc.Measured{ID: id, Backend: backend, Timing: timing}})
}

// finish frees the slot of a call that ended, or of a grant that was not used.
func (a *asking) finish(now time.Time, id schedule.CallID, backend schedule.BackendID, timing schedule.Timing) {
	call, ok := a.calls[id]
	if !ok {
		return
	}
	for i, name := range call.copies {
		if name == backend {
			call.copies = append(call.copies[:i], call.copies[i+1:]...)
			break
		}
	}
	if len(call.copies) == 0 {
		delete(a.calls, id)
	}
	a.release(now, call.granter, id, backend, timing)
}

// granted notes a decision and reports whether it still counts: a decision of
// a node that is not asked any more does not.
func (a *asking) granted(from string, d decision) bool {
	call, ok := a.calls[d.id]
	if !ok || call.granter != from || len(call.copies) > 0 && !d.hedge {
		return false
	}
	if d.granted {
		call.copies = append(call.copies, d.backend)
	} else {
		delete(a.calls, d.id)
	}
	return true
}

// send hands a message to a granting node. It reports false when there is no
// link.
func (a *asking) send(now time.Time, to string, ask rpc.Ask) bool {
	link, ok := a.open[to]
	if !ok {
		if ask.Submit == nil {
			return false // the stream ended, and with it what it asked for
		}
		link = a.connect(now, to)
	}
	if link.asks.TryPush(ask) == nil {
		return true
	}
	a.lose(now, link)
	return false
}

// connect opens a stream. Its two goroutines only move messages between the
// stream and the rings; they end with the stream.
func (a *asking) connect(now time.Time, to string) *askLink {
	ctx, cancel := context.WithCancel(a.ctx)
	link := &askLink{to: to, asks: ring.New[rpc.Ask](askSlots), cancel: cancel, heard: now}
	a.open[to] = link
	go a.carry(ctx, link)
	return link
}

func (a *asking) carry(ctx context.Context, link *askLink) {
	defer func() { _ = a.inputs.Push(a.ctx, schedulerInput{kind: linkLost, link: link}) }()
	defer link.cancel()
	peer, err := a.links.To(link.to)
	if err != nil {
		return
	}
	stream, err := peer.Schedule(ctx, a.self)
	if err != nil {
		return
	}
	defer stream.Close()
	go a.receive(stream, link)
	for {
		ask, err := link.asks.Pop(ctx)
		if err != nil || stream.Send(time.Now(), ask) != nil {
			return
		}
	}
}

func (a *asking) receive(stream *rpc.AskStream, link *askLink) {
	defer link.cancel()
	for {
		grant, carries, err := stream.Receive()
		if err != nil {
			return
		}
		input := schedulerInput{kind: linkHeartbeat, link: link}
		if carries {
			input.kind, input.grant = linkGrant, grant
		}
		if a.inputs.Push(a.ctx, input) != nil {
			return
		}
	}
}

// lose closes a link. Its calls are asked for again elsewhere.
func (a *asking) lose(now time.Time, link *askLink) {
	if a.open[link.to] != link {
		return
	}
	delete(a.open, link.to)
	a.lost[link.to] = now.Add(linkRetry)
	link.cancel()
	a.log.Info("scheduler: link to the granting node lost, granting here meanwhile", "node", link.to)
	for _, call := range a.calls {
		if call.granter == link.to {
			a.ask(now, call)
		}
	}
}

// check closes links that are silent, and moves calls whose granting node
// changed.
func (a *asking) check(now time.Time) {
	for _, link := range a.open {
		if now.Sub(link.heard) > linkSilence {
			a.lose(now, link)
		}
	}
	retry := false
	for to, until := range a.lost {
		if !now.Before(until) {
			delete(a.lost, to)
			retry = true
		}
	}
	if view := a.view(); view != a.known || retry {
		a.known = view
		a.move(now)
	}
}

func (a *asking) move(now time.Time) {
	for _, call := range a.calls {
		if a.granterOf(now, call.request.Pool) != call.granter {
			a.leave(now, call)
			a.ask(now, call)
		}
	}
}
