package dispatch_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/outcome"
)

// startService starts an emulated service.
func startService(config service.Config) *service.Service {
	GinkgoHelper()
	s, err := service.Start(context.Background(), config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

func setSwitches(s *service.Service, switches service.Switches) {
	GinkgoHelper()
	Expect(s.ApplySwitches(context.Background(), switches)).To(Succeed())
}

// effects returns the number of effects of each request, as counted by the
// emulated service.
func effects(s *service.Service) map[string]int {
	GinkgoHelper()
	response, err := http.Get(s.URL() + "/effects")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var body struct{ Effects []service.Effect }
	Expect(json.NewDecoder(response.Body).Decode(&body)).To(Succeed())
	counts := make(map[string]int)
	for _, effect := range body.Effects {
		counts[effect.RequestID]++
	}
	return counts
}

func serviceJob(address, id string) dispatch.Job {
	return dispatch.Job{
		ID: 1, Program: "p1", RequestID: id, Attempt: 1, Kind: dispatch.Service,
		Endpoint: endpoint(address), Operation: "post_invoice", Body: json.RawMessage(`{"amount":5}`),
		Deadline: time.Now().Add(20 * time.Second), WorstCost: 7,
	}
}

// closingServer responds to the first request on each connection, and closes the
// connection without a response after it has read a second one. It counts the
// requests that it received by request ID.
type closingServer struct {
	listener net.Listener
	mu       sync.Mutex
	received map[string]int
}

func startClosingServer() *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &closingServer{listener: listener, received: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	DeferCleanup(listener.Close)
	return s
}

func (s *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Request-Id")
		s.mu.Lock()
		s.received[id]++
		s.mu.Unlock()
		if !first {
			return
		}
		body := fmt.Sprintf(`{"request_id":%q,"state":"done"}`, id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func (s *closingServer) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

var _ = Describe("A service call", func() {
	// Guards against automatic retries: net/http repeats some requests when a
	// reused connection is closed. A repeated request could post an invoice twice,
	// and crashes caused by an idempotent request would be miscounted.
	DescribeTable("is sent at most once to a server that closes connections", func(idempotent bool) {
		server := startClosingServer()
		p := startPool(1)
		warm := serviceJob(server.listener.Addr().String(), "warm")
		warm.Idempotent = true
		_, result := p.run(warm)
		Expect(result.Outcome.Code).To(Equal(outcome.Completed))
		for i := range 20 {
			id := fmt.Sprintf("r%d", i)
			job := serviceJob(server.listener.Addr().String(), id)
			job.Idempotent = idempotent
			_, result := p.run(job)
			Expect(server.count(id)).To(BeNumerically("<=", 1), "request %s was sent again", id)
			if result.Outcome.Code == outcome.NotRun {
				Expect(server.count(id)).To(BeZero())
			}
			if !idempotent {
				Expect(result.Outcome.Code).To(Equal(outcome.Completed), "a new connection gets a response")
			}
		}
	},
		Entry("idempotent", true),
		Entry("not idempotent", false),
	)

	// Guards against sending a request a second time by following a redirect.
	It("does not follow redirects", func() {
		s := startService(service.Config{})
		server := httptest.NewServer(http.RedirectHandler(s.URL()+"/do/post_invoice", http.StatusTemporaryRedirect))
		defer server.Close()
		_, result := startPool(1).run(serviceJob(server.Listener.Addr().String(), "r1"))
		Expect(result.Outcome.Code).To(Equal(outcome.Failed))
		Expect(effects(s)).To(BeEmpty())
	})

	// Guards against an outcome that contradicts the effects on the service when
	// a call is cancelled or times out while its request is being written.
	It("has an outcome that agrees with the effects, whenever it is cancelled or times out", func() {
		s := startService(service.Config{})
		p := startPool(8)
		const calls = 400
		codes := make(map[string]outcome.Code)
		go func() {
			for i := range calls {
				job := serviceJob(s.Address(), fmt.Sprintf("r%d", i))
				end := time.Duration(i) * 5 * time.Microsecond
				if i%2 == 0 {
					job.Deadline = time.Now().Add(end)
				} else {
					ctx, cancel := context.WithCancel(context.Background())
					job.Context = ctx
					time.AfterFunc(end, cancel)
				}
				_ = p.jobs.Push(context.Background(), job)
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		for len(codes) < calls {
			event, err := p.events.Pop(ctx)
			Expect(err).NotTo(HaveOccurred())
			codes[event.RequestID] = event.Result.Outcome.Code
		}
		time.Sleep(100 * time.Millisecond) // wait for late effects
		counts := effects(s)
		for id, code := range codes {
			switch code {
			case outcome.Completed:
				Expect(counts[id]).To(Equal(1), id)
			case outcome.NotRun, outcome.Cancelled:
				Expect(counts[id]).To(BeZero(), "%s was reported as %s", id, code)
			default:
				Expect(code).To(Equal(outcome.Unknown), id)
				Expect(counts[id]).To(BeNumerically("<=", 1), id)
			}
		}
	})

	DescribeTable("is unknown when the service crashes", func(switches service.Switches, ran int) {
		s := startService(service.Config{Lookup: true})
		setSwitches(s, switches)
		p := startPool(1)
		_, result := p.run(serviceJob(s.Address(), "r1"))
		Expect(result.Outcome.Code).To(Equal(outcome.Unknown))
		Expect(result.Outcome.Reason).To(Equal(outcome.ConnectionLost))
		Expect(result.Cost).To(BeEquivalentTo(7))

		lookup := serviceJob(s.Address(), "r1")
		lookup.LookupOnly = true
		Eventually(func() outcome.Outcome {
			_, result = p.run(lookup)
			return result.Outcome
			// While the crash closes the listener, a lookup may still connect and
			// lose its connection, which says nothing about the request.
		}).ShouldNot(HaveField("Reason", BeElementOf(outcome.NoBackend, outcome.ConnectionLost)), "the service has restarted")
		Expect(effects(s)["r1"]).To(Equal(ran))
		if ran == 1 {
			Expect(result.Outcome.Code).To(Equal(outcome.Completed))
			Expect(string(result.Answer)).To(ContainSubstring(`"r1"`))
		} else {
			Expect(result.Outcome.Code).To(Equal(outcome.Unknown))
		}
	},
		Entry("before the effect", service.Switches{CrashBefore: ptr(1)}, 0),
		Entry("after the effect", service.Switches{CrashAfter: ptr(1)}, 1),
	)

	It("fails with connection_lost if it is idempotent and the service crashes", func() {
		s := startService(service.Config{})
		setSwitches(s, service.Switches{CrashAfter: ptr(1)})
		job := serviceJob(s.Address(), "r1")
		job.Idempotent = true
		_, result := startPool(1).run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.Failed))
		Expect(result.Outcome.Reason).To(Equal(outcome.ConnectionLost))
	})

	// Guards against reporting "not run" for a request that a slow service runs
	// later.
	It("is unknown after its deadline, and stays unknown to lookups until it has completed", func() {
		s := startService(service.Config{Lookup: true})
		setSwitches(s, service.Switches{SlowMS: ptr(int64(2000))})
		p := startPool(1)
		job := serviceJob(s.Address(), "r1")
		job.Deadline = time.Now().Add(time.Second)
		_, result := p.run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.Unknown))
		Expect(result.Outcome.Reason).To(Equal(outcome.DeadlineExceeded))
		Eventually(func() outcome.Code {
			lookup := serviceJob(s.Address(), "r1")
			lookup.LookupOnly = true
			_, result = p.run(lookup)
			Expect(result.Outcome.Code).To(BeElementOf(outcome.Unknown, outcome.Completed))
			return result.Outcome.Code
		}).Should(Equal(outcome.Completed))
		Expect(effects(s)["r1"]).To(Equal(1))
	})

	It("is never reported as not run by a lookup", func() {
		s := startService(service.Config{Lookup: false})
		p := startPool(1)
		for _, address := range []string{s.Address(), refusedAddress()} {
			job := serviceJob(address, "r1")
			job.LookupOnly, job.Idempotent = true, true
			_, result := p.run(job)
			Expect(result.Outcome.Code).To(Equal(outcome.Unknown))
		}
	})

	It("is not run if the service refuses it or its deadline has passed before it is sent", func() {
		s := startService(service.Config{Credential: "key"})
		setSwitches(s, service.Switches{Leaving: ptr(true)})
		p := startPool(1)
		job := serviceJob(s.Address(), "r1")
		job.Endpoint.Credential = "key"
		_, result := p.run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.NotRun))
		Expect(result.Leaving).To(BeTrue())
		setSwitches(s, service.Switches{Leaving: ptr(false)})
		job.Deadline = time.Now().Add(-time.Second)
		_, result = p.run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.NotRun))
		Expect(result.Outcome.Reason).To(Equal(outcome.DeadlineExceeded))
		Expect(effects(s)).To(BeEmpty())
	})
})
