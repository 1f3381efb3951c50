package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fleet"
)

var _ = Describe("Free slots", func() {
	now := time.Unix(1_000_000, 0)
	request := fleet.Request{Service: "svc"}
	var f *fleet.Fleet
	BeforeEach(func() {
		f = fleet.New("a")
		for _, id := range []string{"b0", "b1"} {
			f.Put(fleet.Backend{ID: id, Service: "svc", Slots: 2, SoftwareVersion: "v-" + id})
		}
	})
	start := func(id string, calls int) {
		for range calls {
			f.CallStarted(id, now)
		}
	}

	// Guards against calls that wait while a slot is free, and against calls that go to full
	// servers.
	It("are those of servers that may take the call", func() {
		start("b0", 2)
		Expect(f.HasFree(request, 0, now)).To(BeTrue())
		Expect(f.HasFree(fleet.Request{Service: "svc", Exclude: []string{"b1"}}, 0, now)).To(BeFalse())
		Expect(f.HasFree(fleet.Request{Service: "svc", SoftwareVersion: "v-b0"}, 0, now)).To(BeFalse())
		start("b1", 1)
		Expect(f.HasFree(request, 1.5, now)).To(BeFalse(), "one call fits into the memory of a server")
		start("b1", 1)
		Expect(f.HasFree(request, 0, now)).To(BeFalse())
	})

	It("are not those of a server that has just refused a call because it was full", func() {
		start("b0", 2)
		start("b1", 1)
		f.CallEnded(fleet.CallResult{BackendID: "b1", AtCapacity: true}, now)
		Expect(f.HasFree(request, 0, now)).To(BeFalse())
		Expect(f.HasFree(request, 0, now.Add(time.Second))).To(BeTrue())
	})

	// Guards against calls that wait for servers that are never tried again.
	It("count as free if no server is known to serve", func() {
		for _, id := range []string{"b0", "b1"} {
			start(id, 2)
			f.CallEnded(fleet.CallResult{BackendID: id, Unreachable: true}, now)
		}
		Expect(f.HasFree(request, 0, now)).To(BeTrue())
	})
})
