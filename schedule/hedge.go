package schedule

import "time"

const (
	// hedgeShare bounds the work of hedges and probes. The limit is 5% of all
	// work; the margin covers copies that run longer than expected.
	hedgeShare = 0.04
	// hedgeGain is how many times the expected time on another backend
	// server the expected rest must be before a call is hedged.
	hedgeGain = 1.3
	// checkInterval is the time between checks of a running copy.
	checkInterval = 200 * time.Millisecond
	// checksPerStep bounds the work of one step.
	checksPerStep = 16
	// neglectInterval is the time without a probe after which a slowed backend
	// server gets an ordinary call.
	neglectInterval = 4 * probeInterval
	// silence is the time without any measurement after which a copy counts
	// as stalled. Nodes measure running calls several times a second.
	silence = time.Second
)

// runChecks looks at running copies whose check is due: a copy that waits
// longer than expected raises the slowness of its server, and one that is
// stuck on a slowed server gets a hedge.
func (c *cell) runChecks(now time.Duration, out *Decisions) {
	opened := false
	for range checksPerStep {
		if c.checks.len() == 0 || c.checks.top().check > now {
			return
		}
		r := c.checks.top()
		c.check(r, now)
		r.check = now + c.checkDelay(r)
		c.checks.fix(r.checkedAt)
		if !c.mayHedge(r) {
			continue
		}
		if !opened {
			c.open, opened = c.openServers(now), true
		}
		c.hedge(r, now, out)
	}
}

func (c *cell) checkDelay(r *runCopy) time.Duration {
	if r.gotFirst {
		return checkInterval
	}
	expected := c.speeds.expectedFirst(r.prefill)
	return min(max(time.Duration(expected*float64(time.Second)), checkInterval/8), checkInterval)
}

func (c *cell) check(r *runCopy, now time.Duration) {
	p, raised := &r.server.pace, false
	switch {
	case !r.gotFirst && r.call.request.MaxTokens > 0:
		raised = atLeast(&p.first, firstWeight, (now - r.sent).Seconds(), c.speeds.expectedFirst(r.prefill))
	case r.gotFirst && now-r.measured > silence:
		raised = atLeast(&p.token, fastWeight, (now - r.measured).Seconds(), silence.Seconds()/2)
	}
	c.dirty = c.dirty || raised
	if raised && c.judged < now {
		c.judged = now
		c.judge()
	}
}

func (c *cell) mayHedge(r *runCopy) bool {
	q := r.call
	return r.server.pace.slow && q.request.Idempotent && !q.request.Alone && q.single()
}

// single reports whether exactly one copy of the call runs.
func (q *call) single() bool {
	return (q.copies[0].server == nil) != (q.copies[1].server == nil)
}

// hedge sends a second copy when it is expected to end well before the first
// one and the share of extra work allows it.
func (c *cell) hedge(r *runCopy, now time.Duration, out *Decisions) {
	q, slow := r.call, r.server
	var best *server
	least := 0.0
	held := c.prefixes.match(q.request.Prefix, &c.depth)
	for set := c.open & c.usable(&q.request); set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if s == slow || s.pace.slow {
			continue
		}
		cost := c.cost(q, s, c.blocks(held, s))
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	if best == nil || c.hedged+least > hedgeShare*c.work || c.rest(r) < hedgeGain*least {
		return
	}
	c.start(q, best, now, true)
	out.Grants = append(out.Grants, Grant{ID: q.request.ID, Backend: best.ID, Hedge: true})
}

// rest returns the expected seconds until a running copy ends.
func (c *cell) rest(r *runCopy) float64 {
	s, expected := r.server, r.call.expectedTokens()
	// A call beyond the usual length still has some tokens to go.
	tokens := max(expected-float64(r.tokens), expected/5)
	seconds := tokens * c.speeds.expectedToken(s.running)
	if !r.gotFirst {
		seconds += c.speeds.expectedFirst(r.prefill)
	}
	return seconds * s.pace.factor
}

// neglected returns an open slowed server that no probe reached for long,
// because the calls are not idempotent or the share of extra work is used up.
// It then gets one ordinary call; otherwise it would never be used again.
func (c *cell) neglected(usable uint64, now time.Duration) *server {
	for set := c.open & usable; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if s.pace.slow && now >= s.probed+neglectInterval {
			return s
		}
	}
	return nil
}

// probe sends a second copy of a just granted call to an idle slowed server,
// so that its recovery is seen without making any call wait for it.
func (c *cell) probe(q *call, now time.Duration, out *Decisions) {
	if !q.request.Idempotent || q.request.Alone {
		return
	}
	for set := c.open & c.usable(&q.request); set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if !s.pace.slow || q.copies[0].server == s || !q.single() {
			continue
		}
		if c.hedged+c.cost(q, s, 0)/s.pace.factor > hedgeShare*c.work {
			continue
		}
		c.start(q, s, now, true)
		out.Grants = append(out.Grants, Grant{ID: q.request.ID, Backend: s.ID, Hedge: true})
	}
}
