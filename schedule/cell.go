package schedule

import (
	"math/bits"
	"slices"
	"time"

	"dogwoodline.example/outcome"
)

// cell is a queue with the backend servers it serves.
type cell struct {
	owner    *aware
	pool     string
	servers  [cellSize]*server
	attached int
	live     uint64 // servers that may get new work
	order    *order
	prefixes *prefixIndex
	speeds   speeds
	classes  map[string]*classStats

	deadlines indexHeap[*call] // all waiting calls
	holds     indexHeap[*call] // parked calls
	checks    indexHeap[*runCopy]
	alone     []*call
	reserved  *server // drains for the first call in alone

	depth  [cellSize]int32 // result of the last prefix match
	sorted [2][]float64    // scratch memory of judge
	dirty  bool            // new timings since the last judge
	judged time.Duration
	// Only a cell that changed or whose time has come has decisions to take.
	changed bool
	wakeAt  time.Duration
	work    float64 // expected seconds of all grants
	hedged  float64 // part of work that hedges and probes added
	open    uint64  // servers that can take a call now
}

func newCell(owner *aware, pool string) *cell {
	return &cell{
		owner:    owner,
		pool:     pool,
		order:    newOrder(owner.settings.TenantWeights),
		prefixes: newPrefixIndex(owner.settings.CacheBlocks),
		classes:  map[string]*classStats{},
		deadlines: indexHeap[*call]{
			less:  func(a, b *call) bool { return a.deadline < b.deadline },
			place: func(c *call, position int) { c.deadlineAt = position },
		},
		holds: indexHeap[*call]{
			less:  func(a, b *call) bool { return a.hold < b.hold },
			place: func(c *call, position int) { c.holdAt = position },
		},
		checks: indexHeap[*runCopy]{
			less:  func(a, b *runCopy) bool { return a.check < b.check },
			place: func(r *runCopy, position int) { r.checkedAt = position },
		},
	}
}

func lowestBit(set uint64) int { return bits.TrailingZeros64(set) }

func (c *cell) class(name string) *classStats {
	stats := c.classes[name]
	if stats == nil {
		stats = &classStats{}
		c.classes[name] = stats
	}
	return stats
}

func (c *cell) attach(s *server) {
	for i, other := range c.servers {
		if other == nil {
			c.servers[i] = s
			s.cell, s.index = c, int32(i)
			c.attached++
			return
		}
	}
	panic("schedule: no room in the chosen cell")
}

func (c *cell) detach(s *server) {
	c.prefixes.clear(s.index)
	c.servers[s.index] = nil
	c.attached--
}

// refresh brings everything up to date that depends on the set of servers.
func (c *cell) refresh() {
	c.live, c.changed = 0, true
	for i, s := range c.servers {
		if s == nil {
			continue
		}
		if s.listed && !s.Leaving && s.Slots > 0 {
			c.live |= 1 << i
			continue
		}
		c.releaseParked(s)
		if c.reserved == s {
			c.reserved = nil
		}
	}
	c.judge()
}

// usable returns the servers that may run the request, busy or not.
func (c *cell) usable(r *Request) uint64 {
	set := c.live
	for _, id := range r.Exclude {
		if s := c.owner.servers[id]; s != nil && s.cell == c {
			set &^= 1 << s.index
		}
	}
	return set
}

// bind makes a call one of this cell.
func (c *cell) bind(q *call) {
	q.cell = c
	q.class = c.class(q.request.Class)
	q.tenant = c.order.tenant(q.request.Tenant)
}

// put queues a waiting call.
func (c *cell) put(q *call) {
	c.bind(q)
	c.changed = true
	c.deadlines.push(q)
	if q.request.Alone {
		q.state = stateAlone
		c.alone = append(c.alone, q)
		return
	}
	q.state = stateQueued
	c.order.add(q)
}

// take removes a waiting call.
func (c *cell) take(q *call) {
	c.deadlines.remove(q.deadlineAt)
	switch q.state {
	case stateQueued:
		c.order.remove(q)
	case stateParked:
		c.unpark(q)
	case stateAlone:
		i := slices.Index(c.alone, q)
		c.alone = slices.Delete(c.alone, i, i+1)
		if i == 0 {
			c.reserved = nil
		}
	case stateRunning:
		panic("schedule: a running call is in no queue")
	}
}

// park makes a call wait for one server until its hold ends.
func (c *cell) park(q *call, s *server, until time.Duration) {
	c.order.remove(q)
	q.state, q.parkedOn, q.hold = stateParked, s, until
	s.parked = append(s.parked, q)
	c.holds.push(q)
}

func (c *cell) unpark(q *call) {
	s := q.parkedOn
	i := slices.Index(s.parked, q)
	s.parked = slices.Delete(s.parked, i, i+1)
	q.parkedOn = nil
	c.holds.remove(q.holdAt)
}

// requeue puts a parked call back; it does not wait for a cache again.
func (c *cell) requeue(q *call) {
	c.unpark(q)
	q.held = true
	q.state = stateQueued
	c.order.add(q)
}

func (c *cell) releaseParked(s *server) {
	for len(s.parked) > 0 {
		c.requeue(s.parked[0])
	}
}

