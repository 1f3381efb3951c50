package placement

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/ring"
)

// Settings configure a Duty. A field that is zero takes its default.
type Settings struct {
	// Shards is the number of shards of a new map. A stored map with another
	// number is ignored. Default 1,024.
	Shards int
	// RankDelay is the time that a node waits, for each live member of lower
	// rank, before it creates the map or takes over the shards of a dead node.
	// Any node may do these, and the delay makes conflicts rare. Default 500 ms.
	RankDelay time.Duration
	// Interval is the interval of the checks for work that is due, and the delay
	// before a retry after a failure. Default 100 ms.
	Interval time.Duration
	// MaxHandoffs limits the number of shards that a node hands off at a time,
	// so that few calls are held back. Default 64.
	MaxHandoffs int
}

func (s Settings) withDefaults() Settings {
	if s.Shards == 0 {
		s.Shards = DefaultShards
	}
	if s.RankDelay == 0 {
		s.RankDelay = 500 * time.Millisecond
	}
	if s.Interval == 0 {
		s.Interval = 100 * time.Millisecond
	}
	if s.MaxHandoffs == 0 {
		s.MaxHandoffs = 64
	}
	return s
}

// Appender appends records to this node's own journal and returns when they are
// durable. fencedlog.Appender implements it.
type Appender interface {
	Append(ctx context.Context, records []fencedlog.Record) error
}

// Inputs connect a Duty to the other duties of the node.
type Inputs struct {
	// View returns the latest view of the live members.
	View func() *membership.View
	// Changed wakes the duty when there is a new view.
	Changed *ring.Ring[membership.Changed]
	// Suspects receives the owners in the map that are not members, so that the
	// failure detector checks them. The duty knows only their incarnations. The
	// detector has the addresses of those that were members before, because the
	// tracker reports a lapsed member to it before it publishes the view without
	// that member.
	Suspects *ring.Ring[membership.Lapsed]
	// Dead delivers the members that are confirmed dead.
	Dead     *ring.Ring[membership.Dead]
	Appender Appender
	// Collector is nil if journals have no copies on other nodes.
	Collector Collector
}

// Duty is the placement duty of one incarnation: a goroutine that takes over,
// adopts and hands off shards as the shard map and the membership require. It
// does blocking I/O, so no other duty may wait for it.
type Duty struct {
	store    kvstore.Store
	clock    clockwork.Clock
	log      *slog.Logger
	self     string // incarnation
	settings Settings
	inputs   Inputs
	messages *ring.Ring[Event]
	orders   *ring.Ring[Command]
	updates  *ring.Ring[kvstore.Item]
	view     atomic.Pointer[View]

	// The fields below are used only by the goroutine that runs Run.
	shardMap         Map
	mapVersion       kvstore.Version // 0 before the map is read
	unresolved       *mapWrite       // a write of the map whose answer was lost, or nil
	states           []shardState
	replayedSources  map[int][]string            // sources replayed in the last adoption, by shard
	pendingTakeovers map[string]*pendingTakeover // by incarnation of the dead member
	reportedOwners   map[string]bool             // owners that are not members and were reported to the detector
	createMapAt      time.Time                   // when this node creates a missing map
	retryAt          time.Time                   // no steps run before this time, after a failure
	draining         bool
	lastLeft         int // Drained.ShardsLeft of the last Drained, or -1 before the first
}

// mapWrite is a compare-and-swap of the map in the store.
type mapWrite struct {
	value    []byte
	expected kvstore.Version // version of the map that the write replaces
}

// pendingTakeover is a takeover that this node performs once it is due, unless
// the member has come back or the store has failed by then.
type pendingTakeover struct {
	member membership.Member
	due    time.Time
}

// New returns the placement duty of an incarnation.
func New(store kvstore.Store, clock clockwork.Clock, log *slog.Logger, self string, settings Settings, inputs Inputs) *Duty {
	settings = settings.withDefaults()
	d := &Duty{
		store:    store,
		clock:    clock,
		log:      log,
		self:     self,
		settings: settings,
		inputs:   inputs,
		// The ring has room for the answers to all orders that can be
		// outstanding and for Drain, so that the programs duty never waits.
		messages:         ring.New[Event](2*settings.Shards + 1),
		orders:           ring.New[Command](settings.Shards),
		updates:          ring.New[kvstore.Item](1),
		states:           make([]shardState, settings.Shards),
		replayedSources:  map[int][]string{},
		pendingTakeovers: map[string]*pendingTakeover{},
		reportedOwners:   map[string]bool{},
		lastLeft:         -1,
	}
	d.publish()
	return d
}

