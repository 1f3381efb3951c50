package engine

import (
	"math"
	"slices"
	"time"
)

// Advance moves the simulation to now. It steps from event to event, because
// rates change whenever a request changes its phase.
func (c *core) Advance(now time.Time) {
	if c.down || c.hung {
		c.last = now
		return
	}
	c.finishLoads(now)
	for {
		step := min(c.nextStep(), now.Sub(c.last))
		if step < 0 {
			return
		}
		c.last = c.last.Add(step)
		c.progress(step.Seconds())
		changed := c.settle(c.last)
		if c.down || (!changed && !c.last.Before(now)) {
			break
		}
	}
	c.expire(now)
}

// rates returns tokens per real second in prefill and decode for each request.
func (c *core) rates() (perPrefill, perDecode float64) {
	speed := c.config.TimeScale / c.slow
	prefilling := 0
	for _, r := range c.running {
		if r.phase == prefill {
			prefilling++
		}
	}
	perPrefill = speed * c.config.PrefillTokensPerS / float64(max(prefilling, 1))
	perDecode = speed * c.config.DecodeTokensPerS / (1 + c.config.BatchSlowdown*float64(len(c.running)-1))
	return perPrefill, perDecode
}

// nextStep returns the time to the next change of a running request.
func (c *core) nextStep() time.Duration {
	perPrefill, perDecode := c.rates()
	next := math.Inf(1)
	for _, r := range c.running {
		if r.phase == prefill {
			next = min(next, r.prefillLeft/perPrefill)
		} else {
			next = min(next, (float64(r.goal)-r.produced)/perDecode)
		}
	}
	if next > time.Hour.Seconds() {
		return time.Hour
	}
	return time.Duration(math.Ceil(next * float64(time.Second)))
}

func (c *core) progress(seconds float64) {
	perPrefill, perDecode := c.rates()
	for _, r := range c.running {
		if r.phase == prefill {
			r.prefillLeft -= seconds * perPrefill
		} else {
			r.produced = min(r.produced+seconds*perDecode, float64(r.goal))
		}
	}
}

// settle applies the changes that are due and reports whether there were any.
func (c *core) settle(now time.Time) bool {
	changed := false
	for _, r := range slices.Clone(c.running) {
		switch {
		case r.phase == prefill && r.prefillLeft <= tokenEpsilon:
			c.cache.store(now, r.program, r.hashes[:r.blocks])
			r.phase = decode
			changed = true
		case r.phase == decode && r.produced >= float64(r.goal)-tokenEpsilon:
			c.reach(now, r)
			changed = true
		}
	}
	if changed {
		c.fill(now)
	}
	return changed
}

// reach handles a request that generated as many tokens as its client waits
// for.
func (c *core) reach(now time.Time, r *request) {
	r.produced = float64(r.goal)
	if r.goal < r.total {
		c.notify(r, c.progressOf(r))
		r.goal = min(r.total, r.goal+c.config.ChunkTokens)
		return
	}
	r.phase = ended
	c.running = slices.DeleteFunc(c.running, func(other *request) bool { return other == r })
	c.cache.store(now, r.program, r.hashes)
	c.totals.Finished++
	c.totals.GeneratedTokens += int64(r.total - r.given)
	c.retain(r)
	c.notify(r, c.progressOf(r))
}

func (c *core) retain(r *request) {
	c.retained = append(c.retained, r)
	if len(c.retained) > c.config.RetainedAnswers {
		c.forget(c.retained[0])
		c.retained = slices.Delete(c.retained, 0, 1)
	}
}

// expire refuses waiting requests past their deadline and ends requests whose
// client did not come back in time.
func (c *core) expire(now time.Time) {
	if c.down {
		return
	}
	for _, r := range slices.Clone(c.waiting) {
		if !r.deadline.IsZero() && now.After(r.deadline) {
			c.remove(now, r, pastDeadline)
		}
	}
	for _, r := range slices.Concat(c.running, c.waiting) {
		if !r.orphaned.IsZero() && now.Sub(r.orphaned) >= c.config.real(c.config.ResumeWindow) {
			c.remove(now, r, cancelled)
		}
	}
}

// Wake returns the time until Advance has something to do.
func (c *core) Wake(time.Time) time.Duration {
	next := time.Hour
	if c.down || c.hung {
		return next
	}
	if len(c.running) > 0 {
		next = c.nextStep()
	}
	for _, r := range c.waiting {
		if !r.deadline.IsZero() {
			next = min(next, r.deadline.Sub(c.last)+time.Millisecond)
		}
	}
	for _, ready := range c.loading {
		next = min(next, ready.Sub(c.last))
	}
	for _, r := range slices.Concat(c.running, c.waiting) {
		if !r.orphaned.IsZero() {
			next = min(next, r.orphaned.Add(c.config.real(c.config.ResumeWindow)).Sub(c.last))
		}
	}
	return max(next, 0)
}
