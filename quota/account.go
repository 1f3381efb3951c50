package quota

import (
	"math"
	"time"
)

const (
	// stockTime is the demand, in time, that a front wants to hold in advance: two regular
	// reports and the time of an answer.
	stockTime = 0.6 // seconds
	// prefetchFrom is the number of wanted tokens from which a front asks for more before it
	// has spent the last one. With fewer, regular reports come in time.
	prefetchFrom = 4
	// demandMemory is the time constant of the moving average of the demand.
	demandMemory = 0.5 // seconds
	// idleTime is how long a front keeps a token for an organisation that sends nothing.
	idleTime = 10 * time.Second
	// sweepInterval is how often a front looks for accounts that are idle or hold more
	// than they need.
	sweepInterval = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what refused clients are told. Those beyond
	// the bound are spread over the second half of the time up to it.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// unknownStep is the time between two clients' returns if no coordinator has said how
	// many tokens to expect.
	unknownStep = 100 * time.Millisecond
	// spread is the fraction by which each further Retry-After beyond the bound differs; multiples
	// of the golden ratio fill an interval evenly.
	spread = 0.6180339887498949
)

// account is what a front knows of one organisation.
type account struct {
	key         uint64
	name        string
	limit       Limit
	coordinator string // the one that tokens and amounts below are of; empty for none
	tokens      int64
	spent       int64 // since the last report, as the two below
	returned    int64
	givenBack   int64
	waiting     int64 // requests
	starting    int64 // of these, those that start programs and need permission
	permits     int64 // for these
	started     int64 // programs without permission, since the last report
	// scarceUntil is until when programs start with permission only, and nextStart when the
	// next one may, as the coordinator has said.
	scarceUntil, nextStart time.Time
	tickets                int64 // of requests that have waited; the last one that was reported, and answered
	reported               int64
	answered               int64
	asked                  bool // more tokens, and not been answered yet
	unknown                bool // to the coordinator
	emptyUntil             time.Time
	rate                   float64 // tokens per second that this front may expect
	nextRetry              time.Time
	refusals               int64

	old      int64 // tokens of a coordinator that is lost
	oldUntil time.Time

	own ownBucket // what this front spends of its share by itself

	arrivals int64 // since measured
	measured time.Time
	demand   float64 // requests per second
	wanted   int64
	lastUse  time.Time
}

// ownBucket holds tokens of this front's share.
type ownBucket struct {
	level float64
	since time.Time
	free  time.Time // since when only this front may spend the share
}

func (f *Front) account(organisation string, limit Limit, now time.Time) *account {
	a := f.accounts[organisation]
	if a == nil {
		a = &account{key: organisationKey(organisation), name: organisation, limit: limit, measured: now}
		f.accounts[organisation], f.byKey[a.key] = a, a
	}
	return a
}

// detach forgets what concerns a coordinator that is lost.
func (a *account) detach(validUntil, now time.Time) {
	if a.tokens > 0 && now.Before(validUntil) {
		a.old, a.oldUntil = a.tokens, validUntil
	}
	a.coordinator, a.tokens, a.spent, a.returned, a.givenBack = "", 0, 0, 0, 0
	a.asked, a.unknown, a.emptyUntil = false, false, time.Time{}
	a.permits, a.started, a.scarceUntil = 0, 0, time.Time{}
}

// spendOwn spends a token of this front's share if only this front may.
func (f *Front) spendOwn(a *account, now time.Time) bool {
	p := &f.partitions[partitionOf(a.key)]
	free := later(p.free, f.started.Add(startDelay))
	if p.holder != "" && !a.unknown || now.Before(free) {
		return false
	}
	capacity := f.ownCapacity(a)
	rate := a.limit.RatePerSecond * f.fleet.Share()
	if capacity == 1 {
		rate = a.limit.RatePerSecond / max(1, math.Floor(f.bounds.capacity(a.limit)))
	}
	a.rate = rate
	if !a.own.free.Equal(free) {
		a.own = ownBucket{since: free, free: free}
	}
	since := a.own.since
	a.own.level = min(capacity, a.own.level+rate*max(0, now.Sub(since).Seconds()))
	a.own.since = now
	if a.own.level < 1-tolerance {
		if rate > 0 {
			a.emptyUntil = now.Add(time.Duration((1 - a.own.level) / rate * float64(time.Second)))
		}
		return false
	}
	a.own.level--
	return true
}

// ownCapacity returns how many tokens of its own share this front may save up. If that
// is less than one, a hash selects the fronts that may have one.
func (f *Front) ownCapacity(a *account) float64 {
	share := f.fleet.Share()
	if share == 0 {
		return 0
	}
	all := f.bounds.capacity(a.limit)
	if all*share >= 1 {
		return all * share
	}
	if f.fleet.place(a.name) < int(all) {
		return 1
	}
	return 0
}

// retryAfter returns when the client of a refused request should try again. Refused
// clients return one after the other, at the rate at which tokens are expected.
func (a *account) retryAfter(now time.Time) time.Duration {
	a.refusals++
	earliest := later(now, a.emptyUntil)
	step := unknownStep
	if a.rate > 0 {
		step = min(maxRetryAfter, time.Duration(float64(time.Second)/a.rate))
	}
	a.nextRetry = later(a.nextRetry.Add(step), earliest)
	if wait := a.nextRetry.Sub(now); wait <= maxRetryAfter {
		return max(minRetryAfter, wait)
	}
	a.nextRetry = now.Add(maxRetryAfter)
	_, fraction := math.Modf(float64(a.refusals) * spread)
	return time.Duration((1 + fraction) / 2 * float64(maxRetryAfter))
}

// startAfter returns when the client of a start that was refused should try again.
func (a *account) startAfter(now time.Time) time.Duration {
	return max(minRetryAfter, a.nextStart.Sub(now))
}

// measure updates the demand and how many tokens the front wants to hold.
func (a *account) measure(now time.Time) {
	if dt := now.Sub(a.measured).Seconds(); dt > 0 {
		a.demand += (float64(a.arrivals)/dt - a.demand) * (1 - math.Exp(-dt/demandMemory))
		a.arrivals, a.measured = 0, now
	}
	expected := a.demand * stockTime
	a.wanted = int64(math.Ceil(expected + 2*math.Sqrt(expected) - 0.5))
	if now.Sub(a.lastUse) < idleTime {
		a.wanted = max(1, a.wanted)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
