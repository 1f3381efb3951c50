package upstream

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"dogwoodline.example/netdial"
)

const (
	// detourAfter is how long a direct connection may take to open if there is
	// another way. A lost SYN packet is retransmitted only after a second.
	detourAfter = 300 * time.Millisecond
	// detourPause is how long an address is not tried another way after that failed
	// too: its server has probably ended, and each interrupted call asks.
	detourPause = 500 * time.Millisecond
	// pathMemory is how long the last direct connection to an address counts when it
	// is judged whether this host is cut off.
	pathMemory = 10 * time.Second
	// minCutPaths is how many paths must be cut before the host counts as cut off.
	minCutPaths = 2
	// pathCheckInterval is how often cut paths are tried again, and maxFailedChecks
	// how many of them may fail each time.
	pathCheckInterval = time.Second
	maxFailedChecks   = 2
	// backendSilenceLimit is how long bytes sent to a backend server may stay
	// unacknowledged. A sound server may be silent for more than a second; a limit
	// of over three seconds lets three keep-alive probes pass.
	backendSilenceLimit = 3200 * time.Millisecond
)

// Detour opens connections to backend servers through other hosts.
type Detour interface {
	// HasPeers reports whether there is another host to ask.
	HasPeers() bool
	// Dial opens a connection. The error tells with Refused whether nobody listens.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Refused reports whether an error of Dial says that nobody listens.
	Refused(err error) bool
}

// noDetour is the Detour of a process that knows no other hosts.
type noDetour struct{}

func (noDetour) HasPeers() bool                                 { return false }
func (noDetour) Dial(context.Context, string) (net.Conn, error) { return nil, ErrNotConnected }
func (noDetour) Refused(error) bool                             { return false }

// paths knows to which addresses there is no direct path although the backend
// server accepts connections. A path counts as cut only after a connection was
// opened another way, because a server that has ended refuses connections too.
// Its lock is held for a few instructions only.
type paths struct {
	mu        sync.Mutex
	byAddress map[string]*path
}

type path struct {
	cut         bool
	cutSince    time.Time
	opened      time.Time // when a direct connection was opened last
	detourPause time.Time // no other way is tried until then
}

func newPaths() *paths { return &paths{byAddress: map[string]*path{}} }

// at returns the path to an address. The caller holds the lock.
func (p *paths) at(address string) *path {
	known := p.byAddress[address]
	if known == nil {
		known = &path{}
		p.byAddress[address] = known
	}
	return known
}

// cut reports whether there is no direct path to the address, or probably none
// because the whole host is cut off.
func (p *paths) cut(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddress[address]
	return known != nil && known.cut || p.hostCut(now)
}

// hostCutOff reports whether this host reaches at most half of the backend servers that
// it tried to reach since the first path was cut.
func (p *paths) hostCutOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hostCut(now)
}

// hostCut compares the paths that are cut with those over which a connection was
// opened since the first of them was: what was open before says nothing.
func (p *paths) hostCut(now time.Time) bool {
	cut, since := 0, now
	for _, known := range p.byAddress {
		if known.cut {
			cut++
			if known.cutSince.Before(since) {
				since = known.cutSince
			}
		}
	}
	open := 0
	for _, known := range p.byAddress {
		if !known.cut && known.opened.After(since) && now.Sub(known.opened) < pathMemory {
			open++
		}
	}
	return cut >= minCutPaths && cut >= open
}

// noteOpened notes a direct connection. It reports whether the path was cut.
func (p *paths) noteOpened(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.at(address)
	was := known.cut
	known.cut, known.opened, known.detourPause = false, now, time.Time{}
	return was
}

// noteCut notes that only another host reaches the address. It reports whether that is
// new.
func (p *paths) noteCut(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.at(address)
	if known.cut {
		return false
	}
	known.cut, known.cutSince = true, now
	return true
}

// noteUnreachable notes that no other host reached the address either.
func (p *paths) noteUnreachable(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.at(address)
	known.cut, known.detourPause = false, now.Add(detourPause)
}

// mayDetour reports whether another way to the address is worth a try.
func (p *paths) mayDetour(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddress[address]
	return known == nil || !now.Before(known.detourPause)
}

