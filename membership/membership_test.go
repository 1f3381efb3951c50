package membership_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/ring"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.Timeout = 2 * time.Minute
	SetDefaultEventuallyTimeout(20 * time.Second) // generous for a busy machine
	RunSpecs(t, "membership", suite, reporter)
}

const ttl = membership.DefaultTTL

var quiet = slog.New(slog.DiscardHandler)

// faulty fails every call while err is set, and loses the answers of the puts
// that lose counts down.
type faulty struct {
	kvstore.Store
	down atomic.Bool
	lose atomic.Int32
}

func (f *faulty) check() error {
	if f.down.Load() {
		return kvstore.ErrUnavailable
	}
	return nil
}

func (f *faulty) Get(ctx context.Context, key string) (kvstore.Item, error) {
	if err := f.check(); err != nil {
		return kvstore.Item{}, err
	}
	return f.Store.Get(ctx, key)
}

func (f *faulty) Put(ctx context.Context, key string, value []byte, v kvstore.Version, l kvstore.LeaseID) (kvstore.Version, error) {
	if err := f.check(); err != nil {
		return 0, err
	}
	version, err := f.Store.Put(ctx, key, value, v, l)
	if f.lose.Add(-1) >= 0 {
		return 0, kvstore.ErrAmbiguous
	}
	return version, err
}

func (f *faulty) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if err := f.check(); err != nil {
		return 0, err
	}
	return f.Store.Grant(ctx, ttl)
}

func (f *faulty) Renew(ctx context.Context, l kvstore.LeaseID) error {
	if err := f.check(); err != nil {
		return err
	}
	return f.Store.Renew(ctx, l)
}

// Watch fails at once when the store goes down, like a broken connection.
func (f *faulty) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && !f.down.Load() {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	return f.Store.Watch(ctx, prefix, after, wait)
}

func (f *faulty) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	if err := f.check(); err != nil {
		return nil, 0, err
	}
	return f.Store.List(ctx, prefix)
}

// pinger answers by incarnation; others do not answer.
type pinger struct {
	mu      sync.Mutex
	answers map[string]bool // store reachable
	pings   int
}

func (p *pinger) Ping(_ context.Context, m membership.Member) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pings++
	reachable, ok := p.answers[m.Incarnation]
	if !ok {
		return false, errors.New("no answer")
	}
	return reachable, nil
}

// world is a store, an observer and sessions on a fake clock.
type world struct {
	ctx      context.Context
	clock    *clockwork.FakeClock
	store    *faulty
	tracker  *membership.Tracker
	detector *membership.Detector
	pinger   *pinger
	sessions []*membership.Session
}

func newWorld(ctx context.Context) *world {
	clock := clockwork.NewFakeClock()
	w := &world{ctx: ctx, clock: clock, store: &faulty{Store: memstore.New(clock)}, pinger: &pinger{answers: map[string]bool{}}}
	w.detector = membership.NewDetector(clock, quiet, ttl, w.pinger)
	w.tracker = membership.NewTracker(w.store, clock, quiet, ttl, w.detector.Suspects())
	go w.tracker.Run(ctx)
	go w.detector.Run(ctx, w.tracker.View)
	go w.detector.RunPinger(ctx)
	Eventually(func() bool { return w.tracker.View().StoreDown }).Should(BeFalse())
	return w
}

func never(context.Context) (bool, error) { return false, nil }

func (w *world) join(ctx context.Context, m membership.Member, fenced func(context.Context) (bool, error)) (*membership.Session, chan error) {
	s := membership.NewSession(w.store, w.clock, quiet, m, ttl, fenced)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	w.sessions = append(w.sessions, s)
	return s, ended
}

// pass lets the time go by in steps of 100 ms, each followed by a short real
// wait so that the duties act on it. It waits longer for a session that should
// have renewed by then, so that a busy machine lets no lease lapse.
func (w *world) pass(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		w.clock.Advance(100 * time.Millisecond)
		time.Sleep(4 * time.Millisecond)
		for end := time.Now().Add(200 * time.Millisecond); w.late() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}

func (w *world) late() bool {
	for _, s := range w.sessions {
		if state := s.State(); state.Registered && w.clock.Since(state.LastAnswer) > ttl/2 && !w.store.down.Load() {
			return true
		}
	}
	return false
}

func (w *world) names() []string {
	found := []string{}
	for _, m := range w.tracker.View().Members {
		found = append(found, m.Incarnation)
	}
	return found
}

