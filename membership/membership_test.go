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
	SetDefaultEventuallyTimeout(20 * time.Second) // leaves time on a busy machine
	RunSpecs(t, "membership", suite, reporter)
}

const ttl = membership.DefaultTTL

var discardLog = slog.New(slog.DiscardHandler)

// faultyStore fails calls while down is set. The answers of the next
// answersToLose puts that reach the store are replaced by ErrAmbiguous.
type faultyStore struct {
	kvstore.Store
	down          atomic.Bool
	answersToLose atomic.Int32
}

func (f *faultyStore) check() error {
	if f.down.Load() {
		return kvstore.ErrUnavailable
	}
	return nil
}

func (f *faultyStore) Get(ctx context.Context, key string) (kvstore.Item, error) {
	if err := f.check(); err != nil {
		return kvstore.Item{}, err
	}
	return f.Store.Get(ctx, key)
}

func (f *faultyStore) Put(ctx context.Context, key string, value []byte, v kvstore.Version, l kvstore.LeaseID) (kvstore.Version, error) {
	if err := f.check(); err != nil {
		return 0, err
	}
	version, err := f.Store.Put(ctx, key, value, v, l)
	if f.answersToLose.Add(-1) >= 0 {
		return 0, kvstore.ErrAmbiguous
	}
	return version, err
}

func (f *faultyStore) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if err := f.check(); err != nil {
		return 0, err
	}
	return f.Store.Grant(ctx, ttl)
}

func (f *faultyStore) Renew(ctx context.Context, l kvstore.LeaseID) error {
	if err := f.check(); err != nil {
		return err
	}
	return f.Store.Renew(ctx, l)
}

// Watch fails as soon as the store goes down, as over a broken connection.
func (f *faultyStore) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
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

func (f *faultyStore) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	if err := f.check(); err != nil {
		return nil, 0, err
	}
	return f.Store.List(ctx, prefix)
}

