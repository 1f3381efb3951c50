package budgeted_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/budgeted"
	"dogwoodline.example/kvstore/memstore"
)

func TestBudgeted(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "budgeted")
}

var _ = Describe("Budget", func() {
	var (
		ctx    = context.Background()
		clock  *clockwork.FakeClock
		store  *memstore.Store
		set    *metrics.Set
		budget *budgeted.Limiter
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = memstore.New(clock)
		set = metrics.NewSet()
		budget = budgeted.New(store, budgeted.Settings{WritesPerSecond: 1, ReadsPerSecond: 1000}, clock, set)
		_, err := budget.Store(budgeted.Status).Put(ctx, "first", nil, kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	// put starts a write and returns once the write is waiting for the budget.
	put := func(ctx context.Context, priority budgeted.Priority, key string) chan error {
		waiting := budgeted.Waiting(budget)
		done := make(chan error, 1)
		go func() {
			_, err := budget.Store(priority).Put(ctx, key, nil, kvstore.Absent, 0)
			done <- err
		}()
		Eventually(func() int { return budgeted.Waiting(budget) }).Should(Equal(waiting + 1))
		return done
	}

	// awaitTimer returns once the timer for the next write is set. Its time counts from
	// then, so that an advance before it would not reach it.
	awaitTimer := func() {
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		Expect(clock.BlockUntilContext(limited, 1)).To(Succeed())
	}

	It("runs a lease write that arrived last before journal and status writes", func() {
		status := put(ctx, budgeted.Status, "status")
		journal := put(ctx, budgeted.Journal, "journal")
		lease := put(ctx, budgeted.Lease, "lease")
		for _, next := range []chan error{lease, journal, status} {
			awaitTimer()
			clock.Advance(time.Second + time.Millisecond)
			Eventually(next).Should(Receive(BeNil()))
		}
		items, _, err := store.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(items).To(HaveLen(4))
	})

	It("does not spend the budget on a call whose context was canceled", func() {
		cancelable, cancel := context.WithCancel(ctx)
		left := put(cancelable, budgeted.Lease, "left")
		stays := put(ctx, budgeted.Status, "stays")
		cancel()
		Eventually(left).Should(Receive(MatchError(kvstore.ErrRateLimited)))
		clock.Advance(time.Second + time.Millisecond)
		Eventually(stays).Should(Receive(BeNil()))
		_, err := store.Get(ctx, "left")
		Expect(err).To(MatchError(kvstore.ErrNotFound))
	})

	It("counts calls by kind and result", func() {
		_, err := budget.Store(budgeted.Lease).Get(ctx, "absent")
		Expect(err).To(MatchError(kvstore.ErrNotFound))
		var page bytes.Buffer
		set.WritePrometheus(&page)
		Expect(page.String()).To(ContainSubstring(`dogwoodline_platform_calls_total{kind="get",result="refused"} 1`))
		Expect(page.String()).To(ContainSubstring(`dogwoodline_platform_calls_total{kind="put",result="ok"} 1`))
	})
})
