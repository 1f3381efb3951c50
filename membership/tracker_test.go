package membership_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/ring"
)

// compactedStore counts the lists. Its watches block until a receive from
// compact and then return ErrCompacted.
type compactedStore struct {
	*memstore.Store
	lists   atomic.Int32
	compact chan struct{}
}

func (s *compactedStore) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, prefix)
}

func (s *compactedStore) Watch(
	ctx context.Context, _ string, after kvstore.Version, _ time.Duration,
) ([]kvstore.Event, kvstore.Version, error) {
	select {
	case <-s.compact:
		return nil, 0, kvstore.ErrCompacted
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

var _ = Describe("Tracker", func() {
	// Guards against treating ErrCompacted as an outage: a busy store returns it
	// often, and each outage delays the confirmation of dead nodes by a lease
	// period.
	It("does not treat a compacted watch as a store outage", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		store := &compactedStore{Store: memstore.New(clock), compact: make(chan struct{})}
		tracker := membership.NewTracker(store, clock, discardLog, ttl, ring.New[membership.Lapsed](4))
		go tracker.Run(ctx)
		Eventually(func() bool { return tracker.View().StoreDown }).Should(BeFalse())
		noDeathsBefore := tracker.View().NoDeathsBefore
		clock.Advance(ttl)
		store.compact <- struct{}{}
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed(), "the tracker waits before it lists again")
		Expect(tracker.View().StoreDown).To(BeFalse())
		clock.Advance(ttl)
		Eventually(store.lists.Load).Should(BeEquivalentTo(2))
		Consistently(func() time.Time { return tracker.View().NoDeathsBefore }, "50ms").Should(Equal(noDeathsBefore))
	})
})
