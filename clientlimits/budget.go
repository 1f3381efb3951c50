package clientlimits

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// sweepInterval is how often connections are checked for time-outs.
	sweepInterval = 250 * time.Millisecond
	// reportInterval is the least time between two log lines of one cause.
	reportInterval = time.Second
	// connectionBytes is the memory that one connection takes without a head: the
	// goroutine's stack and the buffers for reading and writing.
	connectionBytes = 16 << 10
	// headShare is the fraction of the memory for connections that incomplete heads may
	// hold in addition to it.
	headShare = 0.25
	// victimShare is the inverse of the fraction of all connections that are closed at
	// once to make room, so that a flood does not sort all of them for each newcomer.
	victimShare = 16
)

// Budget bounds the connections of one kind of clients, at one or more addresses.
type Budget struct {
	log            *slog.Logger
	name           string
	maxConnections int
	maxHeadBytes   int64
	limits         atomic.Pointer[Limits]
	headBytes      atomic.Int64
	closed         [causes]*metrics.Counter

	// mu is held for a few instructions by the goroutines of net/http and grpc-go that
	// open and close connections, and by the duty for one pass over them.
	mu          sync.Mutex
	connections map[*Conn]struct{}
}

// NewBudget returns a budget of the given numbers of descriptors and bytes. Its name
// stands in logs and metrics.
func NewBudget(name string, descriptors int, memory int64, log *slog.Logger, set *metrics.Set) *Budget {
	b := &Budget{
		log: log, name: name, connections: map[*Conn]struct{}{}, maxHeadBytes: int64(headShare * float64(memory)),
		maxConnections: max(1, min(descriptors, int(memory/connectionBytes))),
	}
	b.limits.Store(&Defaults)
	for cause := range b.closed {
		b.closed[cause] = set.GetOrCreateCounter(fmt.Sprintf(`dogwoodline_client_connections_closed_total{clients=%q,cause=%q}`, name, Cause(cause)))
	}
	set.GetOrCreateGauge(fmt.Sprintf(`dogwoodline_client_connections{clients=%q}`, name), func() float64 { return float64(b.count()) })
	set.GetOrCreateGauge(fmt.Sprintf(`dogwoodline_client_head_bytes{clients=%q}`, name), func() float64 { return float64(b.headBytes.Load()) })
	return b
}

// SetLimits replaces the limits, also for open connections.
func (b *Budget) SetLimits(limits Limits) { b.limits.Store(&limits) }

func (b *Budget) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.connections)
}

// admit counts a new connection. It reports false if there is no room for it.
func (b *Budget) admit(c *Conn) bool {
	if b.count() >= b.maxConnections {
		b.makeRoom()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.connections) >= b.maxConnections {
		b.closed[Refused].Inc()
		return false
	}
	b.connections[c] = struct{}{}
	return true
}

func (b *Budget) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.connections, c)
}

// snapshot returns the connections and their states.
func (b *Budget) snapshot() ([]*Conn, []State) {
	b.mu.Lock()
	connections := slices.AppendSeq(make([]*Conn, 0, len(b.connections)), maps.Keys(b.connections))
	b.mu.Unlock()
	states := make([]State, 0, len(connections))
	for _, c := range connections {
		c.refresh()
		states = append(states, c.state())
	}
	return connections, states
}

// makeRoom closes some connections without a complete request.
func (b *Budget) makeRoom() {
	connections, states := b.snapshot()
	for _, i := range Victims(states, time.Now(), 1+len(states)/victimShare) {
		connections[i].closeFor(MadeRoom)
	}
}

// Run closes connections that are overdue and reports what was closed, until ctx ends.
func (b *Budget) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var reported [causes]uint64
	var lastReport time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := time.Now()
		connections, states := b.snapshot()
		for i, s := range states {
			if cause := b.limits.Load().Overdue(s, now); cause != None {
				connections[i].closeFor(cause)
			}
		}
		if now.Sub(lastReport) >= reportInterval {
			lastReport = now
			b.report(&reported, len(states))
		}
	}
}

// report writes a line for each cause for which connections were closed since the last
// report. Idle connections are closed in ordinary operation.
func (b *Budget) report(reported *[causes]uint64, open int) {
	for cause := range b.closed {
		total := b.closed[cause].Get()
		if count := total - reported[cause]; count > 0 && Cause(cause) != Idle {
			b.log.Warn("clientlimits: connections closed or refused", "clients", b.name, "cause", Cause(cause).String(), "count", count,
				"open", open, "most", b.maxConnections)
		}
		reported[cause] = total
	}
}
