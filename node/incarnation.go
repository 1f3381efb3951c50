package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/duty"
	"dogwoodline.example/fencedlog"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/placement"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
	"dogwoodline.example/schedule"
)

const (
	// pingerCount is the number of duties that ping suspected members. When a
	// whole rack fails, only a few nodes are suspected at once.
	pingerCount = 4
	// pollerCount is the number of duties that poll the load reports of backend
	// servers.
	pollerCount = 4
	// pollTimeout bounds the request for one load report.
	pollTimeout = time.Second
)

// incarnation is one run of a node: a membership lease, a journal and the
// programs recorded in it. It ends at the latest when another node fences its
// journal.
type incarnation struct {
	node         *Node
	name         string
	writer       *fencedlog.Writer
	session      *membership.Session
	tracker      *membership.Tracker
	detector     *membership.Detector
	placement    *placement.Duty
	programs     *programs
	reports      *ring.Ring[dispatch.Observation]
	livePrograms atomic.Pointer[livePrograms]
	hosts        atomic.Pointer[hostView]
	startIDs     atomic.Pointer[startIDs]
	busyPools    atomic.Pointer[busyPools]
	drained      chan int // number of shards that no other node took
	fenced       chan struct{}
	sessionEnded chan error // result of the membership session
}

func newIncarnation(n *Node, name string) *incarnation {
	s, d := n.settings, n.deps
	i := &incarnation{
		node: n, name: name,
		reports:      ring.New[dispatch.Observation](observationRingSize),
		drained:      make(chan int, 1),
		fenced:       make(chan struct{}, 1),
		sessionEnded: make(chan error, 1),
	}
	i.livePrograms.Store(&livePrograms{})
	i.hosts.Store(&hostView{})
	i.startIDs.Store(&startIDs{})
	i.busyPools.Store(&busyPools{})
	i.writer = fencedlog.NewWriter(d.Stores.Journal, d.Clock, d.Log, name, s.Journal)
	i.detector = membership.NewDetector(d.Clock, d.Log, s.LeaseTTL, pinger{links: n.links, leaseTTL: s.LeaseTTL})
	i.tracker = membership.NewTracker(d.Stores.Lease, d.Clock, d.Log, s.LeaseTTL, i.detector.Suspects())
	self := membership.Member{ID: s.ID, Incarnation: name, HTTP: s.HTTP, GRPC: s.GRPC, Zone: s.Zone}
	i.session = membership.NewSession(d.Stores.Lease, d.Clock, d.Log, self, s.LeaseTTL, i.isFenced)
	i.writer.EnableCopies(holderChooser{view: i.tracker.View, id: s.ID, zone: s.Zone}, n.links)
	i.placement = placement.New(d.Stores.Placement, d.Clock, d.Log, name, placement.Settings{Shards: s.Shards}, placement.Inputs{
		View: i.tracker.View, Changed: i.tracker.Subscribe(), Suspects: i.detector.Suspects(), Dead: i.detector.Dead(),
		Appender: fencedlog.NewAppender(i.writer), Collector: copyCollector{node: n, view: i.tracker.View},
	})
	i.programs = i.newPrograms()
	return i
}

func (i *incarnation) isFenced(ctx context.Context) (bool, error) {
	return fencedlog.IsFenced(ctx, i.node.deps.Stores.Lease, i.name)
}

func (i *incarnation) newPrograms() *programs {
	d, s := i.node.deps, i.node.settings
	return &programs{
		incarnation: i.name,
		clock:       d.Clock,
		log:         d.Log,
		table:       program.NewTable(i.node.shardOf, rules{resources: d.Resources}),
		resources:   d.Resources,
		credentials: d.Credentials,
		retains:     i.retains,
		live:        &i.livePrograms,
		startIDs:    &i.startIDs,
		commands:    ring.New[command](s.CommandRingSize),
		shards:      ring.New[shardChange](2 * s.Shards),
		events:      ring.New[dispatch.Event](2 * maxCalls),
		decisions:   ring.New[decision](2 * maxCalls),
		journal: journalRings{
			appends:           i.writer.Appends(),
			completions:       i.writer.Completions(),
			compactionAnswers: i.writer.CompactionAnswers(),
		},
		schedulerInputs: ring.New[schedulerInput](2 * maxCalls),
		jobs:            ring.New[dispatch.Job](maxCalls),
		notices:         ring.New[notice](4 * s.Shards),
		callers:         map[program.WaiterID]caller{},
		dispatched:      map[program.CallID]*activeCall{},
	}
}

// retains reports whether the journal must keep the records of a shard whose
// programs this node no longer holds, because their next owner has not adopted
// them yet.
func (i *incarnation) retains(shard int) bool {
	view := i.placement.View()
	if shard >= len(view.Map.Shards) {
		return true
	}
	return view.Retains(i.name, shard)
}

