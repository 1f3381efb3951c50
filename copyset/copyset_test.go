package copyset_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dogwoodline.example/copyset"
)

func TestCopyset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "copyset")
}

func noneAbsent(string) bool { return false }

func member(disk, host string) copyset.Member { return copyset.Member{Disk: disk, Host: host} }

func setOf(count int) copyset.Set {
	var s copyset.Set
	for i := range count {
		m := member(fmt.Sprintf("d%d", i), fmt.Sprintf("h%d", i))
		m.Ready = true
		s.Members = append(s.Members, m)
	}
	return s
}

var _ = Describe("Set", func() {
	It("makes the first member ready at once and later ones only after they have pulled", func() {
		first, ok := copyset.Set{}.Join(member("a", "h1"), noneAbsent)
		Expect(ok).To(BeTrue())
		Expect(first.Members[0].Ready).To(BeTrue())
		second, ok := first.Join(member("b", "h2"), noneAbsent)
		Expect(ok).To(BeTrue())
		Expect(second.Members[1].Ready).To(BeFalse())
		Expect(second.Serves(1)).To(BeFalse())
	})

	It("lets only one member join at a time, so that majorities of successive sets overlap", func() {
		joining, _ := setOf(4).Join(member("e", "h9"), noneAbsent)
		_, ok := joining.Join(member("f", "h10"), noneAbsent)
		Expect(ok).To(BeFalse())
	})

	// Guards against a set that can never serve again after the loss of one disk
	// while it grows. Seed 1006 of the soak, with three stores: the third had to
	// pull from both others, one of which had lost its disk, and the new disk of
	// that one had to wait for the third.
	It("lets a set of two that grows lose a disk", func() {
		growing, ok := setOf(2).Join(member("c", "h2"), noneAbsent)
		Expect(ok).To(BeTrue())
		joining, _ := growing.Find("c")
		Expect(growing.MustPullFrom(joining)).To(Equal(1), "each record is on both members")
		grown, _ := growing.MarkReady("c")
		replaced, ok := grown.Join(member("new", "h1"), noneAbsent)
		Expect(ok).To(BeTrue())
		joining, _ = replaced.Find("new")
		Expect(replaced.MustPullFrom(joining)).To(Equal(2))
	})

	It("makes a disk ready at once that replaces the last ready one before the set has served", func() {
		forming, _ := copyset.Set{}.Join(member("a", "h0"), noneAbsent)
		forming, _ = forming.Join(member("b", "h1"), noneAbsent)
		again, ok := forming.Formed(1).Join(member("new", "h0"), noneAbsent)
		Expect(ok).To(BeTrue())
		joined, _ := again.Find("new")
		Expect(joined.Ready).To(BeTrue())
	})

	It("never makes a disk ready without its records once the set has served", func() {
		served, _ := copyset.Set{}.Join(member("a", "h0"), noneAbsent)
		served, _ = served.Join(member("b", "h1"), noneAbsent)
		served, _ = served.MarkReady("b")
		served = served.Formed(1)
		one, _ := served.Join(member("new b", "h1"), noneAbsent)
		_, ok := one.Join(member("new a", "h0"), noneAbsent)
		Expect(ok).To(BeFalse())
	})

	It("replaces the earlier disk of a host by a new member that is not ready", func() {
		next, ok := setOf(4).Join(member("new", "h2"), noneAbsent)
		Expect(ok).To(BeTrue())
		Expect(next.Members).To(HaveLen(4))
		_, known := next.Find("d2")
		Expect(known).To(BeFalse())
		Expect(next.Members[2].Ready).To(BeFalse())
	})

	It("replaces an absent member, but not the only member of the set", func() {
		absent := func(disk string) bool { return disk == "d0" }
		next, _ := setOf(4).Join(member("new", "h9"), absent)
		Expect(next.Members).To(HaveLen(4))
		next, _ = setOf(1).Join(member("new", "h9"), absent)
		Expect(next.Members).To(HaveLen(2))
		Expect(next.Members[1].Ready).To(BeFalse())
	})

	It("keeps a member without which the loss of a tolerated disk could lose records", func() {
		_, ok := setOf(2).Leave("d0", 1)
		Expect(ok).To(BeFalse())
		_, ok = setOf(4).Leave("d0", 1)
		Expect(ok).To(BeTrue())
		_, _, ok = setOf(3).Drop(func(string) bool { return true }, 1)
		Expect(ok).To(BeFalse())
	})

	It("makes the majorities of successive sets overlap in every change", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(2, 12).Draw(t, "members")
			before := setOf(count)
			after := before
			switch rapid.SampledFrom([]string{"join", "replace", "leave"}).Draw(t, "change") {
			case "join":
				after, _ = before.Join(member("new", "new"), noneAbsent)
			case "replace":
				after, _ = before.Join(member("new", "h0"), noneAbsent)
			case "leave":
				next, ok := before.Leave("d0", 0)
				if !ok {
					return
				}
				after = next
			}
			shared := 0
			for _, m := range after.Members {
				if old, ok := before.Find(m.Disk); ok && old.Ready && m.Ready {
					shared++
				}
			}
			// Only removed members of the earlier majority can be missing from
			// the next set; a joining member does not count yet.
			removed := len(before.Members) - shared
			if before.Majority()-removed+after.Majority() <= shared {
				t.Fatalf("a majority of %d and one of %d need not overlap among %d shared members", before.Majority(), after.Majority(), shared)
			}
		})
	})

	It("has read quorums that overlap every majority", func() {
		for count := 1; count < 20; count++ {
			s := setOf(count)
			Expect(s.ReadQuorum() + s.Majority()).To(BeNumerically(">", count))
		}
	})

	It("is the same after encoding and decoding", func() {
		s := setOf(3)
		decoded, err := copyset.Decode(s.Encode(), 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Members).To(Equal(s.Members))
		Expect(decoded.Version).To(BeEquivalentTo(7))
	})
})
