package zones_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/zones"
)

func TestZones(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "zones")
}

var _ = Describe("Shares", func() {
	call := zones.Call{Time: 250 * time.Millisecond, Transit: 2 * time.Millisecond, Bytes: 8 << 10}
	zone := func(name string, demand, capacity float64) zones.Zone {
		return zones.Zone{Name: name, Demand: demand, Capacity: capacity, Slots: 8, Slowness: 1}
	}
	sum := func(shares []zones.Share) (sum float64) {
		for _, s := range shares {
			sum += s.Part
		}
		return sum
	}

	// Guards against traffic between zones that saves nothing, and against all of the load
	// of a zone that goes elsewhere.
	DescribeTable("equalize the delay", func(a, b, c zones.Zone, least, most float64) {
		shares := zones.Shares("a", []zones.Zone{a, b, c}, call)
		Expect(sum(shares)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
	},
		Entry("of zones with little load: none", zone("a", 40, 100), zone("b", 10, 100), zone("c", 10, 100), 0.0, 0.0),
		Entry("of zones with equal load: none", zone("a", 95, 100), zone("b", 95, 100), zone("c", 95, 100), 0.0, 0.0),
		Entry("of a zone over its capacity: a part", zone("a", 120, 100), zone("b", 50, 100), zone("c", 50, 100), 0.2, 0.4),
		Entry("of a zone whose servers are gone: all", zone("a", 50, 0), zone("b", 50, 100), zone("c", 50, 100), 0.99, 1.0),
		Entry("of zones that all lack servers: none", zone("a", 50, 0), zone("b", 50, 0), zone("c", 50, 0), 0.0, 0.0),
		Entry("of a zone without load of its own: none", zone("a", 0, 100), zone("b", 150, 100), zone("c", 50, 100), 0.0, 0.0),
	)

	// Guards against zones that take over each other's load at the same time, and against
	// shares that swing because each zone sees the other's load late. Two zones change
	// places as the busy one, as in deployments whose demand swings within 11 s; their
	// tables are up to 5 s old, and what they measure is off by a tenth.
	It("converge in two zones that overflow into each other at the same time", func() {
		random := rand.New(rand.NewPCG(7, 7))
		plans := map[string]*zones.Plan{"a": {}, "b": {}}
		// Both begin with shares from when both were overloaded, and the other one was not.
		plans["a"].Update([]zones.Share{{Zone: "b", Part: 0.5}}, time.Unix(0, 0))
		plans["b"].Update([]zones.Share{{Zone: "a", Part: 0.5}}, time.Unix(0, 0))
		demand := func(second float64) (a, b float64) {
			if second < 30 {
				return 105, 90 // steady
			}
			return 90 + 22*math.Sin(2*math.Pi*second/11), 90 - 22*math.Sin(2*math.Pi*second/11)
		}
		largest, turns, before := 0.0, 0, 0.0
		for step := range 120 {
			second := float64(step) / 2
			now := time.Unix(0, 0).Add(time.Duration(second * float64(time.Second)))
			for own, plan := range plans {
				late := second - 5*random.Float64()
				a, b := demand(max(0, late))
				all := []zones.Zone{zone("a", a*(0.9+0.2*random.Float64()), 100), zone("b", b*(0.9+0.2*random.Float64()), 100)}
				plan.Update(zones.Shares(own, all, call), now)
			}
			a, b := sum(plans["a"].Shares()), sum(plans["b"].Shares())
			GinkgoWriter.Println(fmt.Sprintf("%5.1f %.3f %.3f", second, a, b))
			if second > 8 {
				Expect(min(a, b)).To(BeNumerically("<", 0.1), "they do not exchange their load")
				largest = max(largest, a, b)
			}
			if second > 8 && second < 30 {
				if (a-b)*before < 0 {
					turns++
				}
				before = a - b
			}
		}
		Expect(largest).To(BeNumerically("<", 0.3))
		Expect(turns).To(BeNumerically("<=", 2), "with steady demand, the direction stays")
	})

	// Guards against a jump when a zone is cut off or comes back.
	It("take effect and go back within seconds, not at once", func() {
		plan, now := &zones.Plan{}, time.Unix(0, 0)
		plan.Update(nil, now)
		plan.Update([]zones.Share{{Zone: "b", Part: 0.6}}, now.Add(time.Second/2))
		Expect(sum(plan.Shares())).To(BeNumerically("<", 0.2))
		plan.Update([]zones.Share{{Zone: "b", Part: 0.6}}, now.Add(6*time.Second))
		Expect(sum(plan.Shares())).To(BeNumerically(">", 0.5))
		plan.Update(nil, now.Add(20*time.Second))
		Expect(plan.Shares()).To(BeEmpty())
	})

	It("are drawn by a random number", func() {
		shares := []zones.Share{{Zone: "b", Part: 0.25}, {Zone: "c", Part: 0.25}}
		Expect(zones.Pick("a", shares, 0.2)).To(Equal("b"))
		Expect(zones.Pick("a", shares, 0.4)).To(Equal("c"))
		Expect(zones.Pick("a", shares, 0.6)).To(Equal("a"))
	})
})
