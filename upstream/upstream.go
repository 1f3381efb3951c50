// Package upstream exchanges requests with backend servers over HTTP/1.1.
//
// One connection serves one request at a time, and never two with the same id. A
// response belongs to a request only if it carries the request's id; other responses
// are skipped. A call.Verdict states what an exchange proves about the execution of the request.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/call"
	"dogwoodline.example/httpresponse"
)

// Error is the class of all errors of this package.
var Error = errs.Class("upstream")

var (
	// ErrNotConnected reports that no connection could be opened.
	ErrNotConnected = Error.New("no connection")
	// ErrBroken reports that the connection ended before the head of the response
	// was complete, or that what arrived is not the response to the request.
	ErrBroken = Error.New("answer broken off or not readable")
)

const (
	// idleMargin is subtracted from the time after which a backend server closes
	// an idle connection, so that a request still arrives before the close.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the backend
	// server does not announce its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxSkippedResponses is how many responses to other requests are read from a
	// connection before the connection is given up.
	maxSkippedResponses = 4
	// maxSkippedBytes bounds the bytes that are read from the body of a skipped
	// response. The connection is given up if the body is longer.
	maxSkippedBytes = 1 << 20
	// maxHeadBytes bounds the bytes that are read up to the end of the head of the
	// response, over all interim (1xx) and skipped heads.
	maxHeadBytes = 64 << 10
	// readBufferSize is the size of a connection's read buffer. It is small
	// because responses are.
	readBufferSize = 4 << 10
)

// Decoder decodes the status and header of a response.
type Decoder interface {
	Decode(reply *http.Response) call.Response
}

// Exchange is a request that was sent and its response. Read reads the body of the
// response. The caller must call Close.
type Exchange struct {
	Response call.Response
	// Length is the length of the body, or -1 if it is unknown.
	Length int64

	body        io.Reader
	pool        *Pool
	conn        *conn
	bodyRead    bool        // the body was read to its end
	cancelClose func() bool // removes the hook that closes conn when the context ends
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	reader      *httpresponse.Reader // reads from bounded
	bounded     *boundedReader
	answered    bool // a response has arrived on it
	carried     carriedRequests
	address     string
	idleSince   time.Time // when it became idle
	expires     time.Time // when it may no longer be reused
	idleTimeout time.Duration
	idleBefore  time.Duration // how long it was idle before the exchange; 0 if new
	writeResult chan error    // the result of the write in progress; capacity 1, so that a writer never blocks
	closed      chan struct{} // closed when the connection is closed here
	closeOnce   sync.Once
	framed      bool  // the response marks its own end, by length or chunks
	detour      bool  // it leads through another host, and is not used again
	asked       bool  // the incarnation is known, or the backend server states none
	incarnation int64 // of the backend server; 0 if it is not known
}

// Request is a request to a backend server.
type Request struct {
	ID      string
	Address string
	// Service is the name of the backend server's service. Limits on idle times
	// apply to all backend servers of a service.
	Service string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	// Incarnation is the one that must answer; 0 if any may.
	Incarnation int64
}

// encode returns the request line, header and body as they are sent. A long body is a
// buffer of its own, which is not copied.
func (r Request) encode() (net.Buffers, error) {
	var out bytes.Buffer
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&out); err != nil {
		return nil, err
	}
	out.WriteString("\r\n")
	if out.Len()+len(r.Body) > maxInlineWrite {
		return net.Buffers{out.Bytes(), r.Body}, nil
	}
	out.Write(r.Body)
	return net.Buffers{out.Bytes()}, nil
}

