package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/gateway"
	"dogwoodline.example/route"
)

const (
	// smallHostBytes is the memory of the smallest host that a front runs on.
	smallHostBytes = 112 << 20
	// endlessCalls is the number of calls that get an answer without end at once.
	endlessCalls = 200
)

// frontCallWorkers is how many calls a front makes at once.
const frontCallWorkers = 384

// longHead returns a handler that sends a head of nearly the greatest length that is read,
// and then nothing more, not even the end of the head.
func longHead(begun *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		begun.Add(1)
		const line = "X-Filler: abcdefgh\r\n"
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+strings.Repeat(line, (63<<10)/len(line))) // the front may have left
		_, _ = conn.Read(make([]byte, 1))                                                           // until the front leaves
	}
}

// endless returns a handler that sends head and then piece until the connection
// ends for requests below /r/endless, and answers others at once. It stores the
// paths of the requests that it has begun to run in started.
func endless(contentType, head, piece string, started *sync.Map) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/r/endless") {
			fmt.Fprint(w, "done")
			return
		}
		started.Store(r.URL.Path, true)
		w.Header().Set("Content-Type", contentType)
		io.WriteString(w, head)
		chunk := []byte(strings.Repeat(piece, 1+8192/len(piece)))
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}
}

// peakHeap calls visit and returns the largest heap that was seen meanwhile.
func peakHeap(visit func()) uint64 {
	var peak uint64
	stop, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapInuse)
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	visit()
	close(stop)
	<-sampled
	return peak
}

var _ = Describe("Answers without end", func() {
	// Guards against backend servers in trouble that fill the memory of a front:
	// the process would be killed, and with it every other call.
	DescribeTable("stay within the memory of a small host, and other calls are served",
		func(kind route.Kind, retains bool, contentType, head, piece string) {
			var started sync.Map
			r := route.Route{Kind: kind, Timeout: 3 * time.Second, RetainTurns: retains}
			s := newFixtureWith(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: endlessCalls + 8, AnswerBytes: smallHostBytes / 10}, r, endless(contentType, head, piece, &started))
			sound := func() time.Duration {
				start := time.Now()
				status, body, _ := s.post("/r/sound")
				Expect(status).To(Equal(http.StatusOK))
				Expect(body).To(Equal("done"))
				return time.Since(start)
			}
			sound()
			// As the roles do, so that garbage is collected in time.
			DeferCleanup(debug.SetMemoryLimit, debug.SetMemoryLimit(smallHostBytes*7/10))
			var running sync.WaitGroup
			var answers sync.Map
			slowest := time.Duration(0)
			peak := peakHeap(func() {
				for i := range endlessCalls {
					running.Go(func() {
						path := fmt.Sprint("/r/endless/", i)
						reply, err := s.send(context.Background(), path)
						if err != nil {
							return // broken off
						}
						defer reply.Body.Close()
						_, err = io.Copy(io.Discard, reply.Body)
						answers.Store(path, fmt.Sprint(reply.StatusCode, err))
					})
				}
				for range 20 {
					slowest = max(slowest, sound())
				}
				running.Wait()
			})
			Expect(peak).To(BeNumerically("<", smallHostBytes))
			Expect(slowest).To(BeNumerically("<", r.Timeout))
			answers.Range(func(path, answer any) bool {
				Expect(answer).NotTo(Equal("200 <nil>"), "an answer without end is not complete")
				if _, ran := started.Load(path); ran {
					Expect(answer).NotTo(HavePrefix("503"), "the call has run")
				}
				return true
			})
		},
		Entry("of a plain call", route.Unsafe, false, "text/plain", "", "filler"),
		Entry("of a plain call that may be repeated", route.Safe, false, "text/plain", "", "filler"),
		Entry("of one event", route.Streaming, false, "text/event-stream", "id: 1\ndata: ", "filler"),
		Entry("of comments", route.Streaming, false, "text/event-stream", "", ": filler\n"),
		Entry("of events that are retained", route.Streaming, true, "text/event-stream", "", "data: filler\n\n"),
	)

	// Guards against heads that fill the memory of a front although each is bounded: as
	// many as the front has call workers, each as long as it may be and then silent
	// (report of another operator, issue 32).
	It("in the heads of as many calls as a front makes stay within the memory of a small host", func() {
		var begun atomic.Int64
		r := route.Route{Kind: route.Unsafe, Timeout: 4 * time.Second}
		s := newFixtureWith(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: frontCallWorkers, AnswerBytes: smallHostBytes / 10}, r, longHead(&begun))
		DeferCleanup(debug.SetMemoryLimit, debug.SetMemoryLimit(smallHostBytes*7/10))
		var running sync.WaitGroup
		peak := peakHeap(func() {
			for i := range frontCallWorkers {
				running.Go(func() {
					for status := http.StatusServiceUnavailable; status == http.StatusServiceUnavailable; {
						reply, err := s.send(context.Background(), fmt.Sprint("/r/", i), idHeader, fmt.Sprint("head-", i))
						if err != nil {
							return
						}
						reply.Body.Close()
						status = reply.StatusCode // refused if no connection was opened in time
					}
				})
			}
			running.Wait()
		})
		Expect(begun.Load()).To(BeNumerically(">=", frontCallWorkers))
		Expect(peak).To(BeNumerically("<", smallHostBytes))
	})

	It("do not count bytes of events that the client has received", func() {
		s := newFixtureWith(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: 8, AnswerBytes: 2 << 20}, route.Route{Kind: route.Streaming},
			events(strings.Split(strings.Repeat(strings.Repeat("x", 20<<10)+" ", 200), " ")...))
		status, body, _ := s.post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
		Expect(strings.Count(body, "id: ")).To(Equal(201))
	})
})
