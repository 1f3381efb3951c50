package gateway

import (
	"slices"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/fleet"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/upstream"
)

const (
	// maxCrashes is the number of backend server crashes, one after the other and
	// counted over all fronts, after which a call is refused.
	maxCrashes = 3
	// crashTTL is how long a crash counts. It leaves an operator the time to find
	// the client that repeats the call.
	crashTTL = time.Hour
	// maxCrashIdentities bounds the identities with records. Beyond it, those with
	// one crash are dropped: most of their calls only ran beside a harmful one.
	maxCrashIdentities = 16384
	// maxClockDifference is how far the clocks of two fronts may be apart.
	maxClockDifference = 50 * time.Millisecond
	// retryAfterCrashes is the Retry-After of a call that is refused because of
	// crashes. Clients shorten it to a fraction of the time they have left.
	retryAfterCrashes = 5 * time.Second
)

// crash is the end of a backend server while it ran a call.
type crash struct {
	sent, interrupted time.Time // of the call; zero if the front that reported it did not say
	expires           time.Time
}

// crashOf returns what a report says of a crash.
func crashOf(report turnstore.Crash) crash {
	return crash{sent: report.Sent, interrupted: report.Interrupted, expires: report.Expires}
}

// crashRecords holds the backend server crashes that each call may have caused.
// It maps an identity of the call and the end of the backend server that ran it to
// the crash. Only the scheduler goroutine may use it.
type crashRecords map[call.Identity]map[string]crash

// add adds a crash to the records of a call's identities. Of several calls with one
// identity that the same end interrupted, the one that was sent last counts.
func (r crashRecords) add(identities []call.Identity, serverEnd string, added crash) {
	for _, identity := range identities {
		if r[identity] == nil {
			r[identity] = map[string]crash{}
		}
		if known, ok := r[identity][serverEnd]; !ok || !added.sent.Before(known.sent) {
			r[identity][serverEnd] = added
		}
	}
}

// count returns the number of crashes that calls ran into one after the other, for
// the identity that has most. A call that ends servers comes again after each end.
// Calls that ran beside each other are the calls of several clients, of which a
// cause that ends servers together interrupts as many as run on them.
func (r crashRecords) count(identities []call.Identity, now time.Time) int {
	most := 0
	for _, identity := range identities {
		var left []crash
		for _, c := range r[identity] {
			if now.Before(c.expires) {
				left = append(left, c)
			}
		}
		most = max(most, countSuccessive(left))
	}
	return most
}

// countSuccessive returns the greatest number of the crashes whose calls ran one
// after the other. A crash of which that is not known counts.
func countSuccessive(crashes []crash) int {
	slices.SortFunc(crashes, func(a, b crash) int { return a.interrupted.Compare(b.interrupted) })
	count := 0
	var last time.Time
	for _, c := range crashes {
		if c.sent.IsZero() || !c.sent.Before(last.Add(-maxClockDifference)) {
			count, last = count+1, c.interrupted
		}
	}
	return count
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

// expire removes expired and surplus records.
func (r crashRecords) expire(now time.Time) {
	for identity, ends := range r {
		for end, c := range ends {
			if !now.Before(c.expires) {
				delete(ends, end)
			}
		}
		if len(ends) == 0 || len(ends) == 1 && len(r) > maxCrashIdentities {
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

// probedServer is a backend server that a caller tried to connect to after an
// exchange broke off.
type probedServer struct {
	backend   fleet.Backend
	requestID string // of the call that was interrupted
	found     upstream.Reachability
}

// handleProbe records the end of a backend server that refuses connections. One
// that is silent may only be cut off from this front: its registration will tell.
func (s *Scheduler) handleProbe(p probedServer, now time.Time) {
	if p.found == upstream.Refusing {
		if !s.endPlanned(p.backend) {
			end, calls := s.ends.refused(p.backend, now)
			s.blame(p.backend, end, calls, "refuses connections", now)
		}
		return
	}
	s.log.Info("gateway: interrupted call not counted as a crash yet", "request", p.requestID,
		"backend", p.backend.ID, "address", p.backend.Address, "server", p.found.String())
}

// recordInterruption records a call whose response did not arrive completely.
func (s *Scheduler) recordInterruption(result attemptResult, now time.Time) {
	j := result.job
	c := interruptedCall{
		requestID: j.request.ID, route: j.route.Name, identities: j.request.Identities(), backend: result.backend, sent: result.started, at: now,
	}
	if end := s.ends.interrupt(c); end != "" {
		s.recordCrash(c, end, now)
	}
}

// recordEnd records that the registration of a backend server is gone or has been
// replaced.
func (s *Scheduler) recordEnd(backend fleet.Backend, evidence string, now time.Time) {
	if !s.endPlanned(backend) {
		end, calls := s.ends.unregistered(backend, now)
		s.blame(backend, end, calls, evidence, now)
	}
}

// endPlanned reports whether a backend server was to end.
func (s *Scheduler) endPlanned(backend fleet.Backend) bool {
	known, registered := s.fleet.Get(backend.ID)
	return backend.Draining || registered && known.Draining
}

// blame counts the end of a backend server for the calls that were interrupted
// there.
func (s *Scheduler) blame(backend fleet.Backend, end string, calls []interruptedCall, evidence string, now time.Time) {
	s.log.Info("gateway: backend server ended", "backend", backend.ID, "address", backend.Address, "end", end, "evidence", evidence,
		"interrupted_calls", len(calls))
	for _, c := range calls {
		s.recordCrash(c, end, now)
	}
}

// recordCrash records that a backend server ended while it ran a call, and reports
// it to the other fronts.
func (s *Scheduler) recordCrash(c interruptedCall, end string, now time.Time) {
	suspects := s.answered.without(c.identities, now)
	if len(suspects) == 0 {
		s.log.Info("gateway: interrupted call not counted as a crash, such calls are answered", "request", c.requestID, "route", c.route, "end", end)
		return
	}
	report := turnstore.Crash{Calls: suspects, ServerEnd: end, Sent: c.sent, Interrupted: c.at, Expires: now.Add(crashTTL)}
	s.crashes.add(suspects, end, crashOf(report))
	s.log.Warn("gateway: backend server ended while it ran a call", "request", c.requestID, "route", c.route, "backend", c.backend.ID,
		"end", end, "calls", suspects, "ran_ms", c.at.Sub(c.sent).Milliseconds(), "crashes", s.crashes.count(suspects, now), "told", s.reportCrash(report))
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
	for report, ok := s.reportedCrashes.TryPop(); ok; report, ok = s.reportedCrashes.TryPop() {
		suspects := s.answered.without(report.Calls, now)
		s.crashes.add(suspects, report.ServerEnd, crashOf(report))
		if count := s.crashes.count(suspects, now); count >= maxCrashes {
			s.log.Info("gateway: call is held", "calls", suspects, "end", report.ServerEnd, "crashes", count)
		}
	}
}
