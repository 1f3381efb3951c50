package schedule

import "time"

const (
	// maxParkTime bounds the wait of a call for one busy backend server. It is
	// the time in which a common accelerator recomputes a prompt of 10,000
	// tokens.
	maxParkTime = 2 * time.Second
	// maxParkCostRatio limits the cost of waiting for a busy backend server,
	// relative to the cost on the best available one. It is below 1 because
	// the estimated wait is uncertain.
	maxParkCostRatio = 0.8
	// prefillWeight multiplies the time to compute prompt tokens, because all
	// later calls on the backend server wait for it. In the virtual-time load
	// model, 8 leaves 6% of the prompt tokens recomputed, 16 less than 5%, and
	// 32 makes programs slower again.
	prefillWeight = 16
)

// choose returns the available one of the usable servers with the lowest
// weightedSeconds for the call. If waiting for a busy server that has the prompt
// cached is cheaper, it also returns that server and the longest time to wait
// for it. Both are nil when none of the usable servers is available.
func (c *cell) choose(call *call, usable uint64) (best, busy *server, wait time.Duration) {
	cached := c.prefixes.match(call.request.Prefix, &c.cachedDepth)
	lowest := 0.0
	for set := c.available & usable; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		cost := c.weightedSeconds(call, s, c.cachedBlocks(cached, s))
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best == nil || call.parkedBefore {
		return best, nil, 0
	}
	for set := cached & usable &^ c.available; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if s.slowness.slowed || s.exclusive || s == c.reserved {
			continue
		}
		queueSeconds := c.latency.run.valueOr(initialRunSeconds) * float64(len(s.parked)+1) / float64(s.Slots)
		cost := queueSeconds + c.weightedSeconds(call, s, c.cachedBlocks(cached, s))
		if queueSeconds < maxParkTime.Seconds()/2 && cost < maxParkCostRatio*lowest {
			busy, lowest = s, cost
			// Wait up to twice the expected time, which is uncertain.
			wait = min(maxParkTime, time.Duration(2*queueSeconds*float64(time.Second)))
		}
	}
	return best, busy, wait
}

// cachedBlocks returns how many leading blocks a server is assumed to cache.
// The set cached is the result of the last prefix match, which also filled
// cachedDepth.
func (c *cell) cachedBlocks(cached uint64, s *server) int {
	if cached&(1<<s.index) == 0 {
		return 0
	}
	return int(c.cachedDepth[s.index])
}

// uncachedTokens returns the prompt tokens to compute when the given number of
// leading blocks is cached.
func (r *Request) uncachedTokens(blocks int) int {
	if len(r.Prefix) == 0 {
		return r.PromptTokens
	}
	return r.PromptTokens - r.PromptTokens*blocks/len(r.Prefix)
}

// expectedTokens predicts how many tokens a call generates.
func (c *call) expectedTokens() float64 {
	return min(c.class.tokens.valueOr(float64(c.request.MaxTokens)), float64(c.request.MaxTokens))
}

// expectedSeconds returns the expected duration of a call on a server.
func (c *cell) expectedSeconds(call *call, s *server, blocks int) float64 {
	batch := s.running + s.otherNodeCalls
	seconds := c.latency.expectedFirstToken(call.request.uncachedTokens(blocks) + s.pendingPrefill)
	seconds += call.expectedTokens() * c.latency.expectedTokenInterval(batch+1)
	if batch >= s.Slots {
		// Calls of other nodes fill the server, so the call would wait there.
		seconds += c.latency.run.valueOr(initialRunSeconds) * float64(batch-s.Slots+1) / float64(s.Slots)
	}
	// Break ties in favour of the smaller batch.
	return seconds*s.slowness.factor + float64(batch)*1e-6
}

// weightedSeconds returns the expected duration of a call on a server plus a
// penalty for the delay that its prefill causes to other calls. It serves only
// to compare servers.
func (c *cell) weightedSeconds(call *call, s *server, blocks int) float64 {
	prefill := float64(call.request.uncachedTokens(blocks)) * c.latency.prefill.valueOr(initialPrefillSeconds)
	return c.expectedSeconds(call, s, blocks) + prefillWeight*prefill
}

