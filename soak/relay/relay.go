// Package relay forwards TCP connections and can be told to break them, so
// that links between processes can be cut without any right on the machine.
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

// Mode says what a relay does with its connections.
type Mode int32

const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Cut resets all connections, and new ones when they are made.
	Cut
	// HalfOpen accepts connections, reads from both ends and forwards nothing.
	// When the mode ends these connections are reset, because bytes are
	// missing from them.
	HalfOpen
	// OneWay forwards what clients send and swallows the answers. Its
	// connections are reset like those of HalfOpen.
	OneWay
	// Slow forwards each piece slowDelay late.
	Slow
)

const (
	// maxConnections bounds the connections of one relay. Further ones are
	// reset.
	maxConnections = 2048
	// bufferBytes is the buffer of one direction of a connection.
	bufferBytes = 32 << 10
	// slowDelay is far above the way between availability zones, and below the
	// time-outs of the system.
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

// pair is a forwarded connection. A goroutine for each direction serves it.
type pair struct {
	from, to net.Conn
	tainted  atomic.Bool // bytes were swallowed
	deaf     atomic.Bool // answers were swallowed
}

// Start listens on a free loopback port.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &Relay{listener: listener, target: target, pairs: map[*pair]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the address to connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget changes where new connections are forwarded to.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Set changes the mode of present and later connections.
func (r *Relay) Set(mode Mode) {
	r.mode.Store(int32(mode))
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		if mode == Cut || mode == Pass && (p.tainted.Load() || p.deaf.Load()) {
			p.reset()
		}
	}
}

// Close resets all connections and frees the port.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.listener.Close() // nothing else holds it
	for p := range r.pairs {
		p.reset()
	}
}

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

// serve connects to the target and copies one direction; a second goroutine
// copies the other.
func (r *Relay) serve(from net.Conn) {
	p, ok := r.open(from)
	if !ok {
		reset(from)
		return
	}
	defer r.forget(p)
	back := make(chan struct{})
	go func() {
		defer close(back)
		r.copy(p, p.to, p.from)
	}()
	r.copy(p, p.from, p.to)
	<-back
}

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
		p.tainted.Store(true)
	}
	r.pairs[p] = struct{}{}
	return p, true
}

func (r *Relay) forget(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	p.reset()
}

// copy forwards one direction until it ends, then passes the end on.
func (r *Relay) copy(p *pair, from, to net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		switch Mode(r.mode.Load()) {
		case HalfOpen:
			p.tainted.Store(true)
		case OneWay:
			p.deaf.Store(p.deaf.Load() || from == p.to)
		case Slow:
			time.Sleep(slowDelay)
		}
		swallow := p.tainted.Load() || from == p.to && p.deaf.Load()
		if n > 0 && !swallow {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && !swallow {
				_ = half.CloseWrite() // a connection that is gone needs no end
			}
			if swallow {
				return
			}
			if isReset(err) {
				p.reset()
			}
			return
		}
	}
}

func isReset(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed)
}

func (p *pair) reset() {
	reset(p.from)
	reset(p.to)
}

// reset closes with a reset in place of an orderly end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}
