package node

import (
	"context"
	"log/slog"
	"maps"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/duty"
	"dogwoodline.example/outcome"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
	"dogwoodline.example/rpc"
	"dogwoodline.example/schedule"
)

const (
	// schedulerTick is how often waiting calls are looked at without an event,
	// for deadlines and for backend servers that are probed again.
	schedulerTick = 20 * time.Millisecond
	// observationSlots bounds the observations that wait. A load report of
	// each of 64 backend servers and its cache events come twice a second.
	observationSlots = 1024
	// backendsCheck is how often the host list is compared with the backend
	// servers in use. It is well below the 3 s within which a leaving backend
	// server must get no more work.
	backendsCheck = 200 * time.Millisecond
)

type schedulerKind int

const (
	// Messages of this node's programs duty.
	submitCall schedulerKind = iota
	withdrawCall
	progressCall
	finishCall
	// Messages of other nodes that ask this one.
	streamAsk
	streamEnded
	// Messages of the links to nodes that grant.
	linkGrant
	linkHeard
	linkLost
)

// schedulerInput is a message to the scheduler duty.
type schedulerInput struct {
	kind    schedulerKind
	id      schedule.CallID
	request schedule.Request
	backend schedule.BackendID
	timing  schedule.Timing
	stream  *requesterStream
	ask     rpc.Ask
	link    *granterLink
	grant   rpc.Grant
}

// decision is the answer about one call of this node.
type decision struct {
	id      schedule.CallID
	granted bool
	backend schedule.BackendID
	hedge   bool
	outcome outcome.Outcome
}

// scheduler is the duty that brings this node's calls to the granting nodes,
// and grants slots of the pools that are this node's to grant.
type scheduler struct {
	clock    clockwork.Clock
	log      *slog.Logger
	policy   string
	settings schedule.Settings
	set      func() *resource.Set
	leaving  func(address string) bool
	publish  func(busyPools)

	inputs    *ring.Ring[schedulerInput]
	reports   *ring.Ring[dispatch.Observation]
	decisions *ring.Ring[decision]

	asks     *slotRequester
	grants   *slotGranter
	poolOf   map[schedule.BackendID]string
	refusing map[schedule.BackendID]bool // backend servers that say they are leaving
	starts   *atomic.Pointer[startIDs]
	known    *resource.Set
	checked  time.Time
	timer    duty.Timer
}

func (i *incarnation) newScheduler(timer duty.Timer) *scheduler {
	s, d := i.node.settings, i.node.deps
	made := &scheduler{
		clock:     d.Clock,
		log:       d.Log,
		policy:    s.Policy,
		settings:  s.Schedule,
		set:       d.Resources,
		leaving:   func(address string) bool { return i.hosts.Load().leaving(address) },
		publish:   func(pools busyPools) { i.busyPools.Store(&pools) },
		inputs:    i.programs.scheduler,
		reports:   i.reports,
		decisions: i.programs.decisions,
		poolOf:    map[schedule.BackendID]string{},
		refusing:  map[schedule.BackendID]bool{},
		starts:    &i.startIDs,
		timer:     timer,
	}
	made.asks = &slotRequester{
		log: d.Log, self: i.name, links: i.node.links, view: i.tracker.View, inputs: i.programs.scheduler,
		knownView: i.tracker.View(),
		calls:     map[schedule.CallID]*localCall{},
		openLinks: map[string]*granterLink{},
		retryAt:   map[string]time.Time{},
	}
	return made
}

func (s *scheduler) run(ctx context.Context) error {
	s.grants = newSlotGranter(s.log, s.newPool, s.startOf, func(d decision) { s.decide(ctx, "", d) })
	s.asks.localGranter = s.grants
	s.asks.ctx = ctx
	ticker := s.clock.NewTicker(schedulerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.inputs.Ready():
			s.takeInputs(ctx)
		case <-s.reports.Ready():
			s.takeObservations()
		case <-ticker.Chan():
		}
		now := s.clock.Now()
		s.refreshBackends(now)
		s.asks.refresh(now)
		s.grants.decide(now)
		s.timer.Observe(now)
	}
}

// decide hands a decision about a call of this node to the programs duty,
// whose ring has room for every call under way.
func (s *scheduler) decide(ctx context.Context, from string, d decision) {
	if s.asks.acceptDecision(from, d) {
		_ = s.decisions.Push(ctx, d)
		return
	}
	if d.granted { // the slot is not used
		s.giveBack(from, d)
	}
}

func (s *scheduler) giveBack(from string, d decision) {
	s.asks.releaseSlot(s.clock.Now(), from, d.id, d.backend, schedule.Timing{Cancelled: true})
}

