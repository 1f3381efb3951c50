package schedule

import "time"

const (
	// maxHold bounds the wait for a busy backend server. It is the time in
	// which a common accelerator recomputes a prompt of 10,000 tokens.
	maxHold = 2 * time.Second
	// holdGain is the part of the cost elsewhere below which waiting must
	// stay, because the estimated wait is uncertain.
	holdGain = 0.8
	// prefillWeight is how much computing prompt tokens counts beyond its own
	// time: all later calls of the backend server wait behind it. Measured on
	// the virtual-time model: 8 leaves 6% of the prompt tokens recomputed, 16
	// less than 5%, and 32 makes programs slower again.
	prefillWeight = 16
)

// choose returns the open server with the least expected time for the call,
// or the busy one that is worth waiting for and for how long. Both are nil
// when the call may use none of the open servers.
func (c *cell) choose(q *call, usable uint64) (best, warm *server, wait time.Duration) {
	held := c.prefixes.match(q.request.Prefix, &c.depth)
	least := 0.0
	for set := c.open & usable; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		price := c.price(q, s, c.blocks(held, s))
		if best == nil || price < least {
			best, least = s, price
		}
	}
	if best == nil || q.held {
		return best, nil, 0
	}
	for set := held & usable &^ c.open; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if s.pace.slow || s.exclusive || s == c.reserved {
			continue
		}
		queued := c.speeds.run.or(runSecondsInit) * float64(len(s.parked)+1) / float64(s.Slots)
		price := queued + c.price(q, s, c.blocks(held, s))
		if queued < maxHold.Seconds()/2 && price < holdGain*least {
			warm, least = s, price
			wait = min(maxHold, time.Duration(2*queued*float64(time.Second)))
		}
	}
	return best, warm, wait
}

// blocks returns the believed cached blocks of a server after a match.
func (c *cell) blocks(held uint64, s *server) int {
	if held&(1<<s.index) == 0 {
		return 0
	}
	return int(c.depth[s.index])
}

// uncached returns the prompt tokens to compute when the leading blocks are
// cached.
func (r *Request) uncached(blocks int) int {
	if len(r.Prefix) == 0 {
		return r.PromptTokens
	}
	return r.PromptTokens - r.PromptTokens*blocks/len(r.Prefix)
}

// expectedTokens predicts the generated tokens of a call.
func (q *call) expectedTokens() float64 {
	return min(q.class.tokens.or(float64(q.request.MaxTokens)), float64(q.request.MaxTokens))
}

// cost returns the expected seconds of a call on a server.
func (c *cell) cost(q *call, s *server, blocks int) float64 {
	batch := s.running + s.foreign
	seconds := c.speeds.expectedFirst(q.request.uncached(blocks) + s.pending)
	seconds += q.expectedTokens() * c.speeds.expectedToken(batch+1)
	if batch >= s.Slots {
		// Other nodes fill the server, so the call would wait there.
		seconds += c.speeds.run.or(runSecondsInit) * float64(batch-s.Slots+1) / float64(s.Slots)
	}
	// The smaller batch decides between equals.
	return seconds*s.pace.factor + float64(batch)*1e-6
}

// price returns the expected seconds of a call on a server together with the
// weight of the delay that it causes to others. It only compares servers.
func (c *cell) price(q *call, s *server, blocks int) float64 {
	prefill := float64(q.request.uncached(blocks)) * c.speeds.prefill.or(prefillSecondsInit)
	return c.cost(q, s, blocks) + prefillWeight*prefill
}

