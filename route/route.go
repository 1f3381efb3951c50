// Package route holds the operator's configuration of request routes and
// finds the route of a request.
//
// A Table is immutable once built, so that any number of readers may share it.
package route

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once for each attempt of the client.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by a series of events. They run at most
	// once unless the route is resumable.
	Streaming Kind = "streaming"
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says where requests of one host and path prefix go and how they may
// be treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Objective is the time within which the first answer counts in full.
	Objective time.Duration
	// Priority ranks routes; 0 goes first.
	Priority int
	// Shares has at least one entry.
	Shares []Share
	// MaxServers is the number of backend servers on which one attempt of the
	// client may run; 0 means that the operator set no limit.
	MaxServers int
	// RetainTurns says that the system keeps the conversation.
	RetainTurns bool
	// Retention is how long a turn is kept.
	Retention time.Duration
	// Sticky routes are served faster by a backend server that has handled
	// the same session or object.
	Sticky bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// MaxPause is the longest pause between events of a stream that is on time.
	MaxPause time.Duration
}

// MayRepeat reports whether a request may run again after it may have run.
func (r *Route) MayRepeat() bool { return r.Kind == Safe }

// Service returns the service for a request whose draw is between 0 and 1.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	left := draw * float64(total)
	for _, share := range r.Shares {
		left -= float64(share.Weight)
		if left < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is the size of the KV cache.
	MemoryTokens int
	// TokensPerEvent is the number of generated tokens in each event.
	TokensPerEvent int
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one backend server accepts
	// from all callers together.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a client may send.
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

	byHost map[string][]Route
}

// NewTable returns a table of the routes.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, byHost: map[string][]Route{}}
	for _, service := range services {
		t.Services[service.Name] = service
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, group := range t.byHost {
		sort.SliceStable(group, func(a, b int) bool { return len(group[a].Prefix) > len(group[b].Prefix) })
	}
	return t
}

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	group := t.byHost[host]
	for i := range group {
		if strings.HasPrefix(path, group[i].Prefix) {
			return &group[i], true
		}
	}
	return nil, false
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	count := 0
	for _, group := range t.byHost {
		count += len(group)
	}
	return count
}
