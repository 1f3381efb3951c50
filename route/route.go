// Package route holds the operator's route configuration and finds the route of a
// request by host and path prefix.
//
// A Table is immutable once built, so it is safe for concurrent use.
package route

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the class of a route's requests. It determines whether a request may be
// sent again after it may have run.
type Kind string

const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once for each attempt of the client.
	Unsafe Kind = "unsafe"
	// Streaming requests get a stream of events as their response. They run at
	// most once unless the route is resumable.
	Streaming Kind = "streaming"
)

// Share assigns a fraction of a route's requests to a service: its weight divided
// by the sum of the weights of the route.
type Share struct {
	Service string
	Weight  int
}

// Route states to which services the requests for one host and path prefix go,
// and the rules for timeouts, retries and retention that apply to them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a client's request may wait for its
	// response.
	Timeout time.Duration
	// LatencyObjective is the time within which the first response must arrive
	// for the request to count in full.
	LatencyObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Shares has at least one entry.
	Shares []Share
	// MaxBackendServers is the largest number of backend servers on which one
	// attempt of the client may run; 0 means that the operator set no limit.
	MaxBackendServers int
	// RetainTurns makes the system store the turns of conversations.
	RetainTurns bool
	// Retention is how long a stored turn is kept.
	Retention time.Duration
	// Sticky makes the scheduler prefer a backend server that has handled the same
	// conversation, session or object before, because it serves the request faster.
	Sticky bool
	// Resumable allows a stream to continue on another backend server.
	Resumable bool
	// Public says that requests need no key of an organisation.
	Public bool
	// MaxEventGap is the longest pause between two events of a stream that still
	// counts as on time.
	MaxEventGap time.Duration
}

// MayRepeat reports whether a request may be sent again although it may have run
// already.
func (r *Route) MayRepeat() bool { return r.Kind == Safe }

// PickService picks the service for a request by weight. The draw is a random
// number between 0 and 1.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := draw * float64(total)
	for _, share := range r.Shares {
		remaining -= float64(share.Weight)
		if remaining < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Allows reports whether the route sends requests to a service.
func (r *Route) Allows(service string) bool {
	for _, share := range r.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// Engine describes the capacity of each model server of a service.
type Engine struct {
	// Slots is the number of requests that a model server processes in one batch.
	Slots int
	// KVCacheTokens is the size of the KV cache in tokens.
	KVCacheTokens int
	// TokensPerEvent is the number of generated tokens in each event of a stream.
	TokensPerEvent int
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one backend server accepts
	// from all callers together.
	MaxConns int
	// Engine is nil for services that are not model servers.
	Engine *Engine
}

// Limits bounds the requests of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the operator's configuration.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// Organisations are the customer organisations by name; nil if the configuration has
	// none.
	Organisations map[string]*Organisation

	index           *OrganisationIndex // nil if the configuration has no organisations
	routePriorities []int              // that occur, the most urgent first
	byHost          map[string][]Route // longest prefix first
}

// NewTable returns a table with the given routes, services and limits.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, byHost: map[string][]Route{}}
	for _, service := range services {
		t.Services[service.Name] = service
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		t.routePriorities = append(t.routePriorities, r.Priority)
	}
	slices.Sort(t.routePriorities)
	t.routePriorities = slices.Compact(t.routePriorities)
	for _, hostRoutes := range t.byHost {
		sort.SliceStable(hostRoutes, func(a, b int) bool { return len(hostRoutes[a].Prefix) > len(hostRoutes[b].Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	hostRoutes := t.byHost[host]
	for i := range hostRoutes {
		if strings.HasPrefix(path, hostRoutes[i].Prefix) {
			return &hostRoutes[i], true
		}
	}
	return nil, false
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, hostRoutes := range t.byHost {
		count += len(hostRoutes)
	}
	return count
}
