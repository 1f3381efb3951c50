// Package upstream exchanges requests with backend servers over HTTP/1.1.
//
// One connection serves one request at a time. An answer belongs to a request
// only if it names the request's id; others are skipped. What an exchange
// proves about the request is a call.Verdict.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/call"
	"dogwoodline.example/netdial"
)

// Error is the class of all errors of this package.
var Error = errs.Class("upstream")

var (
	// ErrNotConnected reports that no connection could be opened.
	ErrNotConnected = Error.New("no connection")
	// ErrBroken reports that the connection ended, or that bytes arrived that
	// are no answer.
	ErrBroken = Error.New("answer broken off or not readable")
)

const (
	// idleMargin is kept from the time after which a backend server closes an
	// idle connection, for the way of the request.
	idleMargin = 700 * time.Millisecond
	// idleUnknown is how long an idle connection is kept when the backend
	// server does not say how long it does.
	idleUnknown = 4 * time.Second
	// mostForeignAnswers is how many answers to other requests are skipped on
	// a connection before it is given up.
	mostForeignAnswers = 4
	// mostForeignBytes bounds the body of an answer that is skipped.
	mostForeignBytes = 1 << 20
	// readBuffer is the size of a connection's read buffer; answers are small.
	readBuffer = 4 << 10
)

// Decoder reads the head of an answer.
type Decoder interface {
	Decode(reply *http.Response) call.Answer
}

// Exchange is one request on its way and its answer. Close must be called.
type Exchange struct {
	Answer call.Answer
	// Body is the body of the answer. A body that ends with io.EOF is whole.
	Body io.Reader
	// Length is the length of the body, or -1.
	Length int64

	pool   *Pool
	conn   *conn
	whole  bool
	unhook func() bool
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	since   time.Time // when it became idle
	expires time.Time
	keep    time.Duration
	idle    time.Duration // how long it was idle before the exchange
	written chan error    // the outcome of the write in progress, one slot
	framed  bool
}

// Request is what is sent.
type Request struct {
	ID      string
	Address string
	// Service names the kind of backend server; those of one kind keep idle
	// connections alike.
	Service string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
}

// head encodes the request line and header.
func (r Request) encode() ([]byte, error) {
	var out bytes.Buffer
	out.Grow(512 + len(r.Body))
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&out); err != nil {
		return nil, err
	}
	out.WriteString("\r\n")
	out.Write(r.Body)
	return out.Bytes(), nil
}

// Do sends a request and reads the head of its answer. The verdict of a
// failed exchange is call.NotRun only if no byte was sent. beforeSend is
// called when a connection stands; the exchange ends there if it reports
// false, with context.Canceled.
func (p *Pool) Do(ctx context.Context, request Request, beforeSend func() bool) (*Exchange, call.Verdict, error) {
	message, err := request.encode()
	if err != nil {
		return nil, call.NotRun, Error.Wrap(err)
	}
	c, err := p.take(ctx, request.Address, request.Service)
	if err != nil {
		return nil, call.NotRun, err
	}
	if !beforeSend() {
		p.put(c)
		return nil, call.NotRun, context.Canceled
	}
	// Closing is the only way to tell a backend server that nobody waits.
	unhook := context.AfterFunc(ctx, func() { _ = c.Close() })
	sent := time.Now()
	p.write(c, message)
	exchange, err := p.readAnswer(c, request)
	if err != nil {
		unhook()
		p.discard(c)
		if ctx.Err() != nil {
			err = ctx.Err()
		} else if c.idle > 0 {
			p.forgotten(request.Service, c.idle, time.Since(sent))
			err = fmt.Errorf("%w, on a connection that was idle for %s", err, c.idle.Round(time.Millisecond))
		}
		return nil, call.Unknown, err
	}
	exchange.unhook = unhook
	if exchange.Answer.NotRun {
		return exchange, call.NotRun, nil
	}
	return exchange, call.Answered, nil
}

// smallMessage is written by the caller itself, because the kernel takes it
// without waiting for the backend server to read.
const smallMessage = 8 << 10

// write sends a message. A long one is sent beside the reading, since a
// backend server may answer before it has read everything.
func (p *Pool) write(c *conn, message []byte) {
	send := func() {
		_, err := c.Write(message)
		c.written <- err
	}
	if len(message) <= smallMessage {
		send()
		return
	}
	if p.writers.TryPush(send) != nil {
		send() // all writers are busy; this caller waits for the write itself
	}
}

func (p *Pool) readAnswer(c *conn, request Request) (*Exchange, error) {
	for range mostForeignAnswers {
		reply, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, errors.Join(ErrBroken, err)
		}
		if reply.StatusCode < http.StatusOK {
			continue // an interim answer announces the real one
		}
		answer := p.decoder.Decode(reply)
		if answer.RequestID == request.ID || (answer.RequestID == "" && answer.NotRun) {
			c.framed = reply.ContentLength >= 0 || len(reply.TransferEncoding) > 0
			c.keep = keepFor(answer.KeepIdle)
			return &Exchange{Answer: answer, Body: reply.Body, Length: reply.ContentLength, pool: p, conn: c}, nil
		}
		if reply.Close || (reply.ContentLength < 0 && len(reply.TransferEncoding) == 0) {
			return nil, errors.Join(ErrBroken, Error.New("answer to another request"))
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(reply.Body, mostForeignBytes)); err != nil {
			return nil, errors.Join(ErrBroken, err)
		}
	}
	return nil, errors.Join(ErrBroken, Error.New("answers to other requests"))
}

// keepFor is how long a connection is kept for a backend server that keeps an
// idle one for the given time; 0 if it did not say.
func keepFor(stated time.Duration) time.Duration {
	if stated <= 0 {
		return idleUnknown
	}
	return stated - idleMargin
}

// Read reads the body.
func (e *Exchange) Read(into []byte) (int, error) {
	count, err := e.Body.Read(into)
	if err == io.EOF {
		e.whole = true
	}
	return count, err
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end and nothing else has arrived.
func (e *Exchange) Close() {
	stopped := e.unhook()
	if !stopped || !e.whole || e.Answer.Leaving || !e.conn.framed || e.conn.reader.Buffered() > 0 || e.conn.keep <= 0 {
		e.pool.discard(e.conn)
		return
	}
	select {
	case err := <-e.conn.written:
		if err != nil {
			e.pool.discard(e.conn)
			return
		}
	default: // the request is still being written: other bytes must not follow
		e.pool.discard(e.conn)
		return
	}
	e.pool.put(e.conn)
}

// dial opens a connection.
func dial(ctx context.Context, address string) (*conn, error) {
	socket, err := netdial.Context(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(ErrNotConnected, err)
	}
	return &conn{
		Conn: socket, address: address, reader: bufio.NewReaderSize(socket, readBuffer), written: make(chan error, 1),
	}, nil
}
