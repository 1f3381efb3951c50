package gateway_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/gateway"
	"dogwoodline.example/route"
)

var _ = Describe("A front in a planned stop", func() {
	// Guards against requests that come late in the grace, are passed on and then cut
	// without an answer, among them some that may not be repeated (report of another
	// operator, issue 26).
	It("refuses a request as not run that it may be unable to finish, once clients know other fronts", func() {
		var runs atomic.Int64
		s := newFixture(route.Route{Kind: route.Unsafe, Timeout: 5 * time.Second}, func(w http.ResponseWriter, _ *http.Request) { runs.Add(1) })
		now := time.Now()
		s.gateway.Drain(now, now.Add(2*time.Second))
		reply, err := s.send(context.Background(), "/r/x")
		Expect(err).NotTo(HaveOccurred())
		defer reply.Body.Close()
		Expect(reply.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.Close).To(BeTrue(), "the client opens a new connection, to another front")
		Expect(reply.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runs.Load()).To(BeZero())
	})

	// Guards against connections that end without an answer when a stop ends, because a
	// slow or full backend server has held requests of clients that did not know another
	// front yet (LOST, issue 32).
	It("answers what is unfinished at its end, and says what has certainly not run", func() {
		var runs atomic.Int64
		leave := make(chan struct{})
		defer close(leave)
		s := newFixtureWith(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: 1}, route.Route{Kind: route.Unsafe, Timeout: time.Minute},
			func(http.ResponseWriter, *http.Request) {
				runs.Add(1)
				<-leave
			})
		statuses := make(chan int, 2)
		post := func(id string) {
			defer GinkgoRecover()
			status, _, _ := s.post("/r/x", idHeader, id)
			statuses <- status
		}
		go post("runs")
		Eventually(runs.Load, "2s", "5ms").Should(BeEquivalentTo(1))
		go post("waits") // for the only call worker
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		s.gateway.Drain(now.Add(time.Minute), now.Add(200*time.Millisecond))
		Consistently(statuses, "150ms", "10ms").ShouldNot(Receive())
		got := []int{}
		for range 2 {
			var status int
			Eventually(statuses, "1s", "5ms").Should(Receive(&status))
			got = append(got, status)
		}
		Expect(got).To(ConsistOf(http.StatusGatewayTimeout, http.StatusServiceUnavailable))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against refusals of requests that there is time for, or whose clients
	// cannot know yet that the front stops.
	DescribeTable("serves a request", func(moved, end, timeout time.Duration) {
		var s *fixture
		s = newFixture(route.Route{Kind: route.Unsafe, Timeout: timeout}, func(w http.ResponseWriter, r *http.Request) { s.ok(w, r) })
		now := time.Now()
		s.gateway.Drain(now.Add(moved), now.Add(end))
		status, _, _ := s.post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
	},
		Entry("that it can finish", time.Duration(0), time.Minute, 5*time.Second),
		Entry("whose client may have an old list", time.Minute, 2*time.Second, 5*time.Second),
	)
})
