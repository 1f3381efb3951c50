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
	// schedulerTick is the interval at which waiting calls are examined even
	// without an event, because deadlines pass and backend servers become due
	// for another probe.
	schedulerTick = 20 * time.Millisecond
	// observationRingSize bounds the observations that wait for the scheduler
	// duty. Each of 64 backend servers produces a load report and cache events
	// twice a second.
	observationRingSize = 1024
	// backendsCheckInterval is the interval at which the host list is compared
	// with the backend servers in use. It is well below the 3 s after which a
	// leaving backend server must receive no more work.
	backendsCheckInterval = 200 * time.Millisecond
)

// schedulerInputKind is the kind of a schedulerInput.
type schedulerInputKind int

const (
	// Messages from the programs duty of this node.
	submitCall schedulerInputKind = iota
	withdrawCall
	progressCall
	finishCall
	// Messages from other nodes that request slots of this node.
	streamEvent
	streamEnded
	// Messages from the links to granting nodes.
	linkDecision
	linkHeartbeat
	linkLost
)

// schedulerInput is a message to the scheduler duty.
type schedulerInput struct {
	kind     schedulerInputKind
	id       schedule.CallID
	request  schedule.Request
	backend  schedule.BackendID
	timing   schedule.Timing
	stream   *requesterStream
	event    rpc.ScheduleEvent
	link     *granterLink
	decision rpc.Decision
}

// decision is the grant or refusal of a slot for one call.
type decision struct {
	id      schedule.CallID
	granted bool
	backend schedule.BackendID
	hedge   bool
	outcome outcome.Outcome
}

// scheduler is the duty that requests slots for this node's calls from the
// granting nodes of their pools, and grants slots of the pools for which this
// node is the granting node.
type scheduler struct {
	clock       clockwork.Clock
	log         *slog.Logger
	policy      string
	settings    schedule.Settings
	resources   func() *resource.Set
	leaving     func(address string) bool
	publishBusy func(busyPools)

	inputs       *ring.Ring[schedulerInput]
	observations *ring.Ring[dispatch.Observation]
	decisions    *ring.Ring[decision]

	asking              *slotRequester
	granting            *slotGranter
	poolOf              map[schedule.BackendID]string
	reportedLeaving     map[schedule.BackendID]bool // whether the server itself last reported that it is leaving
	startIDs            *atomic.Pointer[startIDs]
	knownResources      *resource.Set
	backendsRefreshedAt time.Time
	timer               duty.Timer
}

func (i *incarnation) newScheduler(timer duty.Timer) *scheduler {
	s, d := i.node.settings, i.node.deps
	created := &scheduler{
		clock:           d.Clock,
		log:             d.Log,
		policy:          s.Policy,
		settings:        s.Schedule,
		resources:       d.Resources,
		leaving:         func(address string) bool { return i.hosts.Load().leaving(address) },
		publishBusy:     func(pools busyPools) { i.busyPools.Store(&pools) },
		inputs:          i.programs.schedulerInputs,
		observations:    i.reports,
		decisions:       i.programs.decisions,
		poolOf:          map[schedule.BackendID]string{},
		reportedLeaving: map[schedule.BackendID]bool{},
		startIDs:        &i.startIDs,
		timer:           timer,
	}
	created.asking = &slotRequester{
		log: d.Log, self: i.name, links: i.node.links, view: i.tracker.View, inputs: i.programs.schedulerInputs,
		knownView: i.tracker.View(),
		calls:     map[schedule.CallID]*localCall{},
		openLinks: map[string]*granterLink{},
		retryAt:   map[string]time.Time{},
	}
	return created
}

func (s *scheduler) run(ctx context.Context) error {
	s.granting = newSlotGranter(s.log, s.newPool, s.startID, func(d decision) { s.deliverDecision(ctx, "", d) })
	s.asking.localGranter = s.granting
	s.asking.ctx = ctx
	ticker := s.clock.NewTicker(schedulerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.inputs.Ready():
			s.takeInputs(ctx)
		case <-s.observations.Ready():
			s.takeObservations()
		case <-ticker.Chan():
		}
		now := s.clock.Now()
		s.refreshBackends(now)
		s.asking.refresh(now)
		s.granting.decide(now)
		s.timer.Observe(now)
	}
}

// deliverDecision passes a decision about a call of this node to the programs
// duty, whose ring has room for all calls in progress. It releases the slot of a
// grant that no longer applies.
func (s *scheduler) deliverDecision(ctx context.Context, from string, d decision) {
	if s.asking.acceptDecision(from, d) {
		_ = s.decisions.Push(ctx, d)
		return
	}
	if d.granted {
		s.releaseUnused(from, d)
	}
}

// releaseUnused releases a granted slot that is not used.
func (s *scheduler) releaseUnused(from string, d decision) {
	s.asking.releaseSlot(s.clock.Now(), from, d.id, d.backend, schedule.Timing{Cancelled: true})
}

