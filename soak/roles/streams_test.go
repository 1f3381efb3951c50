package roles

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/usersplatform"
)

var _ = Describe("The check of resumable streams", func() {
	event := func(id, version string) string { return "id: " + id + "\ndata: " + version }

	// Guards against a soak that passes although streams hold events of two software
	// versions, a gap, or a second copy.
	DescribeTable("finds", func(violations int, whole bool, events ...string) {
		l := &streamLog{}
		l.check("x", events, whole)
		Expect(l.violations).To(HaveLen(violations))
	},
		Entry("nothing in a part of a stream", 0, false, event("1", "v1"), event("2", "v1")),
		Entry("two versions", 1, false, event("1", "v1"), event("2", "v2")),
		Entry("a gap", 1, false, event("1", "v1"), event("3", "v1")),
		Entry("a second copy", 1, false, event("1", "v1"), event("1", "v1")),
		Entry("an end before the last event", 1, true, event("1", "v1")),
	)

	It("does not count an event that broke off", func() {
		Expect(wholeEvents("id: 1\ndata: v1\n\nid: 2\nda")).To(Equal([]string{event("1", "v1")}))
		Expect(wholeEvents("")).To(BeEmpty())
		Expect(usersplatform.StreamEvents).To(BeNumerically(">", 1))
	})
})
