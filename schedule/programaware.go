package schedule

import (
	"slices"
	"time"
)

// programAware implements the program-aware policy. It partitions the backend
// servers of a pool into cells of at most maxCellServers, so that the cost of a
// decision does not grow with the pool. A program stays in its cell, where its
// prompts are cached.
type programAware struct {
	settings  Settings
	base      time.Time // internal times are durations since base
	pools     map[string]*pool
	poolNames []string // sorted, so that decisions are reproducible
	servers   map[BackendID]*server
	calls     map[CallID]*call
	freeCalls []*call // ended calls, kept for reuse
}

// pool is the set of backend servers that share a pool name.
type pool struct {
	cells []*cell
}

// maxCellServers is the largest number of backend servers in a cell. A set of
// them fits in one 64-bit word.
const maxCellServers = 64

// server is the state of a backend server.
type server struct {
	Backend
	cell           *cell
	index          int32   // in the cell
	listed         bool    // in the last SetBackends
	exclusive      bool    // runs an isolated call
	running        int     // copies granted or adopted by this node
	otherNodeCalls int     // running and waiting calls of other nodes, by the last load report
	pendingPrefill int     // uncached prompt tokens of copies without a first token
	parked         []*call // calls that wait for this server
	slowness       slowness
	lastProbe      time.Duration // when a copy was last started while the server was slowed
}

// call is a waiting or running call.
type call struct {
	request          Request
	cell             *cell
	tenant           *tenant
	class            *classStats
	arrived          time.Duration
	deadline         time.Duration
	rank             time.Duration // order among the tenant's calls, see fairQueue
	state            callState
	queue            *tenantQueue
	parkedOn         *server       // the server that a parked call waits for
	parkedUntil      time.Duration // end of the wait for parkedOn
	parkedBefore     bool          // has been parked and must not be parked for a cache again
	estimatedSeconds float64       // expected duration, charged to the tenant at the start
	hedgeSeconds     float64       // counted so far for the second copy

	// Positions in the heaps, or notInHeap.
	queueIndex, arrivalIndex, deadlineIndex, parkedIndex int
	copies                                               [2]runCopy
}

type callState uint8

const (
	stateQueued   callState = iota // in the cell's fairQueue
	stateParked                    // waits for one server
	stateIsolated                  // waits for a server without other calls
	stateRunning
)

// runCopy is one running copy of a call. The second copy of a call is a hedge
// or a probe.
type runCopy struct {
	call           *call
	server         *server // nil when the copy does not run
	sent           time.Duration
	prefillTokens  int // uncached prompt tokens the server computes before the first token
	uncachedTokens int // the part of prefillTokens that belongs to this call
	assumedBlocks  int // blocks assumed to be cached when the copy started
	gotFirstToken  bool
	hedge          bool
	tokens         int           // generated at the last measurement
	lastToken      time.Duration // time of the last new token, or the start
	nextCheck      time.Duration // when to compare its progress with the expectation
	checkIndex     int           // position in the heap of checks
}

// classStats predicts the generated tokens and the duration of the calls of a
// class.
type classStats struct {
	tokens movingAverage
	run    movingAverage // seconds; only for service calls, which generate no tokens
}

func newProgramAware(settings Settings) *programAware {
	return &programAware{
		settings: settings,
		pools:    map[string]*pool{},
		servers:  map[BackendID]*server{},
		calls:    map[CallID]*call{},
	}
}

// sinceBase converts a time to internal time. The base is an hour before the
// first time seen, so that earlier arrivals of adopted calls stay positive.
func (a *programAware) sinceBase(t time.Time) time.Duration {
	if a.base.IsZero() {
		a.base = t.Add(-time.Hour)
	}
	return t.Sub(a.base)
}

// SetBackends implements Scheduler.
func (a *programAware) SetBackends(now time.Time, backends []Backend) {
	a.sinceBase(now) // sets the base on the first call
	for _, s := range a.servers {
		s.listed = false
	}
	for i := range backends {
		a.setBackend(&backends[i], backends)
	}
	for id, s := range a.servers {
		if !s.listed && s.running == 0 {
			s.cell.detach(s)
			delete(a.servers, id)
		}
	}
	for _, name := range a.poolNames {
		for _, c := range a.pools[name].cells {
			c.refresh()
		}
		a.rerouteCalls(a.pools[name])
	}
}

func (a *programAware) setBackend(b *Backend, all []Backend) {
	s := a.servers[b.ID]
	if s != nil && s.Pool != b.Pool {
		if s.running > 0 {
			return // its calls in the old pool must end first
		}
		s.cell.releaseParked(s)
		s.cell.detach(s)
		s = nil
	}
	if s == nil {
		s = &server{slowness: slowness{tokenRatio: 1, firstTokenRatio: 1, factor: 1}}
		a.servers[b.ID] = s
		a.pool(b.Pool).cellFor(a, b.Pool, all).attach(s)
	}
	s.Backend, s.listed = *b, true
}

// pool returns the named pool and creates it when it is new.
func (a *programAware) pool(name string) *pool {
	p := a.pools[name]
	if p == nil {
		p = &pool{}
		a.pools[name] = p
		a.poolNames = append(a.poolNames, name)
		slices.Sort(a.poolNames)
	}
	return p
}