// Do sends a request and reads the status and header of its response. The verdict
// of a failed exchange is call.NotRun only if no byte was sent. Do calls
// beforeSend once it has a connection; if beforeSend returns false, Do sends
// nothing and returns context.Canceled.
func (p *Pool) Do(ctx context.Context, request Request, beforeSend func() bool) (*Exchange, call.Verdict, error) {
	message, err := request.encode()
	if err != nil {
		return nil, call.NotRun, Error.Wrap(err)
	}
	c, err := p.acquire(ctx, request)
	if err != nil {
		return nil, call.NotRun, err
	}
	c, err = p.checkIncarnation(ctx, c, request)
	if err != nil {
		if c != nil {
			p.discard(c)
		}
		return nil, call.NotRun, err
	}
	if !beforeSend() {
		if c.detour {
			p.discard(c)
		} else {
			p.putIdle(c)
		}
		return nil, call.NotRun, context.Canceled
	}
	// In HTTP/1.1, closing the connection is the only way to tell a backend
	// server that nobody waits for the response.
	cancelClose := context.AfterFunc(ctx, func() { _ = c.Close() })
	sent := time.Now()
	c.carried = append(c.carried, p.hash(request.ID))
	p.write(c, message)
	exchange, err := p.readResponse(c, request)
	if err != nil {
		cancelClose()
		p.discard(c)
		if errors.Is(err, syscall.ETIMEDOUT) {
			p.CloseIdle(request.Address) // they lead over the same path
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		} else if c.idleBefore > 0 {
			p.recordEarlyClose(request.Service, c.idleBefore, time.Since(sent))
			err = fmt.Errorf("%w, on a connection that was idle for %s", err, c.idleBefore.Round(time.Millisecond))
		}
		return nil, call.Unknown, err
	}
	exchange.cancelClose = cancelClose
	if exchange.Response.NotRun {
		return exchange, call.NotRun, nil
	}
	return exchange, call.Answered, nil
}

// maxInlineWrite is the longest message that the caller of Do writes itself. The
// kernel buffers such a message without waiting for the backend server to read.
const maxInlineWrite = 8 << 10

// write sends a message. A long message is sent by another goroutine while this
// one reads, since a backend server may respond before it has read everything.
func (p *Pool) write(c *conn, message net.Buffers) {
	send := func() {
		_, err := message.WriteTo(c.Conn)
		c.writeResult <- err
	}
	if len(message) == 1 {
		send()
		return
	}
	if p.pendingWrites.TryPush(send) != nil {
		send() // all writers are busy; this caller waits for the write itself
	}
}

// readResponse reads the status and header of the response to the request, and
// skips responses to other requests.
func (p *Pool) readResponse(c *conn, request Request) (*Exchange, error) {
	c.bounded.limit(maxHeadBytes)
	// A refusal without an id can only be assigned to a request if the connection
	// has carried no other: a late copy of an earlier refusal would state that this
	// request has not run.
	reply, response, err := p.nextResponse(c, request.Method, func(response call.Response, first bool) bool {
		return response.RequestID == request.ID || (response.RequestID == "" && response.NotRun && first)
	})
	if err != nil {
		return nil, err
	}
	c.bounded.unlimit()
	c.framed = reply.ContentLength >= 0 || len(reply.TransferEncoding) > 0
	c.idleTimeout = idleTimeout(response.IdleTimeout)
	return &Exchange{Response: response, Length: reply.ContentLength, body: reply.Body, pool: p, conn: c}, nil
}

// nextResponse reads the status and header of the next response for which belongs
// returns true, and skips those before it. belongs is told whether the response is
// the first one on the connection.
func (p *Pool) nextResponse(c *conn, method string, belongs func(response call.Response, first bool) bool) (*http.Response, call.Response, error) {
	for skipped := 0; skipped <= maxSkippedResponses; {
		reply, err := c.reader.Next(method)
		if err != nil && c.bounded.exhausted() {
			return nil, call.Response{}, errors.Join(ErrBroken, ErrHeadTooLong)
		}
		if err != nil {
			return nil, call.Response{}, errors.Join(ErrBroken, err)
		}
		if reply.StatusCode < http.StatusOK {
			continue // interim (1xx) response; the final one follows
		}
		first := !c.answered
		c.answered = true
		response := p.decoder.Decode(reply)
		if belongs(response, first) {
			return reply, response, nil
		}
		p.skipped.Add(1)
		if err := c.skipBody(reply); err != nil {
			return nil, call.Response{}, errors.Join(ErrBroken, err)
		}
		skipped++
	}
	return nil, call.Response{}, errors.Join(ErrBroken, Error.New("answers to other requests"))
}

