package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

func backend(id string) fleet.Backend {
	return fleet.Backend{ID: id, Service: "s", Address: id, AvailabilityZone: "a", Slots: 4}
}

func filled(count int) *fleet.Fleet {
	f := fleet.New("a")
	for i := range count {
		f.Put(backend(fmt.Sprintf("b%d", i)))
	}
	return f
}

var _ = Describe("Fleet", func() {
	now := time.Unix(1_000_000, 0)
	ask := fleet.Ask{Service: "s"}

	It("gives nothing to a backend server that leaves", func() {
		f := filled(1)
		leaving := backend("b0")
		leaving.Draining = true
		f.Put(leaving)
		_, _, ok := f.Choose(ask, now)
		Expect(ok).To(BeFalse())
	})

	It("drops an entry at once, but waits for its return when the platform's store was away", func() {
		f := filled(2)
		f.Remove("b0", now, false)
		Expect(f.Total()).To(Equal(1))
		f.Remove("b1", now, true)
		Expect(f.Size("s")).To(Equal(1))
		Expect(f.Expire(now.Add(time.Second))).To(BeEmpty())
		f.Put(backend("b1"))
		Expect(f.Expire(now.Add(time.Minute))).To(BeEmpty())
		f.Remove("b1", now, true)
		Expect(f.Expire(now.Add(2 * time.Second))).To(Equal([]string{"b1"}))
	})

	It("spreads calls over idle backend servers", func() {
		f := filled(5)
		for range 5 {
			b, running, ok := f.Choose(ask, now)
			Expect(ok).To(BeTrue())
			Expect(running).To(BeZero())
			f.Started(b.ID)
		}
	})

	It("keeps a session together until that backend server is much busier", func() {
		f := filled(8)
		sticky := fleet.Ask{Service: "s", Affinity: "session-1"}
		first, _, _ := f.Choose(sticky, now)
		again, _, _ := f.Choose(sticky, now)
		Expect(again.ID).To(Equal(first.ID))
		for range 3 {
			f.Started(first.ID)
		}
		other, _, _ := f.Choose(sticky, now)
		Expect(other.ID).NotTo(Equal(first.ID))
	})

	// On ortak-fiyat-grown, with 60 model servers, a conversation moved for half a
	// running call and its prompt was read again.
	It("keeps a conversation at one backend server of many, from each front, until it is much busier", func() {
		near, far := filled(60), fleet.New("b")
		for i := range 60 {
			far.Put(backend(fmt.Sprintf("b%d", i)))
		}
		for n := range 20 {
			ask := fleet.Ask{Service: "s", Affinity: fmt.Sprintf("talk-%d", n)}
			home, _, _ := near.Choose(ask, now)
			same, _, _ := far.Choose(ask, now)
			Expect(same.ID).To(Equal(home.ID))
			load := func(f *fleet.Fleet, count int) {
				for range count {
					f.Started(home.ID)
				}
			}
			load(near, 2)
			again, _, _ := near.Choose(ask, now)
			Expect(again.ID).To(Equal(home.ID))
			load(near, 2)
			load(far, 4)
			second, _, _ := near.Choose(ask, now)
			Expect(second.ID).NotTo(Equal(home.ID))
			same, _, _ = far.Choose(ask, now)
			Expect(same.ID).To(Equal(second.ID), "the second choice is the same on all fronts too")
			for range 4 {
				near.Ended(fleet.Report{ID: home.ID}, now)
				far.Ended(fleet.Report{ID: home.ID}, now)
			}
		}
	})

	It("prefers an open connection among equally busy backend servers, and no others", func() {
		f := filled(5)
		connected := fleet.Ask{Service: "s", Connected: func(address string) bool { return address == "b3" }}
		for draw := range uint64(20) {
			connected.Draw = draw << 58
			b, _, _ := f.Choose(connected, now)
			Expect(b.ID).To(Equal("b3"))
		}
		f.Started("b3")
		b, _, _ := f.Choose(connected, now)
		Expect(b.ID).NotTo(Equal("b3"))
	})

	It("avoids one that could not be reached or was full, while others are left", func() {
		f := filled(2)
		f.Started("b0")
		f.Ended(fleet.Report{ID: "b0", Unreachable: true}, now)
		for draw := range uint64(20) {
			b, _, _ := f.Choose(fleet.Ask{Service: "s", Draw: draw << 58}, now)
			Expect(b.ID).To(Equal("b1"))
		}
		only, _, ok := f.Choose(fleet.Ask{Service: "s", Exclude: []string{"b1"}}, now)
		Expect(ok).To(BeTrue())
		Expect(only.ID).To(Equal("b0"))
	})

	It("gives less to one that is slower than its peers, and tries it again later", func() {
		f := filled(4)
		for range 10 {
			for i := range 4 {
				first := 50 * time.Millisecond
				if i == 0 {
					first = 500 * time.Millisecond
				}
				id := fmt.Sprintf("b%d", i)
				f.Started(id)
				f.Ended(fleet.Report{ID: id, Took: first, Typical: true}, now)
			}
		}
		counts := map[string]int{}
		for draw := range uint64(24) {
			b, _, _ := f.Choose(fleet.Ask{Service: "s", Draw: draw * 0x9e3779b97f4a7c15}, now)
			f.Started(b.ID)
			counts[b.ID]++
		}
		Expect(counts["b0"]).To(BeNumerically("<", 4))
		Expect(counts["b0"]).To(BeNumerically(">", 0))
	})

	// Guards against conversations that stay at a backend server which has become
	// several times slower, because this front runs few calls there.
	It("sends a conversation elsewhere while its home is much slower than its peers", func() {
		f := filled(6)
		sticky := fleet.Ask{Service: "s", Affinity: "talk"}
		home, _, _ := f.Choose(sticky, now)
		report := func(first time.Duration) {
			for i := range 6 {
				id := fmt.Sprintf("b%d", i)
				took := 50 * time.Millisecond
				if id == home.ID {
					took = first
				}
				f.Ended(fleet.Report{ID: id, Took: took, Typical: true}, now)
			}
		}
		report(50 * time.Millisecond)
		for range 12 {
			report(70 * time.Millisecond) // some prompts are longer than others
		}
		same, _, _ := f.Choose(sticky, now)
		Expect(same.ID).To(Equal(home.ID))
		for range 12 {
			report(200 * time.Millisecond)
		}
		other, _, _ := f.Choose(sticky, now)
		Expect(other.ID).NotTo(Equal(home.ID))
		back, _, _ := f.Choose(sticky, now.Add(20*time.Second))
		Expect(back.ID).To(Equal(home.ID))
	})

	inZones := func(zone string) *fleet.Fleet {
		f := fleet.New(zone)
		for i := range 9 {
			b := backend(fmt.Sprintf("b%d", i))
			b.AvailabilityZone = []string{"a", "b", "c"}[i%3]
			f.Put(b)
		}
		return f
	}

	// On scale-2 of ortak-fiyat-grown homes lay in the zone of the front that was
	// asked: clients of a zone that had lost a front used fronts of all zones, and
	// each conversation was read in all of them.
	It("has one home for a conversation, from fronts of any availability zone", func() {
		one, two := inZones("a"), inZones("b")
		for n := range 30 {
			ask := fleet.Ask{Service: "s", Affinity: fmt.Sprintf("talk-%d", n)}
			home, _, _ := one.Choose(ask, now)
			same, _, _ := two.Choose(ask, now)
			Expect(same.ID).To(Equal(home.ID))
		}
	})

	// Guards against calls that cross availability zones without need, and against
	// calls that queue in one zone while others are idle.
	It("stays in its availability zone until the servers there are much busier", func() {
		f := inZones("a")
		zones := map[string]int{}
		for range 18 {
			b, _, _ := f.Choose(ask, now)
			f.Started(b.ID)
			zones[b.AvailabilityZone]++
		}
		Expect(zones["a"]).To(BeNumerically(">", zones["b"]))
		Expect(zones["b"]).To(BeNumerically(">", 3))
	})

	// On a day with backend servers that said they were well and reset every call,
	// each was the least busy one and got most calls (0.44 of the worth was left).
	It("avoids a backend server that fails every call, although it is idle, and tries it again later", func() {
		f := filled(3)
		for range 4 {
			f.Started("b0")
			f.Ended(fleet.Report{ID: "b0", Failed: true}, now)
		}
		for range 3 {
			f.Started("b1")
			f.Started("b2")
		}
		b, _, _ := f.Choose(ask, now)
		Expect(b.ID).NotTo(Equal("b0"))
		b, _, _ = f.Choose(ask, now.Add(time.Minute))
		Expect(b.ID).To(Equal("b0"))
	})

	It("prefers a somewhat busier backend server to one that fails half of its calls", func() {
		f := filled(2)
		for i := range 12 {
			f.Started("b0")
			f.Ended(fleet.Report{ID: "b0", Failed: i%2 == 0, Took: time.Millisecond}, now)
		}
		f.Started("b1")
		b, _, _ := f.Choose(ask, now)
		Expect(b.ID).To(Equal("b1"))
	})

	// Guards against a fleet that is avoided as a whole after single failures.
	It("takes little notice of one failure among many calls", func() {
		f := filled(2)
		f.Ended(fleet.Report{ID: "b0", Failed: true}, now)
		for range 12 {
			f.Ended(fleet.Report{ID: "b0", Took: time.Millisecond}, now)
		}
		f.Started("b1")
		b, _, _ := f.Choose(ask, now)
		Expect(b.ID).To(Equal("b0"))
	})

	It("forgets what it believed of one that started again under its id", func() {
		f := filled(2)
		f.Ended(fleet.Report{ID: "b0", Unreachable: true}, now)
		f.Started("b1")
		again := backend("b0")
		again.Incarnation = 5
		f.Put(again)
		b, _, _ := f.Choose(ask, now)
		Expect(b.ID).To(Equal("b0"))
	})
})