func (s *scheduler) takeInputs(ctx context.Context) {
	for range batchItems {
		input, ok := s.inputs.TryPop()
		if !ok {
			return
		}
		s.handle(ctx, input)
	}
}

func (s *scheduler) handle(ctx context.Context, input schedulerInput) {
	now := s.clock.Now()
	switch input.kind {
	case submitCall:
		s.asks.submit(now, input.request)
	case withdrawCall:
		s.asks.withdraw(now, input.id)
	case progressCall:
		s.asks.progress(now, input.id, input.backend, input.timing)
	case finishCall:
		s.asks.finish(now, input.id, input.backend, input.timing)
	case streamAsk:
		s.serve(now, input.stream, input.ask)
	case streamEnded:
		s.grants.endStream(now, input.stream)
	case linkGrant:
		input.link.lastReceived = now
		g := input.grant
		s.noteStart(g.Backend, g.StartID)
		s.decide(ctx, input.link.granter, decision{id: g.ID, granted: g.Granted, backend: g.Backend, hedge: g.Hedge, outcome: g.Outcome})
	case linkHeard:
		input.link.lastReceived = now
	case linkLost:
		s.asks.closeLink(now, input.link)
	}
}

// serve handles a message of a node that asks this one.
func (s *scheduler) serve(now time.Time, stream *requesterStream, ask rpc.Ask) {
	switch {
	case ask.Submit != nil:
		s.grants.submit(now, origin{stream, ask.Submit.ID}, *ask.Submit, ask.RunningOn)
	case ask.Progress != nil:
		s.grants.progress(now, origin{stream, ask.Progress.ID}, ask.Progress.Backend, ask.Progress.Timing)
	case ask.Finish != nil:
		s.grants.finish(now, origin{stream, ask.Finish.ID}, ask.Finish.Backend, ask.Finish.Timing)
	default:
		s.grants.withdraw(origin{stream, ask.Withdraw})
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
	s.noteStart(o.Backend, o.StartID)
	if o.Kind == dispatch.LeavingChanged {
		s.refusing[o.Backend] = o.Leaving
		s.known = nil // hands the change to the schedulers at once
	}
	pool, ok := s.grants.pools[s.poolOf[o.Backend]]
	if !ok {
		return // no call has asked for the pool here
	}
	now := s.clock.Now()
	switch o.Kind {
	case dispatch.LoadReported:
		pool.ApplyLoadReport(now, o.Report)
	case dispatch.CacheChanged:
		for _, event := range o.Cache {
			pool.ApplyCacheEvent(now, event)
		}
	case dispatch.LeavingChanged, dispatch.CacheGap, dispatch.Restarted, dispatch.Unreachable:
	}
}

// startIDs is a snapshot of the start ids of the backend servers.
type startIDs map[schedule.BackendID]string

func (s *scheduler) noteStart(backend schedule.BackendID, startID string) {
	known := *s.starts.Load()
	if startID == "" || known[backend] == startID {
		return
	}
	fresh := maps.Clone(known)
	fresh[backend] = startID
	s.starts.Store(&fresh)
}

func (s *scheduler) startOf(backend schedule.BackendID) string {
	return (*s.starts.Load())[backend]
}

func (s *scheduler) newPool(name string) schedule.Scheduler {
	made, err := schedule.New(s.policy, s.settings)
	if err != nil {
		panic("node: scheduling policy was not checked: " + err.Error())
	}
	var own []schedule.Backend
	for _, b := range s.allBackends() {
		if b.Pool == name {
			own = append(own, b)
		}
	}
	made.SetBackends(s.clock.Now(), own)
	return made
}

// allBackends returns the backend servers of all pools. One is leaving when the
// host list or the server itself says so.
func (s *scheduler) allBackends() []schedule.Backend {
	all := declaredBackends(s.set(), s.leaving)
	for i := range all {
		all[i].Leaving = all[i].Leaving || s.refusing[all[i].ID]
	}
	return all
}

// refreshBackends hands changed resources and host states to the schedulers.
func (s *scheduler) refreshBackends(now time.Time) {
	set := s.set()
	if set == s.known && now.Sub(s.checked) < backendsCheck {
		return
	}
	s.known = set
	s.checked = now
	s.publish(s.grants.busy())
	byPool := map[string][]schedule.Backend{}
	clear(s.poolOf)
	for _, b := range s.allBackends() {
		byPool[b.Pool] = append(byPool[b.Pool], b)
		s.poolOf[b.ID] = b.Pool
	}
	for name, pool := range s.grants.pools {
		pool.SetBackends(now, byPool[name])
	}
}
