package gateway_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/route"
	"dogwoodline.example/turnstore"
)

// Guards against stores that fill up until they refuse all turns, those of programs in
// progress too, so that the work before them is lost.
var _ = Describe("Turn stores that are nearly full", func() {
	newStreaming := func() *fixture {
		s := newFixture(route.Route{Kind: route.Streaming, RetainTurns: true, Retention: time.Minute}, events("a", "b"))
		s.turnStore.begin = turnstore.Result{Verdict: turnstore.Stored}
		s.turnStore.commit <- turnstore.Result{Verdict: turnstore.Stored}
		return s
	}

	It("get no further programs, which return when there is room", func() {
		s := newStreaming()
		s.turnStore.fullness.Store(95)
		status, body, header := s.post("/r/x", "Test-Program", "p", "Test-Budget", "100")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("nearly full"))
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		// A tenth of 95 in 100 has to expire of what is kept for 90 s.
		Expect(after).To(And(BeNumerically(">=", 9.4), BeNumerically("<=", 14.3)))
		Expect(s.turnStore.sent.Load()).To(BeEquivalentTo(1), "the reservation is withdrawn")
	})

	It("get the turns of programs in progress", func() {
		s := newStreaming()
		s.turnStore.fullness.Store(95)
		s.turnStore.begin.Spent = 7
		status, _, _ := s.post("/r/x", "Test-Program", "p", "Test-Budget", "100")
		Expect(status).To(Equal(http.StatusOK))
	})

	It("get all programs below that, and none that they would refuse", func() {
		s := newStreaming()
		s.turnStore.fullness.Store(84)
		status, _, _ := s.post("/r/x", "Test-Program", "p", "Test-Budget", "100")
		Expect(status).To(Equal(http.StatusOK))
		s.turnStore.fullness.Store(100)
		before := s.turnStore.sent.Load()
		status, _, _ = s.post("/r/x", "Test-Program", "q", "Test-Budget", "100")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.turnStore.sent.Load()).To(Equal(before), "nothing was reserved")
	})
})
