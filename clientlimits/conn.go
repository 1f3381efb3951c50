package clientlimits

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Protocol is how the requests on a connection are told apart.
type Protocol int

const (
	// HTTP1 is HTTP/1.1 without encryption. Request heads are judged, and the server
	// reports the phases by ConnState.
	HTTP1 Protocol = iota
	// Encrypted is HTTP over TLS. The server judges request heads itself and reports the
	// phases by ConnState.
	Encrypted
	// HTTP2 is gRPC. A connection counts as serving from the end of its preface. TCP
	// connections are passed on as they are, because grpc-go sets TCP_USER_TIMEOUT on them
	// and holds no buffer while it waits for their bytes.
	HTTP2
)

// prefaceBytes is the length of the preface of HTTP/2.
const prefaceBytes = 24

// Listener accepts connections within a budget.
type Listener struct {
	net.Listener
	budget   *Budget
	protocol Protocol
}

// Wrap returns a listener that accepts the connections of inner within the budget.
func (b *Budget) Wrap(inner net.Listener, protocol Protocol) *Listener {
	return &Listener{Listener: inner, budget: b, protocol: protocol}
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, budget: l.budget, protocol: l.protocol}
		c.since.Store(time.Now().UnixNano())
		if l.protocol == HTTP2 {
			c.watched, _ = inner.(*net.TCPConn)
		}
		switch admitted := l.budget.admit(c); {
		case admitted && c.watched != nil:
			return inner, nil
		case admitted:
			return c, nil
		}
		if tcp, ok := inner.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the kernel keeps nothing of a refused connection
		}
		_ = inner.Close()
	}
}

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	budget   *Budget
	protocol Protocol
	// watched is the inner connection if the server uses it without this one; else nil.
	watched *net.TCPConn

	since, headBytes, writingSince atomic.Int64
	// phase changes under mu, so that a connection is not closed to make room in the
	// moment in which its request begins.
	mu     sync.Mutex
	phase  atomic.Int32
	closed atomic.Bool

	// head is used by the goroutine that reads. The server calls ConnState when no read is
	// in progress.
	head         Head
	readInServed atomic.Bool // bytes arrived while a request was served
}

func (c *Conn) state() State {
	s := State{Phase: Phase(c.phase.Load()), Since: time.Unix(0, c.since.Load()), HeadBytes: int(c.headBytes.Load())}
	if writing := c.writingSince.Load(); writing != 0 {
		s.WritingSince = time.Unix(0, writing)
	}
	return s
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		count, err := c.Conn.Read(p)
		if count == 0 {
			return count, err
		}
		if Phase(c.phase.Load()) == Serving {
			c.readInServed.Store(true)
			return count, err
		}
		if c.protocol != HTTP1 {
			c.readBegin(count)
			return count, err
		}
		kept, cause := c.head.Scan(p[:count], *c.budget.limits.Load())
		if cause != None {
			c.reject(cause)
			return 0, io.EOF
		}
		c.holdHead(int64(c.head.Held()))
		if len(kept) > 0 || err != nil {
			return copy(p, kept), err
		}
	}
}

// readBegin counts the first bytes of a connection whose heads are not judged here.
func (c *Conn) readBegin(count int) {
	if c.protocol == HTTP2 && c.headBytes.Load()+int64(count) >= prefaceBytes {
		c.setPhase(Serving)
		return
	}
	c.holdHead(c.headBytes.Load() + int64(count))
}

// holdHead notes how long the incomplete head is.
func (c *Conn) holdHead(length int64) {
	if c.setHeadBytes(length) > c.budget.maxHeadBytes {
		c.budget.makeRoom()
	}
}

// setHeadBytes returns the sum over all connections of the budget.
func (c *Conn) setHeadBytes(length int64) (sum int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		return 0
	}
	before := c.headBytes.Swap(length)
	if before == 0 && length > 0 {
		c.since.Store(time.Now().UnixNano())
	}
	return c.budget.headBytes.Add(length - before)
}

// refresh brings a watched connection up to date. Of others it does nothing.
func (c *Conn) refresh() {
	if c.watched == nil {
		return
	}
	var received uint64
	raw, err := c.watched.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			if Phase(c.phase.Load()) == Serving {
				return // only whether it is closed is of interest
			}
			if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
				received = info.Bytes_received
			}
		})
	}
	switch {
	case err != nil: // the server has closed it
		_ = c.Close()
	case received >= prefaceBytes:
		c.setPhase(Serving)
	}
}

func (c *Conn) setPhase(phase Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase.Store(int32(phase))
	c.since.Store(time.Now().UnixNano())
	c.budget.headBytes.Add(-c.headBytes.Swap(0))
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writingSince.Store(time.Now().UnixNano())
	count, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	return count, err
}

// CloseWrite closes the sending side. net/http calls it to keep a last response from being
// lost by a reset.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeLocked()
}

func (c *Conn) closeLocked() error {
	if !c.closed.Swap(true) {
		c.budget.remove(c)
		c.budget.headBytes.Add(-c.headBytes.Swap(0))
	}
	return c.Conn.Close()
}

// closeFor closes the connection for a cause. Only a response that stays unread closes
// one that serves a request.
func (c *Conn) closeFor(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() || Phase(c.phase.Load()) == Serving && cause != Unread {
		return
	}
	c.budget.countClosed(cause)
	_ = c.closeLocked() // the connection is given up
}

const (
	// rejectWait and rejectBytes bound what is read after a rejection. A connection that
	// is closed with unread bytes is reset, and the client may lose the response.
	rejectWait  = 300 * time.Millisecond
	rejectBytes = 256 << 10
)

var rejections = map[Cause]string{
	HeadTooLong:       "431 Request Header Fields Too Large",
	TooManyLines:      "431 Request Header Fields Too Large",
	TooManyEmptyLines: "400 Bad Request",
}

// reject answers a head that exceeds a limit. Its request has not run.
func (c *Conn) reject(cause Cause) {
	c.budget.countClosed(cause)
	c.setHeadBytes(0)
	_ = c.SetDeadline(time.Now().Add(rejectWait)) // fails only if the connection is closed
	_, err := io.WriteString(c.Conn, "HTTP/1.1 "+rejections[cause]+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if tcp, ok := c.Conn.(*net.TCPConn); ok && err == nil {
		_ = tcp.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.Conn, rejectBytes)
	}
}

// ConnState is the hook of http.Server for listeners of a budget.
func ConnState(conn net.Conn, state http.ConnState) {
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = encrypted.NetConn()
	}
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive, http.StateHijacked:
		c.setPhase(Serving)
	case http.StateIdle:
		c.head.Restart(c.readInServed.Load())
		c.setPhase(Waiting)
	case http.StateNew, http.StateClosed:
	}
}
