package call_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
)

func TestCall(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "call")
}

// Guards against blaming a call for backend server crashes that another call has
// caused.
var _ = Describe("The fingerprint of a call", func() {
	request := func(change func(*call.Request)) call.Request {
		r := call.Request{ID: "a", Method: "POST", Host: "h", Target: "/x", Program: "p", Session: "s", Body: []byte("in")}
		change(&r)
		return r
	}
	first := request(func(*call.Request) {})

	It("is the same for all attempts of a client", func() {
		again := request(func(r *call.Request) { r.ID = "b" })
		Expect(again.Fingerprint()).To(Equal(first.Fingerprint()))
	})

	DescribeTable("differs by", func(change func(*call.Request)) {
		other := request(change)
		Expect(other.Fingerprint()).NotTo(Equal(first.Fingerprint()))
	},
		Entry("method", func(r *call.Request) { r.Method = "GET" }),
		Entry("target", func(r *call.Request) { r.Target = "/y" }),
		Entry("program", func(r *call.Request) { r.Program = "q" }),
		Entry("session", func(r *call.Request) { r.Session = "t" }),
		Entry("body", func(r *call.Request) { r.Body = []byte("other") }),
	)

	It("is empty for a call that nothing distinguishes from others", func() {
		bare := request(func(r *call.Request) { r.Program, r.Session, r.Body = "", "", nil })
		Expect(bare.Fingerprint()).To(BeEmpty())
	})
})
