package roles

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/usersplatform"
)

// Guards against a check that overlooks a kind of violation.
var _ = Describe("The check of a history", func() {
	good := attempt{id: "r1", program: "p", turn: true, prompt: "in", budget: 60, status: http.StatusOK,
		body: "data: r1-1\n\ndata: r1-2\n\ndata: r1-3\n\n"}
	ran := usersplatform.Run{RequestID: "r1", Body: "in"}
	with := func(change func(*attempt)) history {
		a := good
		change(&a)
		return history{a}
	}
	violations := func(h history, runs ...usersplatform.Run) string { return strings.Join(h.check(runs).Violations, "; ") }

	It("accepts a turn that ran once", func() {
		Expect(violations(history{good}, ran)).To(BeEmpty())
	})

	DescribeTable("finds", func(h history, want string, runs ...usersplatform.Run) {
		Expect(violations(h, runs...)).To(ContainSubstring(want))
	},
		Entry("a request that ran twice", history{good}, "ran twice", ran, ran),
		Entry("a request that ran and was refused", with(func(a *attempt) { a.status = http.StatusServiceUnavailable }), "was answered 503", ran),
		Entry("a key that reached the backend server", history{good}, "with its key: true", usersplatform.Run{RequestID: "r1", Body: "in", HasKey: true}),
		Entry("a request for another organisation", with(func(a *attempt) { a.organisation = "north" }), `ran for organisation "forged"`,
			usersplatform.Run{RequestID: "r1", Body: "in", Organisation: "forged"}),
		Entry("a key in force that was refused", with(func(a *attempt) { a.status = http.StatusUnauthorized }), "answered 401"),
		Entry("a turn of another organisation", with(func(a *attempt) { a.foreign = true }), "continued turn", ran),
		Entry("a turn of another organisation that ran", with(func(a *attempt) { a.foreign, a.status = true, 0 }), "r1 ran, although", ran),
		Entry("a conversation that was lost", with(func(a *attempt) { a.status = http.StatusNotFound }), "answered 404"),
		Entry("a wrong prompt", history{good}, "wrong prompt", usersplatform.Run{RequestID: "r1", Body: "other"}),
		Entry("a successful answer with missing events", with(func(a *attempt) { a.body = "data: r1-1\n\n" }), "as a complete answer", ran),
		Entry("an exceeded budget", with(func(a *attempt) { a.budget = -10 }), "got 15 tokens", ran),
	)
})
