package config_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/config"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/outcome"
	"dogwoodline.example/resource"
)

var _ = Describe("Config", func() {
	ctx := context.Background()

	// Within the bound of G10, 11 s of fake time. Each node has two duties
	// that wait for the clock, which moves on when all of them wait again.
	const bound, step, timersPerNode = 11 * time.Second, 100 * time.Millisecond, 2

	DescribeTable("has an accepted change in force everywhere within 11 s when an outage begins right after it",
		func(losePushes bool) {
			clock := clockwork.NewFakeClock()
			c := newCluster(clock)
			nodes := c.addReady(7)
			first := accept(nodes[0], "old", kvstore.Absent)
			for _, node := range nodes {
				Eventually(func() string { return modelOn(node) }, "10s").Should(Equal("old"))
			}
			Expect(clock.BlockUntilContext(ctx, timersPerNode*len(nodes))).To(Succeed())
			c.losePushes.Store(losePushes)
			c.store.mu.Lock()
			c.store.downAfter = true
			c.store.mu.Unlock()
			accept(nodes[0], "new", first)
			for range bound / step {
				Expect(clock.BlockUntilContext(ctx, timersPerNode*len(nodes))).To(Succeed())
				clock.Advance(step)
			}
			for _, node := range nodes {
				Eventually(func() string { return modelOn(node) }, "10s").Should(Equal("new"))
			}
		},
		Entry("and the pushes arrive", false),
		Entry("and the pushes at acceptance are lost", true),
	)

	It("gets its configuration from a peer at a start during an outage, deletions included", func() {
		c := newCluster(clockwork.NewFakeClock())
		old := c.addReady(2)
		version := accept(old[0], "kept", kvstore.Absent)
		gone := resource.ID{Kind: resource.KindPool, Name: "gone"}
		created := old[0].Put(ctx, config.Write{ID: gone, Spec: &resource.Pool{Model: "m", Role: resource.RoleBoth}})
		Expect(old[0].Delete(ctx, gone, created.Version).Outcome.Code).To(Equal(outcome.Completed))
		Eventually(func() kvstore.Version { return old[1].Snapshot().Revision() }, "10s").Should(Equal(created.Version + 1))
		c.store.setDown(true)
		node := c.addReady(1)[0]
		Expect(modelOn(node)).To(Equal("kept"))
		late := resource.Change{ID: gone, Version: created.Version, Spec: &resource.Pool{Model: "m"}}
		older := resource.Change{ID: poolID, Version: version - 1, Spec: &resource.Pool{Model: "older"}}
		newer := resource.Change{ID: poolID, Version: created.Version + 2, Spec: &resource.Pool{Model: "newer"}}
		Expect(node.Offer([]resource.Change{late, older})).To(Succeed())
		Expect(node.Offer([]resource.Change{newer})).To(Succeed())
		Eventually(func() string { return modelOn(node) }, "10s").Should(Equal("newer"))
		_, exists := node.Snapshot().Pool(gone.Name)
		Expect(exists).To(BeFalse())
		c.store.setDown(false)
		Expect(modelOn(node)).To(Equal("newer"))
	})

	// The highest revision is the same on both nodes, so comparing only that
	// would leave the gap below it open.
	DescribeTable("closes a gap below its highest revision during an outage",
		func(cutPulls string) {
			clock := clockwork.NewFakeClock()
			c := newCluster(clock)
			nodes := c.addReady(2)
			c.cutPulls.Store(cutPulls)
			c.store.setDown(true)
			missed := resource.Change{ID: poolID, Version: 11, Spec: &resource.Pool{Model: "missed"}}
			other := resource.ID{Kind: resource.KindPool, Name: "other"}
			seen := resource.Change{ID: other, Version: 12, Spec: &resource.Pool{Model: "seen"}}
			Expect(nodes[0].Offer([]resource.Change{missed, seen})).To(Succeed())
			Expect(nodes[1].Offer([]resource.Change{seen})).To(Succeed())
			Eventually(func() string {
				clock.Advance(time.Second)
				return modelOn(nodes[1])
			}, "10s").Should(Equal("missed"))
		},
		Entry("by its own pull", "n0"),
		Entry("by a push of the peer that pulled from it", "n1"),
	)

	It("sees a deletion that the store dropped from its changes during an outage", func() {
		clock := clockwork.NewFakeClock()
		c := newCluster(clock)
		node := c.addReady(1)[0]
		version := accept(node, "m", kvstore.Absent)
		c.store.setDown(true)
		Expect(c.store.Delete(ctx, config.Prefix+poolID.String(), version)).To(Succeed())
		for range 70 { // more than the 64 MiB of changes that the store keeps
			_, err := c.store.Store.Put(ctx, "large", make([]byte, kvstore.MaxValueBytes), kvstore.AnyVersion, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		c.store.setDown(false)
		Eventually(func() string {
			clock.Advance(time.Second)
			return modelOn(node)
		}, "10s").Should(BeEmpty())
	})

	It("is not ready while neither the store nor a peer has a full view", func() {
		c := newCluster(clockwork.NewFakeClock())
		c.store.setDown(true)
		a, b := c.add(), c.add()
		Consistently(func() bool { return a.Ready() || b.Ready() }, "100ms").Should(BeFalse())
		Expect(a.Put(ctx, write("m", kvstore.Absent)).Outcome.Code).To(Equal(outcome.NotRun))
	})

	It("lets exactly one of two racing operators win and tells the other the winner's version", func() {
		nodes := newCluster(clockwork.NewRealClock()).addReady(2)
		expected := kvstore.Absent
		for range 50 {
			results := make(chan config.Result, 2)
			go func() { results <- nodes[0].Put(ctx, write("from-0", expected)) }()
			go func() { results <- nodes[1].Put(ctx, write("from-1", expected)) }()
			won, lost := <-results, <-results
			if won.Outcome.Code != outcome.Completed {
				won, lost = lost, won
			}
			Expect(won.Outcome.Code).To(Equal(outcome.Completed))
			Expect(lost.Outcome).To(HaveField("Reason", outcome.Conflict))
			Expect(lost.Version).To(Equal(won.Version))
			expected = won.Version
		}
	})

	It("accepts a repeated write whose answer was lost, without writing twice", func() {
		c := newCluster(clockwork.NewRealClock())
		node := c.addReady(1)[0]
		first := accept(node, "first", kvstore.Absent)
		c.store.mu.Lock()
		c.store.downAfter, c.store.answersLost = true, true
		c.store.mu.Unlock()
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		Expect(node.Put(short, write("second", first)).Outcome.Code).To(Equal(outcome.Unknown))
		c.store.setDown(false)
		second := accept(node, "second", first)
		Expect(second).To(Equal(first + 1))
		Expect(accept(node, "second", first)).To(Equal(second))
		Expect(node.Put(ctx, write("third", first)).Outcome.Reason).To(Equal(outcome.Conflict))
		// The same content on top of another version is not a repetition.
		Expect(node.Put(ctx, write("second", first-1)).Outcome.Reason).To(Equal(outcome.Conflict))
	})

	It("can create a deleted resource again, and refuses a second creation", func() {
		node := newCluster(clockwork.NewRealClock()).addReady(1)[0]
		version := accept(node, "a", kvstore.Absent)
		Expect(node.Delete(ctx, poolID, version).Outcome.Code).To(Equal(outcome.Completed))
		Expect(node.Delete(ctx, poolID, version).Outcome.Code).To(Equal(outcome.Completed))
		Expect(modelOn(node)).To(BeEmpty())
		accept(node, "b", kvstore.Absent)
		Expect(node.Put(ctx, write("c", kvstore.Absent)).Outcome.Reason).To(Equal(outcome.Conflict))
		accept(node, "d", kvstore.AnyVersion)
		Expect(modelOn(node)).To(Equal("d"))
	})
})
