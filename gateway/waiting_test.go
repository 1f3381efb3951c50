package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/gateway"
	"dogwoodline.example/route"
	"dogwoodline.example/turnstore"
)

var _ = Describe("Calls to backend servers that name limits", func() {
	// limited returns a server that names a limit of five calls per second, and the
	// number of calls that it got.
	limited := func(r route.Route) (*fixture, *atomic.Int64, *sync.Map) {
		var count atomic.Int64
		var order sync.Map
		s := newFixture(r, func(w http.ResponseWriter, r *http.Request) {
			order.Store(r.Header.Get(idHeader), count.Add(1))
			w.Header().Set(limitHeader, "5")
			fmt.Fprint(w, "done")
		})
		return s, &count, &order
	}

	// Guards against a server that gets far more calls than the limit that it has
	// named (issue 23), and against refusing calls whose turn comes soon.
	It("wait for their turn, as many as the limit lets through in time", func() {
		s, count, _ := limited(route.Route{Kind: route.Unsafe, Timeout: 2 * time.Second})
		status, _, _ := s.post("/r/first")
		Expect(status).To(Equal(http.StatusOK))
		var running sync.WaitGroup
		var answered, refused atomic.Int64
		start := time.Now()
		for i := range 30 {
			running.Go(func() {
				defer GinkgoRecover()
				began := time.Now()
				status, _, header := s.post("/r/x", idHeader, fmt.Sprint("r", i))
				switch status {
				case http.StatusOK:
					answered.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
					after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
					Expect(err).NotTo(HaveOccurred())
					Expect(after).To(BeNumerically(">", 0.9), "it is when its turn would have come")
					Expect(time.Since(began)).To(BeNumerically("<", 700*time.Millisecond), "it is refused at once")
				}
			})
		}
		running.Wait()
		Expect(answered.Load() + refused.Load()).To(BeEquivalentTo(30))
		Expect(answered.Load()).To(BeNumerically(">=", 4))
		Expect(float64(count.Load() - 1)).To(BeNumerically("<=", 5*time.Since(start).Seconds()+1))
	})

	// Guards against programs that lose the work of earlier turns, because new
	// programs take what the limits leave.
	It("let those of programs under way go first, and refuse those that start one", func() {
		s, _, order := limited(route.Route{Kind: route.Streaming, RetainTurns: true, Timeout: 4 * time.Second})
		for range 8 {
			s.turnStore.commit <- turnstore.Result{Verdict: turnstore.Stored}
		}
		status, _, _ := s.post("/r/first")
		Expect(status).To(Equal(http.StatusOK))
		var running sync.WaitGroup
		starting := make(chan int, 3)
		for i := range 3 {
			running.Go(func() {
				defer GinkgoRecover()
				status, _, _ := s.post("/r/start", idHeader, fmt.Sprint("start", i), "Test-Program", "p", "Test-Budget", "100")
				starting <- status
			})
		}
		time.Sleep(30 * time.Millisecond)
		for i := range 3 {
			running.Go(func() {
				defer GinkgoRecover()
				status, _, _ := s.post("/r/go-on", idHeader, fmt.Sprint("go-on", i))
				Expect(status).To(Equal(http.StatusOK))
			})
		}
		running.Wait()
		refused := 0
		for range 3 {
			if <-starting == http.StatusServiceUnavailable {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">=", 2))
		for i := range 3 {
			place, ran := order.Load(fmt.Sprint("go-on", i))
			Expect(ran).To(BeTrue())
			Expect(place).To(BeNumerically("<=", 5))
		}
	})

	// Guards against clients that are sent away for as long as a front waits until it
	// may probe, although other fronts may send their calls.
	It("are refused at once, to come back soon, by a front that has no share of the limit", func() {
		s := newFixture(route.Route{Kind: route.Unsafe, Timeout: 4 * time.Second}, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(limitHeader, "0.3")
			fmt.Fprint(w, "done")
		})
		fronts := []gateway.Front{{Address: "self", Zone: "a", Cores: 1}}
		for i := range 30 {
			fronts = append(fronts, gateway.Front{Address: fmt.Sprint("front-", i), Zone: "a", Cores: 1})
		}
		Expect(s.gateway.SetFronts(context.Background(), fronts)).To(Succeed())
		status, _, _ := s.post("/r/first")
		Expect(status).To(Equal(http.StatusOK))
		began := time.Now()
		status, body, header := s.post("/r/x")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("no share"))
		Expect(header.Get("Retry-After")).To(Equal("0.1"))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	// Guards against calls that wait on although a server takes them.
	It("are sent at once when the limit ends or another server is there", func() {
		s, _, _ := limited(route.Route{Kind: route.Unsafe, Timeout: 4 * time.Second})
		s.post("/r/first")
		done := make(chan time.Duration, 4)
		for i := range 4 {
			go func() {
				defer GinkgoRecover()
				began := time.Now()
				s.post("/r/x", idHeader, fmt.Sprint("r", i))
				done <- time.Since(began)
			}()
		}
		time.Sleep(50 * time.Millisecond)
		other := newFixture(route.Route{Kind: route.Unsafe}, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		free := s.backend(0)
		free.ID, free.Address = "free", other.addresses[0]
		Expect(s.gateway.UpdateFleet(context.Background(), gateway.FleetUpdate{Put: &free})).To(Succeed())
		for range 4 {
			Eventually(done, "300ms").Should(Receive())
		}
	})
})
