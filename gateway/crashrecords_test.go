package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
)

var _ = Describe("The crashes of calls", func() {
	start := time.Unix(1_000_000, 0)
	identities := []call.Identity{1, 2}
	crashedThrice := func() crashRecords {
		r := crashRecords{}
		for i := range maxCrashes {
			r.add(identities, fmt.Sprint("end-", i), start.Add(crashTTL))
		}
		return r
	}

	// Guards against a call that ends three more backend servers each time that it
	// comes back after a pause.
	It("are remembered for longer than a client pauses", func() {
		r := crashedThrice()
		r.expire(start.Add(10 * time.Minute))
		Expect(r.count(identities[:1], start.Add(10*time.Minute))).To(Equal(maxCrashes))
		r.expire(start.Add(crashTTL))
		Expect(r).To(BeEmpty())
	})

	// Guards against memory that grows with each server that ends, and against
	// forgetting the calls that ended several.
	It("are bounded, and those of calls with several crashes stay", func() {
		r := crashedThrice()
		for i := range 2 * maxCrashIdentities {
			r.add([]call.Identity{call.Identity(100 + i)}, "end", start.Add(crashTTL))
		}
		r.expire(start)
		Expect(len(r)).To(BeNumerically("<=", maxCrashIdentities))
		Expect(r.count(identities, start)).To(Equal(maxCrashes))
	})

	It("count once for each end of a server, and for the identity that has most", func() {
		r := crashedThrice()
		r.add(identities, "end-0", start.Add(crashTTL))
		Expect(r.count(identities, start)).To(Equal(maxCrashes))
		Expect(r.count([]call.Identity{2, 99}, start)).To(Equal(maxCrashes))
		Expect(r.count([]call.Identity{99}, start)).To(BeZero())
	})
})
