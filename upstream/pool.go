package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"dogwoodline.example/duty"
	"dogwoodline.example/netdial"
	"dogwoodline.example/ring"
)

const (
	// writerCount is the number of goroutines that write long requests.
	writerCount = 32
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
)

// Pool keeps idle connections to backend servers for reuse. Many goroutines share
// its lock, so it is held for a few instructions only and never during I/O.
type Pool struct {
	decoder       Decoder
	pendingWrites *ring.Ring[func()]

	mu         sync.Mutex
	idle       map[string][]*conn // by address, the one used last at the end
	open       map[string]int     // open connections by address, idle or in use
	dialled    int                // connections opened so far
	idleLimits idleLimits
}

// NewPool returns a pool whose background goroutines run in group.
func NewPool(group *duty.Group, decoder Decoder) *Pool {
	p := &Pool{
		decoder: decoder, pendingWrites: ring.New[func()](writerCount),
		idle: map[string][]*conn{}, open: map[string]int{}, idleLimits: idleLimits{},
	}
	for range writerCount {
		group.Go("upstream-writer", p.runWriter)
	}
	group.Go("upstream-sweep", p.runSweep)
	return p
}

func (p *Pool) runWriter(ctx context.Context) error {
	for {
		send, err := p.pendingWrites.Pop(ctx)
		if err != nil {
			return err
		}
		send()
	}
}

func (p *Pool) runSweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.sweep(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *Pool) sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.expires) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// acquire returns the most recently used idle connection that is still usable,
// or opens one. It closes the unusable ones that it meets.
func (p *Pool) acquire(ctx context.Context, address, service string) (*conn, error) {
	for {
		c, usable := p.popIdle(address, service)
		if c == nil {
			break
		}
		if usable && time.Now().Before(c.expires) && netdial.IdleConnUsable(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
	return p.connect(ctx, address)
}

// recordEarlyClose records that a connection ended when it was used again after
// it had been idle.
func (p *Pool) recordEarlyClose(service string, idleBefore, sinceSent time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimits.recordClose(service, idleBefore, sinceSent, time.Now())
}

// connect opens a connection and counts it.
func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]++
	p.dialled++
	return c, nil
}

// popIdle removes and returns the idle connection that was used last, if any,
// and reports whether it may be used after the time that it was idle.
func (p *Pool) popIdle(address, service string) (c *conn, usable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil, false
	}
	now := time.Now()
	last := list[len(list)-1]
	last.idleBefore = now.Sub(last.idleSince)
	p.idle[address] = list[:len(list)-1]
	return last, p.idleLimits.allows(service, last.idleBefore, now)
}

func (p *Pool) putIdle(c *conn) {
	timeout := c.idleTimeout
	if timeout <= 0 {
		timeout = defaultIdleTimeout
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(timeout)
	p.mu.Lock()
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

func (p *Pool) discard(c *conn) {
	_ = c.Close() // an error here says nothing about whether the request ran
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c.address]--
	if p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// CloseIdle closes the idle connections to a backend server that is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		p.discard(c)
	}
}

// Reachability says what became of an attempt to connect to a backend server.
type Reachability int

const (
	// Accepting means that a connection was opened.
	Accepting Reachability = iota
	// Refusing means that nobody listens at the address: the backend server has
	// ended, or its host has been told to refuse connections.
	Refusing
	// Silent means that nothing came back: the host is down, or there is no path to
	// it from here. The backend server may be running.
	Silent
)

// String returns the name of the value for logs.
func (r Reachability) String() string { return [...]string{"accepting", "refusing", "silent"}[r] }

// Probe tries to connect to the address. A connection that it opens is kept as an
// idle one.
func (p *Pool) Probe(ctx context.Context, address string) Reachability {
	c, err := p.connect(ctx, address)
	if err != nil {
		return reachability(err)
	}
	p.putIdle(c)
	return Accepting
}

// reachability returns what the error of a failed connect says.
func reachability(err error) Reachability {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return Refusing
	}
	return Silent
}

// HasIdle reports whether a connection to the address is open and idle.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// ConnCounts returns the number of connections that are open now and the number
// opened since the pool was created.
func (p *Pool) ConnCounts() (open, dialled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, count := range p.open {
		open += count
	}
	return open, p.dialled
}
