package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The lateness of first events", func() {
	start := time.Unix(1_000_000, 0)
	observed := func(took time.Duration, calls int) lateness {
		l := lateness{}
		for range calls {
			l.observe("s", took, 200*time.Millisecond, start)
		}
		return l
	}

	// The load is a crowd at a service most of whose servers name limits. Guards
	// against programs that are started although those under way are late already,
	// and then fail at their deadlines.
	It("keeps programs from starting, the least urgent first", func() {
		_, refuse := observed(100*time.Millisecond, 20).tooLate("s", 0, start)
		Expect(refuse).To(BeFalse())
		ratio, refuse := observed(260*time.Millisecond, 20).tooLate("s", 1, start)
		Expect(ratio).To(BeNumerically("~", 1.3, 0.01))
		Expect(refuse).To(BeTrue())
		_, refuse = observed(260*time.Millisecond, 20).tooLate("s", 0, start)
		Expect(refuse).To(BeFalse())
		_, refuse = observed(time.Second, 20).tooLate("s", 0, start)
		Expect(refuse).To(BeTrue())
	})

	It("follows several calls, and is forgotten when there are none", func() {
		l := observed(100*time.Millisecond, 20)
		l.observe("s", time.Second, 200*time.Millisecond, start)
		_, refuse := l.tooLate("s", 1, start)
		Expect(refuse).To(BeFalse(), "one late call")
		_, refuse = observed(time.Second, 20).tooLate("s", 1, start.Add(latenessMemory))
		Expect(refuse).To(BeFalse())
		_, refuse = observed(time.Second, 20).tooLate("other", 1, start)
		Expect(refuse).To(BeFalse())
	})
})
