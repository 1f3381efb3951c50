package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/upstream"
)

// copyOfAnswer looks like the answer to request a.
const copyOfAnswer = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nfake"

// answerWith returns a server that answers the first request on each connection with the given bytes.
func answerWith(answer string) string {
	address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, answer)
	})
	return address
}

var _ = Describe("An answer whose head is broken", func() {
	// Guards against broken answers that reach the client, with bytes of no request as their body, and against a call
	// that counts as not run because such a head says so (issue 50).
	DescribeTable("is no answer and no refusal", func(answer string) {
		body, verdict, err := send(newPool(decoder{}), answerWith(answer), "a", "in")
		Expect(err).To(MatchError(upstream.ErrBroken))
		Expect(verdict).To(Equal(call.Unknown))
		Expect(body).To(BeEmpty())
	},
		Entry("status 000", "HTTP/1.1 000 Trouble\r\nId: a\r\nContent-Length: 2\r\n\r\nno"),
		Entry("status 000, with an answer in its body", fmt.Sprintf("HTTP/1.1 000 Trouble\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", len(copyOfAnswer), copyOfAnswer)),
		Entry("status 000, with an answer behind its head", "HTTP/1.1 000 Trouble\r\nId: a\r\n\r\n"+copyOfAnswer),
		Entry("status 007, with an answer behind its head", "HTTP/1.1 007 Trouble\r\nId: a\r\n\r\n"+copyOfAnswer),
		Entry("status 099, with an answer behind its head", "HTTP/1.1 099 Trouble\r\nId: a\r\n\r\n"+copyOfAnswer),
		Entry("status 000 that says not run", "HTTP/1.1 000 Trouble\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("status 000 that says not run, with a refusal behind its head", "HTTP/1.1 000 Trouble\r\nId: a\r\nNot-Run: 1\r\n\r\nHTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("status 000 after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble\r\nId: a\r\n\r\n"+copyOfAnswer),
		Entry("status 000 after the copy of an earlier answer", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 000 Trouble\r\nId: b\r\n\r\n"+copyOfAnswer),
		Entry("a length whose name ends with a blank", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length : 4\r\n\r\nbody and more"),
		Entry("chunks whose name ends with a blank", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
		Entry("a name with a blank", "HTTP/1.1 200 OK\r\nId: a\r\nBad Name: x\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a name that ends with a blank", "HTTP/1.1 200 OK\r\nId: a\r\nX-Bad : x\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a length whose name begins with a blank", "HTTP/1.1 200 OK\r\nId: a\r\nX: y\r\n Content-Length: 4\r\n\r\nbody and more"),
		Entry("a name with a tab", "HTTP/1.1 200 OK\r\nId: a\r\nBad\tName: x\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a name with a control byte", "HTTP/1.1 200 OK\r\nId: a\r\nBad\x01: x\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a status line with a control byte", "HTTP/1.1 200 O\x01K\r\nId: a\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a name with a blank, and says not run", "HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n"),
		Entry("a name with a blank, without an id, and says not run", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n"),
		Entry("a name with a blank in an interim answer", "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n"+copyOfAnswer),
		Entry("a name with a blank in the copy of an earlier answer", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length : 2\r\n\r\nok"+copyOfAnswer),
		Entry("status 101", "HTTP/1.1 101 Switching Protocols\r\nId: a\r\n\r\n"+copyOfAnswer),
		Entry("interim with a length", fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nContent-Length: %d\r\n\r\n%s", len(copyOfAnswer), copyOfAnswer)),
		Entry("interim with chunks", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"+copyOfAnswer),
	)

	// Guards against a connection that is used again after a trailer that was not understood.
	It("is not complete if the name of a trailer has a blank", func() {
		body, _, err := send(newPool(decoder{}), answerWith("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nBad Name: x\r\n\r\n"), "a", "in")
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal("body"))
	})

	// Guards against sound answers that are refused: the status of a server is passed on unchanged.
	DescribeTable("is not that of a status above those of HTTP", func(status int) {
		address := answerWith(fmt.Sprintf("HTTP/1.1 %d Odd\r\nId: a\r\nContent-Length: 2\r\n\r\nok", status))
		exchange, verdict, err := newPool(decoder{}).Do(GinkgoT().Context(), upstream.Request{ID: "a", Address: address, Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}, always)
		Expect(err).NotTo(HaveOccurred())
		defer exchange.Close()
		Expect(verdict).To(Equal(call.Answered))
		Expect(exchange.Response.Status).To(Equal(status))
	},
		Entry("600", 600),
		Entry("999", 999),
	)
})
