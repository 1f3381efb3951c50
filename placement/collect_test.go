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

// holderSet stands in for the holders h1 and h2, both as the client that the
// journal writer copies records with and as the Collector. Both holders return
// the same copies.
type holderSet struct {
	mu      sync.Mutex
	copies  []fencedlog.Copy
	answers map[string]error // error of Collect, by holder; nil if the holder answers
	calls   map[string]int   // calls of Collect, by holder
}

func (h *holderSet) Holders() []string { return []string{"h1", "h2"} }

func (h *holderSet) Hold(_ context.Context, holder, _ string, c fencedlog.Copy) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if holder == "h1" {
		h.copies = append(h.copies, c)
	}
	return nil
}

func (h *holderSet) Drop(context.Context, string, string, uint64) error { return nil }

func (h *holderSet) Collect(_ context.Context, holder, _ string) ([]fencedlog.Copy, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[holder]++
	return h.copies, h.answers[holder]
}

var _ = Describe("Adoption of a journal with copies", func() {
	errNoAnswer := errors.New("holder does not answer")
	// takeOver lets node b take over the shards of the dead node a. The last record
	// of a's journal exists only at the holders, because the store was down. It
	// returns the cluster, b, and a function for the adopted data of program0.
	takeOver := func(ctx context.Context, h *holderSet) (*cluster, *testNode, func() []string) {
		h.calls = map[string]int{}
		c := newCluster(ctx)
		var storeDown atomic.Bool
		store := storefault.New(c.base, func(storefault.Call) storefault.Fault {
			if storeDown.Load() {
				return storefault.Unavailable
			}
			return storefault.None
		})
		dead := fencedlog.NewWriter(store, clock, discardLog, "a", fencedlog.Settings{})
		dead.EnableCopies(h, h)
		deadCtx, kill := context.WithCancel(ctx)
		go dead.Run(deadCtx)
		appendOf := func(seq uint64, data string) fencedlog.Append {
			shard := placement.Shard("program0", testShards)
			return fencedlog.Append{Tag: seq, Records: []fencedlog.Record{{Shard: shard, Program: "program0", Seq: seq, Data: []byte(data)}}}
		}
		Expect(dead.Appends().TryPush(appendOf(1, "stored"))).To(Succeed())
		Expect(dead.Completions().Pop(ctx)).To(Equal(fencedlog.Committed{Tags: []uint64{1}}))
		storeDown.Store(true)
		Expect(dead.Appends().TryPush(appendOf(2, "copied"))).To(Succeed())
		Expect(dead.Completions().Pop(ctx)).To(Equal(fencedlog.Copied{Tags: []uint64{2}}))
		kill()
		m := placement.NewMap(testShards)
		m.Assign([]string{"a"})
		value, err := m.Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = c.base.Put(ctx, placement.MapKey, value, kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		c.collector = h
		b := c.start("b", noRankDelay, nil)
		c.setMembers(liveMembers("b")...)
		c.confirmDead("a")
		return c, b, func() []string { return (*b.serving.Load())[placement.Shard("program0", testShards)]["program0"] }
	}

	It("includes records that only holders have", func(ctx SpecContext) {
		h := &holderSet{answers: map[string]error{"h1": errNoAnswer}}
		c, _, adopted := takeOver(ctx, h)
		Eventually(adopted, "10s").Should(Equal([]string{"stored", "copied"}))
		c.stop()
	})

	It("waits while no holder answers but one of them may answer later", func(ctx SpecContext) {
		h := &holderSet{answers: map[string]error{"h1": placement.ErrHolderGone, "h2": errNoAnswer}}
		c, b, adopted := takeOver(ctx, h)
		Consistently(b.adopts.Load, 300*time.Millisecond).Should(BeZero())
		h.mu.Lock()
		Expect(h.calls["h2"]).To(BeNumerically(">", 1))
		h.answers["h2"] = nil
		h.mu.Unlock()
		Eventually(adopted, "10s").Should(Equal([]string{"stored", "copied"}))
		c.stop()
	})

	It("completes without copies when no holder exists any more", func(ctx SpecContext) {
		h := &holderSet{answers: map[string]error{"h1": placement.ErrHolderGone, "h2": placement.ErrHolderGone}}
		c, _, adopted := takeOver(ctx, h)
		Eventually(adopted, "10s").Should(Equal([]string{"stored"}))
		c.stop()
	})
})
