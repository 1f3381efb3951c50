package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/gateway"
	"dogwoodline.example/route"
)

// streamPath is the path of the calls that are answered with a stream.
const streamPath = "/r/stream"

// repeatRefusal returns a handler that refuses the first call as a full server does, and
// runs all others. On the connection of the refused call it writes the refusal once more
// when the next call has arrived there.
func repeatRefusal(runs *atomic.Int64) http.HandlerFunc {
	first := atomic.Bool{}
	run := func(r *http.Request) (contentType, body string) {
		runs.Add(1)
		if r.URL.Path == streamPath {
			return "text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		}
		return "text/plain", "done"
	}
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if first.Swap(true) {
			contentType, body := run(r)
			w.Header().Set("Content-Type", contentType)
			fmt.Fprint(w, body)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		refusal := fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", idHeader, r.Header.Get(idHeader), refusedHeader)
		_, _ = io.WriteString(conn, refusal)
		for reader := bufio.NewReader(conn); ; {
			next, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, next.Body)
			_, _ = io.WriteString(conn, refusal)
			contentType, body := run(next)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
				idHeader, next.Header.Get(idHeader), signatureHeader, contentType, len(body), body)
		}
	}
}

var _ = Describe("A refusal that a full server sends twice", func() {
	// Guards against a call that runs, and then runs again or is answered as not run, because
	// the server that refused it gets it again on the same connection (review/6, TWICE).
	DescribeTable("does not make a call run twice that waits for a slot at the same server", func(kind route.Kind, path, body string) {
		runs := &atomic.Int64{}
		s := newFixtureWith(slog.New(slog.NewTextHandler(GinkgoWriter, nil)), gateway.Settings{CallWorkers: 8, ContendedCapacity: true}, route.Route{Kind: kind}, repeatRefusal(runs))
		status, got, _ := s.post(path, idHeader, "one")
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(status).To(Equal(http.StatusOK))
		Expect(got).To(ContainSubstring(body))
	},
		Entry("which may run once", route.Unsafe, "/r/x", "done"),
		Entry("which may be repeated", route.Safe, "/r/x", "done"),
		Entry("whose answer is a stream", route.Streaming, streamPath, "data: b"),
	)

	// Guards against a request that is answered as not run and has run, after its client has
	// used the same id before.
	It("does not make a further request with the id look refused", func() {
		runs := &atomic.Int64{}
		s := newFixture(route.Route{Kind: route.Unsafe}, repeatRefusal(runs))
		status, _, _ := s.post("/r/x", idHeader, "one")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		status, _, _ = s.post("/r/x", idHeader, "one")
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(status).To(Equal(http.StatusOK))
	})
})
