// Package gateway takes requests of clients, has the scheduler choose backend
// servers for them, and passes the answers on.
//
// The goroutines of net/http decode a request, push it onto the ring of the
// scheduler duty and encode what arrives on the request's own ring. The
// scheduler owns the fleet and decides; a fixed number of caller duties talk
// to backend servers.
package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/duty"
	"dogwoodline.example/ring"
	"dogwoodline.example/route"
	"dogwoodline.example/upstream"
)

// Settings of a gateway.
type Settings struct {
	// Address is where this front takes requests.
	Address string
	Zone    string
	// Callers is the number of calls that run at once.
	Callers int
	// AddressTTL is how long a client may keep the list of fronts.
	AddressTTL time.Duration
	// MostAddresses bounds the list of fronts.
	MostAddresses int
}

// Gateway is the front's side towards clients.
type Gateway struct {
	settings  Settings
	log       *slog.Logger
	set       *metrics.Set
	decode    Decoder
	keeper    Keeper
	scheduler *Scheduler
	pool      *upstream.Pool

	table    atomic.Pointer[route.Table]
	fronts   atomic.Pointer[[]Front]
	draining atomic.Bool
	running  atomic.Int64
}

// New returns a gateway whose duties run in group.
func New(group *duty.Group, log *slog.Logger, set *metrics.Set, settings Settings, decode Decoder, codec Codec, keeper Keeper) *Gateway {
	g := &Gateway{settings: settings, log: log, set: set, decode: decode, keeper: keeper}
	g.fronts.Store(&[]Front{})
	g.pool = upstream.NewPool(group, codec)
	attempts := ring.New[attempt](settings.Callers)
	g.scheduler = newScheduler(group, log, settings.Zone, attempts, g.pool, keeper)
	for range settings.Callers {
		c := &caller{attempts: attempts, ends: g.scheduler.items, pool: g.pool, codec: codec}
		group.Go("caller", c.run)
	}
	group.Gauge("dogwoodline_requests_running", func() int { return int(g.running.Load()) })
	group.Gauge("dogwoodline_upstream_connections", func() int { open, _ := g.pool.Open(); return open })
	group.Gauge("dogwoodline_upstream_dials_total", func() int { _, dialled := g.pool.Open(); return dialled })
	group.Gauge("dogwoodline_config_version", func() int { return int(g.version()) })
	return g
}

// Learn tells the scheduler about backend servers.
func (g *Gateway) Learn(ctx context.Context, news FleetNews) error {
	return g.scheduler.Learn(ctx, news)
}

// SetTable brings a configuration into force. Older ones are ignored, so that
// nothing goes back while the process runs.
func (g *Gateway) SetTable(table *route.Table) {
	for {
		known := g.table.Load()
		if known != nil && table.Version <= known.Version {
			g.log.Info("gateway: configuration ignored", "version", table.Version, "in_force", known.Version)
			return
		}
		if g.table.CompareAndSwap(known, table) {
			g.log.Info("gateway: configuration in force", "version", table.Version, "routes", table.Routes())
			return
		}
	}
}

func (g *Gateway) version() int64 {
	if table := g.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// SetFronts replaces the list of fronts that clients may use.
func (g *Gateway) SetFronts(fronts []Front) {
	g.fronts.Store(&fronts)
	g.scheduler.fronts.Store(int64(len(listed(fronts, g.scheduler.slots()))))
}

// Drain begins a planned stop: the front is no longer ready, and answers end
// their connections.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Stopping reports whether Drain was called.
func (g *Gateway) Stopping() bool { return g.draining.Load() }

// Running is the number of requests that are being served.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Ready reports whether clients should use this front.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.table.Load() != nil && g.scheduler.size.Load() > 0 && g.keeper.Serving()
}