// run serves until ctx ends or another node takes over the journal.
func (i *incarnation) run(ctx context.Context) error {
	d := i.node.deps
	if err := i.writer.Open(ctx); err != nil {
		return err
	}
	d.Log.Info("node: incarnation started", "incarnation", i.name)
	group := duty.NewGroup(ctx, d.Log, d.Metrics)
	defer group.Stop()
	i.start(group)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-i.fenced:
		d.Log.Warn("node: another node took over the journal", "incarnation", i.name)
		return fencedlog.ErrFenced
	case err := <-i.sessionEnded:
		return err
	}
}

// start starts the duties of the incarnation. The journal must already be open,
// so that every node that sees the member record can seal the journal.
func (i *incarnation) start(group *duty.Group) {
	d := i.node.deps
	transport := dispatch.NewTransport()
	group.Go("journal", i.writer.Run)
	i.programs.timer = group.Timer("programs")
	group.Go("programs", i.programs.run)
	group.Go("scheduler", i.newScheduler(group.Timer("scheduler")).run)
	dispatch.NewCallerPool(transport, i.programs.jobs, i.programs.events, d.Log).Start(group, i.node.settings.CallWorkers)
	polling := &pollFilter{self: i.name, resources: d.Resources, view: i.tracker.View, busy: func() busyPools { return *i.busyPools.Load() }}
	dispatch.NewPoller(transport, dispatch.PollerConfig{
		Interval: i.node.settings.ReportInterval, Timeout: pollTimeout, SweepInterval: i.node.settings.MemorySweepInterval,
		IsLive:           func(id string) bool { return i.livePrograms.Load().needsMemory(i.node.shardOf(id), id) },
		SchedulesBackend: polling.shouldPoll, Clock: d.Clock,
	}, i.modelEngines, i.reports, d.Log).Start(group, pollerCount)
	group.Go("hosts", i.watchHosts)
	group.Go("detector", func(ctx context.Context) error { return i.detector.Run(ctx, i.tracker.View) })
	for n := range pingerCount {
		group.Go(fmt.Sprintf("pinger-%d", n), i.detector.RunPinger)
	}
	shards := &shardDuty{incarnation: i, log: d.Log}
	group.Go("shards", shards.run)
	peers := &peerDuty{node: i.node, memberChanges: i.tracker.Subscribe(), view: i.tracker.View, crashes: shards.crashCounts()}
	group.Go("peers", peers.run)
	group.Go("members", i.tracker.Run)
	group.Go("placement", i.placement.Run)
	group.Go("placement-watch", i.placement.Watch)
	group.Go("session", i.runSession)
	i.registerGauges(group)
}

// registerGauges registers the gauges of this incarnation and the depths of its
// rings.
func (i *incarnation) registerGauges(group *duty.Group) {
	p := i.programs
	group.RegisterGauge("dogwoodline_programs", func() int { return len(i.livePrograms.Load().programs) })
	group.RegisterGauge("dogwoodline_shards_served", func() int { return len(i.livePrograms.Load().servedShards) })
	group.RegisterGauge("dogwoodline_calls_in_progress", func() int { return i.livePrograms.Load().callsInProgress })
	group.RegisterRingDepth("programs", "commands", p.commands.Len)
	group.RegisterRingDepth("programs", "events", p.events.Len)
	group.RegisterRingDepth("programs", "decisions", p.decisions.Len)
	group.RegisterRingDepth("scheduler", "inputs", p.schedulerInputs.Len)
	group.RegisterRingDepth("journal", "appends", p.journal.appends.Len)
}

func (i *incarnation) runSession(ctx context.Context) error {
	err := i.session.Run(ctx)
	if ctx.Err() == nil {
		i.sessionEnded <- err
	}
	return err
}

// modelEngines returns the model engines to poll for load reports.
func (i *incarnation) modelEngines() []dispatch.Endpoint {
	set := i.node.deps.Resources()
	var endpoints []dispatch.Endpoint
	for _, r := range set.List(resource.KindBackend) {
		if endpoint, ok := endpointOf(set, i.node.deps.Credentials, schedule.BackendID(r.Name)); ok {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// drain hands over all shards and waits until callers no longer use an address
// of this node that they cached before the drain. It returns ErrShardsRemain if
// no other node takes the remaining shards.
func (i *incarnation) drain(ctx context.Context) error {
	clock := i.node.deps.Clock
	drainStart := clock.Now()
	if err := i.session.Commands().Push(ctx, membership.SetDraining{}); err != nil {
		return err
	}
	if err := i.placement.Messages().Push(ctx, placement.Drain{}); err != nil {
		return err
	}
	var shardsLeft int
	select {
	case shardsLeft = <-i.drained:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-clock.After(i.node.settings.AddressTTL - clock.Since(drainStart)):
	case <-ctx.Done():
	}
	if shardsLeft > 0 {
		return fmt.Errorf("%w: %d", ErrShardsRemain, shardsLeft)
	}
	return nil
}

// leave seals the journal and ends the membership.
func (i *incarnation) leave(ctx context.Context) error {
	sealErr := fencedlog.SealExisting(ctx, i.node.deps.Stores.Placement, i.name)
	if errors.Is(sealErr, kvstore.ErrNotFound) {
		sealErr = nil // the drain sealed it, and another node has deleted it since
	}
	return errors.Join(sealErr, i.session.Commands().Push(ctx, membership.Leave{}))
}