// startCopy records that a copy of a call starts on a server.
func (c *cell) startCopy(call *call, s *server, now time.Duration, hedge bool) {
	blocks := 0
	if cached := c.prefixes.match(call.request.Prefix, &c.cachedDepth); cached != 0 {
		blocks = c.cachedBlocks(cached, s)
	}
	seconds := c.expectedSeconds(call, s, blocks) / s.slowness.factor
	r := &call.copies[0]
	if r.server != nil {
		r = &call.copies[1]
	}
	uncached := call.request.uncachedTokens(blocks)
	s.running++
	s.pendingPrefill += uncached
	*r = runCopy{
		call: call, server: s, sent: now, lastToken: now, prefillTokens: s.pendingPrefill, uncachedTokens: uncached,
		assumedBlocks: blocks, hedge: hedge, checkIndex: notInHeap,
	}
	r.nextCheck = now + c.checkDelay(r)
	c.checks.push(r)
	c.prefixes.insert(s.index, call.request.Prefix)
	c.totalSeconds += seconds
	if hedge {
		c.hedgeSeconds += seconds
		call.hedgeSeconds = seconds
	} else {
		call.state = stateRunning
		call.estimatedSeconds = seconds
		call.tenant.running++
		c.queue.charge(call.tenant, seconds)
	}
	if call.request.Isolated {
		s.exclusive = true
		c.reserved = nil
	}
	if s.slowness.slowed {
		s.lastProbe = now
	}
	if !c.canAccept(s, now) {
		c.available &^= 1 << s.index
	}
}

// recordTiming updates the latency estimates with a timing of a running copy.
func (c *cell) recordTiming(r *runCopy, now time.Duration, timing Timing) {
	s := r.server
	at := now
	if timing.Total > 0 {
		at = min(now, r.sent+timing.Total)
	}
	if !r.gotFirstToken && timing.FirstToken > 0 {
		c.endPrefill(r)
		if timing.PromptTokens > 0 {
			// Correct the assumed cached tokens by the measured ones, so that
			// a wrong assumption does not look like slowness.
			r.prefillTokens += timing.PromptTokens - timing.CachedTokens - r.uncachedTokens
		}
		c.latency.observeFirstToken(&s.slowness, max(r.prefillTokens, 0), timing.FirstToken.Seconds())
		r.lastToken = r.sent + timing.FirstToken
		r.tokens = min(1, timing.Tokens)
		c.hasNewTimings = true
	}
	if newTokens := timing.Tokens - r.tokens; r.gotFirstToken && newTokens > 0 && at > r.lastToken {
		seconds := (at - r.lastToken).Seconds() / float64(newTokens)
		c.latency.observeTokenInterval(&s.slowness, s.running+s.otherNodeCalls, seconds)
		r.tokens, r.lastToken = timing.Tokens, at
		c.hasNewTimings = true
	}
}

// endPrefill stops counting the prompt of a copy as pending on its server.
func (c *cell) endPrefill(r *runCopy) {
	if !r.gotFirstToken {
		r.gotFirstToken = true
		r.server.pendingPrefill -= r.uncachedTokens
	}
}

// finishCopy frees the slot of a copy and updates the estimates with its
// timing.
func (c *cell) finishCopy(r *runCopy, now time.Duration, timing Timing) {
	call, s := r.call, r.server
	if !timing.Failed {
		c.recordTiming(r, now, timing)
	}
	c.endPrefill(r)
	if timing.Cancelled {
		// The actual extra work is the time of the cancelled copy.
		lost := (now - r.sent).Seconds()
		c.hedgeSeconds += lost - call.hedgeSeconds
		call.hedgeSeconds = lost
	}
	if !timing.Failed && !timing.Cancelled {
		c.updateEstimates(r, (now - r.sent).Seconds(), timing)
	}
	c.checks.remove(r.checkIndex)
	s.running--
	r.server = nil
	c.changed = true
	if call.request.Isolated {
		s.exclusive = false
	}
}

// updateEstimates updates the expectations, the tenant's account and the
// prefix index with a copy that ran to its end.
func (c *cell) updateEstimates(r *runCopy, seconds float64, timing Timing) {
	call, s := r.call, r.server
	c.latency.run.add(seconds)
	c.totalSeconds += seconds - call.estimatedSeconds
	if call.request.MaxTokens > 0 {
		call.class.tokens.add(float64(timing.Tokens))
	} else {
		// A service call generates no tokens, so its whole duration is
		// compared with that of other calls of its class.
		expected := call.class.run.valueOr(seconds)
		s.slowness.firstTokenRatio += firstTokenSampleWeight * (min(seconds/expected, maxSampleRatio) - s.slowness.firstTokenRatio)
		call.class.run.addClipped(seconds)
		c.hasNewTimings = true
	}
	if !r.hedge {
		c.queue.charge(call.tenant, seconds-call.estimatedSeconds)
	}
	c.correctPrefixes(r, timing.CachedTokens)
}

// correctPrefixes drops the oldest blocks of a server that had cached less
// than half of the assumed blocks. The blocks of the prompt itself are cached
// by now and stay.
func (c *cell) correctPrefixes(r *runCopy, cachedTokens int) {
	call := r.call
	if r.assumedBlocks == 0 || call.request.PromptTokens == 0 {
		return
	}
	actual := cachedTokens * len(call.request.Prefix) / call.request.PromptTokens
	if actual*2 < r.assumedBlocks {
		c.prefixes.shrink(r.server.index, 2*r.assumedBlocks)
	}
}
