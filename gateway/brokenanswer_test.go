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

	// Guards against a stream that looks complete because it was broken off between two events.
	It("does not end a stream as complete if it breaks off between two events during the upload", func() {
		runs := &atomic.Int64{}
		s := newFixture(route.Route{Kind: route.Streaming}, brokenAnswer(runs, "200 OK", "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n"))
		_, body, err := s.upload()
		Expect(err).To(HaveOccurred(), "got %q", body)
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})
})
