package schedule

import "time"

const (
	// maxHedgeShare bounds the share of hedges and probes in all work. The
	// requirement is 5%; the margin covers copies that run longer than
	// expected.
	maxHedgeShare = 0.04
	// minHedgeGain is the smallest ratio of the expected remaining time of a
	// copy to the expected time on another backend server at which the call is
	// hedged.
	minHedgeGain = 1.3
	// checkInterval is the time between checks of a running copy.
	checkInterval = 200 * time.Millisecond
	// maxChecksPerStep bounds the work of one call of Next.
	maxChecksPerStep = 16
	// maxProbeGap is the time without a probe after which a slowed backend
	// server gets an ordinary call.
	maxProbeGap = 4 * probeInterval
	// stallTimeout is the time without a new token after which a copy counts
	// as stalled. Nodes measure running calls several times a second.
	stallTimeout = time.Second
)

// runChecks examines running copies whose check is due. A copy that waits
// longer than expected raises the slowness estimate of its server, and one
// that is stuck on a slowed server gets a hedge.
func (c *cell) runChecks(now time.Duration, out *Decisions) {
	computed := false
	for range maxChecksPerStep {
		if c.checks.len() == 0 || c.checks.top().nextCheck > now {
			return
		}
		r := c.checks.top()
		c.checkCopy(r, now)
		r.nextCheck = now + c.checkDelay(r)
		c.checks.fix(r.checkIndex)
		if !c.mayHedge(r) {
			continue
		}
		if !computed {
			c.available, computed = c.availableServers(now), true
		}
		c.hedge(r, now, out)
	}
}

// checkDelay returns the time until the next check of a copy.
func (c *cell) checkDelay(r *runCopy) time.Duration {
	if r.gotFirstToken {
		return checkInterval
	}
	expected := c.latency.expectedFirstToken(r.prefillTokens)
	return min(max(time.Duration(expected*float64(time.Second)), checkInterval/8), checkInterval)
}

// checkCopy raises the slowness estimate of the copy's server when the first
// or the next token is late.
func (c *cell) checkCopy(r *runCopy, now time.Duration) {
	estimate, raised := &r.server.slowness, false
	switch {
	case !r.gotFirstToken && r.call.request.MaxTokens > 0:
		raised = raiseEstimate(&estimate.firstTokenRatio, firstTokenSampleWeight, (now - r.sent).Seconds(), c.latency.expectedFirstToken(r.prefillTokens))
	case r.gotFirstToken && now-r.lastToken > stallTimeout:
		raised = raiseEstimate(&estimate.tokenRatio, tokenSampleWeight, (now - r.lastToken).Seconds(), stallTimeout.Seconds()/2)
	}
	c.hasNewTimings = c.hasNewTimings || raised
	if raised && c.lastDetection < now {
		c.lastDetection = now
		c.detectSlowServers()
	}
}

// mayHedge reports whether a second copy of the call is allowed and useful.
func (c *cell) mayHedge(r *runCopy) bool {
	call := r.call
	return r.server.slowness.slowed && call.request.Idempotent && !call.request.Isolated && call.hasOneCopy()
}

// hasOneCopy reports whether exactly one copy of the call runs.
func (c *call) hasOneCopy() bool {
	return (c.copies[0].server == nil) != (c.copies[1].server == nil)
}

// hedge starts a second copy if it is expected to end well before the first
// one and maxHedgeShare allows it.
func (c *cell) hedge(r *runCopy, now time.Duration, out *Decisions) {
	call, slow := r.call, r.server
	var best *server
	lowest := 0.0
	cached := c.prefixes.match(call.request.Prefix, &c.cachedDepth)
	for set := c.available & c.usable(&call.request); set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if s == slow || s.slowness.slowed {
			continue
		}
		seconds := c.expectedSeconds(call, s, c.cachedBlocks(cached, s))
		if best == nil || seconds < lowest {
			best, lowest = s, seconds
		}
	}
	if best == nil || c.hedgeSeconds+lowest > maxHedgeShare*c.totalSeconds || c.remainingSeconds(r) < minHedgeGain*lowest {
		return
	}
	c.startCopy(call, best, now, true)
	out.Grants = append(out.Grants, Grant{ID: call.request.ID, Backend: best.ID, Hedge: true})
}

// remainingSeconds returns the expected seconds until a running copy ends.
func (c *cell) remainingSeconds(r *runCopy) float64 {
	s, expected := r.server, r.call.expectedTokens()
	// A call that is already longer than expected still has tokens to generate.
	tokens := max(expected-float64(r.tokens), expected/5)
	seconds := tokens * c.latency.expectedTokenInterval(s.running)
	if !r.gotFirstToken {
		seconds += c.latency.expectedFirstToken(r.prefillTokens)
	}
	return seconds * s.slowness.factor
}

// overdueForProbe returns an available slowed server that got no probe for
// maxProbeGap, because the calls are not idempotent or maxHedgeShare is used
// up. The caller gives it one ordinary call; otherwise it would never be used
// again.
func (c *cell) overdueForProbe(candidates uint64, now time.Duration) *server {
	for set := c.available & candidates; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if s.slowness.slowed && now >= s.lastProbe+maxProbeGap {
			return s
		}
	}
	return nil
}

// probe sends idle slowed servers a second copy of a call that was just granted.
// Its timings show whether the server has recovered, and the call does not wait
// for it, because the first copy runs on another server.
func (c *cell) probe(call *call, now time.Duration, out *Decisions) {
	if !call.request.Idempotent || call.request.Isolated {
		return
	}
	for set := c.available & c.usable(&call.request); set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if !s.slowness.slowed || call.copies[0].server == s || !call.hasOneCopy() {
			continue
		}
		if c.hedgeSeconds+c.expectedSeconds(call, s, 0)/s.slowness.factor > maxHedgeShare*c.totalSeconds {
			continue
		}
		c.startCopy(call, s, now, true)
		out.Grants = append(out.Grants, Grant{ID: call.request.ID, Backend: s.ID, Hedge: true})
	}
}
