package membership_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
	"dogwoodline.example/membership"
)

// silentWatchStore is a store whose watches, while silent is set, return
// nothing until their wait ends and then fail with ErrCompacted, as those of
// the platform's store do while it compacts.
type silentWatchStore struct {
	kvstore.Store
	mu         sync.Mutex
	silent     bool
	watchTimes []time.Time
}

func (s *silentWatchStore) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	s.mu.Lock()
	s.watchTimes = append(s.watchTimes, time.Now())
	silent := s.silent
	s.mu.Unlock()
	if !silent {
		return s.Store.Watch(ctx, prefix, after, wait)
	}
	select {
	case <-time.After(wait):
		return nil, 0, kvstore.ErrCompacted
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// replicaStore is a silentWatchStore that counts the listings from replicas.
type replicaStore struct {
	silentWatchStore
	staleLists atomic.Int64
}

func (s *replicaStore) ListStale(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	s.staleLists.Add(1)
	return s.List(ctx, prefix)
}

func (s *silentWatchStore) startTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.watchTimes...)
}

// keyRecorder is a Follower that records the keys of all items and events.
type keyRecorder struct {
	mu   sync.Mutex
	keys map[string]bool
}

func (l *keyRecorder) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[key] = true
}

func (l *keyRecorder) has(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[key]
}

func (l *keyRecorder) Listed(_ context.Context, items []kvstore.Item, _ kvstore.Version) {
	for _, item := range items {
		l.add(item.Key)
	}
}

func (l *keyRecorder) Changed(_ context.Context, events []kvstore.Event, _ kvstore.Version) {
	for _, event := range events {
		l.add(event.Key)
	}
}

func (l *keyRecorder) Failed(context.Context, error) {}

var _ = Describe("FollowWithOptions", func() {
	start := func(ctx context.Context, store *silentWatchStore, pace membership.FollowOptions) *keyRecorder {
		l := &keyRecorder{keys: map[string]bool{}}
		go func() { _ = membership.FollowWithOptions(ctx, store, clockwork.NewRealClock(), "", pace, l) }()
		Eventually(func() int { return len(store.startTimes()) }).Should(BeNumerically(">", 0))
		return l
	}

	// On scale-2 of ortak-fiyat a new configuration arrived 6 s late, because
	// the store had stopped delivering events to a watch with a wait of 10 s.
	It("receives a change soon after the watch wait although the store delivers no events", func(ctx SpecContext) {
		store := &silentWatchStore{Store: memstore.New(clockwork.NewRealClock()), silent: true}
		l := start(ctx, store, membership.FollowOptions{WatchWait: 200 * time.Millisecond})
		_, err := store.Put(ctx, "op/config", []byte("x"), kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return l.has("op/config") }, "1500ms", "10ms").Should(BeTrue())
	})

	It("lists from a replica at the start only, because it may lack what a watch has missed", func(ctx SpecContext) {
		store := &replicaStore{silentWatchStore: silentWatchStore{Store: memstore.New(clockwork.NewRealClock()), silent: true}}
		l := &keyRecorder{keys: map[string]bool{}}
		go func() {
			pace := membership.FollowOptions{WatchWait: 10 * time.Millisecond, StaleFirstList: true}
			_ = membership.FollowWithOptions(ctx, store, clockwork.NewRealClock(), "", pace, l)
		}()
		Eventually(func() int { return len(store.startTimes()) }, "5s").Should(BeNumerically(">=", 3))
		Expect(store.staleLists.Load()).To(BeEquivalentTo(1))
	})

	It("batches changes before it watches again, since each watch is a store call", func(ctx SpecContext) {
		store := &silentWatchStore{Store: memstore.New(clockwork.NewRealClock())}
		l := start(ctx, store, membership.FollowOptions{WatchWait: time.Minute, BatchDelay: func() time.Duration { return 150 * time.Millisecond }})
		before := len(store.startTimes())
		for _, key := range []string{"a", "b", "c", "d"} {
			_, err := store.Put(ctx, key, []byte("x"), kvstore.Absent, 0)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(10 * time.Millisecond)
		}
		Eventually(func() bool { return l.has("d") }, "2s", "5ms").Should(BeTrue())
		Expect(len(store.startTimes()) - before).To(BeNumerically("<=", 2))
	})
})
