package upstream_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/duty"
	"dogwoodline.example/upstream"
)

var _ = Describe("An answer without length to a request that is still being written", func() {
	const (
		// longBody is more than the socket buffers of both ends hold, so that a server that does not read
		// leaves the request unwritten.
		longBody = 16 << 20
		plain    = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nthe first part"
		events   = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"
	)
	// startEarly returns a server that reads the head of a request, answers, and leaves the connection to finish.
	startEarly := func(answer string, finish func(conn *net.TCPConn, body io.Reader)) string {
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
			finish(conn.(*net.TCPConn), request.Body)
		})
		return address
	}
	upload := func(ctx context.Context, p *upstream.Pool, address string) (string, call.Verdict, error) {
		request := upstream.Request{ID: "a", Address: address, Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"a"}}, Body: make([]byte, longBody)}
		exchange, verdict, err := p.Do(ctx, request, always)
		if err != nil {
			return "", verdict, err
		}
		defer exchange.Close()
		content, err := io.ReadAll(exchange)
		return string(content), verdict, err
	}

	// Guards against a part of an answer that reaches the client as the whole: the kernel reports a reset to the
	// goroutine that writes the request, and the one that reads the answer sees an end (issue 50).
	DescribeTable("is not complete if the connection is reset", func(answer string, delay time.Duration) {
		address := startEarly(answer, func(conn *net.TCPConn, _ io.Reader) {
			time.Sleep(delay)
			_ = conn.SetLinger(0)
		})
		p := newPool(decoder{})
		for range 20 {
			_, _, err := upload(context.Background(), p, address)
			Expect(err).To(HaveOccurred())
		}
	},
		Entry("at once", plain, time.Duration(0)),
		Entry("while the writer waits", plain, 20*time.Millisecond),
		Entry("at once, between two events", events, time.Duration(0)),
		Entry("between two events, while the writer waits", events, 20*time.Millisecond),
	)

	// Guards against the same for a path that has fallen silent: the kernel reports that to one call only, too.
	It("is not complete if the write of the request fails because the path is silent", func() {
		dial := func(context.Context, string, time.Duration) (net.Conn, error) {
			return &silentConn{answer: strings.NewReader(plain)}, nil
		}
		group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
		DeferCleanup(group.Stop)
		_, _, err := upload(context.Background(), upstream.NewPool(group, decoder{}, upstream.Settings{Dial: dial}), "address")
		Expect(err).To(MatchError(upstream.ErrBroken))
	})

	// Guards against a server that closes before it has read the request, which resets the connection later.
	It("is not complete if the server closes the connection without reading on", func() {
		address := startEarly(plain, func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		})
		_, _, err := upload(context.Background(), newPool(decoder{}), address)
		Expect(err).To(MatchError(upstream.ErrBroken))
	})

	// Guards against a call that waits past its time for a server that ends its answer and never reads on.
	It("is not complete if the request is never read, and is given up with the call", func() {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		address := startEarly(plain, func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			<-release
		})
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		started := time.Now()
		_, _, err := upload(ctx, newPool(decoder{}), address)
		Expect(err).To(MatchError(upstream.ErrBroken))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
	})

	// Guards against sound answers that are refused: a server may end its answer first and read the request then.
	DescribeTable("is complete if the server ends it and reads the whole request", func(answer, body string) {
		read := make(chan int64, 1)
		address := startEarly(answer, func(conn *net.TCPConn, body io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			count, _ := io.Copy(io.Discard, body)
			read <- count
		})
		content, verdict, err := upload(context.Background(), newPool(decoder{}), address)
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.Answered))
		Expect(content).To(Equal(body))
		Eventually(read, "5s").Should(Receive(BeEquivalentTo(longBody)))
	},
		Entry("a body", plain, "the first part"),
		Entry("a stream between two events", events, "id: 1\ndata: x\n\n"),
	)

	// Guards against an early answer that is held back until the request is written.
	It("is read at once if it has a length", func() {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		address := startEarly("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok", func(*net.TCPConn, io.Reader) { <-release })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		content, _, err := upload(ctx, newPool(decoder{}), address)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal("ok"))
	})
})

// silentConn is a connection whose writes fail after the answer has arrived.
type silentConn struct {
	net.Conn

	answer *strings.Reader
	ended  atomic.Bool
}

func (c *silentConn) Read(into []byte) (int, error) {
	count, err := c.answer.Read(into)
	c.ended.Store(err != nil)
	return count, err
}

func (c *silentConn) Write([]byte) (int, error) {
	for !c.ended.Load() {
		time.Sleep(time.Millisecond)
	}
	return 0, syscall.ETIMEDOUT
}

func (c *silentConn) Close() error { return nil }

// Guards against sound answers that are refused because they end with their connection.
var _ = DescribeTable("An answer that ends with its connection is complete", func(answer, body string) {
	address := answerWith(answer)
	for _, upload := range []string{"", "in", strings.Repeat("b", 4<<20)} {
		content, verdict, err := send(newPool(decoder{}), address, "a", upload)
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.Answered))
		Expect(content).To(Equal(body))
	}
},
	Entry("a body", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole", "whole"),
	Entry("an empty body", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", ""),
	Entry("of HTTP/1.0", "HTTP/1.0 200 OK\r\nId: a\r\n\r\nwhole", "whole"),
	Entry("a stream between two events", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", "id: 1\ndata: x\n\n"),
	Entry("after an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole", "whole"),
)