var _ = Describe("Session and tracker", func() {
	a := membership.Member{ID: "a", Incarnation: "a1", GRPC: "x"}
	b := membership.Member{ID: "b", Incarnation: "b1", GRPC: "y"}

	It("keep members in the view while they renew, sorted, and show draining", func(ctx SpecContext) {
		w := newWorld(ctx)
		sb, _ := w.join(ctx, b, never)
		w.join(ctx, a, never)
		Eventually(w.names).Should(Equal([]string{"a1", "b1"}))
		w.pass(3 * ttl)
		Expect(w.names()).To(Equal([]string{"a1", "b1"}))
		Expect(sb.Commands().TryPush(membership.SetDraining{})).To(Succeed())
		Eventually(func() bool { return w.tracker.View().Members[1].Draining }).Should(BeTrue())
		Expect(sb.Commands().TryPush(membership.Leave{})).To(Succeed())
		Eventually(w.names).Should(Equal([]string{"a1"}))
	})

	It("register the same incarnation again after a lapse, but not a fenced or superseded one", func(ctx SpecContext) {
		w := newWorld(ctx)
		var sealed atomic.Bool
		s, ended := w.join(ctx, a, func(context.Context) (bool, error) { return sealed.Load(), nil })
		Eventually(w.names).Should(Equal([]string{"a1"}))
		w.store.down.Store(true)
		Eventually(func() bool { return w.tracker.View().StoreDown }).Should(BeTrue())
		w.pass(2 * ttl)
		w.store.down.Store(false)
		Eventually(func() bool {
			w.pass(ttl / 6)
			// Until the tracker has its answer, its view still shows the time before.
			return s.State().Registered && len(w.names()) == 1 && !w.tracker.View().StoreDown
		}).Should(BeTrue())
		Expect(s.State().Lapsed).NotTo(BeZero(), "others may take over from it")

		// The old process is superseded while it cannot renew.
		second := a
		second.Incarnation = "a2"
		w.join(ctx, second, never)
		Eventually(w.names).Should(Equal([]string{"a2"}))
		w.pass(2 * ttl) // the lease of a1 has no key any more, but is renewed
		Expect(w.names()).To(Equal([]string{"a2"}))
		Expect(s.Commands().TryPush(membership.SetDraining{})).To(Succeed())
		Eventually(ended).Should(Receive(MatchError(membership.ErrSuperseded)))

		sealed.Store(true)
		_, ended = w.join(ctx, b, func(context.Context) (bool, error) { return sealed.Load(), nil })
		Eventually(ended).Should(Receive(MatchError(membership.ErrFenced)))
	})

	It("register although the answer to the registration is lost", func(ctx SpecContext) {
		w := newWorld(ctx)
		w.store.lose.Store(2)
		s, _ := w.join(ctx, a, never)
		Eventually(func() bool { w.pass(ttl / 6); return s.State().Registered }).Should(BeTrue())
		w.pass(ttl)
		Expect(w.names()).To(Equal([]string{"a1"}))
	})
})

