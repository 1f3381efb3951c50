package turnstore

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/turnstore/turnpb"
)

var _ = Describe("The board of running calls", func() {
	now := time.Unix(1_000_000, 0)
	total := func(b *loadBoard, front string) map[string]uint32 {
		sums := map[string]uint32{}
		for _, load := range b.others(front) {
			sums[load.Backend] = load.Running
		}
		return sums
	}
	loads := func(count uint32) []*turnpb.Load { return []*turnpb.Load{{Backend: "b", Running: count}} }

	It("adds up what the other fronts reported last", func() {
		b := newLoadBoard()
		b.report("one", loads(5), now)
		b.report("one", loads(2), now)
		b.report("two", loads(3), now)
		b.report("", loads(9), now) // a message that is no front's
		Expect(total(b, "three")).To(Equal(map[string]uint32{"b": 5}))
		Expect(total(b, "one")).To(Equal(map[string]uint32{"b": 3}))
	})

	// Guards against calls of a lost front that count for ever.
	It("forgets a front that no longer reports", func() {
		b := newLoadBoard()
		b.report("one", loads(5), now)
		b.report("two", nil, now.Add(loadMemory+time.Millisecond))
		Expect(total(b, "two")).To(BeEmpty())
		Expect(b.total).To(BeEmpty())
	})
})
