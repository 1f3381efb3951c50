package node

import (
	"log/slog"
	"time"

	"dogwoodline.example/ring"
	"dogwoodline.example/rpc"
	"dogwoodline.example/schedule"
)

// decisionQueueSize is the capacity of the queue of decisions for one requesting
// node. When a node does not read them and the queue is full, the stream is closed
// and the node requests its slots again.
const decisionQueueSize = 4096

// requesterStream is the stream of another node that requests slots here.
type requesterStream struct {
	requester string // incarnation
	decisions *ring.Ring[rpc.Decision]
}

// origin identifies a call by the node that requested a slot for it and by the
// id that the call has there. The stream is nil for calls of this node.
type origin struct {
	stream *requesterStream
	id     schedule.CallID
}

// slotGranter schedules the calls of the pools for which this node grants slots.
// Only the scheduler duty uses it.
type slotGranter struct {
	log            *slog.Logger
	newPool        func(name string) schedule.Scheduler
	startIDOf      func(schedule.BackendID) string
	deliverLocally func(decision)

	pools  map[string]schedule.Scheduler
	calls  map[schedule.CallID]*trackedCall
	ids    map[origin]schedule.CallID
	lastID schedule.CallID
	out    schedule.Decisions
}

// trackedCall is a call that waits for a slot or runs.
type trackedCall struct {
	origin   origin
	pool     string
	backends []schedule.BackendID // where it runs; a hedged call runs on two
}

func newSlotGranter(
	log *slog.Logger, newPool func(string) schedule.Scheduler, startIDOf func(schedule.BackendID) string, deliverLocally func(decision),
) *slotGranter {
	return &slotGranter{
		log: log, newPool: newPool, startIDOf: startIDOf, deliverLocally: deliverLocally,
		pools: map[string]schedule.Scheduler{},
		calls: map[schedule.CallID]*trackedCall{},
		ids:   map[origin]schedule.CallID{},
	}
}

// pool returns the scheduler of a pool. It is created on first use, so that a
// call for a pool without backend servers waits or is refused like any other.
func (g *slotGranter) pool(name string) schedule.Scheduler {
	if known, ok := g.pools[name]; ok {
		return known
	}
	pool := g.newPool(name)
	g.pools[name] = pool
	return pool
}

// submit queues a call. If runningOn is set, the call already runs there and only
// its slot is recorded.
func (g *slotGranter) submit(now time.Time, from origin, request schedule.Request, runningOn schedule.BackendID) {
	if _, known := g.ids[from]; known {
		return
	}
	g.lastID++
	request.ID = g.lastID
	call := &trackedCall{origin: from, pool: request.Pool}
	g.calls[request.ID] = call
	g.ids[from] = request.ID
	if runningOn != "" {
		call.backends = []schedule.BackendID{runningOn}
		g.pool(request.Pool).Adopt(now, request, runningOn)
		return
	}
	g.pool(request.Pool).Submit(now, request, &g.out)
}

func (g *slotGranter) withdraw(from origin) {
	id, ok := g.ids[from]
	if !ok {
		return
	}
	g.pool(g.calls[id].pool).Withdraw(id)
	g.forget(id)
}

func (g *slotGranter) progress(now time.Time, from origin, backend schedule.BackendID, timing schedule.Timing) {
	if id, ok := g.ids[from]; ok {
		g.pool(g.calls[id].pool).Progress(now, id, backend, timing)
	}
}

// finish frees the slot of one copy of a call.
func (g *slotGranter) finish(now time.Time, from origin, backend schedule.BackendID, timing schedule.Timing) {
	id, ok := g.ids[from]
	if !ok {
		return
	}
	call := g.calls[id]
	g.pool(call.pool).Finish(now, id, backend, timing)
	kept := call.backends[:0]
	for _, name := range call.backends {
		if name != backend {
			kept = append(kept, name)
		}
	}
	call.backends = kept
	if len(kept) == 0 {
		g.forget(id)
	}
}

func (g *slotGranter) forget(id schedule.CallID) {
	delete(g.ids, g.calls[id].origin)
	delete(g.calls, id)
}

// endStream forgets the calls of a stream and frees their slots. If the node at
// the other end still runs its calls, it submits them again with the backend
// servers on which they run.
func (g *slotGranter) endStream(now time.Time, stream *requesterStream) {
	for id, call := range g.calls {
		if call.origin.stream != stream {
			continue
		}
		pool := g.pool(call.pool)
		pool.Withdraw(id)
		for _, backend := range call.backends {
			pool.Finish(now, id, backend, schedule.Timing{})
		}
		g.forget(id)
	}
	stream.decisions.Close()
}

// decide runs the scheduler of every pool and delivers the decisions.
func (g *slotGranter) decide(now time.Time) {
	for _, pool := range g.pools {
		pool.Next(now, &g.out)
	}
	for _, grant := range g.out.Grants {
		call, ok := g.calls[grant.ID]
		if !ok {
			continue
		}
		call.backends = append(call.backends, grant.Backend)
		g.deliver(call.origin, decision{granted: true, backend: grant.Backend, hedge: grant.Hedge})
	}
	for _, refusal := range g.out.Refusals {
		call, ok := g.calls[refusal.ID]
		if !ok {
			continue
		}
		g.deliver(call.origin, decision{outcome: refusal.Outcome})
		g.forget(refusal.ID)
	}
	g.out.Reset()
}

func (g *slotGranter) deliver(to origin, d decision) {
	d.id = to.id
	if to.stream == nil {
		g.deliverLocally(d)
		return
	}
	message := rpc.Decision{ID: d.id, Granted: d.granted, Backend: d.backend, Hedge: d.hedge, Outcome: d.outcome}
	if d.granted {
		message.StartID = g.startIDOf(d.backend)
	}
	if to.stream.decisions.TryPush(message) != nil {
		g.log.Warn("scheduler: requesting node does not read its grants, closing its stream", "node", to.stream.requester)
		to.stream.decisions.Close()
	}
}
