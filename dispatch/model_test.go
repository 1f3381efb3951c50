package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/outcome"
)

func refusedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func ptr[T any](value T) *T { return &value }

var _ = Describe("A model call", func() {
	It("streams the whole answer with its usage as cost", func() {
		e := startEngine(nil)
		text, result := startPool(1).run(modelJob(e.Address(), "r1", 40))
		Expect(result.Outcome.Code).To(Equal(outcome.Completed))
		Expect(text).To(Equal(engine.Text("r1", 1, 40)))
		Expect(content(result)).To(Equal(text))
		Expect(result.Timing.Tokens).To(Equal(40))
		Expect(result.Cost).To(BeEquivalentTo(40 + result.Timing.PromptTokens))
		Expect(result.Timing.FirstToken).To(BeNumerically(">", 0))
		Expect(result.StartID).NotTo(BeEmpty())
	})

	// Guards against answers that reach another caller when many calls share
	// the connections of one transport.
	It("gives each of many concurrent calls its own answer", func() {
		e := startEngine(nil)
		p := startPool(8)
		for i := range 40 {
			Expect(p.jobs.TryPush(modelJob(e.Address(), fmt.Sprintf("r%d", i), 5+i))).To(Succeed())
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		for finals := 0; finals < 40; {
			event, err := p.events.Pop(ctx)
			Expect(err).NotTo(HaveOccurred())
			if !event.Final {
				continue
			}
			finals++
			var number int
			_, err = fmt.Sscanf(event.RequestID, "r%d", &number)
			Expect(err).NotTo(HaveOccurred())
			Expect(content(event.Result)).To(Equal(engine.Text(event.RequestID, 1, 5+number)))
		}
	})

	// Guards against the answer of another request, or of another attempt, on
	// a connection that got out of step.
	DescribeTable("refuses an answer that is not its own", func(id string, attempt int) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"id":%q,"attempt":%d,"choices":[{"message":{"content":"secret"}}]}`, id, attempt)
		}))
		defer server.Close()
		text, result := startPool(1).run(modelJob(server.Listener.Addr().String(), "r1", 5))
		Expect(result.Outcome.Code).To(Equal(outcome.Failed))
		Expect(result.Outcome.Reason).To(Equal(outcome.Conflict))
		Expect(text + string(result.Answer)).NotTo(ContainSubstring("secret"))
	},
		Entry("other request", "r2", 1),
		Entry("other attempt", "r1", 2),
	)

	// Guards against a cut stream that is taken for a complete answer.
	It("fails with connection_lost when the stream ends early", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, `data: {"id":"r1","choices":[{"delta":{"content":"half"}}]}`+"\n\n")
		}))
		defer server.Close()
		text, result := startPool(1).run(modelJob(server.Listener.Addr().String(), "r1", 5))
		Expect(text).To(Equal("half"))
		Expect(result.Outcome.Code).To(Equal(outcome.Failed))
		Expect(result.Outcome.Reason).To(Equal(outcome.ConnectionLost))
		Expect(result.Cost).To(BeEquivalentTo(1000))
	})

	It("did not run when the connection is refused", func() {
		_, result := startPool(1).run(modelJob(refusedAddress(), "r1", 5))
		Expect(result.Outcome.Code).To(Equal(outcome.NotRun))
		Expect(result.Outcome.Reason).To(Equal(outcome.NoBackend))
		Expect(result.Cost).To(BeZero())
	})

	// Guards against new work for a leaving backend server, and against
	// running work that it interrupts.
	It("did not run on a leaving engine, which still ends its running work", func() {
		e := startEngine(nil)
		p := startPool(2)
		Expect(p.jobs.TryPush(modelJob(e.Address(), "r1", 400))).To(Succeed())
		Eventually(p.events.Len).Should(BeNumerically(">", 0)) // r1 runs
		Expect(e.Set(engine.Switches{Leaving: ptr(true)})).To(Succeed())
		other := startPool(1)
		Eventually(func() outcome.Code {
			job := modelJob(e.Address(), "r2", 1)
			_, result := other.run(job)
			Expect(result.Leaving).To(Equal(result.Outcome.Code == outcome.NotRun))
			return result.Outcome.Code
		}).Should(Equal(outcome.NotRun))
		text, result := p.wait(0)
		Expect(result.Outcome.Code).To(Equal(outcome.Completed))
		Expect(text).To(Equal(engine.Text("r1", 1, 400)))
	})

	It("resumes a stream at its offset, also on another engine", func() {
		e := startEngine(nil)
		whole := engine.Text("r1", 3, 50)
		job := modelJob(e.Address(), "r1", 50)
		job.Attempt, job.Offset = 3, 80
		text, result := startPool(1).run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.Completed))
		Expect(text).To(Equal(whole[80:]))
	})

	It("stops the run on the engine when its context is cancelled", func() {
		e := startEngine(nil)
		ctx, cancel := context.WithCancel(context.Background())
		p := startPool(1)
		job := modelJob(e.Address(), "r1", 10000)
		job.Context = ctx
		Expect(p.jobs.TryPush(job)).To(Succeed())
		Eventually(p.events.Len).Should(BeNumerically(">", 0))
		cancel()
		_, result := p.wait(0)
		Expect(result.Outcome.Code).To(Equal(outcome.Cancelled))
		Expect(result.Cost).To(BeEquivalentTo(1000), "a cancelled run has used its backend server")
		monitor := dispatch.NewControl(dispatch.NewTransport())
		Eventually(func() (int, error) {
			load, err := monitor.Load(context.Background(), endpoint(e.Address()))
			return load.Running, err
		}).Should(BeZero())
	})

	It("fails with connection_lost when the engine crashes, and the next start id differs", func() {
		e := startEngine(func(c *engine.Config) { c.CrashMarker = "poison" })
		p := startPool(1)
		_, before := p.run(modelJob(e.Address(), "r1", 1))
		poisoned := modelJob(e.Address(), "r2", 1)
		poisoned.Body = chatBody("poison", 1)
		_, result := p.run(poisoned)
		Expect(result.Outcome.Code).To(Equal(outcome.Failed))
		Expect(result.Outcome.Reason).To(Equal(outcome.ConnectionLost))
		Eventually(func() outcome.Code {
			_, result = p.run(modelJob(e.Address(), "r3", 1))
			return result.Outcome.Code
		}).Should(Equal(outcome.Completed))
		Expect(result.StartID).NotTo(Equal(before.StartID))
	})

	// Guards against a hanging engine that holds a caller duty for ever.
	It("ends at its deadline when the engine hangs", func() {
		e := startEngine(nil)
		Expect(e.Set(engine.Switches{Hang: ptr(true)})).To(Succeed())
		p := startPool(1)
		Eventually(func() outcome.Reason {
			job := modelJob(e.Address(), "r1", 1)
			job.Deadline = time.Now().Add(100 * time.Millisecond)
			_, result := p.run(job)
			return result.Outcome.Reason
		}).Should(Equal(outcome.DeadlineExceeded))
	})
})
