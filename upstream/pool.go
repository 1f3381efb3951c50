package upstream

import (
	"context"
	"errors"
	"hash/maphash"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
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
	log           *slog.Logger
	detour        Detour
	dial          Dial
	paths         *paths
	incarnations  Incarnations
	heard         heardIncarnations
	pendingWrites *ring.Ring[func()]
	seed          maphash.Seed // of the hashes of request ids
	skipped       atomic.Int64

	mu         sync.Mutex
	idle       map[string][]*conn // by address, the one used last at the end
	openConns  map[string]int     // open connections by address, idle or in use
	dialled    int                // connections opened so far
	idleLimits idleLimits
}

// Settings configures a pool. The zero value suits a process that is alone.
type Settings struct {
	// Detour opens connections to backend servers to which there is no direct path.
	Detour Detour
	// Dial opens a direct connection; nil for one over TCP.
	Dial Dial
	// Incarnations reads which incarnation of a backend server answers; nil if none says.
	Incarnations Incarnations
	Log          *slog.Logger
}

// Dial opens a direct connection to a backend server within the limit.
type Dial func(ctx context.Context, address string, limit time.Duration) (net.Conn, error)

// DialTCP is the Dial that is used if the settings have none.
func DialTCP(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	return netdial.Dialer{Timeout: limit, SilenceLimit: backendSilenceLimit}.DialContext(ctx, "tcp", address)
}

// NewPool returns a pool whose background goroutines run in group.
func NewPool(group *duty.Group, decoder Decoder, settings Settings) *Pool {
	p := &Pool{
		decoder: decoder, log: settings.Log, detour: settings.Detour, dial: settings.Dial, paths: newPaths(),
		incarnations: settings.Incarnations, heard: newHeardIncarnations(), pendingWrites: ring.New[func()](writerCount),
		seed: maphash.MakeSeed(), idle: map[string][]*conn{}, openConns: map[string]int{}, idleLimits: idleLimits{},
	}
	if p.log == nil {
		p.log = slog.New(slog.DiscardHandler)
	}
	if p.dial == nil {
		p.dial = DialTCP
	}
	if p.detour == nil {
		p.detour = noDetour{}
	}
	for range writerCount {
		group.Go("upstream-writer", p.runWriter)
	}
	group.Go("upstream-sweep", p.runSweep)
	group.Go("upstream-paths", p.runPathChecks)
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

// acquire returns the most recently used idle connection that is still usable and has
// carried no request with the same id, or opens one. It closes the unusable ones that it
// meets.
func (p *Pool) acquire(ctx context.Context, request Request) (*conn, error) {
	for {
		c, usable := p.popIdle(request)
		if c == nil {
			break
		}
		if usable && time.Now().Before(c.expires) && netdial.IdleConnUsable(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
	return p.connect(ctx, request.Address)
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
	c, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	p.count(c)
	return c, nil
}

// count counts a connection that was opened.
func (p *Pool) count(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns[c.address]++
	p.dialled++
}

// popIdle removes and returns the idle connection that was used last, if any, among those
// that have carried no request with the same id, and reports whether it may be used after
// the time that it was idle.
func (p *Pool) popIdle(request Request) (c *conn, usable bool) {
	id := p.hash(request.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[request.Address]
	at := lastWithout(list, id)
	if at < 0 {
		return nil, false
	}
	now := time.Now()
	c = list[at]
	c.idleBefore = now.Sub(c.idleSince)
	p.idle[request.Address] = slices.Delete(list, at, at+1)
	return c, p.idleLimits.allows(request.Service, c.idleBefore, now)
}

// lastWithout returns the index of the last connection that has not carried a request;
// -1 if there is none.
func lastWithout(list []*conn, request requestHash) int {
	for at, c := range slices.Backward(list) {
		if !c.carried.has(request) {
			return at
		}
	}
	return -1
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
	p.openConns[c.address]--
	if p.openConns[c.address] <= 0 {
		delete(p.openConns, c.address)
	}
}

// CloseIdle closes the idle connections to a backend server that is gone, and forgets
// what it has stated.
func (p *Pool) CloseIdle(address string) {
	p.heard.forget(address)
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
	// CutOff means that there is no direct path, but another host reaches the backend
	// server, which accepts connections.
	CutOff
)

// String returns the name of the value for logs.
func (r Reachability) String() string {
	return [...]string{"accepting", "refusing", "silent", "cut off"}[r]
}

// reachability returns what the error of a failed connect says.
func reachability(err error) Reachability {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return Refusing
	}
	return Silent
}

// HasIdle reports whether a connection to the address is open and idle that may carry
// the request with the given id.
func (p *Pool) HasIdle(address, requestID string) bool {
	id := p.hash(requestID)
	p.mu.Lock()
	defer p.mu.Unlock()
	return lastWithout(p.idle[address], id) >= 0
}

// ConnCounts returns the number of connections that are open now and the number
// opened since the pool was created.
func (p *Pool) ConnCounts() (open, dialled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, count := range p.openConns {
		open += count
	}
	return open, p.dialled
}

// SkippedResponses returns the number of responses that were read and belong to no
// request under way. Backend servers in trouble send answers twice.
func (p *Pool) SkippedResponses() int { return int(p.skipped.Load()) }
