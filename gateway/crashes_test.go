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
	fingerprint := (&call.Request{Method: http.MethodPost, Target: "/r/x", Host: "example", Body: []byte("input")}).Fingerprint()

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

	It("is refused by a front that only received reports, while other calls run", func() {
		var s *fixture
		s = newFixture(route.Route{Kind: route.Safe}, func(w http.ResponseWriter, r *http.Request) { s.ok(w, r) })
		for _, attempt := range []string{"a", "b", "b", "c"} {
			Expect(s.turnStore.ReportCrash(turnstore.Crash{Call: fingerprint, Attempt: attempt, Expires: time.Now().Add(time.Minute)})).To(BeTrue())
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
