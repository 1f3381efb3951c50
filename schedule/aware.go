package schedule

import (
	"slices"
	"time"
)

// aware is the program-aware policy. It keeps a pool's backend servers in
// cells of at most cellSize, so that the cost of a decision does not grow
// with the pool; a program stays in its cell for the sake of its cache.
type aware struct {
	settings Settings
	base     time.Time // zero point of all internal times
	pools    map[string]*pool
	names    []string // of pools, sorted, so that decisions are reproducible
	servers  map[BackendID]*server
	calls    map[CallID]*call
	spare    []*call // ended calls for reuse
}

type pool struct {
	cells []*cell
}

// cellSize is the largest number of backend servers in a cell; a set of them
// fits in one word.
const cellSize = 64

// server is a backend server as its cell sees it.
type server struct {
	Backend
	cell      *cell
	index     int32 // in the cell
	listed    bool
	exclusive bool // runs a call with Alone
	running   int  // copies granted by this node
	foreign   int  // copies of other nodes by the last report
	pending   int  // uncached prompt tokens of copies without first token
	parked    []*call
	pace      pace
	probed    time.Duration // when the last probe was sent
}

// call is a waiting or running call. Positions are those in the heaps.
type call struct {
	request  Request
	cell     *cell
	tenant   *tenant
	class    *classStats
	arrived  time.Duration
	deadline time.Duration
	rank     time.Duration
	state    callState
	queue    *tenantQueue
	parkedOn *server
	hold     time.Duration // end of the wait for parkedOn
	held     bool          // has waited for a warm backend server already
	work     float64       // expected seconds, charged to the tenant
	extra    float64       // seconds counted for a second copy so far

	queuedAt, agedAt, deadlineAt, holdAt int
	copies                               [2]runCopy
}

type callState uint8

const (
	stateQueued callState = iota
	stateParked
	stateAlone
	stateRunning
)

// runCopy is one running copy of a call; the second one is a hedge.
type runCopy struct {
	call      *call
	server    *server // nil when the copy does not run
	sent      time.Duration
	prefill   int // uncached prompt tokens to process before the first token
	uncached  int // of the call itself
	believed  int // blocks believed to be cached when it was sent
	gotFirst  bool
	hedge     bool
	tokens    int           // generated at the last measurement
	measured  time.Duration // time of the last new token
	check     time.Duration // when to compare the copy with its expectation
	checkedAt int           // position in the heap of checks
}

// classStats predicts the generated tokens and the time of a class's calls.
type classStats struct {
	tokens average
	run    average // seconds; of service calls only
}

func newAware(settings Settings) *aware {
	return &aware{
		settings: settings,
		pools:    map[string]*pool{},
		servers:  map[BackendID]*server{},
		calls:    map[CallID]*call{},
	}
}

// since converts to internal time. The first time seen is an hour after the
// zero point, so that earlier arrivals of adopted calls stay positive.
func (a *aware) since(t time.Time) time.Duration {
	if a.base.IsZero() {
		a.base = t.Add(-time.Hour)
	}
	return t.Sub(a.base)
}

// SetBackends implements Scheduler.
func (a *aware) SetBackends(now time.Time, backends []Backend) {
	a.since(now)
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
	for _, name := range a.names {
		for _, c := range a.pools[name].cells {
			c.refresh()
		}
		a.rehome(a.pools[name])
	}
}

func (a *aware) setBackend(b *Backend, all []Backend) {
	s := a.servers[b.ID]
	if s != nil && s.Pool != b.Pool {
		if s.running > 0 {
			return // the old pool's calls must end first
		}
		s.cell.releaseParked(s)
		s.cell.detach(s)
		s = nil
	}
	if s == nil {
		s = &server{pace: pace{token: 1, first: 1, factor: 1}}
		a.servers[b.ID] = s
		a.pool(b.Pool).cellFor(a, b.Pool, all).attach(s)
	}
	s.Backend, s.listed = *b, true
}

func (a *aware) pool(name string) *pool {
	p := a.pools[name]
	if p == nil {
		p = &pool{}
		a.pools[name] = p
		a.names = append(a.names, name)
		slices.Sort(a.names)
	}
	return p
}

