package placement_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/fencedlog/storefault"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/placement"
)

// vault is a set of holders in one place, and their Collector.
type vault struct {
	mu      sync.Mutex
	copies  []fencedlog.Copy
	answers map[string]error // of holders that do not answer
	asked   map[string]int
}

func (v *vault) Holders() []string { return []string{"h1", "h2"} }

func (v *vault) Hold(_ context.Context, holder, _ string, c fencedlog.Copy) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if holder == "h1" {
		v.copies = append(v.copies, c)
	}
	return nil
}

func (v *vault) Drop(context.Context, string, string, uint64) error { return nil }

func (v *vault) Collect(_ context.Context, holder, _ string) ([]fencedlog.Copy, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked[holder]++
	return v.copies, v.answers[holder]
}

var _ = Describe("Adoption of a journal with copies", func() {
	silent := errors.New("no answer")
	// adopts takes a journal over whose last record is at holders only.
	adopts := func(ctx context.Context, v *vault) (*cluster, *testNode, func() []string) {
		v.asked = map[string]int{}
		c := newCluster(ctx)
		var down atomic.Bool
		store := storefault.New(c.base, func(storefault.Call) storefault.Fault {
			if down.Load() {
				return storefault.Unavailable
			}
			return storefault.None
		})
		dead := fencedlog.NewWriter(store, clock, quiet, "a", fencedlog.Settings{})
		dead.EnableCopies(v, v)
		owned, kill := context.WithCancel(ctx)
		go dead.Run(owned)
		r := func(seq uint64, data string) fencedlog.Append {
			shard := placement.Shard("program0", testShards)
			return fencedlog.Append{Tag: seq, Records: []fencedlog.Record{{Shard: shard, Program: "program0", Seq: seq, Data: []byte(data)}}}
		}
		Expect(dead.Appends().TryPush(r(1, "stored"))).To(Succeed())
		Expect(dead.Completions().Pop(ctx)).To(Equal(fencedlog.Committed{Tags: []uint64{1}}))
		down.Store(true)
		Expect(dead.Appends().TryPush(r(2, "copied"))).To(Succeed())
		Expect(dead.Completions().Pop(ctx)).To(Equal(fencedlog.Copied{Tags: []uint64{2}}))
		kill()
		m := placement.NewMap(testShards)
		m.Assign([]string{"a"})
		value, err := m.Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = c.base.Put(ctx, placement.MapKey, value, kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		c.collector = v
		b := c.start("b", noRank, nil)
		c.members(live("b")...)
		c.confirmDead("a")
		return c, b, func() []string { return (*b.serving.Load())[placement.Shard("program0", testShards)]["program0"] }
	}

	It("includes what only a holder has", func(ctx SpecContext) {
		v := &vault{answers: map[string]error{"h1": silent}}
		c, _, adopted := adopts(ctx, v)
		Eventually(adopted, "10s").Should(Equal([]string{"stored", "copied"}))
		c.stop()
	})

	It("waits while a holder may still answer, and no other has", func(ctx SpecContext) {
		v := &vault{answers: map[string]error{"h1": placement.ErrHolderGone, "h2": silent}}
		c, b, adopted := adopts(ctx, v)
		Consistently(b.adopts.Load, 300*time.Millisecond).Should(BeZero())
		v.mu.Lock()
		Expect(v.asked["h2"]).To(BeNumerically(">", 1))
		v.answers["h2"] = nil
		v.mu.Unlock()
		Eventually(adopted, "10s").Should(Equal([]string{"stored", "copied"}))
		c.stop()
	})

	It("goes on without copies when both holders are gone", func(ctx SpecContext) {
		v := &vault{answers: map[string]error{"h1": placement.ErrHolderGone, "h2": placement.ErrHolderGone}}
		c, _, adopted := adopts(ctx, v)
		Eventually(adopted, "10s").Should(Equal([]string{"stored"}))
		c.stop()
	})
})
