package gateway

import (
	"fmt"
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
