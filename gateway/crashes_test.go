package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/route"
	"dogwoodline.example/turnstore"
)

var _ = Describe("A call that crashes the backend servers that run it", func() {
	identities := (&call.Request{Method: http.MethodPost, Target: "/r/x", Host: "example", Body: []byte("input")}).Identities()

	// Guards against one request that crashes the fleet server by server, because
	// its client retries it.
	It("is refused after the third crash, and is not run again", func() {
		var runs atomic.Int64
		die := func(_ http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			server, _ := r.Context().Value(http.ServerContextKey).(*http.Server)
			_ = server.Close()
		}
		s := newFixture(route.Route{Kind: route.Safe, MaxBackendServers: 2}, die, die, die, die, die, die, die)
		attempt := 0
		Eventually(func() int {
			attempt++
			status, _, _ := s.post("/r/x", idHeader, fmt.Sprintf("try-%d", attempt))
			return status
		}, "3s", "50ms").Should(Equal(http.StatusServiceUnavailable))
		runsUntilRefused := runs.Load()
		Expect(runsUntilRefused).To(BeNumerically("<=", 4), "two attempts on two backend servers each")
		status, _, header := s.post("/r/x")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runs.Load()).To(Equal(runsUntilRefused))
	})

	// Guards against a call that is not known again because it has no body and no
	// program (issue 23), or because its client repeats it for another program or
	// with another query.
	DescribeTable("is refused after the third crash, if it", func(method string, attempt func(number int) (path, program string)) {
		var runs atomic.Int64
		die := func(_ http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			server, _ := r.Context().Value(http.ServerContextKey).(*http.Server)
			_ = server.Close()
		}
		s := newFixture(route.Route{Kind: route.Safe, MaxBackendServers: 1}, die, die, die, die, die, die, die)
		number := 0
		Eventually(func() int {
			number++
			path, program := attempt(number)
			request, err := http.NewRequest(method, s.front.URL+path, http.NoBody)
			Expect(err).NotTo(HaveOccurred())
			request.Host = "example"
			request.Header.Set(idHeader, fmt.Sprintf("try-%d", number))
			request.Header.Set("Test-Program", program)
			reply, err := http.DefaultTransport.RoundTrip(request)
			Expect(err).NotTo(HaveOccurred())
			reply.Body.Close()
			return reply.StatusCode
		}, "3s", "50ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(runs.Load()).To(BeEquivalentTo(3))
	},
		Entry("has no body and no program", http.MethodGet, func(int) (string, string) { return "/r/x", "" }),
		Entry("has another program each time", http.MethodPost, func(n int) (string, string) { return "/r/x", fmt.Sprintf("p%d", n) }),
		Entry("has another query each time", http.MethodPost, func(n int) (string, string) { return fmt.Sprintf("/r/x?page=%d", n), "p" }),
	)

	// Guards against a path that many clients ask for and that is held for all of
	// them, because other calls end the backend servers that it runs on.
	It("is not taken for one that backend servers have answered", func() {
		var s *fixture
		s = newFixture(route.Route{Kind: route.Safe}, func(w http.ResponseWriter, r *http.Request) { s.ok(w, r) })
		status, _, _ := s.post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
		for _, attempt := range []string{"a", "b", "c"} {
			Expect(s.turnStore.ReportCrash(turnstore.Crash{Calls: identities, Attempt: attempt, Expires: time.Now().Add(time.Minute)})).To(BeTrue())
		}
		Consistently(func() int {
			status, _, _ := s.post("/r/x")
			return status
		}, "300ms", "20ms").Should(Equal(http.StatusOK))
	})

	It("is refused by a front that only received reports, while other calls run", func() {
		var s *fixture
		s = newFixture(route.Route{Kind: route.Safe}, func(w http.ResponseWriter, r *http.Request) { s.ok(w, r) })
		for _, attempt := range []string{"a", "b", "b", "c"} {
			Expect(s.turnStore.ReportCrash(turnstore.Crash{Calls: identities, Attempt: attempt, Expires: time.Now().Add(time.Minute)})).To(BeTrue())
		}
		Eventually(func() int {
			status, _, _ := s.post("/r/x")
			return status
		}, "3s", "10ms").Should(Equal(http.StatusServiceUnavailable))
		status, _, _ := s.post("/r/y")
		Expect(status).To(Equal(http.StatusOK))
	})

	// Guards against counting an interrupted response as a crash although the
	// backend server still accepts connections.
	It("has no crashes recorded while its backend servers are alive", func() {
		s := newFixture(route.Route{Kind: route.Safe}, sendAndClose(""), sendAndClose(""), sendAndClose(""))
		for range 4 {
			status, _, _ := s.post("/r/x")
			Expect(status).To(Equal(http.StatusBadGateway))
		}
		Expect(s.turnStore.crashes.Len()).To(BeZero())
	})
})
