package dispatch_test

import (
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/outcome"
)

var _ = Describe("Control", func() {
	ctx := context.Background()
	var control *dispatch.ControlClient

	BeforeEach(func() {
		transport := dispatch.NewTransport()
		DeferCleanup(transport.Close)
		control = dispatch.NewControlClient(transport)
	})

	It("cancels a running call, whose outcome is cancelled", func() {
		e := startEngine(nil)
		p := startPool(1)
		Expect(p.jobs.TryPush(modelJob(e.Address(), "r1", 10000))).To(Succeed())
		Eventually(p.events.Len).Should(BeNumerically(">", 0))
		Expect(control.Cancel(ctx, endpoint(e.Address()), "r1", 1)).To(Succeed())
		_, result := p.wait(0)
		Expect(result.Outcome.Code).To(Equal(outcome.Cancelled))
	})

	// Guards against orders from a node that has been replaced and still sends
	// its old fencing number.
	It("reports an order with an old fencing number as refused", func() {
		e := startEngine(nil)
		to := endpoint(e.Address())
		to.Fence = 7
		Expect(control.SetRole(ctx, to, "decode")).To(Succeed())
		to.Fence = 6
		var refused *dispatch.RefusedError
		Expect(control.SetRole(ctx, to, "prefill")).To(MatchError(ContainSubstring("fenced")))
		_, err := control.Release(ctx, to, "p1")
		Expect(err).To(BeAssignableToTypeOf(refused))
		Expect(control.Load(ctx, to)).To(HaveField("Role", "decode"))
	})

	It("moves a program's KV cache to another engine", func() {
		from, to := startEngine(nil), startEngine(func(c *engine.Config) { c.Credential = "key" })
		target := endpoint(to.Address())
		target.Credential = "key"
		p := startPool(1)
		job := modelJob(from.Address(), "r1", 1)
		job.Body = chatBody(strings.Repeat("history ", 100), 1)
		p.run(job)
		blocks, err := control.Export(ctx, endpoint(from.Address()), "p1")
		Expect(err).NotTo(HaveOccurred())
		Expect(control.Import(ctx, target, "p1", blocks)).To(Succeed())
		job.Endpoint = target
		_, result := p.run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.Completed))
		Expect(result.Timing.CachedTokens).To(BeNumerically(">", 190))
	})
})
