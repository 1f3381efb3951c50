package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fleet"
	"dogwoodline.example/route"
)

var _ = Describe("The admission of programs", func() {
	service := route.Service{Name: "llm", Engine: &route.Engine{Slots: 8, KVCacheTokens: 80_000}}
	now := time.Unix(1_000_000, 0)
	filled := func(running int) *fleet.Fleet {
		f := fleet.New("a")
		for i := range 4 {
			f.Put(fleet.Backend{ID: fmt.Sprintf("b%d", i), Service: "llm", Slots: 8})
		}
		for range running {
			b, _, _ := f.Choose(fleet.Request{Service: "llm"}, now)
			f.CallStarted(b.ID, time.Now())
		}
		return f
	}

	It("estimates the calls of all fronts from its own share", func() {
		a := admission{meanCallTokens: map[string]float64{}}
		Expect(a.utilization(filled(8), service, 1)).To(BeNumerically("~", 0.25, 0.001))
		Expect(a.utilization(filled(8), service, 4)).To(BeNumerically("~", 1, 0.001))
		Expect(a.utilization(fleet.New("a"), service, 4)).To(BeZero())
	})

	// Guards against admitting programs when slots are free but the KV cache is
	// full: running calls then evict each other's prompts, which are computed
	// again.
	It("limits the capacity to the calls that fit into memory, if those are fewer than the slots", func() {
		a := admission{meanCallTokens: map[string]float64{}}
		a.observe("llm", 20_000)
		Expect(a.utilization(filled(8), service, 1)).To(BeNumerically("~", 0.5, 0.001))
		for range 200 {
			a.observe("llm", 5_000)
		}
		Expect(a.utilization(filled(8), service, 1)).To(BeNumerically("~", 0.25, 0.01))
	})

	// Guards against an estimate from few calls of one front where all fronts together know.
	It("uses what all fronts know of the places, if that is known", func() {
		view := &fixedPlaces{free: 12, running: 20, known: true}
		s := &Scheduler{fleet: filled(8), admission: admission{meanCallTokens: map[string]float64{}}, places: view}
		s.listedFronts.Store(4)
		Expect(s.utilization(service, now)).To(BeNumerically("~", 0.625, 0.001))
		Expect(s.hasFree(service, fleet.Request{Service: "llm"}, now)).To(BeTrue())
		view.free = 0
		Expect(s.hasFree(service, fleet.Request{Service: "llm"}, now)).To(BeFalse())
		view.known = false
		Expect(s.utilization(service, now)).To(BeNumerically("~", 1, 0.001))
		Expect(s.hasFree(service, fleet.Request{Service: "llm"}, now)).To(BeTrue(), "this front has filled no server")
	})

	It("refuses less urgent routes at a lower utilization", func() {
		Expect(admits(0.99, 5)).To(BeTrue())
		Expect(admits(1.15, 0)).To(BeTrue())
		Expect(admits(1.15, 1)).To(BeFalse())
		Expect(admits(1.25, 0)).To(BeFalse())
	})
})

type fixedPlaces struct {
	free, running int
	known         bool
}

func (f *fixedPlaces) Places(string, float64, time.Time) (free, running int, known bool) {
	return f.free, f.running, f.known
}
