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

// noRankDelay lets all nodes act at the same time, so that they race.
var noRankDelay = placement.Settings{RankDelay: time.Nanosecond}

var _ = Describe("Duty", func() {
	It("keeps every record and one owner for each shard when a node dies and two others race to take over", func(ctx SpecContext) {
		for range 10 {
			c := newCluster(ctx)
			a := c.start("a", noRankDelay, nil)
			c.start("b", noRankDelay, nil)
			c.start("c", noRankDelay, nil)
			c.setMembers(liveMembers("a", "b", "c")...)
			c.writeToEach()
			a.kill()
			c.setMembers(liveMembers("b", "c")...)
			c.confirmDead("a")
			c.writeToEach()
			c.expectSettled("", "b", "c")
			Eventually(func() bool { // the journal of a is deleted in the end
				items, _, _ := c.base.List(ctx, "journal/a/")
				return len(items) == 0
			}).Should(BeTrue())
			c.stop()
		}
	})

	It("fences an owner that was paused while its shards were taken over", func(ctx SpecContext) {
		c := newCluster(ctx)
		var mu sync.RWMutex // write-locked while the store calls of a are held
		a := c.start("a", noRankDelay, func(storefault.Call) storefault.Fault {
			mu.RLock()
			defer mu.RUnlock()
			return storefault.None
		})
		c.start("b", noRankDelay, nil)
		c.setMembers(liveMembers("a", "b")...)
		c.writeToEach()
		c.expectSettled("", "a", "b")
		program := programOwnedBy(a)
		mu.Lock()
		Expect(a.writeTo(program)).To(BeFalse())
		c.setMembers(liveMembers("b")...)
		c.confirmDead("a")
		Eventually(func() int { return len(*c.nodes["b"].serving.Load()) }).Should(Equal(testShards))
		Expect(c.nodes["b"].writeTo(program)).To(BeTrue())
		before := len(c.acked[program])
		mu.Unlock()
		Eventually(a.fenced.Load).Should(BeTrue())
		Expect(a.writeTo(program)).To(BeFalse())
		Expect(c.acked[program]).To(HaveLen(before))
		a.kill()
		c.expectSettled("", "b")
		c.stop()
	})

	It("lets the next owner replay all sources when an owner dies during adoption", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRankDelay, nil)
		c.setMembers(liveMembers("a")...)
		c.writeToEach()
		b := c.start("b", noRankDelay, nil)
		b.ignoresAdopt.Store(true) // b never completes an adoption
		a.kill()
		c.setMembers(liveMembers("b")...)
		c.confirmDead("a")
		Eventually(b.adopts.Load).Should(BeNumerically("==", testShards))
		Expect(*b.serving.Load()).To(BeEmpty(), "a shard serves only after adoption")
		b.kill()
		d := c.start("d", noRankDelay, nil)
		c.setMembers(liveMembers("d")...)
		c.confirmDead("b")
		c.expectSettled("", "d")
		c.writeToEach()
		c.expectSettled("", "d")
		Expect(d.adopts.Load()).To(BeNumerically("==", testShards))
		c.stop()
	})

	It("loses nothing in a rolling drain of all nodes", func(ctx SpecContext) {
		c := newCluster(ctx)
		names := []string{"a0", "b0", "c0"}
		for _, name := range names {
			c.start(name, noRankDelay, nil)
		}
		c.setMembers(liveMembers(names...)...)
		for round := range 2 {
			for i, old := range names {
				c.writeToEach()
				remaining := append(append([]string(nil), names[:i]...), names[i+1:]...)
				drain(c, old, remaining)
				c.writeToEach()
				c.expectSettled("after the drain of "+old, remaining...)
				names[i] = fmt.Sprint(string("abc"[i]), round+1)
				c.start(names[i], noRankDelay, nil)
				c.setMembers(liveMembers(names...)...)
				c.expectSettled("after the start of "+names[i], names...)
			}
		}
		Eventually(func() []string { // the journals of stopped nodes are deleted
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

	It("does not bring back a program that ended while another node owned its shard", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRankDelay, nil)
		c.setMembers(liveMembers("a")...)
		c.writeToEach()
		b := c.start("b", noRankDelay, nil)
		c.setMembers(liveMembers("a", "b")...)
		c.expectSettled("", "a", "b")
		ended := programOwnedBy(b)
		Expect(b.endProgram(ended)).To(BeTrue())
		Eventually(func() bool { // write until compaction has removed the program from b's journal
			c.writeToEach()
			records, err := fencedlog.Replay(ctx, c.base, "b", func(int) bool { return true })
			Expect(err).NotTo(HaveOccurred())
			return !slices.ContainsFunc(records, func(r fencedlog.Record) bool { return r.Program == ended })
		}).Should(BeTrue())
		drain(c, "b", []string{"a"})
		c.expectSettled("", "a")
		a.kill()
		d := c.start("d", noRankDelay, nil)
		c.setMembers(liveMembers("d")...)
		c.confirmDead("a")
		c.expectSettled("", "d")
		Expect((*d.serving.Load())[placement.Shard(ended, testShards)]).NotTo(HaveKey(ended))
		c.stop()
	})

	It("hands off a shard only when its appended records are durable", func(ctx SpecContext) {
		c := newCluster(ctx)
		var slow atomic.Bool
		a := c.start("a", noRankDelay, func(call storefault.Call) storefault.Fault {
			if slow.Load() && call.Key == fencedlog.HeadKey("a") {
				time.Sleep(20 * time.Millisecond)
			}
			return storefault.None
		})
		c.start("b", noRankDelay, nil)
		c.setMembers(liveMembers("a")...)
		c.writeToEach()
		slow.Store(true)
		done := make(chan bool, 2*len(programNames()))
		for _, program := range programNames() {
			Expect(a.writes.TryPush(writeRequest{program: program, done: done})).To(Succeed())
		}
		Eventually(a.writes.Len).Should(BeZero())
		c.setMembers(liveMembers("a", "b")...)
		Eventually(func() int { return len(done) }).Should(Equal(len(programNames())))
		c.expectSettled("", "a", "b")
		c.stop()
	})

	It("gets no shards from nodes that do not know that it has drained", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRankDelay, nil)
		c.start("b", noRankDelay, nil)
		c.start("c", noRankDelay, nil)
		c.setMembers(liveMembers("a", "b", "c")...) // the member view never shows that a is draining
		c.writeToEach()
		Expect(a.duty.Messages().TryPush(placement.Drain{})).To(Succeed())
		Eventually(a.shardsLeft.Load).Should(BeZero())
		owned := func() int {
			m := a.duty.View().Map
			return m.CountOwned("a")
		}
		Consistently(owned, "200ms").Should(BeZero())
		c.stop()
	})

	It("reports how many shards the last node keeps when it drains", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRankDelay, nil)
		c.setMembers(liveMembers("a")...)
		c.writeToEach()
		Expect(a.duty.Messages().TryPush(placement.Drain{})).To(Succeed())
		Eventually(a.shardsLeft.Load).Should(BeNumerically("==", testShards))
		c.stop()
	})

	It("postpones a takeover while the store is down, and cancels it if the member is back", func(ctx SpecContext) {
		c := newCluster(ctx)
		a := c.start("a", noRankDelay, nil)
		b := c.start("b", noRankDelay, nil)
		c.setMembers(liveMembers("a", "b")...)
		c.writeToEach()
		c.view.Store(&membership.View{Members: liveMembers("b"), StoreDown: true})
		c.confirmDead("a")
		Consistently(b.adopts.Load, "50ms").Should(BeZero())
		c.setMembers(liveMembers("a", "b")...)
		c.confirmDead("a")
		Consistently(b.adopts.Load, "50ms").Should(BeZero())
		c.writeToEach()
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
		a := c.startOn(store, "a", noRankDelay)
		c.setMembers(liveMembers("a")...)
		c.expectSettled("", "a")
		joined.Store(true)
		c.setMembers(liveMembers("a", "b")...)
		Eventually(lost.Load).Should(BeTrue())
		c.setMembers(liveMembers("a")...) // the handoff is no longer planned
		Consistently(func() int { return len(*a.serving.Load()) }, "100ms").Should(Equal(testShards / 2))
		Eventually(func() string { return a.duty.View().Map.Shards[0].Owner + a.duty.View().Map.Shards[testShards-1].Owner }).Should(ContainSubstring("b"))
		c.stop()
	})

	// Each run of lifecycle fails another store call of node a. The calls create the
	// map, commit records, hand off shards to a node that joins, take over shards,
	// drain the node and delete journals.
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
				if next.Load() == 0 { // let the first run count the store calls
					time.Sleep(300 * time.Millisecond)
				}
			}
			workers.Wait()
			Expect(next.Load()).To(BeNumerically(">", 30))
		})
	}
})

