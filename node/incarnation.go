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
	// pingerDuties ping suspected members. A rack that fails at once has a
	// handful of nodes.
	pingerDuties = 4
	// pollerDuties read load reports of backend servers.
	pollerDuties = 4
	// pollTimeout bounds the reading of one load report.
	pollTimeout = time.Second
)

// incarnation is one run of a node between two fences: a lease, a journal and
// the programs recorded in it.
type incarnation struct {
	node      *Node
	name      string
	writer    *fencedlog.Writer
	session   *membership.Session
	tracker   *membership.Tracker
	detector  *membership.Detector
	placement *placement.Duty
	programs  *programs
	reports   *ring.Ring[dispatch.Observation]
	living    atomic.Pointer[livingView]
	hosts     atomic.Pointer[hostView]
	starts    atomic.Pointer[startIDs]
	busy      atomic.Pointer[busyPools]
	drained   chan int
	fenced    chan struct{}
	left      chan error // the end of the session
}

func newIncarnation(n *Node, name string) *incarnation {
	s, d := n.settings, n.deps
	i := &incarnation{
		node: n, name: name,
		reports: ring.New[dispatch.Observation](observationRingSize),
		drained: make(chan int, 1),
		fenced:  make(chan struct{}, 1),
		left:    make(chan error, 1),
	}
	i.living.Store(&livingView{})
	i.hosts.Store(&hostView{})
	i.starts.Store(&startIDs{})
	i.busy.Store(&busyPools{})
	i.writer = fencedlog.NewWriter(d.Store.Journal, d.Clock, d.Log, name, s.Journal)
	i.detector = membership.NewDetector(d.Clock, d.Log, s.LeaseTTL, pinger{links: n.links, leaseTTL: s.LeaseTTL})
	i.tracker = membership.NewTracker(d.Store.Lease, d.Clock, d.Log, s.LeaseTTL, i.detector.Suspects())
	self := membership.Member{ID: s.ID, Incarnation: name, HTTP: s.HTTP, GRPC: s.GRPC, Zone: s.Zone}
	i.session = membership.NewSession(d.Store.Lease, d.Clock, d.Log, self, s.LeaseTTL, i.isFenced)
	i.writer.EnableCopies(holders{view: i.tracker.View, id: s.ID, zone: s.Zone}, n.links)
	i.placement = placement.New(d.Store.Placement, d.Clock, d.Log, name, placement.Settings{Shards: s.Shards}, placement.Inputs{
		View: i.tracker.View, Changed: i.tracker.Subscribe(), Suspects: i.detector.Suspects(), Dead: i.detector.Dead(),
		Appender: fencedlog.NewAppender(i.writer), Collector: collector{node: n, view: i.tracker.View},
	})
	i.programs = i.newPrograms()
	return i
}

func (i *incarnation) isFenced(ctx context.Context) (bool, error) {
	return fencedlog.IsFenced(ctx, i.node.deps.Store.Lease, i.name)
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
		live:        &i.living,
		startIDs:    &i.starts,
		commands:    ring.New[command](s.CommandSlots),
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
		dispatched:      map[program.CallID]*underway{},
	}
}

// retains reports whether the journal must keep a shard's records although
// this node no longer holds its programs: their next owner has not adopted
// them yet.
func (i *incarnation) retains(shard int) bool {
	view := i.placement.View()
	if shard >= len(view.Map.Shards) {
		return true
	}
	return view.Retains(i.name, shard)
}

// run serves until ctx ends or another node takes the journal over.
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
		d.Log.Warn("node: another node took the journal over", "incarnation", i.name)
		return fencedlog.ErrFenced
	case err := <-i.left:
		return err
	}
}

// start starts the duties of the incarnation. The journal is open already, so
// that whoever sees the member record can seal it.
func (i *incarnation) start(group *duty.Group) {
	d := i.node.deps
	transport := dispatch.NewTransport()
	group.Go("journal", i.writer.Run)
	i.programs.timer = group.Timer("programs")
	group.Go("programs", i.programs.run)
	group.Go("scheduler", i.newScheduler(group.Timer("scheduler")).run)
	dispatch.NewCallerPool(transport, i.programs.jobs, i.programs.events, d.Log).Start(group, i.node.settings.CallWorkers)
	polling := &pollFilter{self: i.name, resources: d.Resources, view: i.tracker.View, busy: func() busyPools { return *i.busy.Load() }}
	dispatch.NewPoller(transport, dispatch.PollerConfig{
		Interval: i.node.settings.ReportInterval, Timeout: pollTimeout, SweepInterval: i.node.settings.SweepInterval,
		IsLive:           func(id string) bool { return i.living.Load().needs(i.node.shardOf(id), id) },
		SchedulesBackend: polling.shouldPoll, Clock: d.Clock,
	}, i.engines, i.reports, d.Log).Start(group, pollerDuties)
	group.Go("hosts", i.watchHosts)
	group.Go("detector", func(ctx context.Context) error { return i.detector.Run(ctx, i.tracker.View) })
	for n := range pingerDuties {
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
	i.depths(group)
}

func (i *incarnation) depths(group *duty.Group) {
	p := i.programs
	group.RegisterGauge("dogwoodline_programs", func() int { return len(i.living.Load().programs) })
	group.RegisterGauge("dogwoodline_shards_served", func() int { return len(i.living.Load().served) })
	group.RegisterGauge("dogwoodline_calls_in_progress", func() int { return i.living.Load().calls })
	group.RegisterRingDepth("programs", "commands", p.commands.Len)
	group.RegisterRingDepth("programs", "events", p.events.Len)
	group.RegisterRingDepth("programs", "decisions", p.decisions.Len)
	group.RegisterRingDepth("scheduler", "inputs", p.schedulerInputs.Len)
	group.RegisterRingDepth("journal", "appends", p.journal.appends.Len)
}

func (i *incarnation) runSession(ctx context.Context) error {
	err := i.session.Run(ctx)
	if ctx.Err() == nil {
		i.left <- err
	}
	return err
}

// engines returns the model engines to poll for reports.
func (i *incarnation) engines() []dispatch.Endpoint {
	set := i.node.deps.Resources()
	var endpoints []dispatch.Endpoint
	for _, r := range set.List(resource.KindBackend) {
		if endpoint, ok := endpointOf(set, i.node.deps.Credentials, schedule.BackendID(r.Name)); ok {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// drain hands all shards over, waits as long as callers keep the address, and
// ends the membership.
func (i *incarnation) drain(ctx context.Context) error {
	clock := i.node.deps.Clock
	leaving := clock.Now()
	if err := i.session.Commands().Push(ctx, membership.SetDraining{}); err != nil {
		return err
	}
	if err := i.placement.Messages().Push(ctx, placement.Drain{}); err != nil {
		return err
	}
	var left int
	select {
	case left = <-i.drained:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-clock.After(i.node.settings.AddressKeep - clock.Since(leaving)):
	case <-ctx.Done():
	}
	if left > 0 {
		return fmt.Errorf("%w: %d", ErrLeftOver, left)
	}
	return nil
}

// leave ends the journal and the membership.
func (i *incarnation) leave(ctx context.Context) error {
	sealed := fencedlog.SealExisting(ctx, i.node.deps.Store.Placement, i.name)
	if errors.Is(sealed, kvstore.ErrNotFound) {
		sealed = nil // the drain sealed it, and another node deleted it since
	}
	return errors.Join(sealed, i.session.Commands().Push(ctx, membership.Leave{}))
}
