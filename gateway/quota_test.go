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

// fixedQuota admits a number of requests of each organisation.
type fixedQuota struct{ left atomic.Int64 }

func (q *fixedQuota) Take(string, time.Time) (bool, time.Duration) {
	if q.left.Add(-1) < 0 {
		q.left.Add(1)
		return false, 1500 * time.Millisecond
	}
	return true, 0
}

func (q *fixedQuota) GiveBack(string, time.Time) { q.left.Add(1) }

var _ = Describe("A quota", func() {
	plain := route.Route{Kind: route.Unsafe}
	var quota *fixedQuota
	var refuses atomic.Bool
	var s *fixture
	BeforeEach(func() {
		quota = &fixedQuota{}
		refuses.Store(false)
		s = newFixtureWith(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: 8, Quota: quota}, plain, func(w http.ResponseWriter, _ *http.Request) {
			if refuses.Load() {
				refuse(w, nil)
			}
		})
		s.gateway.SetTable(keyTable(2, plain, "key-1"))
	})
	send := func(id string) (int, http.Header) {
		GinkgoHelper()
		reply, err := s.send(context.Background(), "/r/x", idHeader, id, keyHeader, "key-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Body.Close()).To(Succeed())
		return reply.StatusCode, reply.Header
	}

	// Guards against requests over the quota that run, or whose clients are not told when to return.
	It("lets through what it admits and answers 429 with a Retry-After to the rest", func() {
		quota.left.Store(1)
		status, _ := send("1")
		Expect(status).To(Equal(http.StatusOK))
		status, header := send("2")
		Expect(status).To(Equal(http.StatusTooManyRequests))
		Expect(header.Get("Retry-After")).To(Equal("1.500"))
	})

	// Guards against shares that are lost to requests that have not run.
	It("gets back what a request took that is refused later as not run", func() {
		quota.left.Store(1)
		refuses.Store(true)
		status, _ := send("1")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(quota.left.Load()).To(BeEquivalentTo(1))
	})
})
