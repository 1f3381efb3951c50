package schedule

import (
	"time"

	"dogwoodline.example/outcome"
)

const (
	// newProgramShare is the part of the queue limit up to which calls of new
	// programs are admitted. The rest is for programs on which work has already
	// been spent.
	newProgramShare = 0.8
	// fairShareThreshold is the part of the queue limit from which on a tenant
	// may not exceed its fair share of the queue.
	fairShareThreshold = 0.5
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 100 * time.Millisecond
)

// admit refuses a call that cannot be served in time, before any work is spent
// on it. The second result reports whether the call is admitted.
func (a *programAware) admit(now time.Duration, c *cell, r *Request) (Refusal, bool) {
	if c == nil {
		return newRefusal(r.ID, outcome.NoBackend, retryAfterNoBackend), false
	}
	waiting, limit := float64(c.deadlines.len()), c.queueLimit()
	ahead := c.ahead(r.Priority)
	wait := c.drainTime(ahead)
	isNew := r.Attained == 0
	switch {
	case waiting >= limit,
		isNew && waiting >= newProgramShare*limit,
		isNew && wait > a.settings.MaxNewProgramWait,
		waiting >= fairShareThreshold*limit && c.exceedsFairShare(r.Tenant, waiting):
		// Suggest a retry when the expected wait is down to half of
		// MaxNewProgramWait.
		return newRefusal(r.ID, outcome.Overloaded, max(wait-a.settings.MaxNewProgramWait/2, minRetryAfter)), false
	case now+wait > a.sinceBase(r.Deadline):
		return newRefusal(r.ID, outcome.Overloaded, max(wait, minRetryAfter)), false
	}
	return Refusal{}, true
}

// queueLimit returns the cell's part of the pool's queue limit.
func (c *cell) queueLimit() float64 {
	cells := len(c.policy.pools[c.pool].cells)
	return float64(max(c.policy.settings.QueueLimit/cells, 1))
}

// ahead returns the number of waiting calls that may run before a new call of
// the priority: queued calls of the same or a higher priority, and all isolated
// and parked calls.
func (c *cell) ahead(priority int) int {
	ahead := len(c.isolated) + c.parked.len()
	for _, l := range c.queue.levels {
		if l.priority >= priority {
			ahead += l.waiting
		}
	}
	return ahead
}

// drainTime returns the expected time in which the cell works off the given
// number of waiting calls.
func (c *cell) drainTime(calls int) time.Duration {
	slots, free := 0, 0
	for set := c.eligible; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		slots += s.Slots
		free += max(0, s.Slots-s.running)
	}
	if slots == 0 || calls < free {
		return 0
	}
	seconds := c.latency.run.valueOr(initialRunSeconds) * float64(calls) / float64(slots)
	return time.Duration(seconds * float64(time.Second))
}

// exceedsFairShare reports whether a tenant has more than its weighted share
// of the waiting calls.
func (c *cell) exceedsFairShare(name string, waiting float64) bool {
	t := c.queue.tenants[name]
	if t == nil || t.waiting == 0 {
		return false
	}
	return float64(t.waiting) > waiting*t.weight/c.queue.activeWeight
}
