package gateway

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"dogwoodline.example/fleet"
)

const (
	// startPatience is the part of a call's time that it may wait if it starts a
	// program. Waiting longer makes the program late, and those under way too.
	startPatience = 0.1
	// patience is the part of their time that other calls may wait. The rest is
	// left for the call itself. A client that is refused waits as long, and
	// does not keep its place.
	patience = 0.5
	// keptPatience is how many times as long a call may wait that was let wait
	// before more urgent ones came.
	keptPatience = 1.4
	// minRetryAfterLimit is the shortest Retry-After of a call that is refused
	// because of limits.
	minRetryAfterLimit = 100 * time.Millisecond
	// noLimitTimer is the setting of a timer that is not needed now.
	noLimitTimer = time.Hour
)

// waitingCalls holds the calls that wait until the limits of the backend servers
// of their service let another call through, by service, the most urgent first.
// Only the scheduler goroutine may use it, except for count.
type waitingCalls struct {
	byService map[string][]*job
	due       *time.Timer // fires when the next call may be sent
	count     *atomic.Int64
}

func newWaitingCalls() waitingCalls {
	return waitingCalls{byService: map[string][]*job{}, due: time.NewTimer(noLimitTimer), count: &atomic.Int64{}}
}

// compareUrgency orders jobs: first those of programs under way, whose work so far
// would be lost, then by the priority of their organisations and routes, then by their
// arrival.
func compareUrgency(a, b *job) int {
	switch {
	case a.startsProgram != b.startsProgram:
		if b.startsProgram {
			return -1
		}
		return 1
	case a.priority != b.priority:
		return a.priority - b.priority
	}
	return a.request.Arrived.Compare(b.request.Arrived)
}

// waitingPlace is where a job was, when it was last let wait.
type waitingPlace struct {
	before int     // jobs that went before it
	rate   float64 // of the calls that the limits let through, in calls per second; 0 if a server had no limit
}

// stillHolds reports whether a job that waits is no worse off than when it was let
// wait. Its turn then comes later only by what each call before it was late.
func (p *waitingPlace) stillHolds(before int, rate float64) bool {
	return p != nil && p.rate > 0 && before <= p.before && rate >= p.rate
}

// maxWait returns how long a job may still wait.
func (j *job) maxWait(now time.Time) time.Duration {
	part := patience
	if j.startsProgram {
		part = startPatience
	}
	if j.waits != nil {
		part *= keptPatience
	}
	return time.Duration(part*float64(j.deadline.Sub(j.request.Arrived))) - now.Sub(j.request.Arrived)
}

// await lets a job wait for which no backend server may be chosen now. It fails the
// job if none is left, and those jobs that would wait for too long.
func (s *Scheduler) await(j *job, request fleet.Request, now time.Time) {
	if _, left := s.fleet.LimitWait(request, now); !left {
		s.failJob(j, j.noServerLeft(), retryAfterFull, now)
		return
	}
	list := s.waiting.byService[j.service.Name]
	at, _ := slices.BinarySearchFunc(list, j, compareUrgency)
	s.waiting.byService[j.service.Name] = slices.Insert(list, at, j)
	s.refuseLate(j.service.Name, now)
}

// refuseLate refuses the waiting jobs of a service whose turn will come too late
// for them.
func (s *Scheduler) refuseLate(service string, now time.Time) {
	rate, allLimited := s.fleet.LimitedRate(service)
	var kept []*job
	for _, j := range s.waiting.byService[service] {
		if j.ctx.Err() != nil {
			continue // the handler has already ended the request
		}
		wait, refused := s.limitWait(j, len(kept), now)
		if refused != nil {
			s.failJob(j, refused.reason, refused.after, now)
			continue
		}
		if j.waits == nil {
			s.log.Info("gateway: call waits for the limits of the backend servers", "request", j.request.ID, "route", j.route.Name,
				"expected_ms", wait.Milliseconds(), "before_it", len(kept), "starts_program", j.startsProgram, "rate", rate, "all_limited", allLimited)
		}
		j.waits = &waitingPlace{before: len(kept), rate: rate}
		kept = append(kept, j)
	}
	s.setWaiting(service, kept)
}

// limitWait returns how long a job waits until the limits of the backend servers let it
// through behind the given number of others, and why it is refused if it does not wait.
func (s *Scheduler) limitWait(j *job, before int, now time.Time) (time.Duration, *refusal) {
	rate, allLimited := s.fleet.LimitedRate(j.service.Name)
	wait, left := s.fleet.LimitWait(j.fleetRequest(), now)
	switch {
	case !left:
		return 0, unavailable(j.noServerLeft(), retryAfterFull)
	case allLimited && rate == 0:
		return 0, unavailable("this front has no share of the limits of the backend servers", retryAfterFull) // others have
	case allLimited:
		wait += time.Duration(float64(before) / rate * float64(time.Second))
	}
	if wait > j.maxWait(now) && !j.waits.stillHolds(before, rate) {
		return wait, unavailable(fmt.Sprintf("the limits of the backend servers let it through in %d ms, %d calls go before it", wait.Milliseconds(), before),
			max(wait, minRetryAfterLimit))
	}
	return wait, nil
}

// placeWaiting sends the waiting jobs for which a backend server may be chosen now,
// the most urgent first.
func (s *Scheduler) placeWaiting(now time.Time) {
	if len(s.waiting.byService) == 0 {
		return
	}
	next := noLimitTimer
	for _, service := range slices.Collect(maps.Keys(s.waiting.byService)) {
		list := s.waiting.byService[service]
		s.setWaiting(service, nil)
		for _, j := range list {
			if j.ctx.Err() == nil { // else the handler has already ended the request
				s.place(j, now)
			}
		}
		for _, j := range s.waiting.byService[service] {
			wait, _ := s.fleet.LimitWait(j.fleetRequest(), now)
			next = min(next, wait)
		}
	}
	s.waiting.due.Reset(next)
}

// setWaiting replaces the waiting jobs of a service.
func (s *Scheduler) setWaiting(service string, list []*job) {
	if len(list) == 0 {
		delete(s.waiting.byService, service)
	} else {
		s.waiting.byService[service] = list
	}
	count := 0
	for _, jobs := range s.waiting.byService {
		count += len(jobs)
	}
	s.waiting.count.Store(int64(count))
}
