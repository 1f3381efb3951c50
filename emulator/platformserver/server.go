// Package platformserver is a stand-in for the platform. It serves a key-value
// store, a host list and a weight store over HTTP, limits the rate of calls and
// injects faults on request.
//
// Tests serve Handler in their own process; Listen starts a standalone server.
// Faults and limits can also be set over HTTP under /admin, which faults do not
// affect.
package platformserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
)

const (
	// The platform accepts several hundred writes and about 2,000 reads per
	// second (design page, section 1.4).
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	// defaultHostLag is the delay after which callers see a new host list.
	defaultHostLag = time.Second
	// defaultWeightRate is the weight store's rate in bytes per second.
	defaultWeightRate = 2 << 30
)

// Limits holds the rate limits and delays of the platform, as in
// PUT /admin/limits. Fields that are not positive take their default.
type Limits struct {
	WritesPerSecond      float64 `json:"writes_per_second"`
	ReadsPerSecond       float64 `json:"reads_per_second"`
	HostLagMS            int64   `json:"host_lag_ms"`
	WeightBytesPerSecond float64 `json:"weight_bytes_per_second"`
}

// Settings holds the settings of a server.
type Settings struct {
	// Clock provides the time for leases, limits and delays. The default is
	// the real clock.
	Clock clockwork.Clock
	// Seed seeds the random choice of lost responses; see
	// Faults.LoseProbability.
	Seed   uint64
	Limits Limits
	// WrapListener, if not nil, wraps the listener of the platform's API, for example
	// to count bytes.
	WrapListener func(net.Listener) net.Listener
}

// Server is a stand-in for the platform. As in the real platform, the goroutines
// of all connections share its state.
type Server struct {
	clock  clockwork.Clock
	store  *memstore.Store
	faults *faults
	writes *rate.Limiter
	reads  *rate.Limiter
	wrap   func(net.Listener) net.Listener

	mu            sync.Mutex
	limits        Limits
	counters      map[string]int64
	hosts         []hostListChange
	weightsFreeAt time.Time // time at which the weight store has served all reservations
	listener      *listener
}

// hostListChange is a host list and the time at which it was set.
type hostListChange struct {
	at    time.Time
	hosts []kvstore.Host
}

// New returns a server with an empty store.
func New(settings Settings) *Server {
	clock := settings.Clock
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	s := &Server{
		clock:    clock,
		store:    memstore.New(clock),
		faults:   newFaults(settings.Seed),
		counters: map[string]int64{},
		limits:   withDefaults(settings.Limits),
		wrap:     settings.WrapListener,
	}
	s.writes = newLimiter(s.limits.WritesPerSecond)
	s.reads = newLimiter(s.limits.ReadsPerSecond)
	return s
}

// Store returns the underlying store. Calls to it bypass limits and faults.
func (s *Server) Store() *memstore.Store { return s.store }

// SetFaults replaces all fault settings. The start of an outage ends the watches
// that are waiting. It fails if the listener cannot be reopened after an outage.
func (s *Server) SetFaults(next Faults) error {
	s.faults.set(next)
	s.mu.Lock()
	current := s.listener
	s.mu.Unlock()
	if current == nil {
		return nil
	}
	return current.setRefusing(next.Outage == OutageRefuse)
}

// Faults returns the current fault settings. LoseAnswers is the number of
// responses still to be lost.
func (s *Server) Faults() Faults {
	current, _ := s.faults.get()
	return current
}

// SetLimits replaces the limits. A burst of as many calls as are allowed per
// second is accepted.
func (s *Server) SetLimits(limits Limits) {
	limits = withDefaults(limits)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	setRate(s.writes, s.clock.Now(), limits.WritesPerSecond)
	setRate(s.reads, s.clock.Now(), limits.ReadsPerSecond)
}

func withDefaults(limits Limits) Limits {
	if limits.WritesPerSecond <= 0 {
		limits.WritesPerSecond = defaultWritesPerSecond
	}
	if limits.ReadsPerSecond <= 0 {
		limits.ReadsPerSecond = defaultReadsPerSecond
	}
	if limits.HostLagMS <= 0 {
		limits.HostLagMS = defaultHostLag.Milliseconds()
	}
	if limits.WeightBytesPerSecond <= 0 {
		limits.WeightBytesPerSecond = defaultWeightRate
	}
	return limits
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
}

func setRate(limiter *rate.Limiter, now time.Time, perSecond float64) {
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, burst(perSecond))
}

func burst(perSecond float64) int { return max(1, int(perSecond)) }

// SetHosts replaces the host list. Callers see it after Limits.HostLagMS.
func (s *Server) SetHosts(hosts []kvstore.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostListChange{at: s.clock.Now(), hosts: hosts})
}

// Hosts returns the host list that callers see now.
func (s *Server) Hosts() []kvstore.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleUntil := s.clock.Now().Add(-time.Duration(s.limits.HostLagMS) * time.Millisecond)
	current := 0
	for i, entry := range s.hosts {
		if !entry.at.After(visibleUntil) {
			current = i
		}
	}
	s.hosts = s.hosts[current:]
	if len(s.hosts) == 0 || s.hosts[0].at.After(visibleUntil) {
		return []kvstore.Host{}
	}
	return s.hosts[0].hosts
}

// Counters returns the number of calls by kind, rate-limited ones included, and
// the numbers of rate-limited and dropped calls and of lost responses.
func (s *Server) Counters() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := make(map[string]int64, len(s.counters))
	for kind, count := range s.counters {
		counters[kind] = count
	}
	return counters
}

// Handler returns a handler for the platform's API and the /admin interface.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Mount("/admin", s.admin())
	router.Mount("/", s.platform())
	return router
}

func (s *Server) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters[kind]++
}

// reserveWeights reserves the transfer of size bytes in the weight store and
// returns the wait until the transfer may start.
func (s *Server) reserveWeights(size int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.weightsFreeAt.Before(now) {
		s.weightsFreeAt = now
	}
	wait := s.weightsFreeAt.Sub(now)
	seconds := float64(size) / s.limits.WeightBytesPerSecond
	s.weightsFreeAt = s.weightsFreeAt.Add(time.Duration(seconds * float64(time.Second)))
	return wait
}

func (s *Server) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
