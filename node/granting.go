package node

import (
	"log/slog"
	"time"

	"dogwoodline.example/ring"
	"dogwoodline.example/rpc"
	"dogwoodline.example/schedule"
)

// grantSlots bounds the grants that wait for one asking node. A node that does
// not read them has its stream ended and asks again.
const grantSlots = 4096

// askerStream is the stream of another node that asks for slots.
type askerStream struct {
	from   string
	grants *ring.Ring[rpc.Grant]
}

// origin names a call by who asked for it: a stream, or this node when there
// is none, and the id it has there.
type origin struct {
	stream *askerStream
	id     schedule.CallID
}

// granting holds the queues of the pools for which this node grants slots. It
// belongs to the scheduler duty.
type granting struct {
	log     *slog.Logger
	newPool func(name string) schedule.Scheduler
	startOf func(schedule.BackendID) string
	toOwn   func(decision)

	pools  map[string]schedule.Scheduler
	calls  map[schedule.CallID]*queuedCall
	ids    map[origin]schedule.CallID
	lastID schedule.CallID
	out    schedule.Decisions
}

// queuedCall is a call that waits or runs.
type queuedCall struct {
	origin origin
	pool   string
	copies []schedule.BackendID // where it runs; a hedged call runs twice
}

func newGranting(
	log *slog.Logger, newPool func(string) schedule.Scheduler, startOf func(schedule.BackendID) string, toOwn func(decision),
) *granting {
	return &granting{
		log: log, newPool: newPool, startOf: startOf, toOwn: toOwn,
		pools: map[string]schedule.Scheduler{},
		calls: map[schedule.CallID]*queuedCall{},
		ids:   map[origin]schedule.CallID{},
	}
}

// pool returns the scheduler of a pool. Pools are made when they are first
// named, so that a call for a pool without backend servers waits or is refused
// like any other.
func (g *granting) pool(name string) schedule.Scheduler {
	if known, ok := g.pools[name]; ok {
		return known
	}
	made := g.newPool(name)
	g.pools[name] = made
	return made
}

// submit queues a call, or notes one that runs already.
func (g *granting) submit(now time.Time, from origin, request schedule.Request, runningOn schedule.BackendID) {
	if _, known := g.ids[from]; known {
		return
	}
	g.lastID++
	request.ID = g.lastID
	call := &queuedCall{origin: from, pool: request.Pool}
	g.calls[request.ID] = call
	g.ids[from] = request.ID
	if runningOn != "" {
		call.copies = []schedule.BackendID{runningOn}
		g.pool(request.Pool).Adopt(now, request, runningOn)
		return
	}
	g.pool(request.Pool).Submit(now, request, &g.out)
}

func (g *granting) withdraw(from origin) {
	id, ok := g.ids[from]
	if !ok {
		return
	}
	g.pool(g.calls[id].pool).Withdraw(id)
	g.forget(id)
}

func (g *granting) progress(now time.Time, from origin, backend schedule.BackendID, timing schedule.Timing) {
	if id, ok := g.ids[from]; ok {
		g.pool(g.calls[id].pool).Progress(now, id, backend, timing)
	}
}

// finish frees the slot of one copy of a call.
func (g *granting) finish(now time.Time, from origin, backend schedule.BackendID, timing schedule.Timing) {
	id, ok := g.ids[from]
	if !ok {
		return
	}
	call := g.calls[id]
	g.pool(call.pool).Finish(now, id, backend, timing)
	kept := call.copies[:0]
	for _, name := range call.copies {
		if name != backend {
			kept = append(kept, name)
		}
	}
	call.copies = kept
	if len(kept) == 0 {
		g.forget(id)
	}
}

func (g *granting) forget(id schedule.CallID) {
	delete(g.ids, g.calls[id].origin)
	delete(g.calls, id)
}

// endStream frees what a stream asked for. A node whose stream broke, but that
// still runs its calls, asks again and names where they run.
func (g *granting) endStream(now time.Time, stream *askerStream) {
	for id, call := range g.calls {
		if call.origin.stream != stream {
			continue
		}
		pool := g.pool(call.pool)
		pool.Withdraw(id)
		for _, backend := range call.copies {
			pool.Finish(now, id, backend, schedule.Timing{})
		}
		g.forget(id)
	}
	stream.grants.Close()
}

// decide lets every pool decide and delivers the decisions.
func (g *granting) decide(now time.Time) {
	for _, pool := range g.pools {
		pool.Next(now, &g.out)
	}
	for _, grant := range g.out.Grants {
		call, ok := g.calls[grant.ID]
		if !ok {
			continue
		}
		call.copies = append(call.copies, grant.Backend)
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

func (g *granting) deliver(to origin, d decision) {
	d.id = to.id
	if to.stream == nil {
		g.toOwn(d)
		return
	}
	message := rpc.Grant{ID: d.id, Granted: d.granted, Backend: d.backend, Hedge: d.hedge, Outcome: d.outcome}
	if d.granted {
		message.StartID = g.startOf(d.backend)
	}
	if to.stream.grants.TryPush(message) != nil {
		g.log.Warn("scheduler: asking node does not read its grants, ending its stream", "node", to.stream.from)
		to.stream.grants.Close()
	}
}