// pinger answers for the incarnations in answers; pings of others fail.
type pinger struct {
	mu      sync.Mutex
	answers map[string]bool // by incarnation: whether it reaches the store
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

// testEnv is a store, a tracker with its detector, and sessions, all on one
// fake clock.
type testEnv struct {
	ctx      context.Context
	clock    *clockwork.FakeClock
	store    *faultyStore
	tracker  *membership.Tracker
	detector *membership.Detector
	pinger   *pinger
	sessions []*membership.Session
}

func newTestEnv(ctx context.Context) *testEnv {
	clock := clockwork.NewFakeClock()
	env := &testEnv{ctx: ctx, clock: clock, store: &faultyStore{Store: memstore.New(clock)}, pinger: &pinger{answers: map[string]bool{}}}
	env.detector = membership.NewDetector(clock, discardLog, ttl, env.pinger)
	env.tracker = membership.NewTracker(env.store, clock, discardLog, ttl, env.detector.Suspects())
	go env.tracker.Run(ctx)
	go env.detector.Run(ctx, env.tracker.View)
	go env.detector.RunPinger(ctx)
	Eventually(func() bool { return env.tracker.View().StoreDown }).Should(BeFalse())
	return env
}

func notFenced(context.Context) (bool, error) { return false, nil }

func (env *testEnv) join(ctx context.Context, m membership.Member, fenced func(context.Context) (bool, error)) (*membership.Session, chan error) {
	s := membership.NewSession(env.store, env.clock, discardLog, m, ttl, fenced)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	env.sessions = append(env.sessions, s)
	return s, ended
}

// advance moves the fake clock on by d in steps of 100 ms. After each step it
// sleeps 4 ms of real time so that the duties can run, and up to 200 ms more
// while a renewal is overdue, so that no lease lapses because the machine is
// busy.
func (env *testEnv) advance(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		env.clock.Advance(100 * time.Millisecond)
		time.Sleep(4 * time.Millisecond)
		for end := time.Now().Add(200 * time.Millisecond); env.renewalOverdue() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}

// renewalOverdue reports whether a registered session has not renewed for half
// a lease period although the store is up.
func (env *testEnv) renewalOverdue() bool {
	for _, s := range env.sessions {
		if state := s.State(); state.Registered && env.clock.Since(state.LastRenewal) > ttl/2 && !env.store.down.Load() {
			return true
		}
	}
	return false
}

// incarnations returns the incarnations in the tracker's view, in its order.
func (env *testEnv) incarnations() []string {
	found := []string{}
	for _, m := range env.tracker.View().Members {
		found = append(found, m.Incarnation)
	}
	return found
}

var _ = Describe("Session and tracker", func() {
	a := membership.Member{ID: "a", Incarnation: "a1", GRPC: "x"}
	b := membership.Member{ID: "b", Incarnation: "b1", GRPC: "y"}

	It("keep renewing members in the view, sorted by ID, show draining, and drop a member that leaves", func(ctx SpecContext) {
		env := newTestEnv(ctx)
		sb, _ := env.join(ctx, b, notFenced)
		env.join(ctx, a, notFenced)
		Eventually(env.incarnations).Should(Equal([]string{"a1", "b1"}))
		env.advance(3 * ttl)
		Expect(env.incarnations()).To(Equal([]string{"a1", "b1"}))
		Expect(sb.Commands().TryPush(membership.SetDraining{})).To(Succeed())
		Eventually(func() bool { return env.tracker.View().Members[1].Draining }).Should(BeTrue())
		Expect(sb.Commands().TryPush(membership.Leave{})).To(Succeed())
		Eventually(env.incarnations).Should(Equal([]string{"a1"}))
	})

	// Guards against a node that was suspended while its renewal was under way. It
	// read the old answer when it woke, took its lease for renewed just now, and
	// answered for programs that another node had taken over and started.
	It("state when a renewal was sent, not when its answer was read", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		began := clock.Now()
		store := &suspendingStore{Store: memstore.New(clock), clock: clock}
		s := membership.NewSession(store, clock, discardLog, membership.Member{ID: "a", Incarnation: "a-1"}, ttl, notFenced)
		go s.Run(ctx)
		Eventually(func() bool { return s.State().Registered }).Should(BeTrue())
		Expect(s.State().LastRenewal).To(Equal(began))
		Expect(clock.Now()).To(BeTemporally(">=", began.Add(ttl)))
	})

	It("register an incarnation again after its lease lapsed, unless it is fenced or superseded", func(ctx SpecContext) {
		env := newTestEnv(ctx)
		var sealed atomic.Bool
		s, ended := env.join(ctx, a, func(context.Context) (bool, error) { return sealed.Load(), nil })
		Eventually(env.incarnations).Should(Equal([]string{"a1"}))
		env.store.down.Store(true)
		Eventually(func() bool { return env.tracker.View().StoreDown }).Should(BeTrue())
		env.advance(2 * ttl)
		env.store.down.Store(false)
		Eventually(func() bool {
			env.advance(ttl / 6)
			// Until the store answers the tracker, its view is from before the outage.
			return s.State().Registered && len(env.incarnations()) == 1 && !env.tracker.View().StoreDown
		}).Should(BeTrue())
		Expect(s.State().LapsedAt).NotTo(BeZero(), "the session must report the lapse, since other nodes may have taken over its shards")

		// A newer incarnation registers under the same ID.
		second := a
		second.Incarnation = "a2"
		env.join(ctx, second, notFenced)
		Eventually(env.incarnations).Should(Equal([]string{"a2"}))
		env.advance(2 * ttl) // a1 keeps renewing its lease, which no longer holds a key
		Expect(env.incarnations()).To(Equal([]string{"a2"}))
		Expect(s.Commands().TryPush(membership.SetDraining{})).To(Succeed())
		Eventually(ended).Should(Receive(MatchError(membership.ErrSuperseded)))

		sealed.Store(true)
		_, ended = env.join(ctx, b, func(context.Context) (bool, error) { return sealed.Load(), nil })
		Eventually(ended).Should(Receive(MatchError(membership.ErrFenced)))
	})

	It("register although the answers to registrations are lost", func(ctx SpecContext) {
		env := newTestEnv(ctx)
		env.store.answersToLose.Store(2)
		s, _ := env.join(ctx, a, notFenced)
		Eventually(func() bool { env.advance(ttl / 6); return s.State().Registered }).Should(BeTrue())
		env.advance(ttl)
		Expect(env.incarnations()).To(Equal([]string{"a1"}))
	})
})

