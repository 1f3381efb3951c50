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

// newFleet returns the fleet of a front in availability zone a with count
// backend servers of that zone, b0, b1 and so on.
func newFleet(count int) *fleet.Fleet {
	f := fleet.New("a")
	for i := range count {
		f.Put(backend(fmt.Sprintf("b%d", i)))
	}
	return f
}

var _ = Describe("Fleet", func() {
	now := time.Unix(1_000_000, 0)
	request := fleet.Request{Service: "s"}

	It("gives no calls to a draining backend server", func() {
		f := newFleet(1)
		leaving := backend("b0")
		leaving.Draining = true
		f.Put(leaving)
		_, _, ok := f.Choose(request, now)
		Expect(ok).To(BeFalse())
	})

	// Guards against calls to a server that has said that it is leaving, because its
	// registration is older or returns after an outage of the platform's store.
	It("gives no calls to a backend server that said that it is leaving, until it starts again", func() {
		f := newFleet(1)
		chosen := func() bool {
			_, _, ok := f.Choose(request, now)
			return ok
		}
		said := fleet.Statement{BackendID: "b0", Sent: now, Leaving: true}
		Expect(f.Heard(said, now).Leaving).To(BeTrue())
		Expect(f.Heard(said, now).Leaving).To(BeFalse(), "it is known")
		Expect(chosen()).To(BeFalse())
		f.Put(backend("b0"))
		Expect(chosen()).To(BeFalse())
		f.Heard(fleet.Statement{BackendID: "b0", Sent: now}, now)
		Expect(chosen()).To(BeFalse(), "an answer from before")
		f.Remove("b0", now, false)
		f.Put(backend("b0"))
		Expect(chosen()).To(BeFalse())
		leaving, _ := f.Get("b0")
		Expect(leaving.Draining).To(BeTrue())
		again := backend("b0")
		again.Incarnation = 2
		f.Put(again)
		Expect(chosen()).To(BeTrue())
	})

	It("removes a registration at once, but after the return window if the platform's store has just returned", func() {
		f := newFleet(2)
		f.Remove("b0", now, false)
		Expect(f.BackendCount()).To(Equal(1))
		f.Remove("b1", now, true)
		Expect(f.Size("s")).To(Equal(1))
		Expect(f.Expire(now.Add(time.Second))).To(BeEmpty())
		f.Put(backend("b1"))
		Expect(f.Expire(now.Add(time.Minute))).To(BeEmpty())
		f.Remove("b1", now, true)
		Expect(f.Expire(now.Add(2 * time.Second))).To(Equal([]fleet.Backend{backend("b1")}))
	})

	// Guards against the rest of a stream that goes to the preferred server of its
	// conversation although that has another software version, or beyond the limit
	// that a server of its version names (ORDER, issue 26).
	It("gives the rest of a stream to a server of its software version, within the limits, whatever server is preferred", func() {
		f := newFleet(8)
		own := backend("b3")
		own.SoftwareVersion, own.AvailabilityZone = "v2", "c"
		f.Put(own)
		rest := fleet.Request{Service: "s", SoftwareVersion: "v2"}
		for i := range 50 {
			rest.Affinity = fmt.Sprint("conversation-", i)
			b, _, ok := f.Choose(rest, now)
			Expect(ok).To(BeTrue())
			Expect(b.ID).To(Equal("b3"))
		}
		f.Heard(fleet.Statement{BackendID: "b3", Sent: now, Limited: true, CallsPerSecond: 1}, now)
		f.CallStarted("b3", now)
		_, _, ok := f.Choose(rest, now)
		Expect(ok).To(BeFalse(), "the others have another version")
		wait, left := f.LimitWait(rest, now)
		Expect(left).To(BeTrue())
		Expect(wait).To(BeNumerically(">", 0))
		rest.SoftwareVersion = "v3"
		_, left = f.LimitWait(rest, now)
		Expect(left).To(BeFalse(), "no server has this version")
	})

	It("spreads calls over idle backend servers", func() {
		f := newFleet(5)
		for range 5 {
			b, running, ok := f.Choose(request, now)
			Expect(ok).To(BeTrue())
			Expect(running).To(BeZero())
			f.CallStarted(b.ID, now)
		}
	})

	It("keeps a session at one backend server until that one is much busier", func() {
		f := newFleet(8)
		sticky := fleet.Request{Service: "s", Affinity: "session-1"}
		first, _, _ := f.Choose(sticky, now)
		again, _, _ := f.Choose(sticky, now)
		Expect(again.ID).To(Equal(first.ID))
		for range 3 {
			f.CallStarted(first.ID, now)
		}
		other, _, _ := f.Choose(sticky, now)
		Expect(other.ID).NotTo(Equal(first.ID))
	})

	// Guards against a conversation that changes its backend server for a small
	// difference in load: with the 60 model servers of the deployment
	// ortak-fiyat-grown it moved for half a running call, and its prompt was
	// processed again.
	It("keeps a conversation at one backend server of many, from each front, until it is much busier", func() {
		frontA, frontB := newFleet(60), fleet.New("b")
		for i := range 60 {
			frontB.Put(backend(fmt.Sprintf("b%d", i)))
		}
		for n := range 20 {
			request := fleet.Request{Service: "s", Affinity: fmt.Sprintf("talk-%d", n)}
			preferred, _, _ := frontA.Choose(request, now)
			same, _, _ := frontB.Choose(request, now)
			Expect(same.ID).To(Equal(preferred.ID))
			load := func(f *fleet.Fleet, count int) {
				for range count {
					f.CallStarted(preferred.ID, now)
				}
			}
			load(frontA, 2)
			again, _, _ := frontA.Choose(request, now)
			Expect(again.ID).To(Equal(preferred.ID))
			load(frontA, 2)
			load(frontB, 4)
			second, _, _ := frontA.Choose(request, now)
			Expect(second.ID).NotTo(Equal(preferred.ID))
			same, _, _ = frontB.Choose(request, now)
			Expect(same.ID).To(Equal(second.ID), "all fronts have the same second choice")
			for range 4 {
				frontA.CallEnded(fleet.CallResult{BackendID: preferred.ID}, now)
				frontB.CallEnded(fleet.CallResult{BackendID: preferred.ID}, now)
			}
		}
	})

	It("prefers an open connection only among equally busy backend servers", func() {
		f := newFleet(5)
		connected := fleet.Request{Service: "s", Connected: func(address string) bool { return address == "b3" }}
		for draw := range uint64(20) {
			connected.TieBreak = draw << 58
			b, _, _ := f.Choose(connected, now)
			Expect(b.ID).To(Equal("b3"))
		}
		f.CallStarted("b3", now)
		b, _, _ := f.Choose(connected, now)
		Expect(b.ID).NotTo(Equal("b3"))
	})

	It("avoids a backend server that could not be reached, while others are left", func() {
		f := newFleet(2)
		f.CallStarted("b0", now)
		f.CallEnded(fleet.CallResult{BackendID: "b0", Unreachable: true}, now)
		for draw := range uint64(20) {
			b, _, _ := f.Choose(fleet.Request{Service: "s", TieBreak: draw << 58}, now)
			Expect(b.ID).To(Equal("b1"))
		}
		only, _, ok := f.Choose(fleet.Request{Service: "s", Exclude: []string{"b1"}}, now)
		Expect(ok).To(BeTrue())
		Expect(only.ID).To(Equal("b0"))
	})

	It("gives fewer calls to a backend server that is slower than the others, but still some", func() {
		f := newFleet(4)
		for range 10 {
			for i := range 4 {
				duration := 50 * time.Millisecond
				if i == 0 {
					duration = 500 * time.Millisecond
				}
				id := fmt.Sprintf("b%d", i)
				f.CallStarted(id, now)
				f.CallEnded(fleet.CallResult{BackendID: id, Duration: duration, Comparable: true}, now)
			}
		}
		counts := map[string]int{}
		for draw := range uint64(24) {
			b, _, _ := f.Choose(fleet.Request{Service: "s", TieBreak: draw * 0x9e3779b97f4a7c15}, now)
			f.CallStarted(b.ID, now)
			counts[b.ID]++
		}
		Expect(counts["b0"]).To(BeNumerically("<", 4))
		Expect(counts["b0"]).To(BeNumerically(">", 0))
	})

	// Guards against conversations that stay at a backend server which has become
	// several times slower, because the few calls of this front there cost little.
	It("moves a conversation while its first choice is much slower than the others", func() {
		f := newFleet(6)
		sticky := fleet.Request{Service: "s", Affinity: "talk"}
		preferred, _, _ := f.Choose(sticky, now)
		report := func(preferredDuration time.Duration) {
			for i := range 6 {
				id := fmt.Sprintf("b%d", i)
				duration := 50 * time.Millisecond
				if id == preferred.ID {
					duration = preferredDuration
				}
				f.CallEnded(fleet.CallResult{BackendID: id, Duration: duration, Comparable: true}, now)
			}
		}
		report(50 * time.Millisecond)
		for range 12 {
			report(70 * time.Millisecond) // some prompts are longer than others
		}
		same, _, _ := f.Choose(sticky, now)
		Expect(same.ID).To(Equal(preferred.ID))
		for range 12 {
			report(200 * time.Millisecond)
		}
		other, _, _ := f.Choose(sticky, now)
		Expect(other.ID).NotTo(Equal(preferred.ID))
		back, _, _ := f.Choose(sticky, now.Add(20*time.Second))
		Expect(back.ID).To(Equal(preferred.ID))
	})

	newZonedFleet := func(zone string) *fleet.Fleet {
		f := fleet.New(zone)
		for i := range 9 {
			b := backend(fmt.Sprintf("b%d", i))
			b.AvailabilityZone = []string{"a", "b", "c"}[i%3]
			f.Put(b)
		}
		return f
	}

	// Guards against a first choice that depends on the zone of the front. In
	// scale-2 of the deployment ortak-fiyat-grown, clients of a zone that had lost
	// a front used fronts of all zones, so the prompts of each conversation were
	// processed again in every zone.
	It("chooses the same backend server for a conversation at fronts of all availability zones", func() {
		frontA, frontB := newZonedFleet("a"), newZonedFleet("b")
		for n := range 30 {
			request := fleet.Request{Service: "s", Affinity: fmt.Sprintf("talk-%d", n)}
			preferred, _, _ := frontA.Choose(request, now)
			same, _, _ := frontB.Choose(request, now)
			Expect(same.ID).To(Equal(preferred.ID))
		}
	})

	// Guards against calls that cross availability zones without need, and against
	// calls that queue in one zone while servers in others are idle.
	It("prefers its availability zone until the servers there are much busier", func() {
		f := newZonedFleet("a")
		zones := map[string]int{}
		for range 18 {
			b, _, _ := f.Choose(request, now)
			f.CallStarted(b.ID, now)
			zones[b.AvailabilityZone]++
		}
		Expect(zones["a"]).To(BeNumerically(">", zones["b"]))
		Expect(zones["b"]).To(BeNumerically(">", 3))
	})

	// Guards against backend servers that report themselves healthy but reset every
	// call. Each was the least busy one and got most of the calls; only 0.44 of the
	// benchmark's score was reached.
	It("avoids an idle backend server that fails every call, and tries it again later", func() {
		f := newFleet(3)
		for range 4 {
			f.CallStarted("b0", now)
			f.CallEnded(fleet.CallResult{BackendID: "b0", Failed: true}, now)
		}
		for range 3 {
			f.CallStarted("b1", now)
			f.CallStarted("b2", now)
		}
		b, _, _ := f.Choose(request, now)
		Expect(b.ID).NotTo(Equal("b0"))
		b, _, _ = f.Choose(request, now.Add(time.Minute))
		Expect(b.ID).To(Equal("b0"))
	})

	It("prefers a somewhat busier backend server to one that fails half of its calls", func() {
		f := newFleet(2)
		for i := range 12 {
			f.CallStarted("b0", now)
			f.CallEnded(fleet.CallResult{BackendID: "b0", Failed: i%2 == 0, Duration: time.Millisecond}, now)
		}
		f.CallStarted("b1", now)
		b, _, _ := f.Choose(request, now)
		Expect(b.ID).To(Equal("b1"))
	})

	// Guards against single failures that cause the whole fleet to be avoided.
	It("does not avoid a backend server for one failure among many calls", func() {
		f := newFleet(2)
		f.CallEnded(fleet.CallResult{BackendID: "b0", Failed: true}, now)
		for range 12 {
			f.CallEnded(fleet.CallResult{BackendID: "b0", Duration: time.Millisecond}, now)
		}
		f.CallStarted("b1", now)
		b, _, _ := f.Choose(request, now)
		Expect(b.ID).To(Equal("b0"))
	})

	It("discards its observations of a backend server that restarts under the same id", func() {
		f := newFleet(2)
		f.CallEnded(fleet.CallResult{BackendID: "b0", Unreachable: true}, now)
		f.CallStarted("b1", now)
		again := backend("b0")
		again.Incarnation = 5
		f.Put(again)
		b, _, _ := f.Choose(request, now)
		Expect(b.ID).To(Equal("b0"))
	})
})
