package gateway_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/route"
	"dogwoodline.example/turnstore/turnpb"
)

var _ = Describe("A conversation of an organisation", func() {
	var f *takenUpFixture
	var s *fixture
	BeforeEach(func() {
		f = &takenUpFixture{turns: &turnsInMemory{turns: map[string]*turnpb.Turn{}}}
		s = f.front(takenUpRoute)
		s.gateway.SetTable(keyTable(2, takenUpRoute, "key-a"))
	})
	turn := func(on *fixture, id, key, previous string, header ...string) (int, string) {
		status, body, _ := on.post(fmt.Sprintf("/r/%d", takenUpEvents), append([]string{idHeader, id, keyHeader, key, "Test-Previous", previous}, header...)...)
		return status, body
	}

	// Guards against a conversation that another organisation continues or learns of.
	It("is not found by another organisation, as if it did not exist", func() {
		status, _ := turn(s, "one", "key-a", "")
		Expect(status).To(Equal(http.StatusOK))
		status, foreign := turn(s, "two", "key-b", "one")
		Expect(status).To(Equal(http.StatusNotFound))
		status, missing := turn(s, "three", "key-b", "none")
		Expect(status).To(Equal(http.StatusNotFound))
		Expect(foreign).To(Equal(missing))
		Expect(f.runs.Load()).To(BeEquivalentTo(1))
		status, _ = turn(s, "four", "key-a", "one")
		Expect(status).To(Equal(http.StatusOK))
	})

	// Guards against programs that end in an upgrade, and against conversations that stay
	// open to all after it.
	It("belongs to the organisation that continues a turn of the previous release", func() {
		f.turns.turns["old"] = &turnpb.Turn{Id: "old"}
		status, _ := turn(s, "one", "key-a", "old")
		Expect(status).To(Equal(http.StatusOK))
		// A front of the previous release continues it without the organisation.
		f.turns.turns["old-2"] = &turnpb.Turn{Id: "old-2", Previous: "one"}
		status, _ = turn(s, "two", "key-b", "old-2")
		Expect(status).To(Equal(http.StatusNotFound))
		status, _ = turn(s, "three", "key-a", "old-2")
		Expect(status).To(Equal(http.StatusOK))
	})

	It("is found by all where the configuration has no organisations any more", func() {
		_, _ = turn(s, "one", "key-a", "")
		status, _ := turn(f.front(takenUpRoute), "two", "key-b", "one")
		Expect(status).To(Equal(http.StatusOK))
	})

	// Guards against another organisation that gets the rest of a stream, whether its turn
	// is kept or not.
	DescribeTable("is not taken up by another organisation after its stream broke off", func(r route.Route) {
		s.gateway.SetTable(keyTable(3, r, "key-a"))
		c := &turnClient{}
		status, whole := c.try(s, "one", 2, keyHeader, "key-a")
		Expect(status).To(Equal(http.StatusOK))
		Expect(whole).To(BeFalse())
		status, foreign := turn(s, "two", "key-b", "", resumeHeader, c.last, resumesHeader, c.first)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		_, unknown := turn(s, "three", "key-b", "", resumeHeader, c.last, resumesHeader, "none")
		Expect(foreign).To(Equal(unknown))
		Expect(f.runs.Load()).To(BeEquivalentTo(1))
		_, whole = c.try(s, "four", takenUpEvents, keyHeader, "key-a")
		Expect(whole).To(BeTrue())
		if r.RetainTurns {
			status, _ = turn(s, "five", "key-b", "four")
			Expect(status).To(Equal(http.StatusNotFound))
		}
	},
		Entry("of a turn that is kept", takenUpRoute),
		Entry("of a stream that is not kept", route.Route{Kind: route.Streaming, Resumable: true, MaxBackendServers: 1}),
	)
})
