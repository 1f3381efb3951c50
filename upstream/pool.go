package upstream

import (
	"context"
	"sync"
	"time"

	"dogwoodline.example/duty"
	"dogwoodline.example/netdial"
	"dogwoodline.example/ring"
)

const (
	// writerCount is the number of duties that write long requests.
	writerCount = 32
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second
)

// Pool keeps idle connections to backend servers. Its lock is held for a few
// instructions, because callers on many goroutines share it.
type Pool struct {
	decoder Decoder
	writers *ring.Ring[func()]

	mu      sync.Mutex
	idle    map[string][]*conn
	open    map[string]int
	dialled int
	rests   rests
}

// NewPool returns a pool whose duties run in group.
func NewPool(group *duty.Group, decoder Decoder) *Pool {
	p := &Pool{
		decoder: decoder, writers: ring.New[func()](writerCount),
		idle: map[string][]*conn{}, open: map[string]int{}, rests: rests{},
	}
	for range writerCount {
		group.Go("upstream-writer", p.runWriter)
	}
	group.Go("upstream-sweep", p.runSweep)
	return p
}

func (p *Pool) runWriter(ctx context.Context) error {
	for {
		send, err := p.writers.Pop(ctx)
		if err != nil {
			return err
		}
		send()
	}
}

func (p *Pool) runSweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
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

// take returns the idle connection that was used last, or opens one.
func (p *Pool) take(ctx context.Context, address, service string) (*conn, error) {
	for {
		c, rested := p.takeIdle(address, service)
		if c == nil {
			break
		}
		if rested && time.Now().Before(c.expires) && netdial.Usable(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
	return p.connect(ctx, address)
}

// forgotten learns that a connection ended when it was used after a rest.
func (p *Pool) forgotten(service string, idle, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rests.note(service, idle, took, time.Now())
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

// takeIdle returns the idle connection that was used last, if any, and whether
// it may still be used after its rest.
func (p *Pool) takeIdle(address, service string) (c *conn, usable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil, false
	}
	now := time.Now()
	last := list[len(list)-1]
	last.idle = now.Sub(last.since)
	p.idle[address] = list[:len(list)-1]
	return last, p.rests.allows(service, last.idle, now)
}

func (p *Pool) put(c *conn) {
	keep := c.keep
	if keep <= 0 {
		keep = idleUnknown
	}
	c.since = time.Now()
	c.expires = c.since.Add(keep)
	p.mu.Lock()
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

func (p *Pool) discard(c *conn) {
	_ = c.Close() // what was sent is judged by the answer, not by this
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c.address]--
	if p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// Drop closes the idle connections to a backend server that is gone.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		p.discard(c)
	}
}

// Reachable opens a connection to see whether anybody listens there.
func (p *Pool) Reachable(ctx context.Context, address string) bool {
	c, err := p.connect(ctx, address)
	if err != nil {
		return false
	}
	p.put(c)
	return true
}

// HasIdle reports whether a connection to the address is open and idle.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// Open returns the number of open connections and of those opened so far.
func (p *Pool) Open() (open, dialled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, count := range p.open {
		open += count
	}
	return open, p.dialled
}
