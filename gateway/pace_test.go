package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/route"
)

// paced returns a handler of a stream that sends the pieces at the interval.
func paced(interval time.Duration, pieces ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		for _, piece := range pieces {
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				return
			}
			io.WriteString(w, piece)
			w.(http.Flusher).Flush()
		}
	}
}

// Operators saw slow but sound streams cut, and stalled ones that sent a byte now
// and then never end. A stream ends at its request's deadline and never sooner,
// whatever arrives and however slowly.
var _ = Describe("A stream's pace", func() {
	const timeout = 1200 * time.Millisecond

	It("does not end a slow but sound stream before the deadline", func() {
		var pieces []string
		for i := range 10 {
			// An event in two pieces, so that most of the time only a part of it
			// has arrived.
			pieces = append(pieces, fmt.Sprintf("id: %d\n", i+1), "data: x\n\n")
		}
		s := newFixture(route.Route{Kind: route.Streaming, Timeout: timeout, MaxEventGap: 10 * time.Millisecond}, paced(45*time.Millisecond, pieces...))
		status, body, _ := s.post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(HaveSuffix("id: 10\ndata: x\n\n"))
	})

	DescribeTable("ends a stalled stream at the deadline, and not as a complete one",
		func(piece string) {
			var pieces []string
			for range 200 {
				pieces = append(pieces, piece)
			}
			s := newFixture(route.Route{Kind: route.Streaming, Timeout: timeout}, paced(20*time.Millisecond, append([]string{"id: 1\ndata: x\n\n"}, pieces...)...))
			start := time.Now()
			reply, err := s.send(context.Background(), "/r/x")
			Expect(err).NotTo(HaveOccurred())
			defer reply.Body.Close()
			body, err := io.ReadAll(reply.Body)
			Expect(err).To(HaveOccurred())
			Expect(string(body)).To(Equal("id: 1\ndata: x\n\n"))
			Expect(time.Since(start)).To(BeNumerically("~", timeout, 400*time.Millisecond))
		},
		Entry("that sends a byte of an event now and then", "x"),
		Entry("that sends a comment now and then", ": still here\n"),
	)
})
