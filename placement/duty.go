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

// Settings bound a Duty. The zero value of a field means its default.
type Settings struct {
	// Shards is the number of shards of a new map. Default 1,024.
	Shards int
	// RankDelay is how long a node waits for each live member of lower rank
	// before it acts for all. Default 500 ms.
	RankDelay time.Duration
	// Tick is the time between two looks at what is due, and the wait after a
	// failed store call. Default 100 ms.
	Tick time.Duration
	// MaxReleases is the number of shards that are handed off at a time, so
	// that few calls are held. Default 64.
	MaxReleases int
}

func (s Settings) withDefaults() Settings {
	if s.Shards == 0 {
		s.Shards = DefaultShards
	}
	if s.RankDelay == 0 {
		s.RankDelay = 500 * time.Millisecond
	}
	if s.Tick == 0 {
		s.Tick = 100 * time.Millisecond
	}
	if s.MaxReleases == 0 {
		s.MaxReleases = 64
	}
	return s
}

// Appender writes records into this node's own journal and returns when they
// are durable. fencedlog.Appender is one.
type Appender interface {
	Append(ctx context.Context, records []fencedlog.Record) error
}

// Inputs are the rings and views that other duties feed.
type Inputs struct {
	View    func() *membership.View
	Changed *ring.Ring[membership.Changed]
	// Suspects takes owners in the map that are not members. The tracker
	// reports the ones it has seen before it publishes the view without them,
	// so the detector knows their addresses.
	Suspects *ring.Ring[membership.Lapsed]
	Dead     *ring.Ring[membership.Dead]
	Appender Appender
	// Collector may be nil, when journals have no copies.
	Collector Collector
}

// Duty carries out the placement of one node. It does blocking I/O and nothing
// waits for it.
type Duty struct {
	store    kvstore.Store
	clock    clockwork.Clock
	log      *slog.Logger
	self     string // incarnation
	settings Settings
	in       Inputs
	messages *ring.Ring[Message]
	orders   *ring.Ring[Order]
	updates  *ring.Ring[kvstore.Item]
	view     atomic.Pointer[View]

	// The fields below belong to the duty.
	current   Map
	version   kvstore.Version // 0 before the map is read
	doubt     *write          // a swap whose answer was lost
	states    []state
	adopting  map[int][]string  // sources that were replayed
	deaths    map[string]*death // by incarnation
	reported  map[string]bool   // unknown owners told to the detector
	createDue time.Time         // when this node creates a missing map
	retryAt   time.Time         // no store call before, after a failure
	draining  bool
	drained   int // shards left in the last Drained, or -1
}

type write struct {
	value   []byte
	version kvstore.Version // expected
}

type death struct {
	member membership.Member
	due    time.Time
}

// New returns the placement duty of an incarnation.
func New(store kvstore.Store, clock clockwork.Clock, log *slog.Logger, self string, settings Settings, in Inputs) *Duty {
	settings = settings.withDefaults()
	d := &Duty{
		store:    store,
		clock:    clock,
		log:      log,
		self:     self,
		settings: settings,
		in:       in,
		// Room for an answer to each order that can be outstanding, and for
		// Drain, so that the owner of the programs never waits.
		messages: ring.New[Message](2*settings.Shards + 1),
		orders:   ring.New[Order](settings.Shards),
		updates:  ring.New[kvstore.Item](1),
		states:   make([]state, settings.Shards),
		adopting: map[int][]string{},
		deaths:   map[string]*death{},
		reported: map[string]bool{},
		drained:  -1,
	}
	d.publish()
	return d
}

// Messages returns the ring of messages from the owner of the programs.
func (d *Duty) Messages() *ring.Ring[Message] { return d.messages }

// Orders returns the ring of orders to the owner of the programs. It reads
// them without waiting for this duty.
func (d *Duty) Orders() *ring.Ring[Order] { return d.orders }

// View returns the latest view, never nil.
func (d *Duty) View() *View { return d.view.Load() }

// Run acts until ctx ends or the journal of this incarnation is fenced, when
// it returns fencedlog.ErrFenced.
func (d *Duty) Run(ctx context.Context) error {
	ticker := d.clock.NewTicker(d.settings.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-d.in.Changed.Ready():
		case <-d.in.Dead.Ready():
		case <-d.updates.Ready():
		case <-d.messages.Ready():
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
		d.takeInputs()
		if d.clock.Now().Before(d.retryAt) {
			continue
		}
		err := d.act(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, fencedlog.ErrFenced):
			return err
		case err != nil:
			d.log.Warn("placement: step failed, retrying", "error", err)
			d.retryAt = d.clock.Now().Add(d.settings.Tick)
		}
		d.publish()
	}
}

// act does everything that is due. Each step starts from the current map and
// the states, so after a failure the next call takes it up again.
func (d *Duty) act(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.load, d.resolve, d.reconcile, d.adopt, d.finishAdoption, d.handOff, d.takeOver, d.release, d.clean,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
		if d.version == 0 {
			return d.reportDrained(ctx) // there is no map yet
		}
	}
	d.suspectOwners()
	return d.reportDrained(ctx)
}

func (d *Duty) takeInputs() {
	d.in.Changed.TryPop()
	if item, ok := d.updates.TryPop(); ok && item.Version > d.version {
		d.installItem(item)
	}
	for dead, ok := d.in.Dead.TryPop(); ok; dead, ok = d.in.Dead.TryPop() {
		d.noteDeath(dead.Member)
	}
	for m, ok := d.messages.TryPop(); ok; m, ok = d.messages.TryPop() {
		switch m := m.(type) {
		case Adopted:
			d.advance(m.Shard, adopting, adopted)
		case Idle:
			d.advance(m.Shard, releasing, idle)
		case Drain:
			d.draining = true
		}
	}
}

// advance changes the state of a shard if it has the expected one. A message
// about a shard that was lost meanwhile has no effect.
func (d *Duty) advance(shard int, from, to state) {
	if d.states[shard] == from {
		d.states[shard] = to
	}
}

func (d *Duty) publish() {
	d.view.Store(&View{
		Map:     d.current,
		Version: d.version,
		Members: d.in.View(),
		self:    d.self,
		states:  append([]state(nil), d.states...),
	})
}

// eligible returns the incarnations that may get shards: live members that are
// neither draining nor sealed.
func (d *Duty) eligible() []string {
	sealed := map[string]bool{}
	for _, name := range d.current.Sealed {
		sealed[name] = true
	}
	var names []string
	for _, m := range d.in.View().Members {
		leaving := m.Draining || m.Incarnation == d.self && d.draining
		if !leaving && !sealed[m.Incarnation] {
			names = append(names, m.Incarnation)
		}
	}
	return names
}

func (d *Duty) send(ctx context.Context, order Order) error { return d.orders.Push(ctx, order) }
