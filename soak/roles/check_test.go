package roles

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/usersplatform"
)

// Guards against a soak that would not see what it is meant to find.
var _ = Describe("The check of a history", func() {
	good := sent{id: "r1", program: "p", turn: true, prompt: "in", budget: 60, status: http.StatusOK,
		body: "data: r1-1\n\ndata: r1-2\n\ndata: r1-3\n\n"}
	ran := usersplatform.Run{RequestID: "r1", Body: "in"}
	with := func(change func(*sent)) history {
		s := good
		change(&s)
		return history{s}
	}
	violations := func(h history, runs ...usersplatform.Run) string { return strings.Join(h.check(runs).Violations, "; ") }

	It("is content with a turn that ran once", func() {
		Expect(violations(history{good}, ran)).To(BeEmpty())
	})

	DescribeTable("finds", func(h history, wanted string, runs ...usersplatform.Run) {
		Expect(violations(h, runs...)).To(ContainSubstring(wanted))
	},
		Entry("a request that ran twice", history{good}, "ran twice", ran, ran),
		Entry("one that ran and was refused", with(func(s *sent) { s.status = http.StatusServiceUnavailable }), "was answered 503", ran),
		Entry("a lost conversation", with(func(s *sent) { s.status = http.StatusNotFound }), "answered 404"),
		Entry("a wrong prompt", history{good}, "wrong prompt", usersplatform.Run{RequestID: "r1", Body: "other"}),
		Entry("an answer that only looks complete", with(func(s *sent) { s.body = "data: r1-1\n\n" }), "as a whole answer", ran),
		Entry("a budget that was exceeded", with(func(s *sent) { s.budget = -10 }), "got 15 tokens", ran),
	)
})
