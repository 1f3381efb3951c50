package copies_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/copies"
	"dogwoodline.example/fencedlog"
	"dogwoodline.example/membership"
)

func TestCopies(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "copies")
}

var start = time.Unix(1000, 0)

// newCopy returns copy n with two records in ten bytes. The store lacks the
// copies from oldest on.
func newCopy(n, oldest, commit uint64) fencedlog.Copy {
	return fencedlog.Copy{Number: n, Oldest: oldest, Commit: commit, Records: 2, Body: fmt.Appendf(nil, "%10d", n)}
}

func copyNumbers(held []fencedlog.Copy) []uint64 {
	numbers := []uint64{}
	for _, c := range held {
		numbers = append(numbers, c.Number)
	}
	return numbers
}

var _ = Describe("State", func() {
	It("holds copies in order, acknowledges repeated ones and refuses a gap", func() {
		s := copies.NewState(copies.Limits{})
		Expect(s.Hold(start, "a", newCopy(4, 3, 1))).To(Equal(copies.Gap), "3 is missing")
		Expect(s.Hold(start, "a", newCopy(3, 3, 1))).To(Equal(copies.Held))
		Expect(s.Hold(start, "a", newCopy(5, 3, 2))).To(Equal(copies.Gap), "4 is missing")
		Expect(s.Hold(start, "a", newCopy(4, 3, 2))).To(Equal(copies.Held))
		Expect(s.Hold(start, "a", newCopy(3, 3, 1))).To(Equal(copies.Held), "repeated because its answer was lost")
		Expect(s.Hold(start, "b", newCopy(1, 1, 1))).To(Equal(copies.Held))
		Expect(copyNumbers(s.Collect(start, "a"))).To(Equal([]uint64{3, 4}))
	})

	It("refuses all copies of a collected journal, even if it never held any of it", func() {
		s := copies.NewState(copies.Limits{})
		Expect(s.Hold(start, "a", newCopy(1, 1, 1))).To(Equal(copies.Held))
		Expect(s.Collect(start, "a")).To(HaveLen(1))
		Expect(s.Collect(start, "never")).To(BeEmpty())
		s.Drop("a", 9)
		Expect(s.Hold(start, "a", newCopy(1, 1, 1))).To(Equal(copies.Fenced), "not even a repetition")
		Expect(s.Hold(start, "a", newCopy(2, 2, 2))).To(Equal(copies.Fenced))
		Expect(s.Hold(start, "never", newCopy(1, 1, 1))).To(Equal(copies.Fenced))
		Expect(s.Collect(start, "a")).To(HaveLen(1), "another node may collect them too")
	})

	It("drops the copies that the store has, and does not hold them again when they are repeated", func() {
		s := copies.NewState(copies.Limits{})
		for n := uint64(1); n <= 4; n++ {
			Expect(s.Hold(start, "a", newCopy(n, 1, n))).To(Equal(copies.Held))
		}
		s.Drop("a", 2)
		s.Drop("unknown", 2)
		Expect(s.Hold(start, "a", newCopy(1, 1, 1))).To(Equal(copies.Held))
		Expect(s.Hold(start, "a", newCopy(5, 3, 5))).To(Equal(copies.Held))
		Expect(copyNumbers(s.Collect(start, "a"))).To(Equal([]uint64{3, 4, 5}))
	})

	It("bounds records, bytes and journals, and holds further copies after a drop", func() {
		for name, limits := range map[string]copies.Limits{"records": {Records: 5}, "bytes": {Bytes: 29}} {
			s := copies.NewState(limits)
			Expect(s.Hold(start, "a", newCopy(1, 1, 1))).To(Equal(copies.Held))
			Expect(s.Hold(start, "a", newCopy(2, 1, 2))).To(Equal(copies.Held))
			Expect(s.Hold(start, "a", newCopy(3, 1, 3))).To(Equal(copies.Full), name)
			Expect(s.Hold(start, "b", newCopy(1, 1, 1))).To(Equal(copies.Held), "the limit applies to each journal")
			s.Drop("a", 1)
			Expect(s.Hold(start, "a", newCopy(3, 2, 3))).To(Equal(copies.Held), name)
		}
		s := copies.NewState(copies.Limits{Journals: 1})
		Expect(s.Hold(start, "a", newCopy(1, 1, 1))).To(Equal(copies.Held))
		Expect(s.Hold(start, "b", newCopy(1, 1, 1))).To(Equal(copies.Full))
		s.Drop("a", 1)
		Expect(s.Hold(start, "b", newCopy(1, 1, 1))).To(Equal(copies.Held))
	})

	It("releases old copies of journals that are not needed, and keeps them fenced", func() {
		s := copies.NewState(copies.Limits{})
		Expect(s.Hold(start, "needed", newCopy(1, 1, 1))).To(Equal(copies.Held))
		Expect(s.Hold(start, "gone", newCopy(1, 1, 1))).To(Equal(copies.Held))
		s.Collect(start, "gone")
		needed := func(name string) bool { return name == "needed" }
		s.Release(start.Add(time.Minute), needed)
		Expect(s.Collect(start, "gone")).To(HaveLen(1), "a node may still collect them")
		s.Release(start.Add(time.Hour), needed)
		Expect(s.Collect(start, "gone")).To(BeEmpty())
		Expect(s.Hold(start, "gone", newCopy(2, 2, 2))).To(Equal(copies.Fenced))
		Expect(s.Collect(start, "needed")).To(HaveLen(1))
	})
})

var _ = Describe("Duty", func() {
	It("answers each request on its own ring, and none after it has stopped", func(ctx SpecContext) {
		d := copies.NewDuty(clockwork.NewRealClock(), copies.Limits{}, func(string) bool { return true })
		stopped, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- d.Run(stopped) }()
		Expect(d.Hold(ctx, "a", newCopy(1, 1, 1))).To(Equal(copies.Held))
		Expect(d.Hold(ctx, "a", newCopy(2, 1, 2))).To(Equal(copies.Held))
		Expect(d.Drop(ctx, "a", 1)).To(Succeed())
		held, err := d.Collect(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(copyNumbers(held)).To(Equal([]uint64{2}))
		Expect(d.Hold(ctx, "a", newCopy(3, 1, 3))).To(Equal(copies.Fenced))
		stop()
		Eventually(ended).Should(Receive())
		_, err = d.Hold(ctx, "a", newCopy(4, 1, 4))
		Expect(err).To(MatchError(copies.ErrBusy))
	})
})

var _ = Describe("Choose", func() {
	member := func(id, zone string) membership.Member {
		return membership.Member{ID: id, Incarnation: id + "-1", Zone: zone}
	}
	choose := func(members ...membership.Member) []string {
		return copies.ChooseHolders(&membership.View{Members: members}, "a", "z1")
	}
	It("prefers nodes in other zones, then any other node, but never the owner or a draining one", func() {
		draining := member("d", "z3")
		draining.Draining = true
		Expect(choose(member("a", "z1"), member("b", "z2"))).To(BeEmpty())
		Expect(choose(member("a", "z1"), member("b", "z2"), draining)).To(BeEmpty())
		Expect(choose(member("a", "z1"), member("b", "z1"), member("c", "z1"))).To(Equal([]string{"b-1", "c-1"}))
		Expect(choose(member("a", "z1"), member("b", "z1"), member("c", "z1"), member("e", "z2"))).To(ContainElement("e-1"))
		for i := range 20 {
			other := member(fmt.Sprint("f", i), "z2")
			Expect(choose(member("b", "z1"), other, member("e", "z3"))).To(ConsistOf("e-1", other.Incarnation))
		}
	})
})
