package engine

import (
	"math"
	"slices"
	"time"
)

// Advance moves the simulation to now. It steps from event to event, because
// the token rates change whenever a request changes its phase.
func (c *core) Advance(now time.Time) {
	if c.crashed || c.hung {
		c.advancedTo = now
		return
	}
	c.finishLoads(now)
	for {
		step := min(c.timeToNextEvent(), now.Sub(c.advancedTo))
		if step < 0 {
			return
		}
		c.advancedTo = c.advancedTo.Add(step)
		c.advanceRequests(step.Seconds())
		changed := c.applyTransitions(c.advancedTo)
		if c.crashed || (!changed && !c.advancedTo.Before(now)) {
			break
		}
	}
	c.expire(now)
}

// rates returns the tokens per wall-clock second of each request in prefill and
// of each request in decode.
func (c *core) rates() (prefillRate, decodeRate float64) {
	speed := c.config.TimeScale / c.slowFactor
	prefilling := 0
	for _, r := range c.running {
		if r.phase == prefill {
			prefilling++
		}
	}
	prefillRate = speed * c.config.PrefillTokensPerS / float64(max(prefilling, 1))
	decodeRate = speed * c.config.DecodeTokensPerS / (1 + c.config.BatchSlowdown*float64(len(c.running)-1))
	return prefillRate, decodeRate
}

// timeToNextEvent returns the wall-clock time until a running request finishes
// its prefill or reaches its notifyAt, and one hour at most.
func (c *core) timeToNextEvent() time.Duration {
	prefillRate, decodeRate := c.rates()
	next := math.Inf(1)
	for _, r := range c.running {
		if r.phase == prefill {
			next = min(next, r.prefillRemaining/prefillRate)
		} else {
			next = min(next, (float64(r.notifyAt)-r.generated)/decodeRate)
		}
	}
	if next > time.Hour.Seconds() {
		return time.Hour
	}
	return time.Duration(math.Ceil(next * float64(time.Second)))
}

// advanceRequests adds the tokens that the running requests process in the
// given wall-clock seconds.
func (c *core) advanceRequests(seconds float64) {
	prefillRate, decodeRate := c.rates()
	for _, r := range c.running {
		if r.phase == prefill {
			r.prefillRemaining -= seconds * prefillRate
		} else {
			r.generated = min(r.generated+seconds*decodeRate, float64(r.notifyAt))
		}
	}
}

// applyTransitions applies the phase changes and notifications of running
// requests that are due, and reports whether there were any.
func (c *core) applyTransitions(now time.Time) bool {
	changed := false
	for _, r := range slices.Clone(c.running) {
		switch {
		case r.phase == prefill && r.prefillRemaining <= tokenEpsilon:
			c.cache.store(now, r.program, r.blockHashes[:r.promptBlocks])
			r.phase = decode
			changed = true
		case r.phase == decode && r.generated >= float64(r.notifyAt)-tokenEpsilon:
			c.handleNotifyPoint(now, r)
			changed = true
		}
	}
	if changed {
		c.fillBatch(now)
	}
	return changed
}

// handleNotifyPoint handles a request that has generated notifyAt tokens: it
// notifies the handler of the next chunk, or ends the request when its answer
// is complete.
func (c *core) handleNotifyPoint(now time.Time, r *request) {
	r.generated = float64(r.notifyAt)
	if r.notifyAt < r.totalTokens {
		c.notify(r, c.progressOf(r))
		r.notifyAt = min(r.totalTokens, r.notifyAt+c.config.ChunkTokens)
		return
	}
	r.phase = ended
	c.running = slices.DeleteFunc(c.running, func(other *request) bool { return other == r })
	c.cache.store(now, r.program, r.blockHashes)
	c.totals.Finished++
	c.totals.GeneratedTokens += int64(r.totalTokens - r.resumeTokens)
	c.retain(r)
	c.notify(r, c.progressOf(r))
}

// retain keeps a complete answer so that its stream can be resumed, and drops
// the oldest one beyond the limit.
func (c *core) retain(r *request) {
	c.retained = append(c.retained, r)
	if len(c.retained) > c.config.RetainedAnswers {
		c.unregister(c.retained[0])
		c.retained = slices.Delete(c.retained, 0, 1)
	}
}

// expire refuses waiting requests past their deadline and cancels requests
// whose client did not reconnect within the resume window.
func (c *core) expire(now time.Time) {
	if c.crashed {
		return
	}
	for _, r := range slices.Clone(c.waiting) {
		if !r.deadline.IsZero() && now.After(r.deadline) {
			c.remove(now, r, pastDeadline)
		}
	}
	for _, r := range slices.Concat(c.running, c.waiting) {
		if !r.disconnectedAt.IsZero() && now.Sub(r.disconnectedAt) >= c.config.wallTime(c.config.ResumeWindow) {
			c.remove(now, r, cancelled)
		}
	}
}

// NextWake returns the time until Advance must be called again.
func (c *core) NextWake(time.Time) time.Duration {
	next := time.Hour
	if c.crashed || c.hung {
		return next
	}
	if len(c.running) > 0 {
		next = c.timeToNextEvent()
	}
	for _, r := range c.waiting {
		if !r.deadline.IsZero() {
			next = min(next, r.deadline.Sub(c.advancedTo)+time.Millisecond)
		}
	}
	for _, ready := range c.loading {
		next = min(next, ready.Sub(c.advancedTo))
	}
	for _, r := range slices.Concat(c.running, c.waiting) {
		if !r.disconnectedAt.IsZero() {
			next = min(next, r.disconnectedAt.Add(c.config.wallTime(c.config.ResumeWindow)).Sub(c.advancedTo))
		}
	}
	return max(next, 0)
}
