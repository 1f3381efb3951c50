package clientlimits

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/ring"
)

const (
	// passInterval is the least time between two passes over the connections.
	passInterval = 250 * time.Millisecond
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
	passes         *metrics.Counter
	// nextPass is when the duty goes over the connections next, in ns of Unix time;
	// never if nothing can be overdue. planned tells the duty that it is earlier now; a
	// full ring has told it already.
	nextPass atomic.Int64
	planned  *ring.Ring[struct{}]

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
		maxConnections: max(1, min(descriptors, int(memory/connectionBytes))), planned: ring.New[struct{}](1),
		passes: set.GetOrCreateCounter(fmt.Sprintf(`dogwoodline_client_limit_passes_total{clients=%q}`, name)),
	}
	b.nextPass.Store(never)
	b.limits.Store(&Defaults)
	for cause := range b.closed {
		b.closed[cause] = set.GetOrCreateCounter(fmt.Sprintf(`dogwoodline_client_connections_closed_total{clients=%q,cause=%q}`, name, Cause(cause)))
	}
	set.GetOrCreateGauge(fmt.Sprintf(`dogwoodline_client_connections{clients=%q}`, name), func() float64 {
		b.snapshot() // drops connections that grpc-go has closed
		return float64(b.count())
	})
	set.GetOrCreateGauge(fmt.Sprintf(`dogwoodline_client_head_bytes{clients=%q}`, name), func() float64 { return float64(b.headBytes.Load()) })
	return b
}

// SetLimits replaces the limits, also for open connections.
func (b *Budget) SetLimits(limits Limits) {
	b.limits.Store(&limits)
	b.planPass(time.Now().Add(passInterval))
}

// never is the time of a pass that is not planned.
const never = math.MaxInt64

// planPass has the duty go over the connections at the given time or earlier.
func (b *Budget) planPass(at time.Time) {
	for {
		planned := b.nextPass.Load()
		if planned <= at.UnixNano() {
			return
		}
		if b.nextPass.CompareAndSwap(planned, at.UnixNano()) {
			break
		}
	}
	_ = b.planned.TryPush(struct{}{}) // fails if the duty has not looked at the last change yet
}

func (b *Budget) untilPass() time.Duration { return time.Until(time.Unix(0, b.nextPass.Load())) }

// countClosed counts a connection that is closed, and has it reported.
func (b *Budget) countClosed(cause Cause) {
	b.closed[cause].Inc()
	b.planPass(time.Now().Add(passInterval))
}

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
		b.countClosed(Refused)
		return false
	}
	b.connections[c] = struct{}{}
	b.planPass(b.limits.Load().NextOverdue(c.state(), time.Now()))
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

// Run closes connections that are overdue and reports what was closed, until ctx ends. It
// sleeps while no connection can be overdue and there is nothing to report.
func (b *Budget) Run(ctx context.Context) error {
	timer := time.NewTimer(b.untilPass())
	defer timer.Stop()
	var reported [causes]uint64
	var lastReport time.Time
	for {
		select {
		case <-b.planned.Ready():
			b.planned.TryPop()
			timer.Reset(b.untilPass())
			continue
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		b.nextPass.Store(never)
		now := time.Now()
		open := b.pass(now)
		if now.Sub(lastReport) >= reportInterval {
			if b.report(&reported, open) {
				lastReport = now
			}
		} else if b.unreported(reported) {
			b.planPass(lastReport.Add(reportInterval))
		}
	}
}

// pass closes connections that are overdue and plans the next pass. It returns how many
// connections there were.
func (b *Budget) pass(now time.Time) (open int) {
	b.passes.Inc()
	connections, states := b.snapshot()
	limits := b.limits.Load()
	for i, s := range states {
		if cause := limits.Overdue(s, now); cause != None {
			connections[i].closeFor(cause)
			continue
		}
		next := limits.NextOverdue(s, now)
		if earliest := now.Add(passInterval); next.Before(earliest) {
			next = earliest
		}
		b.planPass(next)
	}
	return len(states)
}

// report writes a line for each cause for which connections were closed since the last
// report, and tells whether there were any.
func (b *Budget) report(reported *[causes]uint64, open int) (written bool) {
	for cause := range b.closed {
		total := b.closed[cause].Get()
		if count := total - reported[cause]; count > 0 && Cause(cause) != Idle {
			written = true
			b.log.Warn("clientlimits: connections closed or refused", "clients", b.name, "cause", Cause(cause).String(), "count", count,
				"open", open, "most", b.maxConnections)
		}
		reported[cause] = total
	}
	return written
}

// unreported tells whether report would write a line. Idle connections are closed in
// ordinary operation and not reported.
func (b *Budget) unreported(reported [causes]uint64) bool {
	for cause := range b.closed {
		if Cause(cause) != Idle && b.closed[cause].Get() > reported[cause] {
			return true
		}
	}
	return false
}
