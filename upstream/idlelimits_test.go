package upstream

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("idleTimeout", func() {
	// Guards against opening a connection while the backend server still keeps
	// the old one: each new connection costs a handshake and, for a moment, a slot.
	It("keeps an idle connection for as long as the backend server does, less a margin for the delivery of a request", func() {
		Expect(idleTimeout(10 * time.Second)).To(Equal(10*time.Second - idleMargin))
		Expect(idleTimeout(time.Second)).To(BeNumerically("<", time.Second))
		Expect(idleTimeout(0)).To(Equal(defaultIdleTimeout))
	})
})

var _ = Describe("Idle connections that backend servers close early", func() {
	now := time.Unix(1000, 0)

	// Guards against a series of failed calls that must not be repeated, each sent
	// on a connection that the backend server has already dropped.
	It("are reused only after a shorter idle time, for a while and for that service only", func() {
		limits := idleLimits{}
		Expect(limits.allows("s", 5*time.Second, now)).To(BeTrue())
		Expect(limits.recordClose("s", 400*time.Millisecond, 3*time.Millisecond, now)).To(BeTrue())
		Expect(limits.allows("s", 350*time.Millisecond, now)).To(BeFalse())
		Expect(limits.allows("s", 150*time.Millisecond, now)).To(BeTrue())
		Expect(limits.allows("t", 5*time.Second, now)).To(BeTrue())
		Expect(limits.recordClose("s", 2*time.Second, 3*time.Millisecond, now)).To(BeTrue())
		Expect(limits.allows("s", 350*time.Millisecond, now)).To(BeFalse(), "a later close after a longer idle time does not raise the limit")
		Expect(limits.allows("s", 5*time.Second, now.Add(idleLimitTTL))).To(BeTrue())
	})

	// Guards against opening a connection for every call after a backend server
	// has exited, or has lost the response to a call that it ran.
	It("are not inferred from a short idle time or a call that had time to run", func() {
		limits := idleLimits{}
		Expect(limits.recordClose("s", 20*time.Millisecond, time.Millisecond, now)).To(BeFalse())
		Expect(limits.recordClose("s", time.Second, 80*time.Millisecond, now)).To(BeFalse())
		Expect(limits.allows("s", 5*time.Second, now)).To(BeTrue())
	})
})
