package upstream

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("keepFor", func() {
	// Guards against new connections where the backend server would have kept
	// the old one: each costs a handshake and a slot for a moment.
	It("keeps an idle connection for as long as the backend server does, less the way of a request", func() {
		Expect(keepFor(10 * time.Second)).To(Equal(10*time.Second - idleMargin))
		Expect(keepFor(time.Second)).To(BeNumerically("<", time.Second))
		Expect(keepFor(0)).To(Equal(idleUnknown))
	})
})

var _ = Describe("Idle connections that backend servers forget", func() {
	now := time.Unix(1000, 0)

	// Guards against calls that may run once and fail one after the other, because
	// each is sent on a connection that the backend server has forgotten.
	It("are used only after a shorter rest, for some time and for that service", func() {
		r := rests{}
		Expect(r.allows("s", 5*time.Second, now)).To(BeTrue())
		Expect(r.note("s", 400*time.Millisecond, 3*time.Millisecond, now)).To(BeTrue())
		Expect(r.allows("s", 350*time.Millisecond, now)).To(BeFalse())
		Expect(r.allows("s", 150*time.Millisecond, now)).To(BeTrue())
		Expect(r.allows("t", 5*time.Second, now)).To(BeTrue())
		Expect(r.note("s", 2*time.Second, 3*time.Millisecond, now)).To(BeTrue())
		Expect(r.allows("s", 350*time.Millisecond, now)).To(BeFalse(), "a later sight of a longer rest proves nothing")
		Expect(r.allows("s", 5*time.Second, now.Add(restMemory))).To(BeTrue())
	})

	// Guards against new connections for each call after a backend server has
	// ended, or has lost the answer of a call that it ran.
	It("are not inferred from a short rest or a call that had time to run", func() {
		r := rests{}
		Expect(r.note("s", 20*time.Millisecond, time.Millisecond, now)).To(BeFalse())
		Expect(r.note("s", time.Second, 80*time.Millisecond, now)).To(BeFalse())
		Expect(r.allows("s", 5*time.Second, now)).To(BeTrue())
	})
})
