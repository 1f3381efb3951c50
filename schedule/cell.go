package schedule

import (
	"math/bits"
	"slices"
	"time"

	"dogwoodline.example/outcome"
)

// cell is a partition of a pool: up to maxCellServers backend servers and the
// queue of the calls that wait for them. Sets of its servers are bit masks over
// server.index.
type cell struct {
	policy   *programAware
	pool     string
	servers  [maxCellServers]*server
	attached int    // servers in the cell
	eligible uint64 // servers that may get new calls
	queue    *fairQueue
	prefixes *prefixIndex
	latency  latencyModel
	classes  map[string]*classStats

	deadlines indexHeap[*call]    // all waiting calls by deadline
	parked    indexHeap[*call]    // by parkedUntil
	checks    indexHeap[*runCopy] // running copies by nextCheck
	isolated  []*call             // waiting calls that must run alone on a server
	reserved  *server             // gets no new calls, to empty it for isolated[0]

	cachedDepth   [maxCellServers]int32 // result of the last prefix match
	ratios        [2][]float64          // scratch memory of detectSlowServers
	hasNewTimings bool                  // since the last detectSlowServers
	lastDetection time.Duration         // when detectSlowServers last ran
	// next has decisions to take only if changed is set or wakeAt has passed.
	changed      bool
	wakeAt       time.Duration
	totalSeconds float64 // slot time of all copies, estimated; corrected when a copy completes
	hedgeSeconds float64 // extra slot time caused by hedges and probes
	available    uint64  // servers that can start a call now
}

func newCell(policy *programAware, pool string) *cell {
	return &cell{
		policy:   policy,
		pool:     pool,
		queue:    newFairQueue(policy.settings.TenantWeights),
		prefixes: newPrefixIndex(policy.settings.CacheBlocksPerBackend),
		classes:  map[string]*classStats{},
		deadlines: indexHeap[*call]{
			less:     func(a, b *call) bool { return a.deadline < b.deadline },
			setIndex: func(c *call, index int) { c.deadlineIndex = index },
		},
		parked: indexHeap[*call]{
			less:     func(a, b *call) bool { return a.parkedUntil < b.parkedUntil },
			setIndex: func(c *call, index int) { c.parkedIndex = index },
		},
		checks: indexHeap[*runCopy]{
			less:     func(a, b *runCopy) bool { return a.nextCheck < b.nextCheck },
			setIndex: func(r *runCopy, index int) { r.checkIndex = index },
		},
	}
}

// lowestBit returns the smallest server index in a set that is not empty.
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
	panic("schedule: server attached to a full cell")
}

func (c *cell) detach(s *server) {
	c.prefixes.clear(s.index)
	c.servers[s.index] = nil
	c.attached--
}

// refresh updates the state that depends on the set of servers.
func (c *cell) refresh() {
	c.eligible, c.changed = 0, true
	for i, s := range c.servers {
		if s == nil {
			continue
		}
		if s.listed && !s.Leaving && s.Slots > 0 {
			c.eligible |= 1 << i
			continue
		}
		c.releaseParked(s)
		if c.reserved == s {
			c.reserved = nil
		}
	}
	c.detectSlowServers()
}

// usable returns the servers that may run the request, busy or not.
func (c *cell) usable(r *Request) uint64 {
	set := c.eligible
	for _, id := range r.Exclude {
		if s := c.policy.servers[id]; s != nil && s.cell == c {
			set &^= 1 << s.index
		}
	}
	return set
}

// bind sets the fields of a call that refer to its cell.
func (c *cell) bind(call *call) {
	call.cell = c
	call.class = c.class(call.request.Class)
	call.tenant = c.queue.tenant(call.request.Tenant)
}

// enqueue adds a waiting call to the cell.
func (c *cell) enqueue(call *call) {
	c.bind(call)
	c.changed = true
	c.deadlines.push(call)
	if call.request.Isolated {
		call.state = stateIsolated
		c.isolated = append(c.isolated, call)
		return
	}
	call.state = stateQueued
	c.queue.add(call)
}

