package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a final refusal by a node that wakes from a pause, registers
// again and does not know yet that its programs are being taken over (soak,
// freeze, four runs side by side).
var _ = Describe("Ownership", func() {
	const lease = 2 * time.Second
	now := time.Unix(1_000_000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }

	DescribeTable("is doubted",
		func(o ownership, doubtful bool) { Expect(o.doubtful(now, lease)).To(Equal(doubtful)) },
		Entry("not while the store answers", ownership{answered: ago(time.Second)}, false),
		Entry("after a lease of silence", ownership{answered: ago(lease)}, true),
		Entry("after a lapse, although the store answers again",
			ownership{answered: now, lapsed: ago(10 * time.Millisecond), committed: ago(3 * time.Second)}, true),
		Entry("not after a commit since the lapse", ownership{answered: now, lapsed: ago(time.Second), committed: ago(time.Millisecond)}, false),
		Entry("not once a takeover would have fenced the journal", ownership{answered: now, lapsed: ago(2 * lease)}, false),
	)
})
