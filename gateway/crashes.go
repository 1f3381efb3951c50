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
// It maps an identity of the call and the attempt that ran to the time at which
// the record expires. Only the scheduler goroutine may use it.
type crashRecords map[call.Identity]map[string]time.Time

// add adds a crash to the records of a call's identities.
func (r crashRecords) add(identities []call.Identity, attempt string, expires time.Time) {
	for _, identity := range identities {
		if r[identity] == nil {
			r[identity] = map[string]time.Time{}
		}
		r[identity][attempt] = expires
	}
}

// count returns the number of crashes that have not expired, for the identity of
// a call that has most.
func (r crashRecords) count(identities []call.Identity, now time.Time) int {
	most := 0
	for _, identity := range identities {
		count := 0
		for _, expires := range r[identity] {
			if now.Before(expires) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// countFor is count for a request. It skips hashing the body while there are no
// records.
func (r crashRecords) countFor(request *call.Request, now time.Time) int {
	if len(r) == 0 {
		return 0
	}
	return r.count(request.Identities(), now)
}

// forget removes the records of identities.
func (r crashRecords) forget(identities []call.Identity) {
	for _, identity := range identities {
		delete(r, identity)
	}
}

func (r crashRecords) expire(now time.Time) {
	for identity, attempts := range r {
		for attempt, expires := range attempts {
			if !now.Before(expires) {
				delete(attempts, attempt)
			}
		}
		if len(attempts) == 0 {
			delete(r, identity)
		}
	}
}

const (
	// answeredSlots is the number of identities of answered calls that are
	// remembered, about those of the calls that a front serves in ten seconds.
	answeredSlots = 8192
	// answeredTTL is how long an answer shows that a call does not crash backend
	// servers. Their software may change later.
	answeredTTL = time.Minute
)

// answeredCalls remembers the identities of calls that a backend server has
// answered. A backend server that crashes interrupts many calls; those with an
// identity that is answered again and again, such as a path without a body, have
// not caused it. Only the scheduler goroutine may use it.
type answeredCalls struct {
	slots [answeredSlots]answeredCall // by identity; a newer one replaces an older one
}

type answeredCall struct {
	identity call.Identity
	expires  time.Time
}

func (a *answeredCalls) add(identities []call.Identity, now time.Time) {
	for _, identity := range identities {
		a.slots[identity%answeredSlots] = answeredCall{identity: identity, expires: now.Add(answeredTTL)}
	}
}

// without returns the identities that have not been answered lately.
func (a *answeredCalls) without(identities []call.Identity, now time.Time) []call.Identity {
	var remaining []call.Identity
	for _, identity := range identities {
		if known := a.slots[identity%answeredSlots]; known.identity != identity || !now.Before(known.expires) {
			remaining = append(remaining, identity)
		}
	}
	return remaining
}

// interruption is an exchange that broke off while the client waited.
type interruption struct {
	job     *job
	backend fleet.Backend
	// serverEnded says that the backend server accepts no connections any more.
	serverEnded bool
}

// handleInterruption records a crash that this front has detected and reports it
// to the other fronts.
func (s *Scheduler) handleInterruption(i interruption, now time.Time) {
	j := i.job
	suspects := s.answered.without(j.request.Identities(), now)
	if !i.serverEnded || len(suspects) == 0 {
		s.log.Info("gateway: interrupted call not counted as a crash", "request", j.request.ID, "route", j.route.Name,
			"backend", i.backend.ID, "server_ended", i.serverEnded, "answered_before", len(suspects) == 0)
		return
	}
	j.crashes++
	crash := turnstore.Crash{Calls: suspects, Attempt: j.request.ID + "/" + strconv.Itoa(j.crashes), Expires: now.Add(crashTTL)}
	s.crashes.add(crash.Calls, crash.Attempt, crash.Expires)
	s.log.Warn("gateway: backend server ended while it ran a call", "request", j.request.ID, "route", j.route.Name, "backend", i.backend.ID,
		"calls", crash.Calls, "crashes", s.crashes.count(crash.Calls, now), "told", s.reportCrash(crash))
}

// recordAnswered records that a backend server has answered a call, which
// therefore does not crash the servers that run it.
func (s *Scheduler) recordAnswered(request *call.Request, now time.Time) {
	identities := request.Identities()
	s.answered.add(identities, now)
	s.crashes.forget(identities)
}

// receiveCrashes records the crashes that the turn stores have passed on.
func (s *Scheduler) receiveCrashes(now time.Time) {
	for crash, ok := s.reportedCrashes.TryPop(); ok; crash, ok = s.reportedCrashes.TryPop() {
		suspects := s.answered.without(crash.Calls, now)
		s.crashes.add(suspects, crash.Attempt, crash.Expires)
		if count := s.crashes.count(suspects, now); count >= maxCrashes {
			s.log.Info("gateway: call is held", "calls", suspects, "attempt", crash.Attempt, "crashes", count)
		}
	}
}