// Submit implements Scheduler.
func (a *aware) Submit(now time.Time, request Request, out *Decisions) {
	if a.calls[request.ID] != nil {
		return
	}
	t := a.since(now)
	cell := a.pools[request.Pool].route(&request)
	if refused, ok := a.admit(t, cell, &request); !ok {
		out.Refusals = append(out.Refusals, refused)
		return
	}
	c := a.newCall(request, cell)
	c.rank = c.arrived + a.delay(request.Attained)
	cell.put(c)
}

// delay is the time by which a program's attained service puts its calls
// behind those of new programs.
func (a *aware) delay(attained int64) time.Duration {
	delay := time.Duration(float64(attained) / attainedPerSecond * float64(time.Second))
	return min(delay, a.settings.AgeingBound)
}

// attainedPerSecond is the attained service, in budget units, that weighs as
// much as one second of waiting. A short program attains about this much in
// its life, so it is hardly delayed.
const attainedPerSecond = 4000

func (a *aware) newCall(request Request, cell *cell) *call {
	var c *call
	if last := len(a.spare) - 1; last >= 0 {
		c = a.spare[last]
		a.spare = a.spare[:last]
	} else {
		c = &call{}
	}
	*c = call{
		request:    request,
		cell:       cell,
		arrived:    a.since(request.Arrived),
		deadline:   a.since(request.Deadline),
		queuedAt:   notQueued,
		agedAt:     notQueued,
		deadlineAt: notQueued,
		holdAt:     notQueued,
	}
	cell.bind(c)
	for i := range c.copies {
		c.copies[i] = runCopy{call: c, checkedAt: notQueued}
	}
	a.calls[request.ID] = c
	return c
}

func (a *aware) release(c *call) {
	delete(a.calls, c.request.ID)
	c.request = Request{}
	a.spare = append(a.spare, c)
}

// Adopt implements Scheduler.
func (a *aware) Adopt(now time.Time, request Request, backend BackendID) {
	s := a.servers[backend]
	if s == nil || a.calls[request.ID] != nil {
		return
	}
	c := a.newCall(request, s.cell)
	s.cell.start(c, s, a.since(now), false)
	s.cell.changed = true
	s.cell.endPrefill(&c.copies[0]) // its first token cannot be judged here
}

// Withdraw implements Scheduler.
func (a *aware) Withdraw(id CallID) {
	if c := a.calls[id]; c != nil && c.state != stateRunning {
		c.cell.take(c)
		a.release(c)
	}
}

// Progress implements Scheduler.
func (a *aware) Progress(now time.Time, id CallID, backend BackendID, timing Timing) {
	if r := a.find(id, backend); r != nil {
		r.call.cell.measure(r, a.since(now), timing)
		r.call.cell.changed = true
	}
}

func (a *aware) find(id CallID, backend BackendID) *runCopy {
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
func (a *aware) Finish(now time.Time, id CallID, backend BackendID, timing Timing) {
	r := a.find(id, backend)
	if r == nil {
		return
	}
	c, s := r.call, r.server
	c.cell.finish(r, a.since(now), timing)
	if !s.listed && s.running == 0 {
		s.cell.detach(s)
		delete(a.servers, s.ID)
	}
	if c.copies[0].server == nil && c.copies[1].server == nil {
		c.tenant.running--
		c.cell.order.forget(c.tenant)
		a.release(c)
	}
}

// Report implements Scheduler.
func (a *aware) Report(_ time.Time, report Report) {
	if s := a.servers[report.Backend]; s != nil {
		s.foreign = max(0, report.Running+report.Waiting-s.running)
	}
}

// Cache implements Scheduler.
func (a *aware) Cache(_ time.Time, event CacheEvent) {
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
func (a *aware) Next(now time.Time, out *Decisions) {
	t := a.since(now)
	for _, name := range a.names {
		for _, c := range a.pools[name].cells {
			c.next(t, out)
		}
	}
}

// Wake implements Scheduler.
func (a *aware) Wake() time.Time {
	earliest := never
	for _, p := range a.pools {
		for _, c := range p.cells {
			if c.changed {
				earliest = min(earliest, c.wake())
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

const never = time.Duration(1<<63 - 1)

// Waiting implements Scheduler.
func (a *aware) Waiting() int {
	waiting := 0
	for _, p := range a.pools {
		for _, c := range p.cells {
			waiting += c.deadlines.len()
		}
	}
	return waiting
}
