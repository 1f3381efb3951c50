package upstream_test

import (
	"bufio"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/duty"
	"dogwoodline.example/upstream"
)

const statePath = "/state"

// plainIncarnations reads a number.
type plainIncarnations struct{}

func (plainIncarnations) StatePath() string { return statePath }

func (plainIncarnations) StateType() string { return "text/plain" }

func (plainIncarnations) DecodeIncarnation(body []byte) (int64, bool) {
	incarnation, err := strconv.ParseInt(string(body), 10, 64)
	return incarnation, err == nil
}

// statingBackend answers requests, and says which incarnation it is.
type statingBackend struct {
	asked, ran atomic.Int64
	state      func(w io.Writer) // its answer; nil for the incarnation 7
}

func (b *statingBackend) serve(conn net.Conn, reader *bufio.Reader) {
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		switch {
		case request.URL.Path != statePath:
			b.ran.Add(1)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
		case b.state != nil:
			b.asked.Add(1)
			b.state(conn)
		default:
			b.asked.Add(1)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
		}
	}
}

var _ = Describe("A request for one incarnation of a backend server", func() {
	var b *statingBackend
	var p *upstream.Pool
	var address string
	var accepted *atomic.Int64
	BeforeEach(func() {
		group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
		DeferCleanup(group.Stop)
		p = upstream.NewPool(group, decoder{}, upstream.Settings{Incarnations: plainIncarnations{}})
		b = &statingBackend{}
		address, accepted = startBackend(b.serve)
	})
	sendFor := func(incarnation int64) (call.Verdict, error) {
		id := rand.Text()
		request := upstream.Request{
			ID: id, Address: address, Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Incarnation: incarnation,
		}
		exchange, verdict, err := p.Do(context.Background(), request, always)
		if err != nil {
			return verdict, err
		}
		defer exchange.Close()
		_, err = io.ReadAll(exchange)
		return verdict, err
	}

	It("is sent to that one, which is asked once for each connection", func() {
		for range 3 {
			Expect(sendFor(7)).To(Equal(call.Answered))
		}
		Expect(b.asked.Load()).To(BeEquivalentTo(1))
		Expect(accepted.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a stream that goes on at another software version because its
	// server has started again under its id, and this host does not know it yet (ORDER,
	// issue 32).
	It("is not sent to another one", func() {
		verdict, err := sendFor(6)
		Expect(verdict).To(Equal(call.NotRun))
		Expect(err).To(MatchError(upstream.ErrOtherIncarnation))
		Expect(b.ran.Load()).To(BeZero())
	})

	It("asks nothing if any incarnation may answer", func() {
		Expect(sendFor(0)).To(Equal(call.Answered))
		Expect(b.asked.Load()).To(BeZero())
	})

	// Guards against a stream that runs and counts as not run, because a second copy of the
	// refused question, which has no id, is taken for the answer to it (TWICE, issue 46).
	It("is not refused by a second copy of the answer to the question", func() {
		refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
		address, _ = startBackend(func(conn net.Conn, reader *bufio.Reader) {
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, refusal)
				if request.URL.Path != statePath {
					respond(conn, "200 OK", request.Header.Get("Id"))
				}
			}
		})
		Expect(sendFor(7)).To(Equal(call.Answered))
	})

	// Guards against a check that passes whatever has started at the address, because the
	// copy of an earlier answer states no incarnation (ORDER, issue 46).
	It("is not sent to another one that answers the request before once more", func() {
		before := ""
		b.state = func(w io.Writer) { fmt.Fprint(w, before+"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7") }
		id := rand.Text()
		_, verdict, err := send(p, address, id, "in")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.Answered))
		before = fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
		verdict, err = sendFor(6)
		Expect(verdict).To(Equal(call.NotRun))
		Expect(err).To(MatchError(upstream.ErrOtherIncarnation))
		Expect(b.ran.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a server that counts as the expected one by bytes behind a broken answer (ORDER, issue 50).
	It("is not sent if the answer to the question has status 000", func() {
		b.state = func(w io.Writer) {
			fmt.Fprint(w, "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
		}
		verdict, err := sendFor(7)
		Expect(verdict).To(Equal(call.NotRun))
		Expect(err).To(MatchError(upstream.ErrNotConnected))
		Expect(b.ran.Load()).To(BeZero())
	})

	// Guards against requests that no server gets because the servers answer the question
	// with something else.
	DescribeTable("is sent to a server that does not say which one it is", func(state string) {
		b.state = func(w io.Writer) { fmt.Fprint(w, state) }
		Expect(sendFor(7)).To(Equal(call.Answered))
		Expect(sendFor(7)).To(Equal(call.Answered))
		Expect(b.asked.Load()).To(BeEquivalentTo(1))
	},
		Entry("at all", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
		Entry("in this form", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
		Entry("but answers all requests alike, with a stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"),
	)

	// Guards against status checks for each new connection of a busy front, which are
	// priced, and against trust in a server that may have started again.
	It("asks on a further connection only if the server has been silent for longer than a restart takes", func() {
		overlapping := func() {
			request := upstream.Request{ID: "r", Address: address, Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"r"}}, Incarnation: 7}
			first, _, err := p.Do(context.Background(), request, always)
			Expect(err).NotTo(HaveOccurred())
			defer first.Close()
			second, _, err := p.Do(context.Background(), request, always) // on a connection of its own
			Expect(err).NotTo(HaveOccurred())
			second.Close()
		}
		overlapping()
		Expect(accepted.Load()).To(BeEquivalentTo(2))
		Expect(b.asked.Load()).To(BeEquivalentTo(1))
		p.CloseIdle(address)
		time.Sleep(400 * time.Millisecond)
		Expect(sendFor(7)).To(Equal(call.Answered))
		Expect(b.asked.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a server in trouble that is taken for the expected one, or holds a
	// request.
	DescribeTable("is not sent if the state", func(state func(w io.Writer)) {
		b.state = state
		start := time.Now()
		verdict, err := sendFor(7)
		Expect(verdict).To(Equal(call.NotRun))
		Expect(err).To(MatchError(upstream.ErrNotConnected))
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		Expect(b.ran.Load()).To(BeZero())
	},
		Entry("does not come", func(io.Writer) {}),
		Entry("is cut off", func(w io.Writer) {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n7")
			w.(net.Conn).Close()
		}),
		Entry("is no answer", func(w io.Writer) { fmt.Fprint(w, "7\r\n\r\n") }),
		Entry("has no end", func(w io.Writer) {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\n\r\n")
			for {
				if _, err := io.WriteString(w, strings.Repeat("7", 4<<10)); err != nil {
					return
				}
			}
		}),
	)
})
