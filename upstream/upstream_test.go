package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/duty"
	"dogwoodline.example/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

type decoder struct{ keepIdle time.Duration }

func (d decoder) Decode(reply *http.Response) call.Response {
	return call.Response{
		Status: reply.StatusCode, RequestID: reply.Header.Get("Id"), NotRun: reply.Header.Get("Not-Run") != "",
		Close: reply.Close, IdleTimeout: d.keepIdle,
	}
}

// startBackend listens on a free port, serves each connection with handle and
// counts the connections.
func startBackend(handle func(conn net.Conn, reader *bufio.Reader)) (address string, accepted *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	accepted = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

// respondOK responds with 200 to every request on a connection.
func respondOK(conn net.Conn, reader *bufio.Reader) {
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
	}
}

func newPool(d decoder) *upstream.Pool {
	group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
	DeferCleanup(group.Stop)
	return upstream.NewPool(group, d, upstream.Settings{})
}

func always() bool { return true }

func send(p *upstream.Pool, address, id, body string) (string, call.Verdict, error) {
	request := upstream.Request{ID: id, Address: address, Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body)}
	exchange, verdict, err := p.Do(context.Background(), request, always)
	if err != nil {
		return "", verdict, err
	}
	defer exchange.Close()
	content, err := io.ReadAll(exchange)
	return string(content), verdict, err
}

var _ = Describe("Pool", func() {
	It("reuses a connection for the next request", func() {
		address, accepted := startBackend(respondOK)
		p := newPool(decoder{})
		for i := range 5 {
			body, verdict, err := send(p, address, fmt.Sprint(i), "in")
			Expect(err).NotTo(HaveOccurred())
			Expect(verdict).To(Equal(call.Answered))
			Expect(body).To(Equal("ok"))
		}
		Expect(accepted.Load()).To(BeEquivalentTo(1))
	})

	It("does not reuse a connection that the backend server is about to close", func() {
		address, accepted := startBackend(respondOK)
		p := newPool(decoder{keepIdle: 700 * time.Millisecond}) // no more than the margin
		for i := range 3 {
			_, _, err := send(p, address, fmt.Sprint(i), "in")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(accepted.Load()).To(BeEquivalentTo(3))
	})

	It("does not send on an idle connection that was closed, so that the request provably did not run", func() {
		address, accepted := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
		})
		p := newPool(decoder{})
		for i := range 4 {
			_, _, err := send(p, address, fmt.Sprint(i), "in")
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
		}
		Expect(accepted.Load()).To(BeEquivalentTo(4))
	})

	// Guards against repeated losses of calls that must not be sent again. When
	// backend servers dropped idle connections after 300 ms, each front lost one
	// such call after the other.
	It("opens a new connection after the backend server dropped one that had been idle as long", func() {
		var served atomic.Int64
		address, accepted := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if served.Add(1) == 2 {
					return // stands for a connection that the backend server has dropped
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
			}
		})
		p := newPool(decoder{keepIdle: 10 * time.Second})
		for n, wanted := range []call.Verdict{call.Answered, call.Unknown, call.Answered, call.Answered} {
			if n > 0 {
				time.Sleep(150 * time.Millisecond)
			}
			_, verdict, _ := send(p, address, fmt.Sprint("r", n), "in")
			Expect(verdict).To(Equal(wanted))
		}
		Expect(accepted.Load()).To(BeEquivalentTo(3), "one more for each call after the lost one")
	})

	It("reports that a request did not run when no connection could be opened", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		listener.Close()
		_, verdict, err := send(newPool(decoder{}), address, "a", "in")
		Expect(verdict).To(Equal(call.NotRun))
		Expect(err).To(MatchError(upstream.ErrNotConnected))
	})

	It("reports an unknown result when the connection ends after the request was sent", func() {
		address, _ := startBackend(func(_ net.Conn, reader *bufio.Reader) { http.ReadRequest(reader) })
		_, verdict, err := send(newPool(decoder{}), address, "a", "in")
		Expect(verdict).To(Equal(call.Unknown))
		Expect(err).To(MatchError(upstream.ErrBroken))
	})

	It("reads a response that arrives before a long body is sent, and does not reuse that connection", func() {
		address, accepted := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 413 Too Large\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", request.Header.Get("Id"))
			time.Sleep(100 * time.Millisecond)
			rest, _ := io.ReadAll(io.LimitReader(request.Body, 1<<30))
			Expect(strings.Trim(string(rest), "b")).To(BeEmpty())
		})
		p := newPool(decoder{})
		for i := range 2 {
			body, _, err := send(p, address, fmt.Sprint(i), strings.Repeat("b", 8<<20))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("no"))
		}
		Expect(accepted.Load()).To(BeEquivalentTo(2))
	})

	It("sends nothing when beforeSend returns false", func() {
		var got atomic.Int64
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err == nil {
				got.Add(1)
			}
		})
		request := upstream.Request{ID: "a", Address: address, Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}
		_, verdict, err := newPool(decoder{}).Do(context.Background(), request, func() bool { return false })
		Expect(err).To(HaveOccurred())
		Expect(verdict).To(Equal(call.NotRun))
		Consistently(got.Load, "100ms").Should(BeZero())
	})
})
