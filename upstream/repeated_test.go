package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
)

// Guards against a backend server that writes an earlier refusal once more on a
// kept connection: a call that it runs would be told not to have run, and then run
// at another one too (reports of other operators, issue 23).
var _ = Describe("A refusal that is written again on a kept connection", func() {
	// startRepeating refuses the first request on a connection. It answers the
	// second one after a copy of that refusal, or not at all.
	startRepeating := func(status string, withID, answers bool) string {
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			refusal := ""
			for number := 1; ; number++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				id := request.Header.Get("Id")
				if number == 1 {
					field := ""
					if withID {
						field = "Id: " + id + "\r\n"
					}
					refusal = fmt.Sprintf("HTTP/1.1 %s\r\n%sNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", status, field)
					_, _ = io.WriteString(conn, refusal)
					continue
				}
				_, _ = io.WriteString(conn, refusal)
				time.Sleep(30 * time.Millisecond) // the call runs
				if !answers {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
			}
		})
		return address
	}

	DescribeTable("is not taken for the response to the next request", func(status string, withID, answers bool) {
		address := startRepeating(status, withID, answers)
		p := newPool(decoder{})
		_, verdict, err := send(p, address, "first", "in")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.NotRun))
		body, verdict, err := send(p, address, "second", "in")
		if !answers {
			Expect(verdict).To(Equal(call.Unknown))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.Answered))
		Expect(body).To(Equal("ok"))
	},
		Entry("with the id of the first", "503 Service Unavailable", true, true),
		Entry("without an id", "503 Service Unavailable", false, true),
		Entry("with status 429", "429 Too Many Requests", true, true),
		Entry("with status 421 and without an id", "421 Misdirected Request", false, true),
		Entry("with the id of the first, and the connection ends", "503 Service Unavailable", true, false),
		Entry("without an id, and the connection ends", "503 Service Unavailable", false, false),
	)

	// The copy arrives before the next request is sent, also right before it is
	// written, when the connection has been checked already.
	DescribeTable("does not reach a request that is sent later", func(pause time.Duration) {
		refused := false
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				id := request.Header.Get("Id")
				if refused {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
					continue
				}
				refused = true
				refusal := fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
				_, _ = io.WriteString(conn, refusal)
				time.Sleep(pause)
				_, _ = io.WriteString(conn, refusal)
			}
		})
		p := newPool(decoder{})
		_, verdict, _ := send(p, address, "first", "in")
		Expect(verdict).To(Equal(call.NotRun))
		time.Sleep(pause)
		for i := range 3 {
			body, verdict, err := send(p, address, fmt.Sprint("later-", i), "in")
			Expect(err).NotTo(HaveOccurred())
			Expect(verdict).To(Equal(call.Answered))
			Expect(body).To(Equal("ok"))
		}
	},
		Entry("with the first refusal", time.Duration(0)),
		Entry("about when the next request is sent", 2*time.Millisecond),
		Entry("while the connection is idle", 30*time.Millisecond),
	)
})
