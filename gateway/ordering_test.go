package gateway_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/gateway"
	"dogwoodline.example/route"
)

var _ = Describe("Calls that compete for places", func() {
	// contended returns a gateway in front of one server with four slots that refuses calls
	// when it is full. A call runs until the test lets one end.
	contended := func(r route.Route) (s *fixture, end chan struct{}, order func() []string, refusals *atomic.Int64) {
		end, refusals = make(chan struct{}), &atomic.Int64{}
		var lock sync.Mutex
		var ran []string
		running := 0
		s = newFixtureWith(slog.New(slog.NewTextHandler(GinkgoWriter, nil)), gateway.Settings{CallWorkers: 32, ContendedCapacity: true}, r,
			func(w http.ResponseWriter, r *http.Request) {
				lock.Lock()
				full := running == 4
				if !full {
					running++
					ran = append(ran, r.Header.Get(idHeader))
				}
				lock.Unlock()
				if full {
					refusals.Add(1)
					w.Header().Set(refusedHeader, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				select {
				case <-end:
				case <-r.Context().Done():
				}
				lock.Lock()
				running--
				lock.Unlock()
				fmt.Fprint(w, "done")
			})
		return s, end, func() []string {
			lock.Lock()
			defer lock.Unlock()
			return append([]string{}, ran...)
		}, refusals
	}

	// Guards against calls that are refused by full servers although their callers can wait,
	// and against programs with time to spare that go before those that have none.
	It("wait at the front while no slot is free, and the most urgent goes first", func() {
		s, end, order, refusals := contended(route.Route{Kind: route.Unsafe, Timeout: 20 * time.Second})
		var running sync.WaitGroup
		post := func(id, finish string) {
			running.Go(func() {
				defer GinkgoRecover()
				status, _, _ := s.post("/r/x", idHeader, id, "Test-Program", id, "Test-Finish", finish)
				Expect(status).To(Equal(http.StatusOK))
			})
		}
		for i := range 4 {
			post(strconv.Itoa(i), "9s")
		}
		Eventually(order, "5s").Should(HaveLen(4))
		for _, finish := range []string{"8s", "5s", "-1h", "3s"} {
			post(finish, finish)
		}
		Consistently(order, "150ms").Should(HaveLen(4))
		for i := range 4 {
			end <- struct{}{}
			Eventually(order, "5s").Should(HaveLen(5 + i))
		}
		close(end)
		running.Wait()
		Expect(order()[4:]).To(Equal([]string{"3s", "5s", "8s", "-1h"}))
		Expect(refusals.Load()).To(BeZero())
	})

	// Guards against calls that wait until their deadline although that is known before,
	// and against clients that do not honour when to return.
	It("are refused as not run when they would be sent too late", func() {
		s, end, _, _ := contended(route.Route{Kind: route.Unsafe, Timeout: 1500 * time.Millisecond})
		stop := make(chan struct{})
		go func() {
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					select {
					case end <- struct{}{}:
					default:
					}
				case <-stop:
					close(end)
					return
				}
			}
		}()
		var running sync.WaitGroup
		var answered, refused atomic.Int64
		for i := range 100 {
			running.Go(func() {
				defer GinkgoRecover()
				status, _, header := s.post("/r/x", idHeader, strconv.Itoa(i))
				switch status {
				case http.StatusOK:
					answered.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
					after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
					Expect(err).NotTo(HaveOccurred())
					Expect(after).To(And(BeNumerically(">=", 0.1), BeNumerically("<=", 0.5)))
				}
			})
		}
		running.Wait()
		close(stop)
		Expect(answered.Load()).To(BeNumerically(">=", 10))
		Expect(refused.Load()).To(BeNumerically(">=", 50))
		Expect(answered.Load()+refused.Load()).To(BeNumerically(">=", 95), "few run past their deadline")
	})
})