var _ = Describe("Detector", func() {
	a := membership.Member{ID: "a", Incarnation: "a1", GRPC: "x"}

	// lapse returns an environment in which member a has registered and then
	// lost its lease.
	lapse := func(ctx context.Context, answers map[string]bool) *testEnv {
		env := newTestEnv(ctx)
		env.pinger.answers = answers
		env.advance(ttl + 100*time.Millisecond) // the grace period after the start
		session, stop := context.WithCancel(ctx)
		env.join(session, a, notFenced)
		Eventually(env.incarnations).Should(Equal([]string{"a1"}))
		stop()
		env.sessions = nil
		env.advance(ttl + 200*time.Millisecond)
		Eventually(env.incarnations).Should(BeEmpty())
		return env
	}

	It("confirms a lapsed member dead after two failed pings", func(ctx SpecContext) {
		env := lapse(ctx, map[string]bool{})
		Eventually(func() int { env.advance(ttl / 6); return env.detector.Dead().Len() }).Should(Equal(1))
		dead, _ := env.detector.Dead().TryPop()
		Expect(dead.Member.Incarnation).To(Equal("a1"))
		Expect(env.pinger.pings).To(BeNumerically(">=", 2))
		env.advance(ttl)
		Expect(env.detector.Dead().Len()).To(BeZero(), "the member was reported twice")
	})

	It("does not confirm a member dead that answers pings and reaches the store", func(ctx SpecContext) {
		env := lapse(ctx, map[string]bool{"a1": true})
		env.advance(3 * ttl)
		Expect(env.detector.Dead().Len()).To(BeZero())
	})

	It("confirms a member dead that answers pings but cannot reach the store", func(ctx SpecContext) {
		env := lapse(ctx, map[string]bool{"a1": false})
		Eventually(func() int { env.advance(ttl / 6); return env.detector.Dead().Len() }).Should(Equal(1))
	})

	It("confirms no member dead while the store is down and for one lease period after that", func(ctx SpecContext) {
		env := lapse(ctx, map[string]bool{"a1": true})
		env.store.down.Store(true)
		Eventually(func() bool { return env.tracker.View().StoreDown }).Should(BeTrue())
		env.pinger.mu.Lock()
		delete(env.pinger.answers, "a1")
		env.pinger.mu.Unlock()
		env.advance(3 * ttl)
		Expect(env.detector.Dead().Len()).To(BeZero(), "confirmed while the store is down")
		env.store.down.Store(false)
		Eventually(func() bool { env.advance(100 * time.Millisecond); return env.tracker.View().StoreDown }).Should(BeFalse())
		env.advance(ttl - 600*time.Millisecond)
		Expect(env.detector.Dead().Len()).To(BeZero(), "confirmed within one lease period after the outage")
		Eventually(func() int { env.advance(ttl / 6); return env.detector.Dead().Len() }).Should(Equal(1))
	})

	It("confirms a suspect dead that this node never saw and has no address to ping", func(ctx SpecContext) {
		env := newTestEnv(ctx)
		Expect(env.detector.Suspects().TryPush(membership.Lapsed{Member: membership.Member{Incarnation: "old"}})).To(Succeed())
		env.advance(ttl - 500*time.Millisecond)
		Expect(env.detector.Dead().Len()).To(BeZero(), "confirmed within the grace period after the start")
		Eventually(func() int { env.advance(ttl / 6); return env.detector.Dead().Len() }).Should(Equal(1))
	})

	It("confirms no live member dead during and after a store outage longer than the leases", func(ctx SpecContext) {
		env := newTestEnv(ctx)
		for _, id := range []string{"a", "b", "c"} {
			env.join(ctx, membership.Member{ID: id, Incarnation: id + "1", GRPC: id}, notFenced)
		}
		Eventually(env.incarnations).Should(HaveLen(3))
		env.advance(2 * ttl)
		env.store.down.Store(true)
		Eventually(func() bool { return env.tracker.View().StoreDown }).Should(BeTrue())
		env.advance(3 * ttl) // pings fail as well
		env.store.down.Store(false)
		env.advance(3 * ttl)
		Eventually(env.incarnations).Should(HaveLen(3))
		Expect(env.detector.Dead().Len()).To(BeZero())
	})
})

var _ = Describe("Tracker", func() {
	It("reports the old incarnation as lapsed when a new one registers", func(ctx SpecContext) {
		clock := clockwork.NewFakeClock()
		store := memstore.New(clock)
		lapses := ring.New[membership.Lapsed](4)
		tracker := membership.NewTracker(store, clock, discardLog, ttl, lapses)
		go tracker.Run(ctx)
		put := func(value string) {
			_, err := store.Put(ctx, "member/a", []byte(value), kvstore.AnyVersion, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		put(`{"id":"a","incarnation":"a1"}`)
		Eventually(func() int { return len(tracker.View().Members) }).Should(Equal(1))
		put(`{"id":"wrong","incarnation":"a9"}`) // ignored: the ID does not match the key
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

	It("returns the owner first and a member of another availability zone second", func() {
		v := &membership.View{Members: []membership.Member{a, b, c}}
		for _, program := range []string{"p", "q", "r", "s"} {
			first, second := membership.ChooseForProgram(v, program, "a1")
			Expect(*first).To(Equal(a))
			Expect(*second).To(Equal(c))
		}
	})

	It("never returns a draining member, not even the owner", func() {
		drained := a
		drained.Draining = true
		v := &membership.View{Members: []membership.Member{drained, b}}
		first, second := membership.ChooseForProgram(v, "p", "a1")
		Expect(*first).To(Equal(b))
		Expect(second).To(BeNil())
	})

	It("returns nil without members", func() {
		first, second := membership.ChooseForProgram(&membership.View{}, "p", "a1")
		Expect(first).To(BeNil())
		Expect(second).To(BeNil())
	})
})

// suspendingStore suspends the process between a grant that is done and its answer.
type suspendingStore struct {
	kvstore.Store
	clock *clockwork.FakeClock
}

func (s *suspendingStore) Grant(ctx context.Context, leaseTTL time.Duration) (kvstore.LeaseID, error) {
	id, err := s.Store.Grant(ctx, 2*leaseTTL)
	s.clock.Advance(leaseTTL)
	return id, err
}
