// Package relay forwards TCP connections and can interrupt or delay them, so
// that a test can inject link faults without privileges on the machine.
package relay

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

// Mode is the way in which a relay treats its connections.
type Mode int32

const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Cut resets all existing connections, and each new one when it is accepted.
	Cut
	// HalfOpen accepts connections, reads from both ends and forwards nothing.
	// When the mode changes to Pass, connections that may have lost bytes are
	// reset, because their streams are incomplete.
	HalfOpen
	// OneWay forwards what clients send and drops what the target sends. Its
	// connections are reset in the same way as those of HalfOpen.
	OneWay
	// Slow forwards each chunk of bytes after slowDelay.
	Slow
)

const (
	// maxConnections bounds the connections of one relay. Any above the bound
	// are reset.
	maxConnections = 2048
	// bufferBytes is the size of the buffer for one direction of a connection.
	bufferBytes = 32 << 10
	// slowDelay is far above the latency between availability zones and below
	// the timeouts of the system under test.
	slowDelay = 150 * time.Millisecond
)

// Relay forwards connections from its own address to a target.
type Relay struct {
	listener net.Listener
	mode     atomic.Int32

	mu     sync.Mutex // guards target, pairs and closed
	target string
	pairs  map[*pair]struct{}
	closed bool
}

// pair is a forwarded connection: one from the client and one to the target. A
// goroutine for each direction copies its bytes.
type pair struct {
	from, to    net.Conn
	dropBoth    atomic.Bool // set by HalfOpen: nothing is forwarded any more
	dropReplies atomic.Bool // set by OneWay: nothing from the target is forwarded any more
}

// Start returns a relay to the target that listens on a free loopback port.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &Relay{listener: listener, target: target, pairs: map[*pair]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget changes the target of new connections. Existing ones keep theirs.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetMode changes the mode of existing and new connections.
func (r *Relay) SetMode(mode Mode) {
	r.mode.Store(int32(mode))
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		if mode == Cut || mode == Pass && (p.dropBoth.Load() || p.dropReplies.Load()) {
			p.reset()
		}
	}
}

// Close resets all connections and stops listening.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.listener.Close() // fails only if it is already closed
	for p := range r.pairs {
		p.reset()
	}
}

// accept serves new connections until the listener is closed.
func (r *Relay) accept() {
	for {
		from, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go r.serve(from)
		}
	}
}

// serve connects to the target and copies both directions until they end. A
// second goroutine copies the bytes from the target.
func (r *Relay) serve(from net.Conn) {
	p, ok := r.open(from)
	if !ok {
		reset(from)
		return
	}
	defer r.remove(p)
	repliesDone := make(chan struct{})
	go func() {
		defer close(repliesDone)
		r.copy(p, p.to, p.from)
	}()
	r.copy(p, p.from, p.to)
	<-repliesDone
}

// open connects to the target and registers the pair. It returns false if the
// connection from the client must be reset.
func (r *Relay) open(from net.Conn) (*pair, bool) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	if Mode(r.mode.Load()) == Cut {
		return nil, false
	}
	to, err := net.Dial("tcp", target)
	if err != nil {
		return nil, false
	}
	p := &pair{from: from, to: to}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || len(r.pairs) >= maxConnections || Mode(r.mode.Load()) == Cut {
		reset(to)
		return nil, false
	}
	if Mode(r.mode.Load()) == HalfOpen {
		p.dropBoth.Store(true)
	}
	r.pairs[p] = struct{}{}
	return p, true
}

// remove unregisters a pair and closes its connections.
func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	p.reset()
}

// copy forwards one direction until it ends and then closes the other side for
// writing, unless bytes of this direction were dropped. After a network error it
// resets the pair.
func (r *Relay) copy(p *pair, from, to net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		switch Mode(r.mode.Load()) {
		case HalfOpen:
			p.dropBoth.Store(true)
		case OneWay:
			p.dropReplies.Store(p.dropReplies.Load() || from == p.to)
		case Slow:
			time.Sleep(slowDelay)
		}
		drop := p.dropBoth.Load() || from == p.to && p.dropReplies.Load()
		if n > 0 && !drop {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && !drop {
				_ = tcp.CloseWrite() // fails only if the connection is already gone
			}
			if drop {
				return
			}
			if isNetworkError(err) {
				p.reset()
			}
			return
		}
	}
}

// isNetworkError reports whether a connection failed, in contrast to an orderly
// end.
func isNetworkError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError)
}

func (p *pair) reset() {
	reset(p.from)
	reset(p.to)
}

// reset closes a connection with a TCP reset instead of an orderly end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}