// cutAddresses returns the addresses whose paths are cut. It forgets those that were
// not used for a while, whose servers may have gone.
func (p *paths) cutAddresses(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var cut []string
	for address, known := range p.byAddress {
		switch {
		case known.cut:
			cut = append(cut, address)
		case now.Sub(known.opened) > pathMemory && now.After(known.detourPause):
			delete(p.byAddress, address)
		}
	}
	return cut
}

// CutOff reports whether this host reaches at most half of the backend servers that it
// tried to reach lately, although others reach them.
func (p *Pool) CutOff() bool { return p.paths.hostCutOff(time.Now()) }

// open opens a connection, directly or, if that fails, through another host. The error
// is that of the direct try.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	if !p.detour.HasPeers() {
		return p.openDirect(ctx, address, netdial.ConnectTimeout)
	}
	if p.paths.cut(address, time.Now()) {
		if c, err := p.openDetour(ctx, address); err == nil {
			return c, nil
		}
	}
	c, err := p.openDirect(ctx, address, detourAfter)
	if err == nil || ctx.Err() != nil || !p.paths.mayDetour(address, time.Now()) {
		return c, err
	}
	c, detourErr := p.openDetour(ctx, address)
	if detourErr != nil {
		return nil, err
	}
	if reachability(err) == Silent {
		p.closeSilent(address)
	}
	return c, nil
}

// closeSilent closes the idle connections over a path on which nothing arrives, and
// all of them if the host is cut off: each would cost a request the time until its
// loss is noticed. A path that only refuses new connections keeps those it has.
func (p *Pool) closeSilent(address string) {
	p.CloseIdle(address)
	if !p.CutOff() {
		return
	}
	p.mu.Lock()
	addresses := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	for _, other := range addresses {
		p.CloseIdle(other)
	}
}

func (p *Pool) openDirect(ctx context.Context, address string, limit time.Duration) (*conn, error) {
	socket, err := p.dial(ctx, address, limit)
	if err != nil {
		return nil, errors.Join(ErrNotConnected, err)
	}
	if p.paths.noteOpened(address, time.Now()) {
		p.log.Info("upstream: direct path to backend server regained", "address", address)
	}
	return newConn(socket, address), nil
}

// openDetour opens a connection through another host.
func (p *Pool) openDetour(ctx context.Context, address string) (*conn, error) {
	socket, err := p.detour.Dial(ctx, address)
	if err != nil {
		if ctx.Err() == nil {
			p.paths.noteUnreachable(address, time.Now())
		}
		return nil, errors.Join(ErrNotConnected, err)
	}
	if p.paths.noteCut(address, time.Now()) {
		p.log.Warn("upstream: no direct path to backend server, another front reaches it", "address", address, "cut_off", p.CutOff())
	}
	c := newConn(socket, address)
	c.detour = true
	return c, nil
}

// runPathChecks is the goroutine that tries cut paths again.
func (p *Pool) runPathChecks(ctx context.Context) error {
	ticker := time.NewTicker(pathCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.checkPaths(ctx, p.paths.cutAddresses(now))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// checkPaths tries cut paths until some of them have failed. A path that another host
// does not have either is not cut: its server has ended.
func (p *Pool) checkPaths(ctx context.Context, addresses []string) {
	failed := 0
	for _, address := range addresses {
		c, err := p.openDirect(ctx, address, detourAfter)
		if err != nil {
			if other, err := p.openDetour(ctx, address); err == nil {
				_ = other.Close() // it was opened only to see whether the server accepts it
			}
			if failed++; failed == maxFailedChecks {
				return
			}
			continue
		}
		p.count(c)
		p.putIdle(c)
	}
}

// Probe tries to connect to the address. A connection that it opens is kept as an
// idle one. If there is no direct path, another host is asked whether the server
// accepts connections.
func (p *Pool) Probe(ctx context.Context, address string) Reachability {
	limit, mayAsk := netdial.ConnectTimeout, p.detour.HasPeers()
	if mayAsk {
		limit = detourAfter
	}
	c, err := p.openDirect(ctx, address, limit)
	if err == nil {
		p.count(c)
		p.putIdle(c)
		return Accepting
	}
	if !mayAsk {
		return reachability(err)
	}
	other, detourErr := p.openDetour(ctx, address)
	switch {
	case detourErr == nil:
		_ = other.Close() // it was opened only to see whether the server accepts it
		return CutOff
	case reachability(err) == Refusing && (p.detour.Refused(detourErr) || !p.CutOff()):
		return Refusing // a host that is cut off may be refused although the server listens
	}
	return Silent
}
