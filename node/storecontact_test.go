package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a node that resumes after a pause, registers again and refuses a
// request for good because it does not know yet that its programs are being taken
// over. The soak test found this with the fault freeze and four runs in parallel.
var _ = Describe("storeContact", func() {
	const lease = 2 * time.Second
	now := time.Unix(1_000_000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }

	DescribeTable("shows that the shards may have been taken over",
		func(c storeContact, expected bool) { Expect(c.mayBeTakenOver(now, lease)).To(Equal(expected)) },
		Entry("not if the store answered within a lease period", storeContact{lastAnswer: ago(time.Second)}, false),
		Entry("if the store has not answered for a lease period", storeContact{lastAnswer: ago(lease)}, true),
		Entry("if the lease lapsed, although the store answers again",
			storeContact{lastAnswer: now, leaseLapsed: ago(10 * time.Millisecond), lastCommit: ago(3 * time.Second)}, true),
		Entry("not after a commit that is later than the lapse", storeContact{lastAnswer: now, leaseLapsed: ago(time.Second), lastCommit: ago(time.Millisecond)}, false),
		Entry("not after the time in which a takeover would have fenced the journal", storeContact{lastAnswer: now, leaseLapsed: ago(2 * lease)}, false),
	)
})