// dequeue removes a waiting call, whichever of the cell's queues holds it.
func (c *cell) dequeue(call *call) {
	c.deadlines.remove(call.deadlineIndex)
	switch call.state {
	case stateQueued:
		c.queue.remove(call)
	case stateParked:
		c.unpark(call)
	case stateIsolated:
		i := slices.Index(c.isolated, call)
		c.isolated = slices.Delete(c.isolated, i, i+1)
		if i == 0 {
			c.reserved = nil
		}
	case stateRunning:
		panic("schedule: dequeue of a running call")
	}
}

// park takes a call out of the queue to wait for one server. At the given time
// the call returns to the queue.
func (c *cell) park(call *call, s *server, until time.Duration) {
	c.queue.remove(call)
	call.state, call.parkedOn, call.parkedUntil = stateParked, s, until
	s.parked = append(s.parked, call)
	c.parked.push(call)
}

// unpark ends the wait of a parked call and leaves it in no queue.
func (c *cell) unpark(call *call) {
	s := call.parkedOn
	i := slices.Index(s.parked, call)
	s.parked = slices.Delete(s.parked, i, i+1)
	call.parkedOn = nil
	c.parked.remove(call.parkedIndex)
}

// requeue returns a parked call to the queue. choose does not park it again.
func (c *cell) requeue(call *call) {
	c.unpark(call)
	call.parkedBefore = true
	call.state = stateQueued
	c.queue.add(call)
}

// releaseParked requeues the calls that wait for a server.
func (c *cell) releaseParked(s *server) {
	for len(s.parked) > 0 {
		c.requeue(s.parked[0])
	}
}

// next takes all due decisions, if there can be any.
func (c *cell) next(now time.Duration, out *Decisions) {
	if !c.changed && now < c.wakeAt {
		return
	}
	c.decide(now, out)
	c.changed, c.wakeAt = false, c.nextWake()
}

func (c *cell) decide(now time.Duration, out *Decisions) {
	c.expire(now, out)
	for c.parked.len() > 0 && c.parked.top().parkedUntil <= now {
		c.requeue(c.parked.top())
	}
	if c.hasNewTimings && now >= c.lastDetection+detectionInterval {
		c.lastDetection = now
		c.detectSlowServers()
	}
	c.runChecks(now, out)
	if c.deadlines.len() == 0 {
		return
	}
	c.available = c.availableServers(now)
	c.serveIsolated(now, out)
	c.serveParked(now, out)
	c.serveQueue(now, out)
}

// expire refuses waiting calls whose deadline has passed.
func (c *cell) expire(now time.Duration, out *Decisions) {
	for c.deadlines.len() > 0 && c.deadlines.top().deadline < now {
		c.refuse(c.deadlines.top(), outcome.DeadlineExceeded, c.drainTime(c.queue.waiting), out)
	}
}

func (c *cell) refuse(call *call, reason outcome.Reason, retryAfter time.Duration, out *Decisions) {
	out.Refusals = append(out.Refusals, newRefusal(call.request.ID, reason, retryAfter))
	c.dequeue(call)
	c.queue.evictIdle(call.tenant)
	c.policy.removeCall(call)
}

// detectionInterval is the shortest time between comparisons of the servers
// because of new timings.
const detectionInterval = 10 * time.Millisecond

// availableServers returns the servers that can start a call now.
func (c *cell) availableServers(now time.Duration) uint64 {
	var available uint64
	for set := c.eligible; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if c.canAccept(s, now) {
			available |= 1 << s.index
		}
	}
	return available
}

// canAccept reports whether an eligible server can start a call now. A slowed
// server starts one call at a time, at most one per probeInterval.
func (c *cell) canAccept(s *server, now time.Duration) bool {
	if s.exclusive || s == c.reserved || s.running >= s.Slots {
		return false
	}
	return !s.slowness.slowed || s.running == 0 && now >= s.lastProbe+probeInterval
}

