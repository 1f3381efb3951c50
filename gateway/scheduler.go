package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/duty"
	"dogwoodline.example/fleet"
	"dogwoodline.example/ring"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/upstream"
)

const (
	// schedulerSlots is the number of messages that may wait for the duty.
	schedulerSlots = 4096
	// retryAfterFull is when a client should come back after all backend
	// servers refused its call. A slot frees every few tens of ms.
	retryAfterFull = 100 * time.Millisecond
	// retryAfterCrowded is when a client should come back with a program that
	// may not begin yet: about as long as two turns take.
	retryAfterCrowded = 500 * time.Millisecond
	// expireEvery is how often entries past their return window are removed.
	expireEvery = 250 * time.Millisecond
)

// FleetNews is a change of the registered backend servers.
type FleetNews struct {
	Put    *fleet.Backend
	Remove string
	// Present replaces all registrations; entries follow as Put.
	Present map[string]bool
	// StoreWasAway says that the platform's store has just returned, so that
	// live backend servers may be missing for a moment.
	StoreWasAway bool
}

type attempt struct {
	job     *job
	backend fleet.Backend
	started time.Time
}

// attemptEnd is how an attempt at a backend server ended.
type attemptEnd struct {
	attempt
	verdict call.Verdict
	report  fleet.Report
	reason  string
	// done says that the client has its answer, or nobody waits.
	done bool
	// lost says that the backend server ended or was cut off; it does not
	// count against the number of servers that may run the call.
	lost bool
	// broken says that the connection ended while the call ran; its backend
	// server may be gone.
	broken bool
}

type schedulerItem struct {
	job  *job
	end  *attemptEnd
	news *FleetNews
	// crashed is a job whose backend server ended while it ran.
	crashed *job
}

// Scheduler is the duty that decides which backend server gets which call. It
// owns the fleet.
type Scheduler struct {
	log      *slog.Logger
	items    *ring.Ring[schedulerItem]
	attempts *ring.Ring[attempt]
	fleet    *fleet.Fleet
	random   *rand.Rand
	drop     func(address string)
	// connected reports whether an idle connection is open.
	connected func(address string) bool
	size      atomic.Int64
	slotSum   atomic.Int64
	fronts    atomic.Int64 // that clients are sent to
	admission admission
	suspects  suspects
	crashes   *ring.Ring[turnstore.Crash] // that other fronts have seen
	report    func(turnstore.Crash) bool
}