// lifecycle runs the nodes a, b and c and makes the k-th store call of a fail. It
// returns the number of store calls that a made.
func lifecycle(ctx SpecContext, k int64, fault storefault.Fault) int64 {
	c := newCluster(ctx)
	description := fmt.Sprintf("fault at call %d", k)
	var calls atomic.Int64
	a := c.start("a", noRankDelay, func(call storefault.Call) storefault.Fault {
		calls.Store(call.Number)
		if call.Number == k {
			return fault
		}
		return storefault.None
	})
	b := c.start("b", noRankDelay, nil)
	c.setMembers(liveMembers("a", "b")...)
	c.writeToEach()
	c.start("c", noRankDelay, nil)
	c.setMembers(liveMembers("a", "b", "c")...)
	c.expectSettled(description, "a", "b", "c")
	c.writeToEach()
	b.kill()
	c.setMembers(liveMembers("a", "c")...)
	c.confirmDead("b")
	c.expectSettled(description, "a", "c")
	c.writeToEach()
	drain(c, "a", []string{"c"})
	c.writeToEach()
	c.expectSettled(description, "c")
	Expect(a.fenced.Load()).To(BeFalse(), description)
	c.stop()
	return calls.Load()
}

// drain drains a node, seals its journal, stops it and removes it from the
// members, as if its lease had ended.
func drain(c *cluster, name string, remaining []string) {
	n := c.nodes[name]
	leaving := liveMembers(name)
	leaving[0].Draining = true
	c.setMembers(append(leaving, liveMembers(remaining...)...)...)
	Expect(n.duty.Messages().TryPush(placement.Drain{})).To(Succeed())
	Eventually(n.shardsLeft.Load).Should(BeZero(), name)
	n.writer.Appends().Close()
	// The drain sealed the journal, and another node may have deleted it.
	Expect(fencedlog.SealExisting(c.ctx, c.base, name)).To(Or(Succeed(), MatchError(kvstore.ErrNotFound)))
	n.kill()
	c.setMembers(liveMembers(remaining...)...)
	c.confirmDead(name)
}

// stop kills all nodes.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.kill()
	}
}

// programOwnedBy returns a program whose shard the node serves, or an empty
// string.
func programOwnedBy(n *testNode) string {
	for _, program := range programNames() {
		if _, ok := (*n.serving.Load())[placement.Shard(program, testShards)]; ok {
			return program
		}
	}
	return ""
}
