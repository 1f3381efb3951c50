package membership

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/ring"
)

// DefaultTTL is the lease period of a member.
const DefaultTTL = 3 * time.Second

// Changed tells a subscriber that a new view is published.
type Changed struct{}

// Lapsed tells that a member's lease ended, or that its node registered a new
// incarnation. It may still be alive.
type Lapsed struct{ Member Member }

// Tracker is the duty that watches the member records and publishes the view.
type Tracker struct {
	store       kvstore.Store
	clock       clockwork.Clock
	log         *slog.Logger
	ttl         time.Duration
	lapses      *ring.Ring[Lapsed]
	subscribers []*ring.Ring[Changed]
	view        atomic.Pointer[View]

	// The fields below belong to the duty.
	members  map[string]Member // by key
	answered time.Time         // when the store answered last
	current  View
}

// NewTracker returns a tracker that reports lapsed members to lapses.
func NewTracker(store kvstore.Store, clock clockwork.Clock, log *slog.Logger, ttl time.Duration, lapses *ring.Ring[Lapsed]) *Tracker {
	now := clock.Now()
	t := &Tracker{
		store:    store,
		clock:    clock,
		log:      log,
		ttl:      ttl,
		lapses:   lapses,
		members:  map[string]Member{},
		answered: now,
		current:  View{StoreDown: true, SuspectAfter: now.Add(ttl)},
	}
	t.publish()
	return t
}

// View returns the latest view, never nil.
func (t *Tracker) View() *View { return t.view.Load() }

// Subscribe returns a ring that holds a Changed after each new view. It is
// called before Run.
func (t *Tracker) Subscribe() *ring.Ring[Changed] {
	r := ring.New[Changed](1)
	t.subscribers = append(t.subscribers, r)
	return r
}

// Run watches until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	return Follow(ctx, t.store, t.clock, Prefix, t)
}

// Listed implements Follower.
func (t *Tracker) Listed(ctx context.Context, items []kvstore.Item, revision kvstore.Version) {
	t.noteAnswer()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		t.put(ctx, item)
	}
	for key := range t.members {
		if !listed[key] {
			t.remove(ctx, key)
		}
	}
	t.current.Revision = revision
	t.publish()
}

// Changed implements Follower.
func (t *Tracker) Changed(ctx context.Context, events []kvstore.Event, revision kvstore.Version) {
	t.noteAnswer()
	for _, e := range events {
		if e.Deleted {
			t.remove(ctx, e.Key)
		} else {
			t.put(ctx, e.Item)
		}
	}
	t.current.Revision = revision
	if len(events) > 0 {
		t.publish()
	}
}

// Failed implements Follower.
func (t *Tracker) Failed(_ context.Context, err error) {
	if errors.Is(err, kvstore.ErrCompacted) {
		// The store answered, and the list that follows fills the gap. A busy
		// store drops its changes every few seconds; were that an outage, no
		// dead node would be confirmed for a lease period after each.
		t.noteAnswer()
		return
	}
	if t.current.StoreDown {
		return
	}
	t.log.Warn("membership: watch failed, view may be stale", "error", err)
	t.current.StoreDown = true
	t.publish()
}

// noteAnswer ends an outage. A failure that follows a long poll counts from
// the last answer before it, since the store may have been down all the time.
// Below a third of the lease no lease can have lapsed because of it.
func (t *Tracker) noteAnswer() {
	now := t.clock.Now()
	if t.current.StoreDown {
		t.current.StoreDown = false
		if after := now.Add(t.ttl); now.Sub(t.answered) >= t.ttl/3 && after.After(t.current.SuspectAfter) {
			t.current.SuspectAfter = after
		}
		t.publish()
	}
	t.answered = now
}

func (t *Tracker) put(ctx context.Context, item kvstore.Item) {
	m, err := Decode(item)
	if err != nil {
		t.log.Error("membership: member record ignored", "key", item.Key, "error", err)
		return
	}
	old, known := t.members[item.Key]
	if known && old.Version >= m.Version {
		return
	}
	t.members[item.Key] = m
	if known && old.Incarnation != m.Incarnation {
		t.lapse(ctx, old)
	}
}

func (t *Tracker) remove(ctx context.Context, key string) {
	old, known := t.members[key]
	if !known {
		return
	}
	delete(t.members, key)
	t.lapse(ctx, old)
}

func (t *Tracker) lapse(ctx context.Context, m Member) {
	t.log.Info("membership: lease lapsed", "member", m.ID, "incarnation", m.Incarnation)
	_ = t.lapses.Push(ctx, Lapsed{Member: m}) // fails only when the node stops
}

func (t *Tracker) publish() {
	next := t.current
	next.Members = make([]Member, 0, len(t.members))
	for _, m := range t.members {
		next.Members = append(next.Members, m)
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	t.view.Store(&next)
	for _, r := range t.subscribers {
		_ = r.TryPush(Changed{}) // full means that a notice is waiting already
	}
}
