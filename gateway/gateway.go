// Package gateway is the HTTP reverse proxy of a front: it accepts client
// requests, chooses a backend server for each and forwards the response.
//
// Each request passes through three kinds of goroutines, connected by rings
// (bounded queues). The net/http handler decodes the request, pushes it to the
// scheduler and writes what arrives on the request's own ring to the client.
// The scheduler, a single goroutine that owns the fleet, chooses the backend
// server. A fixed number of call workers exchange requests and responses with
// the backend servers.
package gateway

import (
	"cmp"
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

// Settings configures a gateway.
type Settings struct {
	// Address is the address under which clients reach this front.
	Address string
	// Zone is the availability zone of this front.
	Zone string
	// CallWorkers is the number of call workers, and thus the limit of concurrent
	// calls to backend servers.
	CallWorkers int
	// AnswerBytes is the limit of the bytes that the answers of all calls hold in
	// memory; 0 means defaultAnswerBytes.
	AnswerBytes int64
	// RequestBytes is the limit of the bytes that the bodies of all requests hold in
	// memory; 0 means defaultRequestBytes.
	RequestBytes int64
	// AddressTTL is how long a client may cache the list of fronts.
	AddressTTL time.Duration
	// MaxAddresses is the maximum length of that list.
	MaxAddresses int
	// Dial opens a direct connection to a backend server; nil for one over TCP.
	Dial upstream.Dial
	// Detour opens connections to backend servers through other fronts; nil for none.
	Detour Detour
	// Incarnations reads which incarnation of a backend server answers; nil if none says.
	Incarnations upstream.Incarnations
	// Quota bounds the requests of organisations over all fronts; nil for no bound.
	Quota Quota
	// MaxTableAge is the time after the last ConfirmTable in which the table is taken for the
	// operator's newest; 0 means always.
	MaxTableAge time.Duration
	// ContendedCapacity says that callers compete for places at backend servers.
	ContendedCapacity bool
}

// defaultAnswerBytes is the limit of the bytes of all answers if the settings
// have none.
const defaultAnswerBytes = 16 << 20

// defaultRequestBytes is the limit of the bytes of all requests if the settings
// have none.
const defaultRequestBytes = 32 << 20

// Gateway is the HTTP handler that serves client requests.
type Gateway struct {
	settings  Settings
	log       *slog.Logger
	set       *metrics.Set
	decode    RequestDecoder
	turnStore TurnStore
	scheduler *Scheduler
	pool      *upstream.Pool

	answerBudget   *answerBudget
	requestBudget  *requestBudget
	table          atomic.Pointer[route.Table]
	fronts         atomic.Pointer[[]Front]
	cutOff         atomic.Pointer[map[string]bool] // addresses of fronts that are cut off from backend servers
	tableConfirmed atomic.Pointer[time.Time]       // when the table was last known to be the newest
	draining       atomic.Bool
	stopPlan       atomic.Pointer[stopPlan]
	ended          context.Context // done at the end of a planned stop
	end            context.CancelFunc
	activeRequests atomic.Int64
	keyLines       lineLimit // of requests without a known key
}

// New returns a gateway whose scheduler and call workers run in group.
func New(group *duty.Group, log *slog.Logger, set *metrics.Set, settings Settings, decode RequestDecoder, codec Codec, turnStore TurnStore) *Gateway {
	g := &Gateway{settings: settings, log: log, set: set, decode: decode, turnStore: turnStore}
	g.ended, g.end = context.WithCancel(context.Background())
	g.fronts.Store(&[]Front{})
	g.cutOff.Store(&map[string]bool{})
	g.answerBudget = newAnswerBudget(cmp.Or(settings.AnswerBytes, defaultAnswerBytes))
	g.requestBudget = newRequestBudget(cmp.Or(settings.RequestBytes, defaultRequestBytes))
	poolSettings := upstream.Settings{Dial: settings.Dial, Incarnations: settings.Incarnations, Log: log}
	if settings.Detour != nil {
		poolSettings.Detour = settings.Detour
	}
	g.pool = upstream.NewPool(group, codec, poolSettings)
	attempts := ring.New[attempt](settings.CallWorkers)
	g.scheduler = newScheduler(group, log, settings.Address, settings.Zone, attempts, g.pool, turnStore)
	g.scheduler.contendedCapacity = settings.ContendedCapacity
	for range settings.CallWorkers {
		c := &callWorker{attempts: attempts, messages: g.scheduler.messages, pool: g.pool, codec: codec, turnStore: turnStore, log: log}
		group.Go("caller", c.run)
	}
	group.Go("reachability", newReachability(g).run)
	group.RegisterGauge("dogwoodline_cut_off", func() int { return len(*g.cutOff.Load()) })
	group.RegisterGauge("dogwoodline_requests_running", func() int { return int(g.activeRequests.Load()) })
	group.RegisterGauge("dogwoodline_upstream_connections", func() int { open, _ := g.pool.ConnCounts(); return open })
	group.RegisterGauge("dogwoodline_upstream_dials_total", func() int { _, dialled := g.pool.ConnCounts(); return dialled })
	group.RegisterGauge("dogwoodline_upstream_responses_skipped_total", g.pool.SkippedResponses)
	group.RegisterGauge("dogwoodline_answer_bytes", func() int { used, _ := g.answerBudget.counts(); return int(used) })
	group.RegisterGauge("dogwoodline_answers_given_up_total", func() int { _, stopped := g.answerBudget.counts(); return stopped })
	group.RegisterGauge("dogwoodline_request_bytes", func() int { return int(g.requestBudget.held.Load()) })
	group.RegisterGauge("dogwoodline_config_version", func() int { return int(g.version()) })
	return g
}

// UpdateFleet passes a change of the registered backend servers to the scheduler.
func (g *Gateway) UpdateFleet(ctx context.Context, update FleetUpdate) error {
	return g.scheduler.UpdateFleet(ctx, update)
}

// SetTable puts a configuration into effect. A version that is not newer than
// the current one is ignored, so that a running process never reverts to an
// older configuration. It reports whether the table is in effect.
func (g *Gateway) SetTable(table *route.Table) bool {
	for {
		current := g.table.Load()
		if current != nil && table.Version <= current.Version {
			g.log.Info("gateway: configuration ignored, it is not newer", "version", table.Version, "in_force", current.Version)
			return false
		}
		if g.table.CompareAndSwap(current, table) {
			g.log.Info("gateway: configuration in force", "version", table.Version, "routes", table.RouteCount(), "organisations", len(table.Organisations))
			g.dropOrganisationCounters(current, table)
			return true
		}
	}
}

// ConfirmTable records that this front knows the configuration that was the newest at the
// given time. Until the first call, and when that time is longer ago than MaxTableAge, a key that the table lacks may be
// in force.
func (g *Gateway) ConfirmTable(at time.Time) { g.tableConfirmed.Store(&at) }

// tableMayBeOld reports whether the operator may have changed the configuration without
// this front knowing it in time.
func (g *Gateway) tableMayBeOld(now time.Time) bool {
	if g.settings.MaxTableAge <= 0 {
		return false
	}
	confirmed := g.tableConfirmed.Load()
	return confirmed == nil || now.Sub(*confirmed) > g.settings.MaxTableAge
}

func (g *Gateway) version() int64 {
	if table := g.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// SetFronts replaces the list of known fronts.
func (g *Gateway) SetFronts(ctx context.Context, fronts []Front) error {
	g.fronts.Store(&fronts)
	return g.refreshFronts(ctx)
}

// Drain starts a planned stop: the front is no longer ready, and further
// responses close their connections. From the time moved on, when clients know
// other fronts, a request is refused if its time reaches beyond end, when the
// process exits. Requests that have no response by then get one that says whether
// they may have run.
func (g *Gateway) Drain(moved, end time.Time) {
	g.stopPlan.Store(&stopPlan{moved: moved, end: end})
	g.draining.Store(true)
	time.AfterFunc(time.Until(end), g.end)
}

// stopPlan says when the clients of a stopping front know others, and when it exits.
type stopPlan struct{ moved, end time.Time }

// refuses reports whether a request that must be answered by the deadline comes too
// late in a planned stop.
func (p *stopPlan) refuses(arrived, deadline time.Time) bool {
	return p != nil && arrived.After(p.moved) && deadline.After(p.end)
}

// ServerStatistics returns the topic by which the fronts share what they measure of
// backend servers.
func (g *Gateway) ServerStatistics() *ServerStatistics { return g.scheduler.statistics }

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// ActiveRequests returns the number of requests being served.
func (g *Gateway) ActiveRequests() int { return int(g.activeRequests.Load()) }

// Ready reports whether clients should use this front.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.table.Load() != nil && g.scheduler.backendCount.Load() > 0 && g.turnStore.Serving()
}
