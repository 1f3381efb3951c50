// Package platformserver is a stand-in for the platform: key-value store,
// host list and weight store over HTTP, with rate limits and fault switches.
//
// Tests use it in their own process through Handler; Listen starts it as a
// server. The switches are also reachable under /admin, which no fault
// affects.
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
	// The platform takes several hundred writes and about 2,000 reads a
	// second (design page, section 1.4).
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	// defaultHostLag is the age of the host list.
	defaultHostLag = time.Second
	// defaultWeightRate is the weight store's rate in bytes a second.
	defaultWeightRate = 2 << 30
)

// Limits are the rates of the platform, as in PUT /admin/limits. Zero values
// take the default.
type Limits struct {
	WritesPerSecond      float64 `json:"writes_per_second"`
	ReadsPerSecond       float64 `json:"reads_per_second"`
	HostLagMS            int64   `json:"host_lag_ms"`
	WeightBytesPerSecond float64 `json:"weight_bytes_per_second"`
}

// Settings of a server.
type Settings struct {
	// Clock is the time of leases, limits and lags; default is real time.
	Clock clockwork.Clock
	// Seed decides which answers LoseProbability loses.
	Seed   uint64
	Limits Limits
	// Wrap, when set, wraps the platform's socket, for example to count bytes.
	Wrap func(net.Listener) net.Listener
}

// Server is the stand-in. Its state is shared by the goroutines of the
// connections, as in the real platform.
type Server struct {
	clock  clockwork.Clock
	store  *memstore.Store
	faults *faults
	writes *rate.Limiter
	reads  *rate.Limiter
	wrap   func(net.Listener) net.Listener

	mu         sync.Mutex
	limits     Limits
	counters   map[string]int64
	hosts      []hostsAt
	weightFree time.Time // when the weight store has served all reservations
	listener   *listener
}

// hostsAt is the host list that was set at a time.
type hostsAt struct {
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
		wrap:     settings.Wrap,
	}
	s.writes = newLimiter(s.limits.WritesPerSecond)
	s.reads = newLimiter(s.limits.ReadsPerSecond)
	return s
}

// Store returns the store behind the server, without limits and faults.
func (s *Server) Store() *memstore.Store { return s.store }

// SetFaults replaces all fault switches. Watches that wait are cut when an
// outage begins. It fails when the listener cannot be opened again.
func (s *Server) SetFaults(next Faults) error {
	s.faults.set(next)
	s.mu.Lock()
	open := s.listener
	s.mu.Unlock()
	if open == nil {
		return nil
	}
	return open.setRefusing(next.Outage == OutageRefuse)
}

// Faults returns the present switches; LoseAnswers counts down.
func (s *Server) Faults() Faults {
	now, _ := s.faults.get()
	return now
}

// SetLimits replaces the rates. A burst of one second's calls is allowed.
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

// SetHosts replaces the host list. Callers see it after the host lag.
func (s *Server) SetHosts(hosts []kvstore.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostsAt{at: s.clock.Now(), hosts: hosts})
}

// Hosts returns the list that callers see now.
func (s *Server) Hosts() []kvstore.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.clock.Now().Add(-time.Duration(s.limits.HostLagMS) * time.Millisecond)
	current := 0
	for i, entry := range s.hosts {
		if !entry.at.After(seen) {
			current = i
		}
	}
	s.hosts = s.hosts[current:]
	if len(s.hosts) == 0 || s.hosts[0].at.After(seen) {
		return []kvstore.Host{}
	}
	return s.hosts[0].hosts
}

// Counters returns the number of calls by kind, refused calls included.
func (s *Server) Counters() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := make(map[string]int64, len(s.counters))
	for kind, count := range s.counters {
		counted[kind] = count
	}
	return counted
}

// Handler returns the platform and its /admin interface as one handler.
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

// reserveWeights returns the wait before a load of that size may start.
func (s *Server) reserveWeights(size int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.weightFree.Before(now) {
		s.weightFree = now
	}
	wait := s.weightFree.Sub(now)
	seconds := float64(size) / s.limits.WeightBytesPerSecond
	s.weightFree = s.weightFree.Add(time.Duration(seconds * float64(time.Second)))
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
