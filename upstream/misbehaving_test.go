package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/upstream"
)

// startEndless returns a backend server that answers the first request with
// start and then repeats piece until the connection ends, and counts the bytes
// that it could send.
func startEndless(start, piece string) (address string, sent *atomic.Int64, closed chan struct{}) {
	sent, closed = &atomic.Int64{}, make(chan struct{})
	address, _ = startBackend(func(conn net.Conn, reader *bufio.Reader) {
		defer close(closed)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(conn, start)
		chunk := []byte(strings.Repeat(piece, 1+4096/len(piece)))
		for {
			count, err := conn.Write(chunk)
			sent.Add(int64(count))
			if err != nil {
				return
			}
		}
	})
	return address, sent, closed
}

// respond writes a response with a body of two bytes.
func respond(conn net.Conn, status, id string) {
	header := ""
	if id != "" {
		header = "Id: " + id + "\r\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: 2\r\n\r\nok", status, header)
}

var _ = Describe("A backend server in trouble", func() {
	// Guards against a head that fills the memory of a small host: package
	// net/http reads a head of any length.
	DescribeTable("that sends a head without end is given up, and the call may have run",
		func(start, piece string) {
			address, _, closed := startEndless(start, piece)
			_, verdict, err := send(newPool(decoder{}), address, "a", "in")
			Expect(verdict).To(Equal(call.Unknown))
			Expect(err).To(MatchError(upstream.ErrHeadTooLong))
			Eventually(closed, "2s").Should(BeClosed(), "the connection is closed")
		},
		Entry("of header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: abcdefgh\r\n"),
		Entry("of one line", "HTTP/1.1 200 OK\r\nX-Filler: ", "abcdefgh"),
		Entry("of a status line", "HTTP/1.1 200 ", "OK"),
		Entry("of interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
	)

	It("that sends some interim responses before the final one is served", func() {
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			io.WriteString(conn, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 12))
			respond(conn, "200 OK", "a")
		})
		body, verdict, err := send(newPool(decoder{}), address, "a", "in")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.Answered))
		Expect(body).To(Equal("ok"))
	})

	// Guards against the rest of a long body being taken for a response.
	It("that sends a long body for another request is given up", func() {
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			hidden := "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n%s%s", 1<<20+len(hidden), strings.Repeat("x", 1<<20), hidden)
			time.Sleep(100 * time.Millisecond)
		})
		_, verdict, err := send(newPool(decoder{}), address, "a", "in")
		Expect(verdict).To(Equal(call.Unknown))
		Expect(err).To(MatchError(upstream.ErrBroken))
	})

	// Operators saw a second copy of an answer arrive late, on a connection that
	// was in use again; the next caller got an answer that was not its own.
	DescribeTable("that sends an answer twice does not answer the next request with the copy",
		func(copyOfFirst func(conn net.Conn, reader *bufio.Reader)) {
			address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				respond(conn, "200 OK", "a")
				copyOfFirst(conn, reader)
				respond(conn, "201 Created", "b")
			})
			p := newPool(decoder{})
			_, _, err := send(p, address, "a", "in")
			Expect(err).NotTo(HaveOccurred())
			request := upstream.Request{ID: "b", Address: address, Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"b"}}}
			exchange, verdict, err := p.Do(GinkgoT().Context(), request, always)
			Expect(err).NotTo(HaveOccurred())
			defer exchange.Close()
			Expect(verdict).To(Equal(call.Answered))
			Expect(exchange.Response.Status).To(Equal(http.StatusCreated))
		},
		Entry("after the next request was written", func(conn net.Conn, reader *bufio.Reader) {
			http.ReadRequest(reader)
			respond(conn, "200 OK", "a")
		}),
		Entry("in two parts, before and after the next request", func(conn net.Conn, reader *bufio.Reader) {
			http.ReadRequest(reader)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nConte")
			time.Sleep(20 * time.Millisecond)
			io.WriteString(conn, "nt-Length: 2\r\n\r\nok")
		}),
		Entry("as a failure", func(conn net.Conn, reader *bufio.Reader) {
			http.ReadRequest(reader)
			respond(conn, "500 Internal Server Error", "a")
		}),
	)

	// Guards against a call that ran being reported as not run: the refusal would
	// be sent to the client, which then repeats the call.
	It("that repeats a refusal without an id does not refuse the next request", func() {
		refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: yes\r\nContent-Length: 2\r\n\r\nno"
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			io.WriteString(conn, refusal)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			io.WriteString(conn, refusal) // a late copy; the second request runs
			time.Sleep(20 * time.Millisecond)
			respond(conn, "200 OK", "b")
		})
		p := newPool(decoder{})
		_, verdict, err := send(p, address, "a", "in")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.NotRun), "on a connection that has carried nothing else")
		body, verdict, err := send(p, address, "b", "in")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.Answered))
		Expect(body).To(Equal("ok"))
	})
})
