package memstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
)

func TestMemstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memstore")
}

var _ = Describe("Store", func() {
	var (
		ctx   = context.Background()
		clock *clockwork.FakeClock
		store *memstore.Store
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = memstore.New(clock)
	})

	It("wakes a waiting watch when a lease expires, without any other call", func() {
		lease, err := store.Grant(ctx, 3*time.Second)
		Expect(err).NotTo(HaveOccurred())
		version, err := store.Put(ctx, "member/a", []byte("a"), kvstore.Absent, lease)
		Expect(err).NotTo(HaveOccurred())
		seen := make(chan []kvstore.Event, 1)
		go func() {
			events, _, _ := store.Watch(ctx, "member/", version, 10*time.Second)
			seen <- events
		}()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(3 * time.Second)
		Eventually(seen).Should(Receive(HaveExactElements(HaveField("Deleted", true))))
	})

	It("keeps a value written without a lease when the lease of its deleted predecessor ends", func() {
		lease, err := store.Grant(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		version, err := store.Put(ctx, "k", []byte("leased"), kvstore.Absent, lease)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Delete(ctx, "k", version)).To(Succeed())
		_, err = store.Put(ctx, "k", []byte("kept"), kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(time.Second)
		item, err := store.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(item.Value).To(Equal([]byte("kept")))
	})

	It("refuses a watch from a revision before the change log", func() {
		value := make([]byte, kvstore.MaxValueBytes)
		for i := range 70 {
			_, err := store.Put(ctx, fmt.Sprint("k", i%2), value, kvstore.AnyVersion, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := store.Watch(ctx, "k", 1, 0)
		Expect(err).To(MatchError(kvstore.ErrCompacted))
		events, revision, err := store.Watch(ctx, "k", 69, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(1))
		Expect(revision).To(BeEquivalentTo(70))
	})

	It("does not share memory with its callers", func() {
		value := []byte("v")
		_, err := store.Put(ctx, "k", value, kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		value[0] = 'x'
		item, err := store.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		item.Value[0] = 'y'
		items, _, err := store.List(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(items[0].Value).To(Equal([]byte("v")))
	})
})
