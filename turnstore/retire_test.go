package turnstore

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/copyset"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/turnstore/turnpb"
)

// heldStore holds a write of the copy set back until release is closed, once it
// is armed.
type heldStore struct {
	kvstore.Store
	armed   atomic.Bool
	held    chan struct{} // closed when the first write is held
	release chan struct{}
}

func (s *heldStore) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	if key == copyset.Key && s.armed.CompareAndSwap(true, false) {
		close(s.held)
		select {
		case <-s.release:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return s.Store.Put(ctx, key, value, expected, lease)
}

var _ = Describe("Retirement", func() {
	ordered := time.Unix(1000, 0)
	after := func(r *retirement, costsTolerance, othersPresent bool) time.Duration {
		return r.leaveTime(costsTolerance, othersPresent).Sub(ordered)
	}

	// Guards against a set of three that goes down to two as soon as the operator
	// asks: until the next disk joins, the loss of one more stops all turns. Seen
	// on a mixed day of the tutors' deployment, where 766 requests were refused.
	It("leaves the copy set late if that costs tolerance, and later while a member is missing", func() {
		r := newRetirement(RetireOrder{Within: 8 * time.Second}, ordered)
		Expect(after(r, false, true)).To(BeZero())
		Expect(after(r, true, true)).To(Equal(4 * time.Second))
		Expect(after(r, true, false)).To(Equal(6500 * time.Millisecond))
	})

	It("leaves at once if the order gives no time", func() {
		r := newRetirement(RetireOrder{}, ordered)
		Expect(after(r, true, false)).To(BeZero())
	})

	It("keeps three members until half of the order's time has passed", func() {
		c := newCluster("a", "b", "c")
		c.notify("c")
		Expect(c.stores["c"].joiner.Updates().TryPush(Update{Retire: &RetireOrder{Within: 3 * time.Second}})).To(Succeed())
		Consistently(func() int { return len(c.set().Members) }, "1300ms", "20ms").Should(Equal(3))
		Eventually(func() int { return len(c.set().Members) }, "3s", "20ms").Should(Equal(2))
	})

	// Guards against a record that this disk and one other acknowledge after the
	// last transfer: the remaining members would then hold it on too few disks,
	// and a reader could be told that the turn was never stored.
	It("refuses records between its last transfer and its leaving", func() {
		c := newCluster("a", "b", "c")
		held := &heldStore{Store: c.kv, held: make(chan struct{}), release: make(chan struct{})}
		c.startOn("d", GinkgoT().TempDir(), held)
		d := c.stores["d"]
		c.notify("d")
		held.armed.Store(true)
		Expect(d.joiner.Updates().TryPush(Update{Retire: &RetireOrder{}})).To(Succeed())
		Eventually(held.held, "5s").Should(BeClosed())
		reply, err := d.server.Exchange(context.Background(), &turnpb.ExchangeRequest{
			CopySet: c.set().Version, Records: []*turnpb.Record{turnRecord("late", "", "x", time.Hour)},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(turnpb.Status_STATUS_STALE))
		close(held.release)
		Eventually(func() int { return len(c.set().Members) }, "5s", "10ms").Should(Equal(3))
	})

	// Guards against a disk that cannot be emptied in time because another member
	// is down, although the members that are left form a majority.
	It("completes while another member is down", func() {
		c := newCluster("a", "b", "c", "d", "e")
		Expect(do(c.newClient(), Operation{Records: []*turnpb.Record{turnRecord("t1", "", "one", time.Hour)}}).Verdict).To(Equal(Stored))
		c.stop(c.stores["a"])
		c.notify("e")
		Expect(c.stores["e"].joiner.Updates().TryPush(Update{Retire: &RetireOrder{}})).To(Succeed())
		Eventually(func() string {
			item, _ := c.kv.Get(context.Background(), "report/e")
			return string(item.Value)
		}, "8s", "10ms").Should(Equal("true"))
		Expect(do(c.newClient(), Operation{Chain: "t1"}).Verdict).To(Equal(Stored))
	})
})
