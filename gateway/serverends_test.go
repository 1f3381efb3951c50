package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fleet"
)

var _ = Describe("The ends of backend servers", func() {
	start := time.Unix(1_000_000, 0)
	after := start.Add
	server := fleet.Backend{ID: "b", Incarnation: 7}
	at := func(sent, interrupted time.Duration) interruptedCall {
		return interruptedCall{requestID: "r", backend: server, sent: after(sent), at: after(interrupted)}
	}

	// Guards against an end that is not held against the calls that the server ran,
	// because it became known before or after they were interrupted.
	It("concern calls that are interrupted before or soon after the end is known", func() {
		e := newServerEnds()
		Expect(e.interrupt(at(0, time.Second))).To(BeEmpty())
		_, calls := e.refused(server, after(2*time.Second))
		Expect(calls).To(HaveLen(1))
		Expect(e.interrupt(at(time.Second, 3*time.Second))).NotTo(BeEmpty())
		_, calls = e.refused(server, after(2*time.Second))
		Expect(calls).To(BeEmpty(), "each call is returned once")
	})

	// Guards against blaming calls for ends that they cannot have caused.
	It("do not concern calls at other servers, calls long before, or calls sent to a server that had ended", func() {
		e := newServerEnds()
		other := at(0, time.Second)
		other.backend.ID = "c"
		Expect(e.interrupt(other)).To(BeEmpty())
		Expect(e.interrupt(at(0, time.Second))).To(BeEmpty())
		e.expire(after(time.Second + interruptionWindow + 1))
		_, calls := e.refused(server, after(10*time.Second))
		Expect(calls).To(BeEmpty())
		Expect(e.interrupt(at(10*time.Second+50*time.Millisecond, 10*time.Second+51*time.Millisecond))).To(BeEmpty())
		_, calls = e.refused(server, after(11*time.Second))
		Expect(calls).To(BeEmpty())
	})

	// Guards against counting one end twice, or two ends of a server once.
	It("have one name for each end", func() {
		e := newServerEnds()
		first, _ := e.refused(server, after(0))
		again, _ := e.refused(server, after(10*time.Millisecond))
		Expect(again).To(Equal(first))
		second, _ := e.refused(server, after(2*time.Second))
		Expect(second).NotTo(Equal(first))
		removed, _ := e.unregistered(server, after(6*time.Second))
		Expect(removed).To(Equal(second), "the registration lapses later")
		restarted := server
		restarted.Incarnation = 8
		third, _ := e.refused(restarted, after(7*time.Second))
		Expect(third).NotTo(BeElementOf(first, second))
	})
})