// Messages returns the ring on which the duty receives messages.
func (d *Duty) Messages() *ring.Ring[Event] { return d.messages }

// Orders returns the ring of orders to the programs duty. Its reader must not
// wait for the placement duty, which blocks while the ring is full.
func (d *Duty) Orders() *ring.Ring[Command] { return d.orders }

// View returns the latest view, never nil.
func (d *Duty) View() *View { return d.view.Load() }

// Run runs the duty until ctx ends or the journal of this incarnation is fenced.
// In the latter case it returns fencedlog.ErrFenced.
func (d *Duty) Run(ctx context.Context) error {
	ticker := d.clock.NewTicker(d.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-d.inputs.Changed.Ready():
		case <-d.inputs.Dead.Ready():
		case <-d.updates.Ready():
		case <-d.messages.Ready():
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
		d.receiveInputs()
		if d.clock.Now().Before(d.retryAt) {
			continue
		}
		err := d.runSteps(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, fencedlog.ErrFenced):
			return err
		case err != nil:
			d.log.Warn("placement: step failed, retrying", "error", err)
			d.retryAt = d.clock.Now().Add(d.settings.Interval)
		}
		d.publish()
	}
}

// runSteps does all the work that is due. Each step determines its work from the
// current map and the shard states, so after a failure the next call continues
// where this one stopped.
func (d *Duty) runSteps(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.loadOrCreateMap, d.retryUnresolved, d.reconcile, d.startAdoptions, d.finishAdoptions, d.completeHandoffs,
		d.takeOverDue, d.startHandoffs, d.deleteUnusedJournals,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
		if d.mapVersion == 0 {
			return d.reportDrained(ctx) // there is no map yet
		}
	}
	d.reportUnknownOwners()
	return d.reportDrained(ctx)
}

// receiveInputs takes what the other duties have sent, without blocking.
func (d *Duty) receiveInputs() {
	d.inputs.Changed.TryPop()
	if item, ok := d.updates.TryPop(); ok && item.Version > d.mapVersion {
		d.installMap(item)
	}
	for dead, ok := d.inputs.Dead.TryPop(); ok; dead, ok = d.inputs.Dead.TryPop() {
		d.scheduleTakeover(dead.Member)
	}
	for m, ok := d.messages.TryPop(); ok; m, ok = d.messages.TryPop() {
		switch m := m.(type) {
		case Adopted:
			d.advance(m.Shard, adopting, adopted)
		case ShardIdle:
			d.advance(m.Shard, releasing, idle)
		case Drain:
			d.draining = true
		}
	}
}

// advance changes the state of a shard from one to the next. It does nothing if
// the shard is in another state, for instance because this node lost the shard
// before the message about it arrived.
func (d *Duty) advance(shard int, from, to shardState) {
	if d.states[shard] == from {
		d.states[shard] = to
	}
}

// publish stores a new view for View.
func (d *Duty) publish() {
	d.view.Store(&View{
		Map:     d.shardMap,
		Version: d.mapVersion,
		Members: d.inputs.View(),
		self:    d.self,
		states:  append([]shardState(nil), d.states...),
	})
}

// eligible returns the incarnations that may get shards: the live members that
// are not draining and whose journals are not sealed.
func (d *Duty) eligible() []string {
	sealed := map[string]bool{}
	for _, name := range d.shardMap.Sealed {
		sealed[name] = true
	}
	var names []string
	for _, m := range d.inputs.View().Members {
		leaving := m.Draining || m.Incarnation == d.self && d.draining
		if !leaving && !sealed[m.Incarnation] {
			names = append(names, m.Incarnation)
		}
	}
	return names
}

func (d *Duty) send(ctx context.Context, order Command) error { return d.orders.Push(ctx, order) }