// start runs a copy of a call on a server.
func (c *cell) start(q *call, s *server, now time.Duration, hedge bool) {
	blocks := 0
	if held := c.prefixes.match(q.request.Prefix, &c.depth); held != 0 {
		blocks = c.blocks(held, s)
	}
	seconds := c.cost(q, s, blocks) / s.pace.factor
	r := &q.copies[0]
	if r.server != nil {
		r = &q.copies[1]
	}
	uncached := q.request.uncached(blocks)
	s.running++
	s.pending += uncached
	*r = runCopy{
		call: q, server: s, sent: now, measured: now, prefill: s.pending, uncached: uncached,
		believed: blocks, hedge: hedge, checkedAt: notQueued,
	}
	r.check = now + c.checkDelay(r)
	c.checks.push(r)
	c.prefixes.insert(s.index, q.request.Prefix)
	c.work += seconds
	if hedge {
		c.hedged += seconds
		q.extra = seconds
	} else {
		q.state = stateRunning
		q.work = seconds
		q.tenant.running++
		c.order.charge(q.tenant, seconds)
	}
	if q.request.Alone {
		s.exclusive = true
		c.reserved = nil
	}
	if s.pace.slow {
		s.probed = now
	}
	if !c.hasRoom(s, now) {
		c.open &^= 1 << s.index
	}
}

// measure takes a timing of a running copy.
func (c *cell) measure(r *runCopy, now time.Duration, timing Timing) {
	s := r.server
	at := now
	if timing.Total > 0 {
		at = min(now, r.sent+timing.Total)
	}
	if !r.gotFirst && timing.FirstToken > 0 {
		c.endPrefill(r)
		if timing.PromptTokens > 0 {
			// A wrong belief about the cache must not look like slowness.
			r.prefill += timing.PromptTokens - timing.CachedTokens - r.uncached
		}
		c.speeds.observeFirst(&s.pace, max(r.prefill, 0), timing.FirstToken.Seconds())
		r.measured = r.sent + timing.FirstToken
		r.tokens = min(1, timing.Tokens)
		c.dirty = true
	}
	if fresh := timing.Tokens - r.tokens; r.gotFirst && fresh > 0 && at > r.measured {
		seconds := (at - r.measured).Seconds() / float64(fresh)
		c.speeds.observeToken(&s.pace, s.running+s.foreign, seconds)
		r.tokens, r.measured = timing.Tokens, at
		c.dirty = true
	}
}

func (c *cell) endPrefill(r *runCopy) {
	if !r.gotFirst {
		r.gotFirst = true
		r.server.pending -= r.uncached
	}
}

// finish ends a copy and learns from it.
func (c *cell) finish(r *runCopy, now time.Duration, timing Timing) {
	q, s := r.call, r.server
	if !timing.Failed {
		c.measure(r, now, timing)
	}
	c.endPrefill(r)
	if timing.Cancelled {
		// The time of the copy that lost is the real extra work.
		lost := (now - r.sent).Seconds()
		c.hedged += lost - q.extra
		q.extra = lost
	}
	if !timing.Failed && !timing.Cancelled {
		c.learn(r, (now - r.sent).Seconds(), timing)
	}
	c.checks.remove(r.checkedAt)
	s.running--
	r.server = nil
	c.changed = true
	if q.request.Alone {
		s.exclusive = false
	}
}

func (c *cell) learn(r *runCopy, seconds float64, timing Timing) {
	q, s := r.call, r.server
	c.speeds.run.add(seconds)
	c.work += seconds - q.work
	if q.request.MaxTokens > 0 {
		q.class.tokens.add(float64(timing.Tokens))
	} else {
		// A service call has no tokens; its whole time is compared with the
		// other calls of its class.
		expected := q.class.run.or(seconds)
		s.pace.first += firstWeight * (min(seconds/expected, sampleCap) - s.pace.first)
		q.class.run.addCut(seconds)
		c.dirty = true
	}
	if !r.hedge {
		c.order.charge(q.tenant, seconds-q.work)
	}
	c.correct(r, timing.CachedTokens)
}

// correct forgets the oldest blocks of a server that turned out to keep less
// than believed. The prompt's own blocks are cached by now and stay.
func (c *cell) correct(r *runCopy, cachedTokens int) {
	q := r.call
	if r.believed == 0 || q.request.PromptTokens == 0 {
		return
	}
	actual := cachedTokens * len(q.request.Prefix) / q.request.PromptTokens
	if actual*2 < r.believed {
		c.prefixes.shrink(r.server.index, 2*r.believed)
	}
}
