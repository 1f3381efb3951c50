package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/outcome"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
	"dogwoodline.example/schedule"
)

// schedulerTick is how often waiting calls are looked at without an event,
// for deadlines and for backend servers that are probed again.
const schedulerTick = 20 * time.Millisecond

type schedulerKind int

const (
	submitCall schedulerKind = iota
	withdrawCall
	progressCall
	finishCall
)

// schedulerInput is a message to the scheduler duty.
type schedulerInput struct {
	kind    schedulerKind
	id      schedule.CallID
	request schedule.Request
	backend schedule.BackendID
	timing  schedule.Timing
}

// decision is the scheduler duty's answer about one call.
type decision struct {
	id      schedule.CallID
	granted bool
	backend schedule.BackendID
	outcome outcome.Outcome
}

// scheduler is the duty that owns the queues of this node: one scheduler for
// each pool.
type scheduler struct {
	clock    clockwork.Clock
	log      *slog.Logger
	policy   string
	settings schedule.Settings
	set      func() *resource.Set
	leaving  func(address string) bool

	inputs    *ring.Ring[schedulerInput]
	reports   *ring.Ring[dispatch.Observation]
	decisions *ring.Ring[decision]

	pools    map[string]schedule.Scheduler
	poolOf   map[schedule.CallID]string
	backends map[schedule.BackendID]string
	refusing map[schedule.BackendID]bool // backend servers that say they are leaving
	known    *resource.Set
	checked  time.Time
	out      schedule.Decisions
}

// observationSlots bounds the observations that wait. A load report of each
// of 64 backend servers and its cache events come twice a second.
const observationSlots = 1024

// backendsCheck is how often the host list is compared with the backend
// servers in use. It is well below the 3 s within which a leaving backend
// server must get no more work.
const backendsCheck = 200 * time.Millisecond

func (s *scheduler) run(ctx context.Context) error {
	ticker := s.clock.NewTicker(schedulerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.inputs.Ready():
			s.takeInputs()
		case <-s.reports.Ready():
			s.takeObservations()
		case <-ticker.Chan():
		}
		s.refreshBackends()
		s.decide(ctx)
	}
}

func (s *scheduler) takeInputs() {
	for range batchItems {
		input, ok := s.inputs.TryPop()
		if !ok {
			return
		}
		s.handle(input)
	}
}

func (s *scheduler) handle(input schedulerInput) {
	now := s.clock.Now()
	switch input.kind {
	case submitCall:
		s.poolOf[input.request.ID] = input.request.Pool
		s.pool(input.request.Pool).Submit(now, input.request, &s.out)
	case withdrawCall:
		s.pool(s.poolOf[input.id]).Withdraw(input.id)
		delete(s.poolOf, input.id)
	case progressCall:
		s.pool(s.poolOf[input.id]).Progress(now, input.id, input.backend, input.timing)
	case finishCall:
		s.pool(s.poolOf[input.id]).Finish(now, input.id, input.backend, input.timing)
		delete(s.poolOf, input.id)
	}
}

func (s *scheduler) takeObservations() {
	for range batchItems {
		o, ok := s.reports.TryPop()
		if !ok {
			return
		}
		s.observe(o)
	}
}

// observe takes what a poll of a backend server showed.
func (s *scheduler) observe(o dispatch.Observation) {
	pool, ok := s.pools[s.backends[o.Backend]]
	if !ok {
		return // no call has asked for the pool yet
	}
	now := s.clock.Now()
	switch o.Kind {
	case dispatch.Loaded:
		pool.Report(now, o.Report)
	case dispatch.Cached:
		for _, event := range o.Cache {
			pool.Cache(now, event)
		}
	case dispatch.LeavingChanged:
		s.refusing[o.Backend] = o.Leaving
		s.known = nil // hands the change to the schedulers at once
	case dispatch.CacheGap, dispatch.Restarted, dispatch.Unreachable:
	}
}

// pool returns the scheduler of a pool. Pools are made when they are first
// named, so that a call for a pool without backend servers waits or is
// refused like any other.
func (s *scheduler) pool(name string) schedule.Scheduler {
	if known, ok := s.pools[name]; ok {
		return known
	}
	made, err := schedule.New(s.policy, s.settings)
	if err != nil {
		panic("node: scheduling policy was not checked: " + err.Error())
	}
	s.pools[name] = made
	made.SetBackends(s.clock.Now(), s.backendsOf(name))
	return made
}

func (s *scheduler) backendsOf(pool string) []schedule.Backend {
	var own []schedule.Backend
	for _, b := range s.allBackends() {
		if b.Pool == pool {
			own = append(own, b)
		}
	}
	return own
}

// allBackends returns the backend servers of all pools. One is leaving when the
// host list or the server itself says so.
func (s *scheduler) allBackends() []schedule.Backend {
	all := backendsOf(s.set(), s.leaving)
	for i := range all {
		all[i].Leaving = all[i].Leaving || s.refusing[all[i].ID]
	}
	return all
}

// refreshBackends hands changed resources and host states to the schedulers.
func (s *scheduler) refreshBackends() {
	now := s.clock.Now()
	set := s.set()
	if set == s.known && now.Sub(s.checked) < backendsCheck {
		return
	}
	s.known = set
	s.checked = now
	byPool := map[string][]schedule.Backend{}
	clear(s.backends)
	for _, b := range s.allBackends() {
		byPool[b.Pool] = append(byPool[b.Pool], b)
		s.backends[b.ID] = b.Pool
	}
	for name, pool := range s.pools {
		pool.SetBackends(now, byPool[name])
	}
}

func (s *scheduler) decide(ctx context.Context) {
	now := s.clock.Now()
	for _, pool := range s.pools {
		pool.Next(now, &s.out)
	}
	for _, grant := range s.out.Grants {
		_ = s.decisions.Push(ctx, decision{id: grant.ID, granted: true, backend: grant.Backend})
	}
	for _, refusal := range s.out.Refusals {
		delete(s.poolOf, refusal.ID)
		_ = s.decisions.Push(ctx, decision{id: refusal.ID, outcome: refusal.Outcome})
	}
	s.out.Reset()
}