// next takes all decisions that are due.
func (c *cell) next(now time.Duration, out *Decisions) {
	if !c.changed && now < c.wakeAt {
		return
	}
	c.decide(now, out)
	c.changed, c.wakeAt = false, c.wake()
}

func (c *cell) decide(now time.Duration, out *Decisions) {
	c.expire(now, out)
	for c.holds.len() > 0 && c.holds.top().hold <= now {
		c.requeue(c.holds.top())
	}
	if c.dirty && now >= c.judged+judgeInterval {
		c.judged = now
		c.judge()
	}
	c.runChecks(now, out)
	if c.deadlines.len() == 0 {
		return
	}
	c.open = c.openServers(now)
	c.serveAlone(now, out)
	c.serveParked(now, out)
	c.serveQueue(now, out)
}

func (c *cell) expire(now time.Duration, out *Decisions) {
	for c.deadlines.len() > 0 && c.deadlines.top().deadline < now {
		c.refuse(c.deadlines.top(), outcome.DeadlineExceeded, c.drainTime(c.order.waiting), out)
	}
}

func (c *cell) refuse(q *call, reason outcome.Reason, retryAfter time.Duration, out *Decisions) {
	out.Refusals = append(out.Refusals, refusal(q.request.ID, reason, retryAfter))
	c.take(q)
	c.order.forget(q.tenant)
	c.owner.release(q)
}

// judgeInterval bounds how often the servers are compared with each other.
const judgeInterval = 10 * time.Millisecond

// openServers returns the servers that can take a call now.
func (c *cell) openServers(now time.Duration) uint64 {
	var open uint64
	for set := c.live; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if c.hasRoom(s, now) {
			open |= 1 << s.index
		}
	}
	return open
}

func (c *cell) hasRoom(s *server, now time.Duration) bool {
	if s.exclusive || s == c.reserved || s.running >= s.Slots {
		return false
	}
	return !s.pace.slow || s.running == 0 && now >= s.probed+probeInterval
}

// probeInterval is the time between calls to a slowed backend server.
const probeInterval = 500 * time.Millisecond

// serveAlone empties one server after the other for the quarantined calls.
// At most one is reserved, so that they cannot take the whole pool.
func (c *cell) serveAlone(now time.Duration, out *Decisions) {
	for len(c.alone) > 0 {
		q := c.alone[0]
		if c.reserved == nil {
			c.reserved = c.leastBusy(c.usable(&q.request))
		}
		if c.reserved == nil {
			c.refuse(q, outcome.NoBackend, retryAfterNoBackend, out)
			continue
		}
		s := c.reserved
		c.open &^= 1 << s.index
		c.releaseParked(s)
		if s.running > 0 {
			return
		}
		c.grant(q, s, now, out)
	}
}

// leastBusy returns the server with the fewest calls that is neither
// exclusive nor, if possible, slowed; nil when there is none.
func (c *cell) leastBusy(set uint64) *server {
	var best *server
	for ; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if best == nil || s.busyRank() < best.busyRank() {
			best = s
		}
	}
	return best
}

func (s *server) busyRank() int {
	rank := s.running + len(s.parked)
	if s.pace.slow {
		rank += 1 << 16
	}
	if s.exclusive {
		rank += 1 << 20
	}
	return rank
}

func (c *cell) serveParked(now time.Duration, out *Decisions) {
	for set := c.open; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		for len(s.parked) > 0 && c.hasRoom(s, now) {
			c.grant(s.parked[0], s, now, out)
		}
	}
}

// serveQueue grants in queue order until no server is open. Each step takes
// one call out of the order, so it ends.
func (c *cell) serveQueue(now time.Duration, out *Decisions) {
	overdue := now - c.owner.settings.AgeingBound
	for c.open != 0 {
		q := c.order.pick(overdue)
		if q == nil {
			return
		}
		usable := c.usable(&q.request)
		if usable == 0 {
			c.refuse(q, outcome.NoBackend, retryAfterNoBackend, out)
			continue
		}
		best, warm, wait := c.choose(q, usable)
		if s := c.neglected(usable, now); s != nil {
			best, warm = s, nil
		}
		switch {
		case warm != nil:
			c.park(q, warm, now+wait)
		case best != nil:
			c.order.granted(q, overdue)
			c.grant(q, best, now, out)
			c.probe(q, now, out)
		default: // all open servers are excluded for this call
			c.park(q, c.leastBusy(usable), now+maxHold)
		}
	}
}

func (c *cell) grant(q *call, s *server, now time.Duration, out *Decisions) {
	c.take(q)
	c.start(q, s, now, false)
	out.Grants = append(out.Grants, Grant{ID: q.request.ID, Backend: s.ID})
}

// wake returns when next is due without an event.
func (c *cell) wake() time.Duration {
	earliest := never
	if c.deadlines.len() > 0 {
		earliest = c.deadlines.top().deadline + 1
		for set := c.live; set != 0; set &= set - 1 {
			s := c.servers[lowestBit(set)]
			if s.pace.slow && s.running == 0 {
				earliest = min(earliest, s.probed+probeInterval)
			}
		}
	}
	if c.holds.len() > 0 {
		earliest = min(earliest, c.holds.top().hold)
	}
	if c.checks.len() > 0 {
		earliest = min(earliest, c.checks.top().check)
	}
	return earliest
}