func newScheduler(group *duty.Group, log *slog.Logger, zone string, attempts *ring.Ring[attempt], pool *upstream.Pool, keeper Keeper) *Scheduler {
	s := &Scheduler{
		log: log, items: ring.New[schedulerItem](schedulerSlots), attempts: attempts, fleet: fleet.New(zone),
		admission: admission{sizes: map[string]float64{}}, drop: pool.Drop, connected: pool.HasIdle,
		suspects: suspects{}, crashes: keeper.Crashes(), report: keeper.Report,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	group.Go("scheduler", s.run)
	group.Depth("scheduler", "items", s.items.Len)
	group.Gauge("dogwoodline_backend_servers", func() int { return int(s.size.Load()) })
	return s
}

// Learn tells the scheduler about backend servers.
func (s *Scheduler) Learn(ctx context.Context, news FleetNews) error {
	return s.items.Push(ctx, schedulerItem{news: &news})
}

func (s *Scheduler) run(ctx context.Context) error {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		for item, ok := s.items.TryPop(); ok; item, ok = s.items.TryPop() {
			s.handle(item, time.Now())
		}
		s.learnCrashes(time.Now())
		select {
		case <-s.items.Ready():
		case <-s.crashes.Ready():
		case now := <-ticker.C:
			for _, id := range s.fleet.Expire(now) {
				s.log.Info("gateway: backend server did not return", "backend", id)
			}
			s.suspects.expire(now)
			s.measure()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Scheduler) handle(item schedulerItem, now time.Time) {
	switch {
	case item.job != nil:
		s.offer(item.job, now)
	case item.end != nil:
		s.ended(*item.end, now)
	case item.crashed != nil:
		s.crashed(item.crashed, now)
	case item.news != nil:
		s.learn(*item.news, now)
		s.measure()
	}
}

// measure tells other goroutines the size of the fleet.
func (s *Scheduler) measure() {
	s.size.Store(int64(s.fleet.Total()))
	s.slotSum.Store(int64(s.fleet.Slots()))
}

// slots is the number of calls that the backend servers can run at once.
func (s *Scheduler) slots() int { return int(s.slotSum.Load()) }

func (s *Scheduler) learn(news FleetNews, now time.Time) {
	switch {
	case news.Put != nil:
		if s.fleet.Put(*news.Put) {
			s.log.Info("gateway: backend server changed", "backend", news.Put.ID, "service", news.Put.Service,
				"address", news.Put.Address, "draining", news.Put.Draining, "incarnation", news.Put.Incarnation)
		}
	case news.Remove != "":
		b, known := s.fleet.Get(news.Remove)
		s.fleet.Remove(news.Remove, now, news.StoreWasAway)
		if known {
			s.log.Info("gateway: backend server gone", "backend", b.ID, "address", b.Address, "kept_for_return", news.StoreWasAway)
			if !news.StoreWasAway {
				s.drop(b.Address)
			}
		}
	case news.Present != nil:
		s.fleet.Keep(news.Present, now, news.StoreWasAway)
	}
}

// offer gives a job to a backend server, or refuses it.
func (s *Scheduler) offer(j *job, now time.Time) {
	if j.ctx.Err() != nil {
		return // the handler has answered already
	}
	if crashes := s.suspects.crashesOf(j.request, now); crashes >= mostServersLost {
		s.refuse(j, fmt.Sprintf("this call has ended %d backend servers", crashes), retryAfterCrashes, now)
		return
	}
	if j.service.Engine != nil && j.tries == 0 {
		s.admission.learn(j.service.Name, j.request.OwnTokens())
		pressure := s.admission.pressure(s.fleet, j.service, int(s.fronts.Load()))
		if j.fresh && !admits(pressure, j.route.Priority) {
			s.refuse(j, fmt.Sprintf("model servers are full (%.2f), programs under way go first", pressure), retryAfterCrowded, now)
			return
		}
	}
	ask := fleet.Ask{Service: j.service.Name, Exclude: j.exclude, Draw: s.random.Uint64()}
	if j.service.Engine == nil { // a model server's memory counts for more than a connection
		ask.Connected = s.connected
	}
	if j.route.Sticky {
		ask.Affinity = j.request.Locality()
	}
	backend, running, ok := s.fleet.Choose(ask, now)
	if !ok {
		s.refuse(j, "no backend server is left for this call", retryAfterFull, now)
		return
	}
	if err := s.attempts.TryPush(attempt{job: j, backend: backend, started: now}); err != nil {
		s.refuse(j, "all callers are busy", retryAfterFull, now)
		return
	}
	s.fleet.Started(backend.ID)
	j.tries++
	s.log.Info("gateway: call offered", "request", j.request.ID, "route", j.route.Name, "backend", backend.ID,
		"running", running, "slots", backend.Slots, "try", j.tries, "waited_ms", now.Sub(j.request.Arrived).Milliseconds(),
		"choices", s.fleet.Size(j.service.Name), "resume_after", j.resumeAfter)
}

// refuse ends a job for which no backend server is left.
func (s *Scheduler) refuse(j *job, reason string, after time.Duration, now time.Time) {
	if j.lastReason != "" {
		reason += ": " + j.lastReason
	}
	f := &failure{notRun: j.ran == 0 && !j.headSent && j.refusable(), reason: reason, retryAfter: after}
	s.log.Warn("gateway: call not answered", "request", j.request.ID, "route", j.route.Name, "tries", j.tries, "ran", j.ran,
		"not_run", f.notRun, "reason", reason, "age_ms", now.Sub(j.request.Arrived).Milliseconds())
	finish(j, part{failure: f})
}

// finish hands the last part to the handler. The ring cannot be full unless
// the handler has left.
func finish(j *job, last part) {
	_ = j.parts.Push(j.ctx, last)
}

// ended counts the end of an attempt and decides what follows.
func (s *Scheduler) ended(end attemptEnd, now time.Time) {
	s.fleet.Ended(end.report, now)
	j := end.job
	if end.done {
		return
	}
	j.lastReason = end.reason
	j.exclude = append(j.exclude, end.backend.ID)
	s.log.Info("gateway: attempt failed", "request", j.request.ID, "backend", end.backend.ID, "verdict", end.verdict.String(),
		"reason", end.reason, "server_lost", end.lost, "events", j.events, "took_ms", now.Sub(end.started).Milliseconds())
	switch end.verdict {
	case call.NotRun:
		j.release()
		if j.tries < mostTries {
			s.offer(j, now)
			return
		}
	default:
		j.ran++
		if end.lost {
			j.lost++
		}
		if j.mayRunAgain() {
			s.offer(j, now)
			return
		}
	}
	s.refuse(j, "gave up", retryAfterFull, now)
}
