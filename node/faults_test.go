package node_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// remove takes a node out of the list of entries.
func (c *cluster) remove(m *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, candidate := range c.nodes {
		if candidate == m {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
		}
	}
}

// cut parts all nodes from the platform store, or joins them again.
func (c *cluster) cut(off bool) {
	for _, m := range c.nodes {
		m.store.cut.Store(off)
	}
}

var _ = Describe("programs under failure", func() {
	It("go on after their owner is killed, with every effect once", func(ctx context.Context) {
		c := newCluster(ctx, 4, 3)
		w := &workload{c: c}
		w.start(40, 8)
		time.Sleep(300 * time.Millisecond)
		victim := c.nodes[1]
		c.remove(victim)
		victim.kill()
		w.wait.Wait()
		GinkgoWriter.Println(w.outcomes())
		w.check()
	}, NodeTimeout(60*time.Second))

	It("go on when each node is stopped in turn as planned, with no failed call", func(ctx context.Context) {
		c := newCluster(ctx, 3, 3)
		w := &workload{c: c}
		w.start(30, 12)
		for i, old := range append([]*member(nil), c.nodes...) {
			time.Sleep(200 * time.Millisecond)
			fresh := c.add([]string{"n4", "n5", "n6"}[i], "z1")
			Eventually(fresh.Service().Ready, "5s", "20ms").Should(Succeed())
			c.remove(old)
			bounded, cancel := context.WithTimeout(ctx, 20*time.Second)
			Expect(old.Drain(bounded)).To(Succeed())
			cancel()
			Expect(old.Leave(ctx)).To(Succeed())
		}
		w.wait.Wait()
		GinkgoWriter.Println(w.outcomes())
		Expect(w.outcomes()).To(HaveLen(1), "only completed calls: %v", w.outcomes())
		w.check()
	}, NodeTimeout(90*time.Second))

	// Guards against a node that holds calls back although two peers can record
	// them, and against answers that the store does not have in the end.
	It("go on without the platform store, recorded through copies at peers", func(ctx context.Context) {
		c := newCluster(ctx, 3, 2)
		s := c.nodes[0].Service()
		Expect(s.Start(ctx, "acme", api.StartRequest{ID: "p", Class: "agent"}).Outcome.Code).To(Equal(outcome.Completed))
		c.cut(true)
		time.Sleep(2 * testLease) // all leases lapse
		asked := s.Call(ctx, "acme", "p", ask(1, "hello"), nil)
		Expect(asked.Outcome.Code).To(Equal(outcome.Completed), "%+v", asked.Outcome)
		posted := s.Call(ctx, "acme", "p", post(2, `{}`), nil)
		Expect(posted.Outcome.Code).To(Equal(outcome.Completed), "%+v", posted.Outcome)
		Expect(posted.Recorded).To(BeTrue())
		Expect(c.effects()).To(Equal(map[string]int{"p:r2": 1}))
		Eventually(func() bool { return s.Call(ctx, "acme", "p", ask(1, "hello"), nil).Recorded }).Should(BeTrue())
		c.cut(false)
		again := s.Call(ctx, "acme", "p", ask(1, "hello"), nil)
		Expect(again.Recorded).To(BeTrue())
		Expect(string(again.Answer)).To(Equal(string(asked.Answer)))
		Expect(s.Call(ctx, "acme", "p", post(2, `{}`), nil).Outcome.Code).To(Equal(outcome.Completed))
		Expect(c.effects()).To(Equal(map[string]int{"p:r2": 1}))
	}, NodeTimeout(60*time.Second))

	It("without peers hold postings back while the platform store is down, and are recorded once it is back", func(ctx context.Context) {
		c := newCluster(ctx, 1, 2)
		s := c.nodes[0].Service()
		Expect(s.Start(ctx, "acme", api.StartRequest{ID: "p", Class: "agent"}).Outcome.Code).To(Equal(outcome.Completed))
		c.cut(true)
		time.Sleep(2 * testLease) // the lease lapses
		asked := s.Call(ctx, "acme", "p", ask(1, "hello"), nil)
		Expect(asked.Outcome.Code).To(Equal(outcome.Completed), "%+v", asked.Outcome)
		Expect(asked.Recorded).To(BeFalse())
		posting := post(2, `{}`)
		posting.DeadlineMS = 500
		posted := s.Call(ctx, "acme", "p", posting, nil)
		Expect(posted.Outcome.Code).To(Equal(outcome.NotRun), "%+v", posted.Outcome)
		Expect(c.effects()).To(BeEmpty())
		c.cut(false)
		posting.DeadlineMS = 8000
		Eventually(func() outcome.Code { return s.Call(ctx, "acme", "p", posting, nil).Outcome.Code }, "10s").
			Should(Equal(outcome.Completed))
		again := s.Call(ctx, "acme", "p", ask(1, "hello"), nil)
		Expect(again.Recorded).To(BeTrue())
		Expect(string(again.Answer)).To(Equal(string(asked.Answer)))
		Expect(c.effects()).To(Equal(map[string]int{"p:r2": 1}))
	}, NodeTimeout(60*time.Second))

	// Guards against the loss of what was recorded at holders only when its
	// owner dies before the store is back.
	It("go on after their owner is killed during an outage of the platform store", func(ctx context.Context) {
		c := newCluster(ctx, 4, 3)
		w := &workload{c: c, pace: 300 * time.Millisecond}
		w.start(24, 12)
		time.Sleep(200 * time.Millisecond)
		c.cut(true)
		before := w.recorded(program.Service)
		time.Sleep(2 * testLease)
		Eventually(func() int { return w.recorded(program.Service) }, "10s").Should(BeNumerically(">", before+24))
		victim := c.nodes[1]
		c.remove(victim)
		victim.kill()
		time.Sleep(2 * testLease)
		c.cut(false)
		w.wait.Wait()
		GinkgoWriter.Println(w.outcomes())
		w.check()
		w.checkComplete(24, 12)
	}, NodeTimeout(60*time.Second))

	It("move from a node that is cut from the platform store only", func(ctx context.Context) {
		c := newCluster(ctx, 3, 2)
		w := &workload{c: c}
		w.start(20, 8)
		time.Sleep(200 * time.Millisecond)
		c.nodes[2].store.cut.Store(true)
		time.Sleep(6 * testLease)
		c.nodes[2].store.cut.Store(false) // it finds its journal sealed and starts anew
		w.wait.Wait()
		GinkgoWriter.Println(w.outcomes())
		w.check()
		w.checkComplete(20, 8)
	}, NodeTimeout(60*time.Second))
})