// skipBody reads the body of a response to another request.
func (c *conn) skipBody(reply *http.Response) error {
	if reply.Close || (reply.ContentLength < 0 && len(reply.TransferEncoding) == 0) {
		return Error.New("answer to another request")
	}
	left := c.bounded.unlimit()
	count, err := io.Copy(io.Discard, io.LimitReader(reply.Body, maxSkippedBytes+1))
	if err != nil {
		return err
	}
	if count > maxSkippedBytes {
		return Error.New("the answer to another request has more than %d bytes", maxSkippedBytes)
	}
	c.bounded.limit(left)
	return nil
}

// idleTimeout returns how long an idle connection is kept, given the idle timeout
// that the backend server announced, or 0 if it announced none. A connection
// whose result is 0 or less must not be reused.
func idleTimeout(announced time.Duration) time.Duration {
	if announced <= 0 {
		return defaultIdleTimeout
	}
	return announced - idleMargin
}

// Read reads from the body. It returns io.EOF only if the body is complete.
func (e *Exchange) Read(into []byte) (int, error) {
	count, err := e.body.Read(into)
	if count > 0 && e.conn.incarnation != 0 {
		e.pool.heard.note(e.conn.address, e.conn.incarnation, time.Now())
	}
	if err != io.EOF {
		return count, err
	}
	if !e.conn.framed {
		// The kernel reports the loss of a connection once. If the write of the request got the report, the read
		// sees an end. A server that never reads the whole request leaves open which of the two it was.
		if err := e.conn.awaitWrite(); err != nil {
			return count, errors.Join(ErrBroken, Error.New("the request was not written: %v", err))
		}
	}
	e.bodyRead = true
	return count, io.EOF
}

// Framed reports whether the response marks its own end, by a length or by chunks.
// The end of any other may also be that of a connection that was lost.
func (e *Exchange) Framed() bool { return e.conn.framed }

// Abort ends the connection, so that reading the body fails. Unlike the other
// methods it may be called by any goroutine, but not after Close.
func (e *Exchange) Abort() { _ = e.conn.Close() } // fails only if the connection is closed already

// Close ends the exchange. The connection is kept for reuse only if the request
// was written and the response read completely, nothing else has arrived, the
// backend server keeps the connection open, and it may carry another request.
func (e *Exchange) Close() {
	stopped := e.cancelClose()
	if !stopped || !e.bodyRead || e.Response.Close || !e.conn.framed || e.conn.reader.Buffered() > 0 || e.conn.idleTimeout <= 0 || e.conn.detour || e.conn.carried.full() {
		e.pool.discard(e.conn)
		return
	}
	select {
	case err := <-e.conn.writeResult:
		if err != nil {
			e.pool.discard(e.conn)
			return
		}
	default: // the request is still being written, so another must not follow on this connection
		e.pool.discard(e.conn)
		return
	}
	e.pool.putIdle(e.conn)
}

// newConn returns the connection that leads over the socket.
func newConn(socket net.Conn, address string) *conn {
	bounded := &boundedReader{source: socket, left: unlimited}
	return &conn{
		Conn: socket, address: address, bounded: bounded, reader: httpresponse.NewReader(bounded, readBufferSize),
		writeResult: make(chan error, 1), closed: make(chan struct{}),
	}
}

// Close closes the connection, which ends a read, a write and awaitWrite.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// awaitWrite waits until the request is written, and returns the error of the write.
func (c *conn) awaitWrite() error {
	select {
	case err := <-c.writeResult:
		c.writeResult <- err // Close reads it too
		return err
	case <-c.closed:
		return net.ErrClosed
	}
}
