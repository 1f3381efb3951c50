package schedule

import (
	"time"

	"dogwoodline.example/outcome"
)

const (
	// startShare is the part of the queue limit up to which calls of new
	// programs are taken; the rest is for programs that already cost work.
	startShare = 0.8
	// crowded is the part of the queue limit above which a tenant may not
	// exceed its fair share of the queue.
	crowded = 0.5
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
)

// admit refuses a call before any work is spent on it when it cannot be
// served in time. The second result tells whether the call is admitted.
func (a *aware) admit(now time.Duration, c *cell, r *Request) (Refusal, bool) {
	if c == nil {
		return refusal(r.ID, outcome.NoBackend, retryAfterNoBackend), false
	}
	waiting, limit := float64(c.deadlines.len()), c.queueLimit()
	ahead := c.ahead(r.Priority)
	wait := c.drainTime(ahead)
	isNew := r.Attained == 0
	switch {
	case waiting >= limit,
		isNew && waiting >= startShare*limit,
		isNew && wait > a.settings.StartWait,
		waiting >= crowded*limit && c.overShare(r.Tenant, waiting):
		return refusal(r.ID, outcome.Overloaded, max(wait-a.settings.StartWait/2, minRetryAfter)), false
	case now+wait > a.since(r.Deadline):
		return refusal(r.ID, outcome.Overloaded, max(wait, minRetryAfter)), false
	}
	return Refusal{}, true
}

// queueLimit is the cell's part of the pool's limit.
func (c *cell) queueLimit() float64 {
	cells := len(c.owner.pools[c.pool].cells)
	return float64(max(c.owner.settings.QueueLimit/cells, 1))
}

// ahead returns the number of waiting calls of the same or a higher priority.
func (c *cell) ahead(priority int) int {
	ahead := len(c.alone) + c.holds.len()
	for _, l := range c.order.levels {
		if l.priority >= priority {
			ahead += l.waiting
		}
	}
	return ahead
}

// drainTime returns the time in which the cell serves that many calls.
func (c *cell) drainTime(calls int) time.Duration {
	slots, free := 0, 0
	for set := c.live; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		slots += s.Slots
		free += max(0, s.Slots-s.running)
	}
	if slots == 0 || calls < free {
		return 0
	}
	seconds := c.speeds.run.or(runSecondsInit) * float64(calls) / float64(slots)
	return time.Duration(seconds * float64(time.Second))
}

// overShare reports whether a tenant has more than its weighted share of the
// waiting calls.
func (c *cell) overShare(name string, waiting float64) bool {
	t := c.order.tenants[name]
	if t == nil || t.waiting == 0 {
		return false
	}
	return float64(t.waiting) > waiting*t.weight/c.order.activeWeight
}
