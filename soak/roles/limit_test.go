package roles

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/usersplatform"
)

// Guards against a check that overlooks requests above a limit, or counts those
// from before the fronts could know of it.
var _ = Describe("The check of a limit that the backend server names", func() {
	start := time.Now()
	// every returns runs at the given interval from one time to another.
	every := func(interval, from, to time.Duration) []usersplatform.Run {
		var runs []usersplatform.Run
		for at := from; at < to; at += interval {
			runs = append(runs, usersplatform.Run{At: start.Add(at)})
		}
		return runs
	}

	It("counts requests in any window after the delay", func() {
		Expect(checkLimit(every(10*time.Millisecond, 0, 10*time.Second), 0)).To(BeEmpty(), "no limit")
		Expect(checkLimit(every(100*time.Millisecond, 0, 10*time.Second), 10)).To(BeEmpty())
		Expect(checkLimit(every(40*time.Millisecond, 0, 10*time.Second), 10)).To(HaveLen(1))
		Expect(checkLimit(append(every(10*time.Millisecond, 0, 2900*time.Millisecond), every(100*time.Millisecond, 3*time.Second, 10*time.Second)...), 10)).
			To(BeEmpty(), "before the fronts must keep to it")
		Expect(checkLimit(append(every(100*time.Millisecond, 0, 10*time.Second), every(10*time.Millisecond, 8*time.Second, 9*time.Second)...), 10)).
			To(HaveLen(1), "a crowd")
	})
})
