package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

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
	loadReport
	cacheEvent
)

// schedulerInput is a message to the scheduler duty.
type schedulerInput struct {
	kind    schedulerKind
	id      schedule.CallID
	request schedule.Request
	backend schedule.BackendID
	timing  schedule.Timing
	report  schedule.Report
	cache   schedule.CacheEvent
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
	decisions *ring.Ring[decision]

	pools    map[string]schedule.Scheduler
	poolOf   map[schedule.CallID]string
	backends map[schedule.BackendID]string
	known    *resource.Set
	checked  time.Time
	out      schedule.Decisions
}

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
	case loadReport:
		s.pool(s.backends[input.report.Backend]).Report(now, input.report)
	case cacheEvent:
		s.pool(s.backends[input.cache.Backend]).Cache(now, input.cache)
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
	for _, b := range backendsOf(s.set(), s.leaving) {
		if b.Pool == pool {
			own = append(own, b)
		}
	}
	return own
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
	for _, b := range backendsOf(set, s.leaving) {
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
