package membership_test

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
	"dogwoodline.example/membership"
)

// deafStore has watches that hear nothing until their wait is over, and have
// then lost their history, as while the platform's store compacts.
type deafStore struct {
	kvstore.Store
	mu      sync.Mutex
	deaf    bool
	watches []time.Time
}

func (s *deafStore) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	s.mu.Lock()
	s.watches = append(s.watches, time.Now())
	deaf := s.deaf
	s.mu.Unlock()
	if !deaf {
		return s.Store.Watch(ctx, prefix, after, wait)
	}
	select {
	case <-time.After(wait):
		return nil, 0, kvstore.ErrCompacted
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (s *deafStore) started() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.watches...)
}

// listener remembers the keys that it was told of.
type listener struct {
	mu   sync.Mutex
	keys map[string]bool
}

func (l *listener) note(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[key] = true
}

func (l *listener) knows(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[key]
}

func (l *listener) Listed(_ context.Context, items []kvstore.Item, _ kvstore.Version) {
	for _, item := range items {
		l.note(item.Key)
	}
}

func (l *listener) Changed(_ context.Context, events []kvstore.Event, _ kvstore.Version) {
	for _, event := range events {
		l.note(event.Key)
	}
}

func (l *listener) Failed(context.Context, error) {}

var _ = Describe("FollowEvery", func() {
	start := func(ctx context.Context, store *deafStore, pace membership.Pace) *listener {
		l := &listener{keys: map[string]bool{}}
		go func() { _ = membership.FollowEvery(ctx, store, clockwork.NewRealClock(), "", pace, l) }()
		Eventually(func() int { return len(store.started()) }).Should(BeNumerically(">", 0))
		return l
	}

	// On scale-2 of ortak-fiyat a new configuration was heard 6 s late, because
	// a watch of 10 s had gone deaf.
	It("hears of a change soon after the longest wait although its watch is deaf", func(ctx SpecContext) {
		store := &deafStore{Store: memstore.New(clockwork.NewRealClock()), deaf: true}
		l := start(ctx, store, membership.Pace{Wait: 200 * time.Millisecond})
		_, err := store.Put(ctx, "op/config", []byte("x"), kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return l.knows("op/config") }, "1500ms", "10ms").Should(BeTrue())
	})

	It("lets further news gather before it watches again, since each watch is a call", func(ctx SpecContext) {
		store := &deafStore{Store: memstore.New(clockwork.NewRealClock())}
		l := start(ctx, store, membership.Pace{Wait: time.Minute, Gather: func() time.Duration { return 150 * time.Millisecond }})
		before := len(store.started())
		for _, key := range []string{"a", "b", "c", "d"} {
			_, err := store.Put(ctx, key, []byte("x"), kvstore.Absent, 0)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(10 * time.Millisecond)
		}
		Eventually(func() bool { return l.knows("d") }, "2s", "5ms").Should(BeTrue())
		Expect(len(store.started()) - before).To(BeNumerically("<=", 2))
	})
})