// probeInterval is the shortest time between calls to a slowed backend server.
const probeInterval = 500 * time.Millisecond

// serveIsolated empties one server after the other for the isolated calls. It
// reserves at most one server at a time, so that they cannot occupy the whole
// pool.
func (c *cell) serveIsolated(now time.Duration, out *Decisions) {
	for len(c.isolated) > 0 {
		call := c.isolated[0]
		if c.reserved == nil {
			c.reserved = c.leastLoaded(c.usable(&call.request))
		}
		if c.reserved == nil {
			c.refuse(call, outcome.NoBackend, retryAfterNoBackend, out)
			continue
		}
		s := c.reserved
		c.available &^= 1 << s.index
		c.releaseParked(s)
		if s.running > 0 {
			return
		}
		c.grant(call, s, now, out)
	}
}

// leastLoaded returns the server of the set with the fewest calls, or nil when
// the set is empty. It prefers servers that are neither exclusive nor slowed.
func (c *cell) leastLoaded(set uint64) *server {
	var best *server
	for ; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		if best == nil || s.loadRank() < best.loadRank() {
			best = s
		}
	}
	return best
}

// loadRank orders servers for leastLoaded: slowed ones after the others, and
// exclusive ones last.
func (s *server) loadRank() int {
	rank := s.running + len(s.parked)
	if s.slowness.slowed {
		rank += 1 << 16
	}
	if s.exclusive {
		rank += 1 << 20
	}
	return rank
}

// serveParked grants parked calls whose server has become available.
func (c *cell) serveParked(now time.Duration, out *Decisions) {
	for set := c.available; set != 0; set &= set - 1 {
		s := c.servers[lowestBit(set)]
		for len(s.parked) > 0 && c.canAccept(s, now) {
			c.grant(s.parked[0], s, now, out)
		}
	}
}

// serveQueue grants calls in queue order until no server is available. Each
// iteration removes one call from the queue, so the loop ends.
func (c *cell) serveQueue(now time.Duration, out *Decisions) {
	overdueBefore := now - c.policy.settings.AgeingBound
	for c.available != 0 {
		call := c.queue.peek(overdueBefore)
		if call == nil {
			return
		}
		usable := c.usable(&call.request)
		if usable == 0 {
			c.refuse(call, outcome.NoBackend, retryAfterNoBackend, out)
			continue
		}
		best, busy, wait := c.choose(call, usable)
		if s := c.overdueForProbe(usable, now); s != nil {
			best, busy = s, nil
		}
		switch {
		case busy != nil:
			c.park(call, busy, now+wait)
		case best != nil:
			c.queue.recordGrant(call, overdueBefore)
			c.grant(call, best, now, out)
			c.probe(call, now, out)
		default: // the call excludes all available servers
			c.park(call, c.leastLoaded(usable), now+maxParkTime)
		}
	}
}

func (c *cell) grant(call *call, s *server, now time.Duration, out *Decisions) {
	c.dequeue(call)
	c.startCopy(call, s, now, false)
	out.Grants = append(out.Grants, Grant{ID: call.request.ID, Backend: s.ID})
}

// nextWake returns the time at which next is due even without an event.
func (c *cell) nextWake() time.Duration {
	earliest := never
	if c.deadlines.len() > 0 {
		earliest = c.deadlines.top().deadline + 1
		for set := c.eligible; set != 0; set &= set - 1 {
			s := c.servers[lowestBit(set)]
			if s.slowness.slowed && s.running == 0 {
				earliest = min(earliest, s.lastProbe+probeInterval)
			}
		}
	}
	if c.parked.len() > 0 {
		earliest = min(earliest, c.parked.top().parkedUntil)
	}
	if c.checks.len() > 0 {
		earliest = min(earliest, c.checks.top().nextCheck)
	}
	return earliest
}
