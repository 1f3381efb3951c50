package gateway

import (
	"strconv"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/fleet"
	"dogwoodline.example/turnstore"
)

const (
	// maxCrashes is the number of backend server crashes, counted over all
	// fronts, after which a call is refused.
	maxCrashes = 3
	// crashTTL is how long a crash counts. A client that repeats such a call
	// does so while its program runs.
	crashTTL = time.Minute
	// retryAfterCrashes is the Retry-After of a call that is refused because of
	// crashes. Clients shorten it to a fraction of the time they have left.
	retryAfterCrashes = 5 * time.Second
)

// crashRecords holds the backend server crashes that each call may have caused.
// It maps the call's fingerprint and the attempt that ran to the time at which
// the record expires. Only the scheduler goroutine may use it.
type crashRecords map[string]map[string]time.Time

func (s crashRecords) add(crash turnstore.Crash) {
	if s[crash.Call] == nil {
		s[crash.Call] = map[string]time.Time{}
	}
	s[crash.Call][crash.Attempt] = crash.Expires
}

// count returns the number of crashes of a call that have not expired.
func (s crashRecords) count(call string, now time.Time) int {
	count := 0
	for _, expires := range s[call] {
		if now.Before(expires) {
			count++
		}
	}
	return count
}

// countFor is count for a request. It skips hashing the body while there are no
// records.
func (s crashRecords) countFor(request *call.Request, now time.Time) int {
	if len(s) == 0 {
		return 0
	}
	return s.count(request.Fingerprint(), now)
}

func (s crashRecords) expire(now time.Time) {
	for call, attempts := range s {
		if s.count(call, now) == 0 {
			delete(s, call)
			continue
		}
		for attempt, expires := range attempts {
			if !now.Before(expires) {
				delete(attempts, attempt)
			}
		}
	}
}

// interruption is an exchange that broke off while the client waited.
type interruption struct {
	job     *job
	backend fleet.Backend
	// serverEnded says that the backend server accepts no connections any more.
	serverEnded bool
}

// handleInterruption records a crash that this front has detected and reports it
// to the other fronts. Calls without a fingerprint are skipped.
func (s *Scheduler) handleInterruption(i interruption, now time.Time) {
	j := i.job
	fingerprint := j.request.Fingerprint()
	if !i.serverEnded || fingerprint == "" {
		s.log.Info("gateway: interrupted call not counted as a crash", "request", j.request.ID, "route", j.route.Name,
			"backend", i.backend.ID, "server_ended", i.serverEnded, "call", fingerprint)
		return
	}
	j.crashes++
	crash := turnstore.Crash{Call: fingerprint, Attempt: j.request.ID + "/" + strconv.Itoa(j.crashes), Expires: now.Add(crashTTL)}
	s.crashes.add(crash)
	s.log.Warn("gateway: backend server ended while it ran a call", "request", j.request.ID, "route", j.route.Name, "backend", i.backend.ID,
		"call", fingerprint, "crashes", s.crashes.count(fingerprint, now), "told", s.reportCrash(crash))
}

// receiveCrashes records the crashes that the turn stores have passed on.
func (s *Scheduler) receiveCrashes(now time.Time) {
	for crash, ok := s.reportedCrashes.TryPop(); ok; crash, ok = s.reportedCrashes.TryPop() {
		s.crashes.add(crash)
		if count := s.crashes.count(crash.Call, now); count >= maxCrashes {
			s.log.Info("gateway: call is held", "call", crash.Call, "attempt", crash.Attempt, "crashes", count)
		}
	}
}
