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

	// Guarantee G10 allows 11 s, here of the fake clock. Two duties of each
	// node wait on timers; the clock advances only when all of them wait again.
	const bound, step, timersPerNode = 11 * time.Second, 100 * time.Millisecond, 2

	DescribeTable("applies an accepted change on every node within 11 s when a store outage begins right after the write",
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
			c.store.downAfterWrite = true
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
		Entry("with pushes delivered", false),
		Entry("with the broadcast of the accepted write lost", true),
	)

	It("gets the resources and tombstones from a peer when it starts during a store outage", func() {
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
		Expect(node.HandlePush([]resource.Change{late, older})).To(Succeed())
		Expect(node.HandlePush([]resource.Change{newer})).To(Succeed())
		Eventually(func() string { return modelOn(node) }, "10s").Should(Equal("newer"))
		_, exists := node.Snapshot().Pool(gone.Name)
		Expect(exists).To(BeFalse())
		c.store.setDown(false)
		Expect(modelOn(node)).To(Equal("newer"))
	})

	// Both nodes have the same highest revision, so a comparison of that alone
	// would not find the change that one of them lacks below it.
	DescribeTable("gets a change that it lacks below its highest revision during a store outage",
		func(failPullsOf string) {
			clock := clockwork.NewFakeClock()
			c := newCluster(clock)
			nodes := c.addReady(2)
			c.failPullsOf.Store(failPullsOf)
			c.store.setDown(true)
			missed := resource.Change{ID: poolID, Version: 11, Spec: &resource.Pool{Model: "missed"}}
			other := resource.ID{Kind: resource.KindPool, Name: "other"}
			seen := resource.Change{ID: other, Version: 12, Spec: &resource.Pool{Model: "seen"}}
			Expect(nodes[0].HandlePush([]resource.Change{missed, seen})).To(Succeed())
			Expect(nodes[1].HandlePush([]resource.Change{seen})).To(Succeed())
			Eventually(func() string {
				clock.Advance(time.Second)
				return modelOn(nodes[1])
			}, "10s").Should(Equal("missed"))
		},
		Entry("by its own pull", "n0"),
		Entry("by a push from a peer that pulled from it", "n1"),
	)

	It("finds a deletion whose event the store compacted during an outage", func() {
		clock := clockwork.NewFakeClock()
		c := newCluster(clock)
		node := c.addReady(1)[0]
		version := accept(node, "m", kvstore.Absent)
		c.store.setDown(true)
		Expect(c.store.Delete(ctx, config.KeyPrefix+poolID.String(), version)).To(Succeed())
		for range 70 { // 70 MiB exceed the 64 MiB of changes that the store keeps
			_, err := c.store.Store.Put(ctx, "large", make([]byte, kvstore.MaxValueBytes), kvstore.AnyVersion, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		c.store.setDown(false)
		Eventually(func() string {
			clock.Advance(time.Second)
			return modelOn(node)
		}, "10s").Should(BeEmpty())
	})

	It("is not ready until the store or a peer provides the full list of resources", func() {
		c := newCluster(clockwork.NewFakeClock())
		c.store.setDown(true)
		a, b := c.add(), c.add()
		Consistently(func() bool { return a.Ready() || b.Ready() }, "100ms").Should(BeFalse())
		Expect(a.Put(ctx, write("m", kvstore.Absent)).Outcome.Code).To(Equal(outcome.NotRun))
	})

	It("accepts exactly one of two concurrent writes and returns its version to the other operator", func() {
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

	It("accepts the retry of a write whose answer was lost, without writing twice", func() {
		c := newCluster(clockwork.NewRealClock())
		node := c.addReady(1)[0]
		first := accept(node, "first", kvstore.Absent)
		c.store.mu.Lock()
		c.store.downAfterWrite, c.store.loseAnswer = true, true
		c.store.mu.Unlock()
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		Expect(node.Put(short, write("second", first)).Outcome.Code).To(Equal(outcome.Unknown))
		c.store.setDown(false)
		second := accept(node, "second", first)
		Expect(second).To(Equal(first + 1))
		Expect(accept(node, "second", first)).To(Equal(second))
		Expect(node.Put(ctx, write("third", first)).Outcome.Reason).To(Equal(outcome.Conflict))
		// The same content with another expected version is not a retry.
		Expect(node.Put(ctx, write("second", first-1)).Outcome.Reason).To(Equal(outcome.Conflict))
	})

	It("recreates a deleted resource and rejects the creation of an existing one", func() {
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
