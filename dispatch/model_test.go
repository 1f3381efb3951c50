package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/outcome"
)

// refusedAddress returns an address at which connections are refused.
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
		Expect(text).To(Equal(engine.AnswerText("r1", 1, 40)))
		Expect(content(result)).To(Equal(text))
		Expect(result.Timing.Tokens).To(Equal(40))
		Expect(result.Cost).To(BeEquivalentTo(40 + result.Timing.PromptTokens))
		Expect(result.Timing.FirstToken).To(BeNumerically(">", 0))
		Expect(result.StartID).NotTo(BeEmpty())
	})

	// Guards against delivering an answer to the wrong call when many calls
	// share the connections of one transport.
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
			Expect(content(event.Result)).To(Equal(engine.AnswerText(event.RequestID, 1, 5+number)))
		}
	})

	// Guards against accepting the answer of another request or attempt, as a
	// desynchronized connection could return it.
	DescribeTable("rejects the answer of another request or attempt", func(id string, attempt int) {
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

	// Guards against treating a truncated stream as a complete answer.
	It("fails with connection_lost when the stream is truncated", func() {
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

	// Guards against a new connection for each stream, and against waiting for a
	// server that does not end its stream after the [DONE] event.
	It("reuses the connection after a stream and does not wait for the end of a stream after [DONE]", func() {
		var opened atomic.Int32
		endless := make(chan struct{})
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			id := r.Header.Get("X-Request-Id")
			fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n", id)
			http.NewResponseController(w).Flush() // the end of the stream is sent separately, when the handler returns
			if id == "endless" {
				<-endless
			}
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		defer close(endless)
		p := startPool(1)
		for _, id := range []string{"r1", "r2", "r3", "endless"} {
			_, result := p.run(modelJob(server.Listener.Addr().String(), id, 5))
			Expect(result.Outcome.Code).To(Equal(outcome.Completed))
			Expect(content(result)).To(Equal("x"))
		}
		Expect(opened.Load()).To(BeEquivalentTo(1))
	})

	It("is not run when its fencing number is outdated", func() {
		e := startEngine(nil)
		p := startPool(1)
		job := modelJob(e.Address(), "r1", 1)
		job.Endpoint.Fence = 7
		_, result := p.run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.Completed))
		job.RequestID, job.Endpoint.Fence = "r2", 6
		_, result = p.run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.NotRun))
		Expect(result.Outcome.Reason).To(Equal(outcome.Fenced))
	})

	It("is not run when the connection is refused", func() {
		_, result := startPool(1).run(modelJob(refusedAddress(), "r1", 5))
		Expect(result.Outcome.Code).To(Equal(outcome.NotRun))
		Expect(result.Outcome.Reason).To(Equal(outcome.NoBackend))
		Expect(result.Cost).To(BeZero())
	})

	// Guards against new calls on a leaving backend server, and against
	// interrupting its running calls.
	It("is not run on a leaving engine, which still completes its running call", func() {
		e := startEngine(nil)
		p := startPool(2)
		Expect(p.jobs.TryPush(modelJob(e.Address(), "r1", 400))).To(Succeed())
		Eventually(p.events.Len).Should(BeNumerically(">", 0)) // r1 runs
		Expect(e.ApplySwitches(context.Background(), engine.Switches{Leaving: ptr(true)})).To(Succeed())
		other := startPool(1)
		Eventually(func() outcome.Code {
			job := modelJob(e.Address(), "r2", 1)
			_, result := other.run(job)
			Expect(result.Leaving).To(Equal(result.Outcome.Code == outcome.NotRun))
			return result.Outcome.Code
		}).Should(Equal(outcome.NotRun))
		text, result := p.wait(0)
		Expect(result.Outcome.Code).To(Equal(outcome.Completed))
		Expect(text).To(Equal(engine.AnswerText("r1", 1, 400)))
	})

	DescribeTable("resumes a stream at its offset on another engine", func(offset int64) {
		e := startEngine(nil)
		whole := engine.AnswerText("r1", 3, 50)
		job := modelJob(e.Address(), "r1", 50)
		job.Attempt, job.Offset = 3, offset
		text, result := startPool(1).run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.Completed))
		Expect(text).To(Equal(whole[offset:]))
	},
		Entry("between tokens", int64(80)),
		Entry("inside a token", int64(81)),
		Entry("at the end", int64(200)),
	)

	// Guards against reporting "not run" for a call that has run in part, and
	// against using the text of an engine that restarts the answer.
	It("fails without text when a stream cannot be resumed", func() {
		p := startPool(1)
		job := modelJob(refusedAddress(), "r1", 50)
		job.Offset = 80
		_, result := p.run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.Failed))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, `{"id":"r1","choices":[{"message":{"content":"again"}}]}`)
		}))
		defer server.Close()
		job.Endpoint = endpoint(server.Listener.Addr().String())
		text, result := p.run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.Failed))
		Expect(text).To(BeEmpty())
	})

	It("is stopped on the engine when its context is cancelled", func() {
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
		Expect(result.Cost).To(BeEquivalentTo(1000), "a cancelled call that ran is charged its worst cost")
		monitor := dispatch.NewControlClient(dispatch.NewTransport())
		Eventually(func() (int, error) {
			load, err := monitor.Load(context.Background(), endpoint(e.Address()))
			return load.Running, err
		}).Should(BeZero())
	})

	It("fails with connection_lost when the engine crashes, and the start ID changes", func() {
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

	// Guards against a hanging engine that blocks a caller duty forever.
	It("ends at its deadline when the engine hangs", func() {
		e := startEngine(nil)
		Expect(e.ApplySwitches(context.Background(), engine.Switches{Hang: ptr(true)})).To(Succeed())
		p := startPool(1)
		Eventually(func() outcome.Reason {
			job := modelJob(e.Address(), "r1", 1)
			job.Deadline = time.Now().Add(100 * time.Millisecond)
			_, result := p.run(job)
			return result.Outcome.Reason
		}).Should(Equal(outcome.DeadlineExceeded))
	})
})