var _ = Describe("Detector", func() {
	a := membership.Member{ID: "a", Incarnation: "a1", GRPC: "x"}

	// lapse lets a's lease end and returns the world after that.
	lapse := func(ctx context.Context, answers map[string]bool) *world {
		w := newWorld(ctx)
		w.pinger.answers = answers
		w.pass(ttl + 100*time.Millisecond) // the quiet period after the start
		session, stop := context.WithCancel(ctx)
		w.join(session, a, never)
		Eventually(w.names).Should(Equal([]string{"a1"}))
		stop()
		w.sessions = nil
		w.pass(ttl + 200*time.Millisecond)
		Eventually(w.names).Should(BeEmpty())
		return w
	}

	It("confirms a lapsed member dead after two failed pings", func(ctx SpecContext) {
		w := lapse(ctx, map[string]bool{})
		Eventually(func() int { w.pass(ttl / 6); return w.detector.Dead().Len() }).Should(Equal(1))
		dead, _ := w.detector.Dead().TryPop()
		Expect(dead.Member.Incarnation).To(Equal("a1"))
		Expect(w.pinger.pings).To(BeNumerically(">=", 2))
		w.pass(ttl)
		Expect(w.detector.Dead().Len()).To(BeZero(), "reported once")
	})

	It("does not confirm a member that answers and reaches the store", func(ctx SpecContext) {
		w := lapse(ctx, map[string]bool{"a1": true})
		w.pass(3 * ttl)
		Expect(w.detector.Dead().Len()).To(BeZero())
	})

	It("confirms a member that answers but has been cut off from the store", func(ctx SpecContext) {
		w := lapse(ctx, map[string]bool{"a1": false})
		Eventually(func() int { w.pass(ttl / 6); return w.detector.Dead().Len() }).Should(Equal(1))
	})

	It("confirms nobody while the store is down and for one lease period after that", func(ctx SpecContext) {
		w := lapse(ctx, map[string]bool{"a1": true})
		w.store.down.Store(true)
		Eventually(func() bool { return w.tracker.View().StoreDown }).Should(BeTrue())
		w.pinger.mu.Lock()
		delete(w.pinger.answers, "a1")
		w.pinger.mu.Unlock()
		w.pass(3 * ttl)
		Expect(w.detector.Dead().Len()).To(BeZero(), "while the store is down")
		w.store.down.Store(false)
		Eventually(func() bool { w.pass(100 * time.Millisecond); return w.tracker.View().StoreDown }).Should(BeFalse())
		w.pass(ttl - 600*time.Millisecond)
		Expect(w.detector.Dead().Len()).To(BeZero(), "within one lease period")
		Eventually(func() int { w.pass(ttl / 6); return w.detector.Dead().Len() }).Should(Equal(1))
	})

	It("confirms an owner that was never seen, because there is no address to ping", func(ctx SpecContext) {
		w := newWorld(ctx)
		Expect(w.detector.Suspects().TryPush(membership.Lapsed{Member: membership.Member{Incarnation: "old"}})).To(Succeed())
		w.pass(ttl - 500*time.Millisecond)
		Expect(w.detector.Dead().Len()).To(BeZero(), "within the quiet period after the start")
		Eventually(func() int { w.pass(ttl / 6); return w.detector.Dead().Len() }).Should(Equal(1))
	})

	It("suspects no live node during and after an outage that outlasts the leases", func(ctx SpecContext) {
		w := newWorld(ctx)
		for _, id := range []string{"a", "b", "c"} {
			w.join(ctx, membership.Member{ID: id, Incarnation: id + "1", GRPC: id}, never)
		}
		Eventually(w.names).Should(HaveLen(3))
		w.pass(2 * ttl)
		w.store.down.Store(true)
		Eventually(func() bool { return w.tracker.View().StoreDown }).Should(BeTrue())
		w.pass(3 * ttl) // nobody answers pings either
		w.store.down.Store(false)
		w.pass(3 * ttl)
		Eventually(w.names).Should(HaveLen(3))
		Expect(w.detector.Dead().Len()).To(BeZero())
	})
})

var _ = Describe("Tracker", func() {
	It("reports the old incarnation as lapsed when the node has restarted", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		store := memstore.New(clock)
		lapses := ring.New[membership.Lapsed](4)
		tracker := membership.NewTracker(store, clock, quiet, ttl, lapses)
		go tracker.Run(ctx)
		put := func(value string) {
			_, err := store.Put(ctx, "member/a", []byte(value), kvstore.AnyVersion, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		put(`{"id":"a","incarnation":"a1"}`)
		Eventually(func() int { return len(tracker.View().Members) }).Should(Equal(1))
		put(`{"id":"wrong","incarnation":"a9"}`) // ignored
		put(`{"id":"a","incarnation":"a2"}`)
		lapsed, err := lapses.Pop(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(lapsed.Member.Incarnation).To(Equal("a1"))
		Eventually(func() string { return tracker.View().Members[0].Incarnation }).Should(Equal("a2"))
	})
})

var _ = Describe("Choose", func() {
	a := membership.Member{ID: "a", Incarnation: "a1", Zone: "z1"}
	b := membership.Member{ID: "b", Incarnation: "b1", Zone: "z1"}
	c := membership.Member{ID: "c", Incarnation: "c1", Zone: "z2"}

	It("puts the owner first and the second choice in another availability zone", func() {
		v := &membership.View{Members: []membership.Member{a, b, c}}
		for _, program := range []string{"p", "q", "r", "s"} {
			first, second := membership.Choose(v, program, "a1")
			Expect(*first).To(Equal(a))
			Expect(*second).To(Equal(c))
		}
	})

	It("never returns a draining member, not even the owner", func() {
		drained := a
		drained.Draining = true
		v := &membership.View{Members: []membership.Member{drained, b}}
		first, second := membership.Choose(v, "p", "a1")
		Expect(*first).To(Equal(b))
		Expect(second).To(BeNil())
	})

	It("returns nothing without members", func() {
		first, second := membership.Choose(&membership.View{}, "p", "a1")
		Expect(first).To(BeNil())
		Expect(second).To(BeNil())
	})
})
