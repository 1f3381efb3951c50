package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/fencedlog/storefault"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/placement"
)

// noRank makes all nodes act at the same time, so that they race.
var noRank = placement.Settings{RankDelay: time.Nanosecond}

var _ = Describe("Duty", func() {
	It("keeps every record and one owner for each shard when a node dies and two others race to take over", func(ctx SpecContext) {
		for range 10 {
			c := newCluster(ctx)
			a := c.start("a", noRank, nil)
			c.start("b", noRank, nil)
			c.start("c", noRank, nil)
			c.members(live("a", "b", "c")...)
			c.writeEach()
			a.kill()
			c.members(live("b", "c")...)
			c.confirmDead("a")
			c.writeEach()
			c.settled("", "b", "c")
			Eventually(func() bool { // the sealed journal is deleted
				items, _, _ := c.base.List(ctx, "journal/a/")
				return len(items) == 0
			}).Should(BeTrue())
			c.stop()
		}
	})

	It("fences a holder that was paused while it was taken over", func(ctx SpecContext) {
		c := newCluster(ctx)
		var mu sync.RWMutex // write-locked while the store calls of a are held
		a := c.start("a", noRank, func(storefault.Call) storefault.Fault {
			mu.RLock()
			defer mu.RUnlock()
			return storefault.None
		})
		c.start("b", noRank, nil)
		c.members(live("a", "b")...)
		c.writeEach()
		c.settled("", "a", "b")
		program := ownedBy(a)
		mu.Lock()
		Expect(a.writeOn(program)).To(BeFalse())
		c.members(live("b")...)
		c.confirmDead("a")
		Eventually(func() int { return len(*c.nodes["b"].serving.Load()) }).Should(Equal(testShards))
		Expect(c.nodes["b"].writeOn(program)).To(BeTrue())
		before := len(c.acked[program])
		mu.Unlock()
		Eventually(a.fenced.Load).Should(BeTrue())
		Expect(a.writeOn(program)).To(BeFalse())
		Expect(c.acked[program]).To(HaveLen(before))
		a.kill()
		c.settled("", "b")
		c.stop()
	})

	It("lets the next owner replay all sources when an owner dies during adoption", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRank, nil)
		c.members(live("a")...)
		c.writeEach()
		b := c.start("b", noRank, nil)
		b.mute.Store(true) // never completes an adoption
		a.kill()
		c.members(live("b")...)
		c.confirmDead("a")
		Eventually(b.adopts.Load).Should(BeNumerically("==", testShards))
		Expect(*b.serving.Load()).To(BeEmpty(), "a shard serves only after adoption")
		b.kill()
		d := c.start("d", noRank, nil)
		c.members(live("d")...)
		c.confirmDead("b")
		c.settled("", "d")
		c.writeEach()
		c.settled("", "d")
		Expect(d.adopts.Load()).To(BeNumerically("==", testShards))
		c.stop()
	})

	It("loses nothing in a rolling drain of all nodes", func(ctx SpecContext) {
		c := newCluster(ctx)
		names := []string{"a0", "b0", "c0"}
		for _, name := range names {
			c.start(name, noRank, nil)
		}
		c.members(live(names...)...)
		for round := range 2 {
			for i, old := range names {
				c.writeEach()
				rest := append(append([]string(nil), names[:i]...), names[i+1:]...)
				drain(c, old, rest)
				c.writeEach()
				c.settled("after the drain of "+old, rest...)
				names[i] = fmt.Sprint(string("abc"[i]), round+1)
				c.start(names[i], noRank, nil)
				c.members(live(names...)...)
				c.settled("after the start of "+names[i], names...)
			}
		}
		Eventually(func() []string { // no journal of a stopped node stays
			items, _, _ := c.base.List(ctx, "journal/")
			var left []string
			for _, item := range items {
				if !strings.Contains(strings.Join(names, " "), strings.Split(item.Key, "/")[1]) {
					left = append(left, item.Key)
				}
			}
			return left
		}).Should(BeEmpty())
		c.stop()
	})

	It("does not bring back a program that ended while its shard was at another node", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRank, nil)
		c.members(live("a")...)
		c.writeEach()
		b := c.start("b", noRank, nil)
		c.members(live("a", "b")...)
		c.settled("", "a", "b")
		ended := ownedBy(b)
		Expect(b.end(ended)).To(BeTrue())
		Eventually(func() bool { // written until compaction has removed the program from b's journal
			c.writeEach()
			records, err := fencedlog.Replay(ctx, c.base, "b", func(int) bool { return true })
			Expect(err).NotTo(HaveOccurred())
			return !slices.ContainsFunc(records, func(r fencedlog.Record) bool { return r.Program == ended })
		}).Should(BeTrue())
		drain(c, "b", []string{"a"})
		c.settled("", "a")
		a.kill()
		d := c.start("d", noRank, nil)
		c.members(live("d")...)
		c.confirmDead("a")
		c.settled("", "d")
		Expect((*d.serving.Load())[placement.Shard(ended, testShards)]).NotTo(HaveKey(ended))
		c.stop()
	})

	It("hands a shard off only when its appended records are durable", func(ctx SpecContext) {
		c := newCluster(ctx)
		var slow atomic.Bool
		a := c.start("a", noRank, func(call storefault.Call) storefault.Fault {
			if slow.Load() && call.Key == fencedlog.HeadKey("a") {
				time.Sleep(20 * time.Millisecond)
			}
			return storefault.None
		})
		c.start("b", noRank, nil)
		c.members(live("a")...)
		c.writeEach()
		slow.Store(true)
		done := make(chan bool, 2*len(programs()))
		for _, program := range programs() {
			Expect(a.writes.TryPush(write{program: program, done: done})).To(Succeed())
		}
		Eventually(a.writes.Len).Should(BeZero())
		c.members(live("a", "b")...)
		Eventually(func() int { return len(done) }).Should(Equal(len(programs())))
		c.settled("", "a", "b")
		c.stop()
	})

	It("gets no shard back from nodes that do not know yet that it drained", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRank, nil)
		c.start("b", noRank, nil)
		c.start("c", noRank, nil)
		c.members(live("a", "b", "c")...) // the member view keeps on showing a as a usual member
		c.writeEach()
		Expect(a.duty.Messages().TryPush(placement.Drain{})).To(Succeed())
		Eventually(a.left.Load).Should(BeZero())
		owned := func() int {
			m := a.duty.View().Map
			return m.Owned("a")
		}
		Consistently(owned, "200ms").Should(BeZero())
		c.stop()
	})

	It("reports the shards that are left when the last node drains", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRank, nil)
		c.members(live("a")...)
		c.writeEach()
		Expect(a.duty.Messages().TryPush(placement.Drain{})).To(Succeed())
		Eventually(a.left.Load).Should(BeNumerically("==", testShards))
		c.stop()
	})

	It("waits for the store's recovery before a takeover, and gives up if the member is back", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRank, nil)
		b := c.start("b", noRank, nil)
		c.members(live("a", "b")...)
		c.writeEach()
		c.view.Store(&membership.View{Members: live("b"), StoreDown: true})
		c.confirmDead("a")
		Consistently(b.adopts.Load, "50ms").Should(BeZero())
		c.members(live("a", "b")...)
		c.confirmDead("a")
		Consistently(b.adopts.Load, "50ms").Should(BeZero())
		c.writeEach()
		Expect(a.fenced.Load()).To(BeFalse())
		c.stop()
	})

	It("does not serve a shard again while a lost handoff may still take effect", func(ctx SpecContext) {
		c := newCluster(ctx)
		var joined, lost atomic.Bool
		store := storefault.New(c.base, func(call storefault.Call) storefault.Fault {
			switch {
			case !joined.Load() || call.Op != "put" || call.Key != placement.MapKey:
				return storefault.None
			case lost.CompareAndSwap(false, true):
				return storefault.AppliedLate
			default:
				return storefault.Unavailable
			}
		})
		store.ApplyDelay = 200 * time.Millisecond
		a := c.startOn(store, "a", noRank)
		c.members(live("a")...)
		c.settled("", "a")
		joined.Store(true)
		c.members(live("a", "b")...)
		Eventually(lost.Load).Should(BeTrue())
		c.members(live("a")...) // the handoff is not wanted any more
		Consistently(func() int { return len(*a.serving.Load()) }, "100ms").Should(Equal(testShards / 2))
		Eventually(func() string { return a.duty.View().Map.Shards[0].Owner + a.duty.View().Map.Shards[testShards-1].Owner }).Should(ContainSubstring("b"))
		c.stop()
	})

	// Fails the k-th store call of one node, through the creation of the map,
	// commits, a join with handoffs, a takeover, a drain and deletions.
	for _, fault := range []storefault.Fault{storefault.Unavailable, storefault.RequestLost, storefault.AnswerLost, storefault.AppliedLate} {
		It(fmt.Sprintf("survives a failure of each store call (fault %d)", fault), func(ctx SpecContext) {
			var next, last atomic.Int64
			last.Store(1)
			var workers sync.WaitGroup
			for range 6 {
				workers.Go(func() {
					defer GinkgoRecover()
					for k := next.Add(1); k <= last.Load(); k = next.Add(1) {
						calls := lifecycle(ctx, k, fault)
						for old := last.Load(); old < calls && !last.CompareAndSwap(old, calls); old = last.Load() {
						}
					}
				})
				if next.Load() == 0 { // the first run tells how many calls there are
					time.Sleep(300 * time.Millisecond)
				}
			}
			workers.Wait()
			Expect(next.Load()).To(BeNumerically(">", 30))
		})
	}
})

