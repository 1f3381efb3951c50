package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fleet"
	"dogwoodline.example/route"
	"dogwoodline.example/route/fairshare"
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
		view.known = false
		Expect(s.utilization(service, now)).To(BeNumerically("~", 1, 0.001))
	})

	// Guards against a front without calls that gets no slot because the others replace each
	// of their calls by the next, and against all fronts taking the same free slots.
	It("lets each front take its share of the slots, and some of those that are free", func() {
		view := &fixedPlaces{free: 0, running: 32, known: true}
		s := &Scheduler{fleet: filled(8), admission: admission{meanCallTokens: map[string]float64{}}, places: view, random: rand.New(rand.NewPCG(1, 2))}
		q := &placeQueue{service: service}
		s.listedFronts.Store(3)
		Expect(s.mayTakePlace(q, now)).To(BeTrue(), "8 calls of 10.7")
		s.listedFronts.Store(4)
		Expect(s.mayTakePlace(q, now.Add(time.Second))).To(BeFalse(), "8 calls of 8")
		view.free, view.running = 2, 30
		taken := 0
		for i := range 1000 {
			at := now.Add(time.Duration(i+100) * queueInterval)
			if s.mayTakePlace(q, at) {
				taken++
			}
			Expect(s.mayTakePlace(q, at)).To(BeFalse(), "one in an interval")
		}
		Expect(taken).To(BeNumerically("~", 500, 60))
		view.known = false
		Expect(s.mayTakePlace(q, now)).To(BeTrue(), "this front has filled no server")
	})

	It("refuses less urgent routes at a lower utilization", func() {
		Expect(admits(0.99, 5)).To(BeTrue())
		Expect(admits(1.15, 0)).To(BeTrue())
		Expect(admits(1.15, 1)).To(BeFalse())
		Expect(admits(1.25, 0)).To(BeFalse())
	})

	// Guards against organisations that fill the model servers although they have had more
	// than their share, and against less urgent ones that never get a place.
	It("puts an organisation that has had its share after the others, and one that is hardly served first", func() {
		Expect(admits(adjust(1.1, 0.05, 0, fairshare.Within))).To(BeTrue())
		Expect(admits(adjust(1.1, 0.05, 0, fairshare.Over))).To(BeFalse())
		Expect(admits(adjust(0.8, 0.25, 2, fairshare.Over))).To(BeTrue(), "one more call fits")
		Expect(admits(adjust(0.9, 0.25, 2, fairshare.Over))).To(BeFalse())
		Expect(admits(adjust(1.2, 0.05, 3, fairshare.Within))).To(BeFalse())
		Expect(admits(adjust(1.2, 0.05, 3, fairshare.Under))).To(BeTrue())
	})
})

var _ = Describe("The rank of a call", func() {
	// Guards against routes or organisations that overtake more urgent ones because a
	// model server has fewer ranks than there are priorities.
	It("keeps the order of organisations and routes within the ranks that there are", func() {
		for _, levels := range []int{0, 3, 5, 6, 10, 12, 40} {
			last := -1
			for priority := range max(levels, 3) {
				for _, starts := range []bool{false, true} {
					rank := rankOf(&job{priority: priority, priorityLevels: levels, startsProgram: starts})
					Expect(rank).To(And(BeNumerically(">=", last), BeNumerically("<", rankValues)))
					last = rank
				}
			}
		}
		Expect(rankOf(&job{priority: 1})).To(Equal(2))
	})
})

type fixedPlaces struct {
	free, running int
	known         bool
}

func (f *fixedPlaces) Places(string, float64, time.Time) (free, running int, known bool) {
	return f.free, f.running, f.known
}
