package gateway

import (
	"strconv"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/turnstore"
)

const (
	// mostServersLost is how many backend servers one call may end before it is
	// held, whichever fronts it comes through.
	mostServersLost = 3
	// suspectFor is how long a crash counts. A client that repeats such a call
	// does so within the time of its program.
	suspectFor = time.Minute
	// retryAfterCrashes is when a client should come back with a call that is
	// held; clients shorten it to a part of the time that they have left.
	retryAfterCrashes = 5 * time.Second
)

// suspects counts the backend servers that ended while they ran a call, by the
// call's identity and the attempt that ran. It belongs to the scheduler duty.
type suspects map[string]map[string]time.Time

func (s suspects) note(crash turnstore.Crash) {
	if s[crash.Call] == nil {
		s[crash.Call] = map[string]time.Time{}
	}
	s[crash.Call][crash.Attempt] = crash.Expires
}

// crashes returns how many backend servers the call has ended.
func (s suspects) crashes(call string, now time.Time) int {
	count := 0
	for _, expires := range s[call] {
		if now.Before(expires) {
			count++
		}
	}
	return count
}

// crashesOf spares the digest of a body while nothing is suspected.
func (s suspects) crashesOf(request *call.Request, now time.Time) int {
	if len(s) == 0 {
		return 0
	}
	return s.crashes(request.Identity(), now)
}

func (s suspects) expire(now time.Time) {
	for call, attempts := range s {
		if s.crashes(call, now) == 0 {
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

// crashed counts a crash that this front has seen, and tells the other fronts.
func (s *Scheduler) crashed(j *job, now time.Time) {
	identity := j.request.Identity()
	if identity == "" {
		return
	}
	j.crashes++
	crash := turnstore.Crash{Call: identity, Attempt: j.request.ID + "/" + strconv.Itoa(j.crashes), Expires: now.Add(suspectFor)}
	s.suspects.note(crash)
	s.log.Warn("gateway: backend server ended while it ran a call", "request", j.request.ID, "route", j.route.Name, "call", identity,
		"crashes", s.suspects.crashes(identity, now), "told", s.report(crash))
}

// learnCrashes takes what the stores have passed on.
func (s *Scheduler) learnCrashes(now time.Time) {
	for crash, ok := s.crashes.TryPop(); ok; crash, ok = s.crashes.TryPop() {
		s.suspects.note(crash)
		if count := s.suspects.crashes(crash.Call, now); count >= mostServersLost {
			s.log.Info("gateway: call is held", "call", crash.Call, "attempt", crash.Attempt, "crashes", count)
		}
	}
}
