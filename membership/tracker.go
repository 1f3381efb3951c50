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

// DefaultTTL is the default lease period of a member.
const DefaultTTL = 3 * time.Second

// Changed tells a subscriber that a new view was published.
type Changed struct{}

// Lapsed reports that a member's lease ended, or that its node registered a new
// incarnation. The member may still be alive.
type Lapsed struct{ Member Member }

// Tracker is the duty that watches the member records in the platform store,
// publishes the view and reports lapsed members.
type Tracker struct {
	store       kvstore.Store
	clock       clockwork.Clock
	log         *slog.Logger
	ttl         time.Duration
	lapses      *ring.Ring[Lapsed]
	subscribers []*ring.Ring[Changed]
	view        atomic.Pointer[View]

	// The fields below are used only by Run.
	members    map[string]Member // by key
	lastAnswer time.Time         // time of the store's last answer
	current    View
}

// NewTracker returns a tracker that reports lapsed members to the ring lapses.
// ttl is the lease period of the members.
func NewTracker(store kvstore.Store, clock clockwork.Clock, log *slog.Logger, ttl time.Duration, lapses *ring.Ring[Lapsed]) *Tracker {
	now := clock.Now()
	t := &Tracker{
		store:      store,
		clock:      clock,
		log:        log,
		ttl:        ttl,
		lapses:     lapses,
		members:    map[string]Member{},
		lastAnswer: now,
		current:    View{StoreDown: true, NoDeathsBefore: now.Add(ttl)},
	}
	t.publish()
	return t
}

// View returns the latest view. It is never nil.
func (t *Tracker) View() *View { return t.view.Load() }

// Subscribe returns a ring with one slot that holds a Changed after each new
// view. It must be called before Run.
func (t *Tracker) Subscribe() *ring.Ring[Changed] {
	r := ring.New[Changed](1)
	t.subscribers = append(t.subscribers, r)
	return r
}

// Run watches the member records until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	return Follow(ctx, t.store, t.clock, KeyPrefix, t)
}

// Listed implements Follower.
func (t *Tracker) Listed(ctx context.Context, items []kvstore.Item, revision kvstore.Version) {
	t.recordAnswer()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		t.putRecord(ctx, item)
	}
	for key := range t.members {
		if !listed[key] {
			t.removeRecord(ctx, key)
		}
	}
	t.current.Revision = revision
	t.publish()
}

// Changed implements Follower.
func (t *Tracker) Changed(ctx context.Context, events []kvstore.Event, revision kvstore.Version) {
	t.recordAnswer()
	for _, e := range events {
		if e.Deleted {
			t.removeRecord(ctx, e.Key)
		} else {
			t.putRecord(ctx, e.Item)
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
		// The store answered, and the list that follows shows the changes that
		// were dropped. This is not treated as an outage: a busy store drops its
		// changes every few seconds, and after each outage no node is confirmed
		// dead for a lease period.
		t.recordAnswer()
		return
	}
	if t.current.StoreDown {
		return
	}
	t.log.Warn("membership: watch failed, view may be stale", "error", err)
	t.current.StoreDown = true
	t.publish()
}

// recordAnswer notes that the store answered, which ends an outage. An outage
// counts from the last answer before it, since the store may have been down
// during the whole long poll that failed. An outage shorter than a third of the
// lease period cannot make a lease lapse and leaves NoDeathsBefore as it is.
func (t *Tracker) recordAnswer() {
	now := t.clock.Now()
	if t.current.StoreDown {
		t.current.StoreDown = false
		if noDeathsBefore := now.Add(t.ttl); now.Sub(t.lastAnswer) >= t.ttl/3 && noDeathsBefore.After(t.current.NoDeathsBefore) {
			t.current.NoDeathsBefore = noDeathsBefore
		}
		t.publish()
	}
	t.lastAnswer = now
}

// putRecord updates the members from a record in the store and reports the
// incarnation that it replaces as lapsed.
func (t *Tracker) putRecord(ctx context.Context, item kvstore.Item) {
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
		t.reportLapse(ctx, old)
	}
}

func (t *Tracker) removeRecord(ctx context.Context, key string) {
	old, known := t.members[key]
	if !known {
		return
	}
	delete(t.members, key)
	t.reportLapse(ctx, old)
}

func (t *Tracker) reportLapse(ctx context.Context, m Member) {
	t.log.Info("membership: lease lapsed", "member", m.ID, "incarnation", m.Incarnation)
	_ = t.lapses.Push(ctx, Lapsed{Member: m}) // fails only when ctx ends
}

// publish stores a new view and notifies the subscribers.
func (t *Tracker) publish() {
	next := t.current
	next.Members = make([]Member, 0, len(t.members))
	for _, m := range t.members {
		next.Members = append(next.Members, m)
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	t.view.Store(&next)
	for _, r := range t.subscribers {
		_ = r.TryPush(Changed{}) // a full ring already holds a notice
	}
}
