package gateway

import (
	"fmt"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fleet"
	"dogwoodline.example/ring"
	"dogwoodline.example/serverstats"
)

var _ = Describe("The statistics that fronts share", func() {
	start := time.Unix(1_000_000, 0)

	// newFront returns the scheduler of a front that knows eight servers in two zones.
	newFront := func(zone string, fronts int, contended bool) *Scheduler {
		s := &Scheduler{log: slog.New(slog.DiscardHandler), zone: zone, fleet: fleet.New(zone), views: map[string]*sharedView{},
			messages: ring.New[schedulerMessage](64), contendedCapacity: contended}
		s.listedFronts.Store(int64(fronts))
		s.statistics = newServerStatistics(zone, func(table serverstats.Table) bool {
			return s.messages.TryPush(schedulerMessage{table: &table}) == nil
		})
		s.statistics.SetFronts(nil, []string{"c"}, start)
		for i := range 8 {
			s.fleet.Put(fleet.Backend{ID: fmt.Sprint("b", i), Service: "s", AvailabilityZone: string(rune('a' + i%2)), Slots: 4})
		}
		return s
	}
	// exchange lets fronts report to the coordinator, which is the first one, and learn.
	exchange := func(now time.Time, fronts ...*Scheduler) {
		for i, s := range fronts {
			s.shareStatistics(now)
			payload := s.statistics.Report("c", now)
			if payload == nil {
				continue
			}
			Expect(s.statistics.Report("c", now)).To(BeNil(), "nothing is said twice")
			s.statistics.Learn("c", fronts[0].statistics.Answer(fmt.Sprint("f", i), payload, now), now)
			for m, ok := s.messages.TryPop(); ok; m, ok = s.messages.TryPop() {
				s.handle(m, now)
			}
		}
	}
	chosen := func(s *Scheduler, now time.Time) map[string]int {
		counts := map[string]int{}
		for i := range 400 {
			if b, _, ok := s.fleet.Choose(fleet.Request{Service: "s", Contended: true, TieBreak: uint64(i) * 0x9e3779b97f4a7c15}, now); ok {
				counts[b.ID]++
			}
		}
		return counts
	}

	// Guards against callers that find out, each through another front, that a server fails
	// half of its calls while its health responses are good; and against a table that is
	// used although no coordinator answers any more.
	It("keep calls away from a server that others saw fail, until they are two seconds old", func() {
		a, b := newFront("a", 2, true), newFront("a", 2, true)
		for range 6 {
			b.fleet.CallStarted("b2", start)
			b.fleet.CallEnded(fleet.CallResult{BackendID: "b2", Failed: true}, start)
		}
		exchange(start, a, b)
		exchange(start.Add(250*time.Millisecond), a, b)
		Expect(chosen(a, start.Add(300*time.Millisecond))["b2"]).To(BeZero())
		Expect(chosen(a, start.Add(2300*time.Millisecond))["b2"]).To(BeNumerically(">", 20))
	})

	// Guards against admission that takes the calls of one front, times the number of
	// fronts, for those of all.
	It("tell how many slots are free over all fronts, and whether that is known", func() {
		a, b := newFront("a", 2, true), newFront("a", 2, true)
		_, _, known := a.fleet.Places("s", 0, start)
		Expect(known).To(BeFalse())
		for range 3 {
			b.fleet.CallStarted("b1", start)
		}
		a.fleet.CallStarted("b1", start)
		exchange(start, a, b)
		exchange(start.Add(250*time.Millisecond), a, b)
		free, running, known := a.fleet.Places("s", 0, start.Add(time.Second))
		Expect([]any{free, running, known}).To(Equal([]any{28, 4, true}))
		_, _, known = a.fleet.Places("s", 0, start.Add(3*time.Second))
		Expect(known).To(BeFalse())
	})

	It("are not exchanged where services are not contended, nor used if few fronts report", func() {
		a, b := newFront("a", 2, false), newFront("a", 2, false)
		exchange(start, a, b)
		exchange(start.Add(250*time.Millisecond), a, b)
		Expect(a.views["s"].told.IsZero()).To(BeTrue())
		many := newFront("a", 9, true)
		exchange(start, many, newFront("a", 9, true))
		exchange(start.Add(250*time.Millisecond), many)
		_, _, known := many.fleet.Places("s", 0, start.Add(250*time.Millisecond))
		Expect(known).To(BeFalse())
	})

	// Guards against a zone whose demand exceeds its servers while those of another zone
	// are idle, and against calls that leave a zone without need.
	It("let calls leave a zone only while its demand exceeds its servers", func() {
		a, b := newFront("a", 2, true), newFront("b", 2, true)
		crossing := func(s *Scheduler, zone int, now time.Time) (count int) {
			for id, n := range chosen(s, now) {
				if int(id[1]-'0')%2 != zone {
					count += n
				}
			}
			return count
		}
		now := start
		round := func() {
			now = now.Add(time.Second)
			exchange(now, a, b)
		}
		for _, s := range []*Scheduler{a, b} { // the time of a call is known
			s.fleet.CallEnded(fleet.CallResult{BackendID: "b0", Duration: 250 * time.Millisecond, Comparable: true}, now)
		}
		round()
		Expect(crossing(a, 0, now)).To(BeZero())
		for i := range 22 {
			a.fleet.CallStarted(fmt.Sprint("b", i%4*2), now)
		}
		for range 20 {
			round()
		}
		Expect(a.views["s"].shares).To(HaveLen(1))
		Expect(a.views["s"].shares[0].Part).To(And(BeNumerically(">", 0.15), BeNumerically("<", 0.6)))
		Expect(crossing(a, 0, now)).To(BeNumerically(">", 40))
		Expect(b.views["s"].shares).To(BeEmpty())
	})
})

var _ = Describe("The fronts for clients of a zone", func() {
	fronts := func(zone string, count int, cores float64) (all []Front) {
		for i := range count {
			all = append(all, Front{Address: fmt.Sprint(zone, i), Zone: zone, Cores: cores})
		}
		return all
	}
	count := func(list []Front, zone string) (own, others int) {
		for _, f := range list {
			if f.Zone == zone {
				own++
			} else {
				others++
			}
		}
		return own, others
	}
	all := append(append(fronts("a", 6, 0.5), fronts("b", 6, 0.5)...), fronts("c", 2, 0.5)...)

	// Guards against clients that cross zones at random, against a zone whose fronts cannot
	// carry its clients, and against clients that know no front outside their zone when all
	// fronts of the zone are lost.
	It("are those of the zone and some others while these can carry the load", func() {
		own, others := count(preferZone(all, "a", 400, nil), "a")
		Expect([]int{own, others}).To(Equal([]int{6, 2}))
		Expect(preferZone(all, "c", 400, nil)).To(Equal(all), "too few fronts")
		Expect(preferZone(all, "d", 400, nil)).To(Equal(all), "a zone without fronts")
		Expect(preferZone(all, "a", 2000, nil)).To(Equal(all), "too much load")
		Expect(preferZone(all, "a", 600, map[string]float64{"a": 90, "b": 5, "c": 5})).To(Equal(all), "nearly all load in one zone")
	})
})
