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
	// crashAt returns the given crash of those that follow each other, one a second.
	crashAt := func(number int) crash {
		sent := start.Add(time.Duration(number-maxCrashes) * time.Second)
		return crash{sent: sent, interrupted: sent.Add(900 * time.Millisecond), expires: start.Add(crashTTL)}
	}
	crashedThrice := func() crashRecords {
		r := crashRecords{}
		for i := range maxCrashes {
			r.add(identities, fmt.Sprint("end-", i), crashAt(i))
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
			r.add([]call.Identity{call.Identity(100 + i)}, "end", crashAt(0))
		}
		r.expire(start)
		Expect(len(r)).To(BeNumerically("<=", maxCrashIdentities))
		Expect(r.count(identities, start)).To(Equal(maxCrashes))
	})

	// Guards against an input that is refused to all programs because several of them
	// sent it to servers that crashed at once (review case 2).
	It("count once for calls that ran beside each other", func() {
		r := crashRecords{}
		for i := range maxCrashes {
			c := crashAt(0)
			c.sent, c.interrupted = c.sent.Add(time.Duration(i)*200*time.Millisecond), c.interrupted.Add(time.Duration(i)*10*time.Millisecond)
			r.add(identities, fmt.Sprint("end-", i), c)
		}
		Expect(r.count(identities, start)).To(Equal(1))
		r.add(identities, "end-of-repeat", crashAt(2))
		Expect(r.count(identities, start)).To(Equal(2))
	})

	// Guards against a call that ends more servers than it may because its attempts
	// went through fronts with different clocks, or through one that does not say when
	// they ran.
	It("count if they followed each other by clocks that are not the same, or may have", func() {
		r := crashedThrice()
		c := crashAt(maxCrashes)
		c.sent = c.sent.Add(-100*time.Millisecond - maxClockDifference)
		r.add(identities, "end-by-clock-behind", c)
		Expect(r.count(identities, start)).To(Equal(maxCrashes + 1))
		r.add(identities, "end-of-unknown-time", crash{expires: start.Add(crashTTL)})
		Expect(r.count(identities, start)).To(Equal(maxCrashes + 2))
	})

	It("count once for each end of a server, and for the identity that has most", func() {
		r := crashedThrice()
		r.add(identities, "end-0", crashAt(0))
		Expect(r.count(identities, start)).To(Equal(maxCrashes))
		Expect(r.count([]call.Identity{2, 99}, start)).To(Equal(maxCrashes))
		Expect(r.count([]call.Identity{99}, start)).To(BeZero())
	})
})
