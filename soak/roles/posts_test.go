package roles

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a check of planned stops that overlooks a kind of violation, or counts
// what the users allow.
var _ = Describe("The check of posts", func() {
	sent := time.Unix(1000, 0)
	after := func(status int, wait time.Duration) post {
		return post{id: "p", sent: sent, ended: sent.Add(wait), status: status, body: "done p"}
	}
	changed := func(p post, change func(*post)) post {
		change(&p)
		return p
	}
	DescribeTable("finds", func(violations int, p post, runs int) {
		var result StopsResult
		result.add(p, runs)
		Expect(result.Violations).To(HaveLen(violations))
	},
		Entry("nothing in an answer", 0, after(http.StatusOK, time.Second), 1),
		Entry("nothing in a refusal", 0, after(http.StatusServiceUnavailable, time.Second), 0),
		Entry("nothing in an answer that says nothing about the run", 0, after(http.StatusGatewayTimeout, time.Second), 1),
		Entry("nothing in a request that met the end of its connection", 0, after(0, crossingTime), 0),
		Entry("nothing in a request that its client gave up", 0, changed(after(0, time.Second), func(p *post) { p.gaveUp = true }), 1),
		Entry("nothing in a request that was not sent whole", 0, changed(after(0, time.Second), func(p *post) { p.sent = time.Time{} }), 0),
		Entry("a request that ran and was not answered", 1, after(0, 10*time.Millisecond), 1),
		Entry("a request that was read and not answered", 1, after(0, time.Second), 0),
		Entry("a refused request that ran", 1, after(http.StatusServiceUnavailable, time.Second), 1),
		Entry("a request that ran twice", 1, after(http.StatusOK, time.Second), 2),
		Entry("the answer to another request", 1, changed(after(http.StatusOK, time.Second), func(p *post) { p.body = "done q" }), 1),
	)
})
