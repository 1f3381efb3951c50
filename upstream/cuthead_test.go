package upstream_test

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/upstream"
)

var _ = Describe("A response that ends within its head", func() {
	// Guards against a 200 with an empty or short body that is framed as whole, because
	// a cut status line, header or number is taken for a complete one (report of
	// another operator, issue 26).
	DescribeTable("is never taken for complete, wherever it is cut", func(head string) {
		var cut atomic.Int64
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = reader.Peek(1)
			_, _ = io.WriteString(conn, head[:cut.Load()])
		})
		for position := range len(head) {
			cut.Store(int64(position))
			body, verdict, err := send(newPool(decoder{}), address, "req-1", "")
			Expect(err).To(MatchError(upstream.ErrBroken), "cut at %d: %q", position, head[:position])
			Expect(verdict).To(Equal(call.Unknown))
			Expect(body).To(BeEmpty())
		}
	},
		Entry("with a length", "HTTP/1.1 200 OK\r\nId: req-1\r\nContent-Length: 1234\r\n\r\n"),
		Entry("with chunks", "HTTP/1.1 200 OK\r\nId: req-1\r\nTransfer-Encoding: chunked\r\n\r\n"),
		Entry("without either", "HTTP/1.1 200 OK\r\nServer: x\r\nId: req-1\r\n\r\n"),
		Entry("without a body", "HTTP/1.1 204 No Content\r\nId: req-1\r\n\r\n"),
		Entry("after an interim one", "HTTP/1.1 103 Early Hints\r\nId: req-1\r\n\r\nHTTP/1.1 200 OK\r\nId: req-1\r\nContent-Length: 0\r\n\r\n"),
		Entry("with line feeds only", "HTTP/1.1 200 OK\nId: req-1\nContent-Length: 12\n\n"),
	)
})