// lifecycle runs the nodes a, b and c, where the k-th store call of a fails,
// and returns how many calls a made.
func lifecycle(ctx SpecContext, k int64, fault storefault.Fault) int64 {
	c := newCluster(ctx)
	note := fmt.Sprintf("fault at call %d", k)
	var calls atomic.Int64
	a := c.start("a", noRank, func(call storefault.Call) storefault.Fault {
		calls.Store(call.Number)
		if call.Number == k {
			return fault
		}
		return storefault.None
	})
	b := c.start("b", noRank, nil)
	c.members(live("a", "b")...)
	c.writeEach()
	c.start("c", noRank, nil)
	c.members(live("a", "b", "c")...)
	c.settled(note, "a", "b", "c")
	c.writeEach()
	b.kill()
	c.members(live("a", "c")...)
	c.confirmDead("b")
	c.settled(note, "a", "c")
	c.writeEach()
	drain(c, "a", []string{"c"})
	c.writeEach()
	c.settled(note, "c")
	Expect(a.fenced.Load()).To(BeFalse(), note)
	c.stop()
	return calls.Load()
}

// drain hands over the shards of a node, stops and seals it, and lets its lease
// end.
func drain(c *cluster, name string, rest []string) {
	n := c.nodes[name]
	leaving := live(name)
	leaving[0].Draining = true
	c.members(append(leaving, live(rest...)...)...)
	Expect(n.duty.Messages().TryPush(placement.Drain{})).To(Succeed())
	Eventually(n.left.Load).Should(BeZero(), name)
	n.writer.Appends().Close()
	// The drain sealed the journal, and another node may have deleted it.
	Expect(fencedlog.SealExisting(c.ctx, c.base, name)).To(Or(Succeed(), MatchError(kvstore.ErrNotFound)))
	n.kill()
	c.members(live(rest...)...)
	c.confirmDead(name)
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.kill()
	}
}

func ownedBy(n *testNode) string {
	for _, program := range programs() {
		if _, ok := (*n.serving.Load())[placement.Shard(program, testShards)]; ok {
			return program
		}
	}
	return ""
}
