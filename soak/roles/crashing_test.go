package roles

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/usersplatform"
)

// Guards against a check that overlooks a request that goes on to end backend
// servers, or counts runs that the fronts could not yet prevent.
var _ = Describe("The check of requests that end backend servers", func() {
	start := time.Now()
	runsAt := func(seconds ...float64) []usersplatform.End {
		var runs []usersplatform.End
		for _, s := range seconds {
			runs = append(runs, usersplatform.End{Path: "/x", At: start.Add(time.Duration(s * float64(time.Second)))})
		}
		return runs
	}

	DescribeTable("counts", func(runs []usersplatform.End, violations int) {
		Expect(checkCrashes(runs)).To(HaveLen(violations))
	},
		Entry("no violation before the third end", runsAt(0, 9), 0),
		Entry("no violation while the fronts may still learn of it", runsAt(0, 1, 2, 3, 4, 4.5, 4.9), 0),
		Entry("no violation for three late runs", runsAt(0, 1, 2, 6, 7, 8), 0),
		Entry("a violation for four late runs, in any order", runsAt(9, 0, 1, 2, 6, 7, 8), 1),
		Entry("requests by their paths", append(runsAt(0, 1, 2, 6, 7), usersplatform.End{Path: "/y", At: start.Add(8 * time.Second)}), 0),
	)
})
