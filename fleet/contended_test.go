package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fleet"
)

var _ = Describe("A contended service", func() {
	now := time.Unix(1_000_000, 0)

	// The load is 24 fronts with 30 servers of the speeds 1.6, 1 and 0.6. share is how
	// often the fronts tell each other what runs, and utilization the load as a part of
	// what all servers can do with full batches.
	play := func(contended bool, share time.Duration, utilization float64) (mean float64, times []float64) {
		p := simulation{fronts: 24, servers: 30, slots: 8, contended: contended, share: share, random: rand.New(rand.NewPCG(1, 1)), seconds: 60,
			perSecond: utilization * 30 * 8 * 1.067 / 1.25 / 0.2}
		times, _ = p.run()
		for _, t := range times {
			mean += t / float64(len(times))
		}
		return mean, times
	}

	// Guards against fast servers that stand idle while slow ones are full, and against
	// many fronts that choose the same servers, each from its own small part of the calls
	// or from a table that all of them know.
	DescribeTable("gives fast servers more calls, and slow ones no more than they can serve", func(share time.Duration, utilization, most float64) {
		before, timesBefore := play(false, 0, utilization)
		mean, times := play(true, share, utilization)
		GinkgoWriter.Println("mean", before, mean, "p95", quantile(timesBefore, 0.95), quantile(times, 0.95), "p99", quantile(timesBefore, 0.99), quantile(times, 0.99))
		Expect(mean).To(BeNumerically("<", most*before))
		Expect(quantile(times, 0.95)).To(BeNumerically("<", most*quantile(timesBefore, 0.95)))
		Expect(quantile(times, 0.99)).To(BeNumerically("<", most*quantile(timesBefore, 0.99)))
	},
		Entry("at little load, without a table", time.Duration(0), 0.3, 0.8),
		Entry("at much load, without a table", time.Duration(0), 0.75, 0.9),
		Entry("near its capacity, without a table", time.Duration(0), 0.85, 0.9),
		Entry("at little load, with a table", 250*time.Millisecond, 0.3, 0.8),
		Entry("at much load, with a table", 250*time.Millisecond, 0.75, 0.9),
		Entry("near its capacity, with a table", 250*time.Millisecond, 0.85, 0.9),
		Entry("near its capacity, with a table once a second", time.Second, 0.85, 0.95),
	)

	// Guards against calls that keep going to a server that is five times as slow for six
	// seconds, because each front sees it too seldom to notice.
	DescribeTable("takes a slow server out of use", func(share time.Duration) {
		p := simulation{fronts: 24, servers: 30, slots: 8, contended: true, share: share, random: rand.New(rand.NewPCG(1, 1)), seconds: 30,
			perSecond: 0.6 * 30 * 8 * 1.067 / 1.25 / 0.2, slowFrom: 20 * time.Second, slowUntil: 26 * time.Second}
		_, slowTurns := p.run()
		all := p.perSecond * 5
		GinkgoWriter.Println("turns of the slow server", slowTurns, "of", all)
		Expect(float64(slowTurns)).To(BeNumerically("<", all/100))
	},
		Entry("without a table", time.Duration(0)),
		Entry("with a table", 250*time.Millisecond),
	)

	request := fleet.Request{Service: "s", Contended: true, Home: "b3", Affinity: "conversation"}
	choose := func(f *fleet.Fleet, request fleet.Request) string {
		b, _, ok := f.Choose(request, now)
		Expect(ok).To(BeTrue())
		return b.ID
	}

	// Guards against next turns that go where the KV cache of the conversation is not.
	It("sends the next turn to the server that generated the turn before, also if it is half full or in another zone", func() {
		f := newFleet(20)
		home := backend("b3")
		home.AvailabilityZone = "c"
		f.Put(home)
		for range 2 {
			f.CallStarted("b3", now)
		}
		for i := range 50 {
			request.TieBreak = uint64(i)
			Expect(choose(f, request)).To(Equal("b3"))
		}
	})

	// Guards against next turns that wait for the server of the turn before although the
	// prompt is processed sooner elsewhere, and against turns that fail because it is gone.
	DescribeTable("sends the next turn elsewhere if the server of the turn before", func(change func(f *fleet.Fleet)) {
		f := newFleet(20)
		for i := range 20 {
			for range 4 {
				f.CallStarted(fmt.Sprint("b", i), now)
				f.CallEnded(fleet.CallResult{BackendID: fmt.Sprint("b", i), Duration: time.Second, EventGap: 20 * time.Millisecond}, now)
			}
		}
		change(f)
		Expect(choose(f, request)).NotTo(Equal("b3"))
	},
		Entry("is gone", func(f *fleet.Fleet) { f.Remove("b3", now, false) }),
		Entry("drains", func(f *fleet.Fleet) {
			leaving := backend("b3")
			leaving.Draining = true
			f.Put(leaving)
		}),
		Entry("says that it is leaving", func(f *fleet.Fleet) { f.Heard(fleet.Statement{BackendID: "b3", Sent: now, Leaving: true}, now) }),
		Entry("refused a call", func(f *fleet.Fleet) { f.CallEnded(fleet.CallResult{BackendID: "b3", AtCapacity: true}, now) }),
		Entry("is full", func(f *fleet.Fleet) {
			for range 5 {
				f.CallStarted("b3", now)
			}
		}),
		Entry("has become much slower", func(f *fleet.Fleet) {
			for range 6 {
				f.CallEnded(fleet.CallResult{BackendID: "b3", Duration: time.Second, EventGap: 100 * time.Millisecond}, now)
			}
		}),
	)

	// Guards against a home server that counts as full for all fronts because the front that
	// has served the conversation runs a call there.
	It("sends the next turn to its home server although only this front has calls there", func() {
		f := newFleet(20)
		f.SetFronts("f0", []string{"f0", "f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8", "f9"}, nil, now)
		f.CallStarted("b3", now.Add(-20*time.Second))
		Expect(choose(f, request)).To(Equal("b3"))
		f.LearnOthers(fleet.OthersTable{Service: "s", Servers: map[uint32]fleet.Others{}}, now)
		Expect(choose(f, request)).To(Equal("b3"))
	})

	It("sends the next turn where the hash says if the server of the turn before is not recorded", func() {
		f := newFleet(20)
		unknown := request
		unknown.Home = ""
		same := unknown
		same.Contended = false
		for i := range 20 {
			unknown.Affinity = fmt.Sprint("conversation-", i)
			same.Affinity = unknown.Affinity
			Expect(choose(f, unknown)).To(Equal(choose(f, same)))
		}
	})

	// Guards against calls that are sent to a full server, or wait, because the few that
	// were drawn at random are full.
	It("finds the only server with a free slot", func() {
		f := newFleet(200)
		for i := range 200 {
			for range 4 {
				if i != 77 {
					f.CallStarted(fmt.Sprint("b", i), now)
				}
			}
		}
		Expect(choose(f, fleet.Request{Service: "s", Contended: true})).To(Equal("b77"))
	})
})
