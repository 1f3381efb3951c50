package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sendersPerCall and extraSenders give the number of fronts that may share a
	// limit: each may have saved a call, and these may come at the same moment. The
	// users allow half of the limit and five calls more in four seconds.
	sendersPerCall = 1.5
	extraSenders   = 4
	// probingSenders is how many of them leave their place to the calls of fronts
	// that only probe, if there are such fronts.
	probingSenders = 2
	// limitBurst is the number of calls that a front may save up.
	limitBurst = 1
	// probePeriod is the time in which one of the fronts that have no share sends
	// one call, to see whether the limit still applies. The users measure calls
	// over four seconds.
	probePeriod = 4 * time.Second
	// minLimit is the lowest limit in calls per second that is distinguished. A
	// server that names less still gets a call now and then, or it could never
	// say that the limit has ended.
	minLimit = 0.25
)

// rateLimit is the limit that a backend server has named and what this front may
// send of it.
//
// Fronts do not talk to each other about it. All of them know the same list of
// fronts, from which a hash of the server selects those that share the limit
// equally. The others send a call in turns of probePeriod.
type rateLimit struct {
	perSecond float64 // 0: the server has named none
	named     time.Time
	// The share of this front, in calls per second; 0 for a front that only probes.
	share float64
	saved float64 // calls that may be sent now
	since time.Time
	// The turn of a front that only probes among all such fronts.
	turn, turns int64
	probed      int64 // number of the period in which it probed last
}

// SetFronts sets the address of this front and those of all fronts: the ones that
// clients are sent to, which share limits, and the others, which may still have
// clients.
func (f *Fleet) SetFronts(self string, listed, unlisted []string, now time.Time) {
	f.self, f.listed, f.unlisted = self, listed, unlisted
	for _, s := range f.byID {
		f.divide(s, now)
	}
}

// hear takes note of the limit that a statement names, or that it names none. It
// reports whether that is new.
func (f *Fleet) hear(s *backendState, said Statement, now time.Time) bool {
	known := s.limit.perSecond
	switch {
	case said.Limited:
		s.limit.perSecond = max(minLimit, said.CallsPerSecond)
		s.limit.named = now
		if known == 0 {
			s.limit.saved, s.limit.since, s.limit.probed = 0, now, period(now)
		}
	case known != 0 && !said.Sent.Before(s.limit.named): // else it may have been said before the limit
		s.limit = rateLimit{}
	}
	if (s.limit.perSecond == 0) != (known == 0) {
		clear(f.rankings)
		s.countLimit()
	}
	if s.limit.perSecond != known {
		f.divide(s, now)
	}
	return s.limit.perSecond != known
}

// Limit returns the limit of a backend server in calls per second and the share of
// this front; both are 0 if the server has named none.
func (f *Fleet) Limit(id string) (perSecond, share float64) {
	s := f.byID[id]
	if s == nil {
		return 0, 0
	}
	return s.limit.perSecond, s.limit.share
}

// divide works out this front's share of a server's limit.
func (f *Fleet) divide(s *backendState, now time.Time) {
	if s.limit.perSecond == 0 {
		return
	}
	s.limit.refill(now)
	senders := extraSenders + int(min(sendersPerCall*s.limit.perSecond, math.MaxInt32))
	if all := len(f.listed) + len(f.unlisted); all <= senders {
		senders = max(1, len(f.listed))
	} else {
		senders -= probingSenders
	}
	place, listed := f.place(s.ID, f.listed)
	if (listed || len(f.listed) == 0) && place < senders {
		s.limit.share = s.limit.perSecond / float64(min(senders, max(1, len(f.listed))))
		return
	}
	if !listed {
		place, _ = f.place(s.ID, f.unlisted)
		place += len(f.listed)
	}
	// The fronts that only probe do so one after the other.
	senders = min(senders, len(f.listed))
	s.limit.share = 0
	s.limit.turns = int64(max(1, len(f.listed)+len(f.unlisted)-senders))
	s.limit.turn = int64(place-senders) % s.limit.turns
}

// place returns how many of the fronts come before this one for a backend server,
// and whether this one is among them.
func (f *Fleet) place(backend string, fronts []string) (before int, present bool) {
	own := senderRank(backend, f.self)
	for _, front := range fronts {
		if front == f.self {
			present = true
		} else if senderRank(backend, front) > own {
			before++
		}
	}
	return before, present
}

// senderRank orders the fronts for a backend server.
func senderRank(backend, front string) uint64 { return xxhash.Sum64String(backend + "\x00" + front) }

// period returns the number of the probePeriod that now is in.
func period(now time.Time) int64 { return now.UnixNano() / int64(probePeriod) }

// refill adds the calls that may be sent for the time that has passed.
func (r *rateLimit) refill(now time.Time) {
	r.saved, r.since = r.savedAt(now), now
}

// savedAt returns the number of calls that may be sent at a time.
func (r *rateLimit) savedAt(now time.Time) float64 {
	return min(limitBurst, r.saved+r.share*max(0, now.Sub(r.since).Seconds()))
}

// wait returns how long it is until a call may be sent; 0 if one may be sent now.
func (r *rateLimit) wait(now time.Time) time.Duration {
	switch {
	case r.perSecond == 0:
		return 0
	case r.share > 0:
		saved := r.savedAt(now)
		if saved >= limitBurst-callTolerance {
			return 0
		}
		return time.Duration(math.Ceil((limitBurst - saved) / r.share * float64(time.Second)))
	}
	next := period(now)
	if r.probed == next || next%r.turns != r.turn {
		for next++; next%r.turns != r.turn; {
			next++
		}
		return time.Unix(0, next*int64(probePeriod)).Sub(now)
	}
	return 0
}

// callTolerance is the fraction of a call by which the sum of many small refills
// may be short of it.
const callTolerance = 1e-6

// take counts a call that is sent.
func (r *rateLimit) take(now time.Time) {
	if r.perSecond == 0 {
		return
	}
	r.refill(now)
	r.saved = max(0, r.saved-1)
	r.probed = period(now)
}

// LimitWait returns how long it is until the limits of the backend servers let one
// of them take a call; 0 if one may now. It reports false if none is left for the
// call.
func (f *Fleet) LimitWait(request Request, now time.Time) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, s := range f.byService[request.Service] {
		if excluded(request.Exclude, s.ID) || !request.versionFits(s) {
			continue
		}
		if wait := s.limit.wait(now); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// LimitedRate returns the calls per second that this front may send to a service
// all of whose backend servers have named limits. It reports false if one of them
// has named none.
func (f *Fleet) LimitedRate(service string) (float64, bool) {
	if f.hasUnlimited(service) {
		return 0, false
	}
	sum := 0.0
	for _, s := range f.byService[service] {
		sum += s.limit.share
	}
	return sum, len(f.byService[service]) > 0
}

// hasUnlimited reports whether a backend server of a service has named no limit.
func (f *Fleet) hasUnlimited(service string) bool {
	index := f.indexes[service]
	return index != nil && index.limited < len(index.servers)
}

// HasLimited reports whether a backend server of a service has named a limit.
func (f *Fleet) HasLimited(service string) bool {
	index := f.indexes[service]
	return index != nil && index.limited > 0
}