func (s *scheduler) takeInputs(ctx context.Context) {
	for range batchSize {
		input, ok := s.inputs.TryPop()
		if !ok {
			return
		}
		s.handleInput(ctx, input)
	}
}

func (s *scheduler) handleInput(ctx context.Context, input schedulerInput) {
	now := s.clock.Now()
	switch input.kind {
	case submitCall:
		s.asking.submit(now, input.request)
	case withdrawCall:
		s.asking.withdraw(now, input.id)
	case progressCall:
		s.asking.progress(now, input.id, input.backend, input.timing)
	case finishCall:
		s.asking.finish(now, input.id, input.backend, input.timing)
	case streamEvent:
		s.handleScheduleEvent(now, input.stream, input.event)
	case streamEnded:
		s.granting.endStream(now, input.stream)
	case linkDecision:
		input.link.lastReceived = now
		g := input.decision
		s.recordStartID(g.Backend, g.StartID)
		s.deliverDecision(ctx, input.link.granter, decision{id: g.ID, granted: g.Granted, backend: g.Backend, hedge: g.Hedge, outcome: g.Outcome})
	case linkHeartbeat:
		input.link.lastReceived = now
	case linkLost:
		s.asking.closeLink(now, input.link)
	}
}

// handleScheduleEvent handles a message from a node that requests slots of this
// node.
func (s *scheduler) handleScheduleEvent(now time.Time, stream *requesterStream, event rpc.ScheduleEvent) {
	switch {
	case event.Submit != nil:
		s.granting.submit(now, origin{stream, event.Submit.ID}, *event.Submit, event.RunningOn)
	case event.Progress != nil:
		s.granting.progress(now, origin{stream, event.Progress.ID}, event.Progress.Backend, event.Progress.Timing)
	case event.Finish != nil:
		s.granting.finish(now, origin{stream, event.Finish.ID}, event.Finish.Backend, event.Finish.Timing)
	default:
		s.granting.withdraw(origin{stream, event.Withdraw})
	}
}

func (s *scheduler) takeObservations() {
	for range batchSize {
		o, ok := s.observations.TryPop()
		if !ok {
			return
		}
		s.handleObservation(o)
	}
}

// handleObservation applies the result of a poll of a backend server.
func (s *scheduler) handleObservation(o dispatch.Observation) {
	s.recordStartID(o.Backend, o.StartID)
	if o.Kind == dispatch.LeavingChanged {
		s.reportedLeaving[o.Backend] = o.Leaving
		s.knownResources = nil // makes refreshBackends pass the change to the pool schedulers at once
	}
	pool, ok := s.granting.pools[s.poolOf[o.Backend]]
	if !ok {
		return // this node has had no call for the pool
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

// startIDs is a snapshot of the start ids of the backend servers. A backend server
// has a new start id after each restart.
type startIDs map[schedule.BackendID]string

// recordStartID publishes a new snapshot if the start id changed. An empty one is
// ignored.
func (s *scheduler) recordStartID(backend schedule.BackendID, startID string) {
	known := *s.startIDs.Load()
	if startID == "" || known[backend] == startID {
		return
	}
	updated := maps.Clone(known)
	updated[backend] = startID
	s.startIDs.Store(&updated)
}

func (s *scheduler) startID(backend schedule.BackendID) string {
	return (*s.startIDs.Load())[backend]
}

// newPool returns the scheduler of a pool, with the pool's backend servers.
func (s *scheduler) newPool(name string) schedule.Scheduler {
	pool, err := schedule.New(s.policy, s.settings)
	if err != nil {
		panic("node: cannot create a scheduler with the checked policy: " + err.Error())
	}
	var backends []schedule.Backend
	for _, b := range s.allBackends() {
		if b.Pool == name {
			backends = append(backends, b)
		}
	}
	pool.SetBackends(s.clock.Now(), backends)
	return pool
}

// allBackends returns the backend servers of all pools. A backend server counts
// as leaving if the host list or the server itself says so.
func (s *scheduler) allBackends() []schedule.Backend {
	backends := declaredBackends(s.resources(), s.leaving)
	for i := range backends {
		backends[i].Leaving = backends[i].Leaving || s.reportedLeaving[backends[i].ID]
	}
	return backends
}

// refreshBackends passes changed resources and host states to the pool schedulers.
func (s *scheduler) refreshBackends(now time.Time) {
	resources := s.resources()
	if resources == s.knownResources && now.Sub(s.backendsRefreshedAt) < backendsCheckInterval {
		return
	}
	s.knownResources = resources
	s.backendsRefreshedAt = now
	s.publishBusy(s.granting.busyPools())
	byPool := map[string][]schedule.Backend{}
	clear(s.poolOf)
	for _, b := range s.allBackends() {
		byPool[b.Pool] = append(byPool[b.Pool], b)
		s.poolOf[b.ID] = b.Pool
	}
	for name, pool := range s.granting.pools {
		pool.SetBackends(now, byPool[name])
	}
}
