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

var _ = Describe("The identities of a call", func() {
	request := func(change func(*call.Request)) *call.Request {
		r := &call.Request{ID: "a", Method: "POST", Host: "h", Target: "/x?q=1", Program: "p", Session: "s", ClientHost: "10.0.0.1", Body: []byte("in")}
		change(r)
		return r
	}
	first := request(func(*call.Request) {}).Identities()
	shared := func(change func(*call.Request)) int {
		count := 0
		for i, identity := range request(change).Identities() {
			if identity == first[i] {
				count++
			}
		}
		return count
	}

	// Guards against a call that ends backend servers and is not known again,
	// because its client repeats it with another program, address or query, or
	// because it has no body and no program.
	DescribeTable("are partly the same when a client changes", func(change func(*call.Request), common int) {
		Expect(shared(change)).To(Equal(common))
	},
		Entry("the attempt", func(r *call.Request) { r.ID = "b" }, 4),
		Entry("program and session", func(r *call.Request) { r.Program, r.Session = "q", "t" }, 3),
		Entry("its address", func(r *call.Request) { r.ClientHost = "10.0.0.2" }, 3),
		Entry("the query", func(r *call.Request) { r.Target = "/x?q=2" }, 1),
		Entry("program, address and query", func(r *call.Request) { r.Program, r.ClientHost, r.Target = "", "", "/x" }, 1),
	)

	It("exist for a call without body, program and query", func() {
		bare := func() *call.Request {
			return request(func(r *call.Request) { r.Program, r.Session, r.Body, r.Target = "", "", nil, "/x" })
		}
		Expect(bare().Identities()).To(HaveLen(4))
		Expect(bare().Identities()).To(Equal(bare().Identities()))
	})

	// Guards against blaming a call for backend server crashes that another call
	// has caused.
	DescribeTable("all differ by", func(change func(*call.Request)) {
		Expect(shared(change)).To(BeZero())
	},
		Entry("method", func(r *call.Request) { r.Method = "GET" }),
		Entry("host", func(r *call.Request) { r.Host = "other" }),
		Entry("path", func(r *call.Request) { r.Target = "/y?q=1" }),
		Entry("body", func(r *call.Request) { r.Body = []byte("other") }),
		Entry("where a field ends", func(r *call.Request) { r.Host, r.Target = "h/x", "?q=1" }),
	)

	It("of one call differ from each other", func() {
		seen := map[call.Identity]bool{}
		for _, identity := range first {
			seen[identity] = true
		}
		Expect(seen).To(HaveLen(len(first)))
	})
})