// Submit implements Scheduler.
func (a *programAware) Submit(now time.Time, request Request, out *Decisions) {
	if a.calls[request.ID] != nil {
		return
	}
	t := a.sinceBase(now)
	cell := a.pools[request.Pool].route(&request)
	if refused, ok := a.admit(t, cell, &request); !ok {
		out.Refusals = append(out.Refusals, refused)
		return
	}
	c := a.newCall(request, cell)
	c.rank = c.arrived + a.rankDelay(request.Attained)
	cell.enqueue(c)
}

// rankDelay returns how far a program's attained service moves its calls
// behind those of new programs, at most by the ageing bound.
func (a *programAware) rankDelay(attained int64) time.Duration {
	delay := time.Duration(float64(attained) / attainedPerSecond * float64(time.Second))
	return min(delay, a.settings.AgeingBound)
}

// attainedPerSecond is the attained service, in budget units, that counts as
// much as one second of waiting. A short program receives about this much in
// total, so it is hardly delayed.
const attainedPerSecond = 4000

func (a *programAware) newCall(request Request, cell *cell) *call {
	var c *call
	if last := len(a.freeCalls) - 1; last >= 0 {
		c = a.freeCalls[last]
		a.freeCalls = a.freeCalls[:last]
	} else {
		c = &call{}
	}
	*c = call{
		request:       request,
		cell:          cell,
		arrived:       a.sinceBase(request.Arrived),
		deadline:      a.sinceBase(request.Deadline),
		queueIndex:    notInHeap,
		arrivalIndex:  notInHeap,
		deadlineIndex: notInHeap,
		parkedIndex:   notInHeap,
	}
	cell.bind(c)
	for i := range c.copies {
		c.copies[i] = runCopy{call: c, checkIndex: notInHeap}
	}
	a.calls[request.ID] = c
	return c
}

// removeCall removes a call that has ended and keeps its memory for reuse.
func (a *programAware) removeCall(c *call) {
	delete(a.calls, c.request.ID)
	c.request = Request{}
	a.freeCalls = append(a.freeCalls, c)
}

// Adopt implements Scheduler.
func (a *programAware) Adopt(now time.Time, request Request, backend BackendID) {
	s := a.servers[backend]
	if s == nil || a.calls[request.ID] != nil {
		return
	}
	c := a.newCall(request, s.cell)
	s.cell.startCopy(c, s, a.sinceBase(now), false)
	s.cell.changed = true
	s.cell.endPrefill(&c.copies[0]) // the time of its first token is not measured here
}

// Withdraw implements Scheduler.
func (a *programAware) Withdraw(id CallID) {
	if c := a.calls[id]; c != nil && c.state != stateRunning {
		c.cell.dequeue(c)
		a.removeCall(c)
	}
}

// Progress implements Scheduler.
func (a *programAware) Progress(now time.Time, id CallID, backend BackendID, timing Timing) {
	if r := a.findCopy(id, backend); r != nil {
		r.call.cell.recordTiming(r, a.sinceBase(now), timing)
		r.call.cell.changed = true
	}
}

// findCopy returns the copy of a call that runs on a backend server, or nil.
func (a *programAware) findCopy(id CallID, backend BackendID) *runCopy {
	c := a.calls[id]
	if c == nil {
		return nil
	}
	for i := range c.copies {
		if s := c.copies[i].server; s != nil && s.ID == backend {
			return &c.copies[i]
		}
	}
	return nil
}

// Finish implements Scheduler.
func (a *programAware) Finish(now time.Time, id CallID, backend BackendID, timing Timing) {
	r := a.findCopy(id, backend)
	if r == nil {
		return
	}
	c, s := r.call, r.server
	c.cell.finishCopy(r, a.sinceBase(now), timing)
	if !s.listed && s.running == 0 {
		s.cell.detach(s)
		delete(a.servers, s.ID)
	}
	if c.copies[0].server == nil && c.copies[1].server == nil {
		c.tenant.running--
		c.cell.queue.evictIdle(c.tenant)
		a.removeCall(c)
	}
}

// ApplyLoadReport implements Scheduler.
func (a *programAware) ApplyLoadReport(_ time.Time, report LoadReport) {
	if s := a.servers[report.Backend]; s != nil {
		s.otherNodeCalls = max(0, report.Running+report.Waiting-s.running)
	}
}

// ApplyCacheEvent implements Scheduler.
func (a *programAware) ApplyCacheEvent(_ time.Time, event CacheEvent) {
	s := a.servers[event.Backend]
	if s == nil {
		return
	}
	if event.Evicted {
		s.cell.prefixes.remove(s.index, event.Hash)
	} else {
		s.cell.prefixes.touch(s.index, event.Hash)
	}
}

// Next implements Scheduler.
func (a *programAware) Next(now time.Time, out *Decisions) {
	t := a.sinceBase(now)
	for _, name := range a.poolNames {
		for _, c := range a.pools[name].cells {
			c.next(t, out)
		}
	}
}

// NextWake implements Scheduler.
func (a *programAware) NextWake() time.Time {
	earliest := never
	for _, p := range a.pools {
		for _, c := range p.cells {
			if c.changed {
				earliest = min(earliest, c.nextWake())
			} else {
				earliest = min(earliest, c.wakeAt)
			}
		}
	}
	if earliest == never {
		return time.Time{}
	}
	return a.base.Add(earliest)
}

// never is later than every internal time.
const never = time.Duration(1<<63 - 1)

// Waiting implements Scheduler.
func (a *programAware) Waiting() int {
	waiting := 0
	for _, p := range a.pools {
		for _, c := range p.cells {
			waiting += c.deadlines.len()
		}
	}
	return waiting
}
