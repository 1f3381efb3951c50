package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/route"
)

// brokenAnswer returns a handler that runs a call, sends an answer with the status line and the fields of the caller, and
// resets the connection. The answer has no length unless the fields state one.
func brokenAnswer(runs *atomic.Int64, statusLine, fields, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s: s\r\n%s\r\n%s", statusLine, idHeader, r.Header.Get(idHeader), signatureHeader, fields, body)
		time.Sleep(20 * time.Millisecond) // the answer arrives before the reset
	}
}

// copyOfAnswer looks like the answer to request req-1.
const copyOfAnswer = "HTTP/1.1 200 OK\r\n" + idHeader + ": req-1\r\n" + signatureHeader + ": s\r\nContent-Length: 4\r\n\r\nfake"

// upload sends a request whose body is longer than the socket buffers of a server that does not read it.
func (s *fixture) upload() (status int, body string, err error) {
	const length = 4 << 20
	s.gateway.SetTable(route.NewTable(2, []route.Route{s.route}, []route.Service{{Name: "svc"}}, route.Limits{MaxBodyBytes: length}))
	request, err := http.NewRequest("POST", s.front.URL+"/r/x", bytes.NewReader(make([]byte, length)))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "example"
	request.Header.Set(idHeader, "req-1")
	reply, err := http.DefaultTransport.RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	defer reply.Body.Close()
	content, err := io.ReadAll(reply.Body)
	return reply.StatusCode, string(content), err
}

var _ = Describe("A broken answer of a backend server", func() {
	broken := []TableEntry{
		Entry("a part without length, when the connection is reset during the upload", "200 OK", "", "part"),
		Entry("status 000", "000 Trouble", "Content-Length: 2\r\n", "no"),
		Entry("status 000, with an answer behind its head", "000 Trouble", "", copyOfAnswer),
		Entry("status 000 that says not run", "000 Trouble", refusedHeader+": 1\r\n", "HTTP/1.1 503 Full\r\n"+idHeader+": req-1\r\n"+refusedHeader+": 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("a length whose name ends with a blank", "200 OK", "Content-Length : 4\r\n", "body and more"),
		Entry("a name with a blank", "200 OK", "Bad Name: x\r\nContent-Length: 4\r\n", "body"),
		Entry("a name with a control byte", "200 OK", "Bad\x01: x\r\nContent-Length: 4\r\n", "body"),
		Entry("a name with a blank, and says not run", "503 Full", refusedHeader+": 1\r\nBad Name: x\r\nContent-Length: 0\r\n", ""),
		Entry("status 101, with an answer behind its head", "101 Switching Protocols", "", copyOfAnswer),
		Entry("an interim one with a length, with an answer as its body", "103 Early Hints", fmt.Sprintf("Content-Length: %d\r\n", len(copyOfAnswer)), copyOfAnswer),
	}

	// Guards against a broken answer that the client gets as a whole one, and against a call that runs twice because its
	// answer was broken (issue 50).
	DescribeTable("does not reach the client, and the call is not sent again if it may run once only", func(statusLine, fields, body string) {
		runs := &atomic.Int64{}
		handler := brokenAnswer(runs, statusLine, fields, body)
		s := newFixture(route.Route{Kind: route.Unsafe}, handler, handler, handler)
		status, _, _ := s.upload()
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	}, broken)

	// Guards against a call that fails although another server can run it.
	DescribeTable("is followed by a try at another server if the call may be repeated", func(statusLine, fields, body string) {
		runs := &atomic.Int64{}
		handler := brokenAnswer(runs, statusLine, fields, body)
		var s *fixture
		s = newFixture(route.Route{Kind: route.Safe, MaxBackendServers: 3}, handler, handler, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			s.ok(w, r)
		})
		status, content, err := s.upload()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(content).To(Equal("done"))
		Expect(s.runs.Load()).To(BeEquivalentTo(1))
	}, broken)

	// Guards against sound answers that are refused: the status of a server is passed on unchanged.
	DescribeTable("is not that of a status above those of HTTP", func(code int) {
		s := newFixture(route.Route{Kind: route.Unsafe}, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			fmt.Fprint(w, "odd")
		})
		status, body, header := s.post("/r/x")
		Expect(status).To(Equal(code))
		Expect(body).To(Equal("odd"))
		Expect(header.Get(signatureHeader)).To(Equal("s"))
	},
		Entry("600", 600),
		Entry("999", 999),
	)

	// Guards against a stream that goes on with bytes of an answer that is none.
	DescribeTable("does not continue a stream that another server broke off", func(statusLine, fields string) {
		runs := &atomic.Int64{}
		rest := "id: 2\ndata: b\n\n"
		broken := brokenAnswer(&atomic.Int64{}, statusLine, "Content-Type: text/event-stream\r\n"+fields, rest)
		handler := func(w http.ResponseWriter, r *http.Request) {
			switch runs.Add(1) {
			case 1:
				brokenAnswer(&atomic.Int64{}, "200 OK", "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n")(w, r)
			case 2:
				Expect(r.Header.Get(resumeHeader)).To(Equal("1"))
				broken(w, r)
			default:
				Expect(r.Header.Get(resumeHeader)).To(Equal("1"))
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, rest)
			}
		}
		s := newFixture(route.Route{Kind: route.Streaming, Resumable: true, MaxBackendServers: 3}, handler, handler, handler)
		status, body, _ := s.post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("id: 1\ndata: a\n\n" + rest))
		Expect(runs.Load()).To(BeEquivalentTo(3))
	},
		Entry("status 000", "000 Trouble", "Content-Length: 16\r\n"),
		Entry("a name with a blank", "200 OK", "Bad Name: x\r\nContent-Length: 16\r\n"),
		Entry("a length whose name ends with a blank", "200 OK", "Content-Length : 16\r\n"),
	)

	// Guards against a stream that looks complete because it was broken off between two events.
	It("does not end a stream as complete if it breaks off between two events during the upload", func() {
		runs := &atomic.Int64{}
		s := newFixture(route.Route{Kind: route.Streaming}, brokenAnswer(runs, "200 OK", "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n"))
		_, body, err := s.upload()
		Expect(err).To(HaveOccurred(), "got %q", body)
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})
})
