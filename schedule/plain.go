package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodline.example/outcome"
)

// plainPolicy implements the three policies that do not consider programs.
// random-fcfs and least-reported-load-fcfs keep a queue per backend server,
// least-outstanding keeps one per pool.
type plainPolicy struct {
	policy        string
	settings      Settings
	random        *rand.Rand
	servers       map[BackendID]*plainServer
	sortedServers []*plainServer // by ID, so that decisions are reproducible
	pools         map[string]*plainQueue
	calls         map[CallID]*plainCall
	deadlines     indexHeap[*plainCall] // all waiting calls by deadline
}

// plainServer is the state of a backend server.
type plainServer struct {
	Backend
	listed          bool // in the last SetBackends
	running         int
	exclusive       bool // runs an isolated call
	reported        int  // running and waiting calls in the last report
	sentSinceReport int  // calls assigned to this server since that report
	queue           plainQueue
}

// plainQueue is a FIFO queue. Withdrawn and expired calls stay in it until they
// reach its head.
type plainQueue struct {
	calls   []*plainCall
	waiting int // waiting calls of the pool; counted only in the pool's queue
}

// plainCall is a waiting or running call.
type plainCall struct {
	request   Request
	waiting   bool
	server    *plainServer // set while running
	heapIndex int          // position in plainPolicy.deadlines, or notInHeap
}

func newPlainPolicy(policy string, settings Settings) *plainPolicy {
	return &plainPolicy{
		policy:   policy,
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		servers:  map[BackendID]*plainServer{},
		pools:    map[string]*plainQueue{},
		calls:    map[CallID]*plainCall{},
		deadlines: indexHeap[*plainCall]{
			less:     func(a, b *plainCall) bool { return a.request.Deadline.Before(b.request.Deadline) },
			setIndex: func(c *plainCall, index int) { c.heapIndex = index },
		},
	}
}

// SetBackends implements Scheduler.
func (p *plainPolicy) SetBackends(_ time.Time, backends []Backend) {
	for _, s := range p.servers {
		s.listed = false
	}
	for _, b := range backends {
		s := p.servers[b.ID]
		if s == nil {
			s = &plainServer{}
			p.servers[b.ID] = s
		}
		s.Backend, s.listed = b, true
	}
	p.sortedServers = p.sortedServers[:0]
	for id, s := range p.servers {
		if !s.listed && s.running == 0 && len(s.queue.calls) == 0 {
			delete(p.servers, id)
			continue
		}
		p.sortedServers = append(p.sortedServers, s)
	}
	slices.SortFunc(p.sortedServers, func(a, b *plainServer) int {
		return compareIDs(a.ID, b.ID)
	})
}

func compareIDs(a, b BackendID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// usable reports whether the server may run the request, busy or not.
func (s *plainServer) usable(r *Request) bool {
	return s.listed && !s.Leaving && s.Slots > 0 && s.Pool == r.Pool && !slices.Contains(r.Exclude, s.ID)
}

// canStart reports whether the server has a slot for the request now.
func (s *plainServer) canStart(r *Request) bool {
	if s.exclusive || s.running >= s.Slots {
		return false
	}
	return !r.Isolated || s.running == 0
}

// Submit implements Scheduler.
func (p *plainPolicy) Submit(now time.Time, request Request, out *Decisions) {
	if p.calls[request.ID] != nil {
		return
	}
	queue := p.pools[request.Pool]
	if queue == nil {
		queue = &plainQueue{}
		p.pools[request.Pool] = queue
	}
	if queue.waiting >= p.settings.QueueLimit {
		out.Refusals = append(out.Refusals, newRefusal(request.ID, outcome.Overloaded, retryAfterFull))
		return
	}
	c := &plainCall{request: request, waiting: true}
	if !p.enqueue(c) {
		out.Refusals = append(out.Refusals, newRefusal(request.ID, outcome.NoBackend, retryAfterNoBackend))
		return
	}
	p.calls[request.ID] = c
	p.deadlines.push(c)
	queue.waiting++
}

// enqueue assigns a call to a queue. It reports false when no backend server
// may run the call.
func (p *plainPolicy) enqueue(c *plainCall) bool {
	target := p.choose(&c.request, false)
	if target == nil {
		return false
	}
	if p.policy == LeastOutstanding {
		queue := p.pools[c.request.Pool]
		queue.calls = append(queue.calls, c)
		return true
	}
	target.sentSinceReport++
	target.queue.calls = append(target.queue.calls, c)
	return true
}

// choose returns the backend server that the policy selects for a call, or nil
// when there is none. With onlyFree it considers only servers with a free slot.
func (p *plainPolicy) choose(r *Request, onlyFree bool) *plainServer {
	var best *plainServer
	lowest, candidates := 0, 0
	for _, s := range p.sortedServers {
		if !s.usable(r) || onlyFree && !s.canStart(r) {
			continue
		}
		load := s.running
		if p.policy == LeastReportedFCFS {
			load = s.reported + s.sentSinceReport
		}
		candidates++
		switch {
		case best == nil, p.policy != RandomFCFS && load < lowest:
			best, lowest = s, load
		case p.policy == RandomFCFS && p.random.IntN(candidates) == 0: // reservoir sampling: all candidates are equally likely
			best = s
		}
	}
	return best
}

// Adopt implements Scheduler.
func (p *plainPolicy) Adopt(_ time.Time, request Request, backend BackendID) {
	s := p.servers[backend]
	if s == nil || p.calls[request.ID] != nil {
		return
	}
	c := &plainCall{request: request, heapIndex: notInHeap}
	p.calls[request.ID] = c
	p.start(c, s)
}

func (p *plainPolicy) start(c *plainCall, s *plainServer) {
	c.server = s
	s.running++
	s.exclusive = c.request.Isolated
}

// Withdraw implements Scheduler.
func (p *plainPolicy) Withdraw(id CallID) {
	if c := p.calls[id]; c != nil && c.waiting {
		p.drop(c)
	}
}

// drop removes a waiting call.
func (p *plainPolicy) drop(c *plainCall) {
	p.stopWaiting(c)
	delete(p.calls, c.request.ID)
}

// stopWaiting marks a call as no longer waiting. It stays in its plainQueue
// until it reaches the head.
func (p *plainPolicy) stopWaiting(c *plainCall) {
	c.waiting = false
	p.deadlines.remove(c.heapIndex)
	p.pools[c.request.Pool].waiting--
}

// Progress implements Scheduler. These policies do not use timings.
func (p *plainPolicy) Progress(time.Time, CallID, BackendID, Timing) {}

// ApplyCacheEvent implements Scheduler. These policies do not use cache events.
func (p *plainPolicy) ApplyCacheEvent(time.Time, CacheEvent) {}

// Finish implements Scheduler.
func (p *plainPolicy) Finish(_ time.Time, id CallID, backend BackendID, _ Timing) {
	c := p.calls[id]
	if c == nil || c.server == nil || c.server.ID != backend {
		return
	}
	c.server.running--
	if c.request.Isolated {
		c.server.exclusive = false
	}
	delete(p.calls, id)
}

// ApplyLoadReport implements Scheduler.
func (p *plainPolicy) ApplyLoadReport(_ time.Time, report LoadReport) {
	if s := p.servers[report.Backend]; s != nil {
		s.reported, s.sentSinceReport = report.Running+report.Waiting, 0
	}
}

// Next implements Scheduler.
func (p *plainPolicy) Next(now time.Time, out *Decisions) {
	for p.deadlines.len() > 0 && p.deadlines.top().request.Deadline.Before(now) {
		c := p.deadlines.top()
		p.drop(c)
		out.Refusals = append(out.Refusals, newRefusal(c.request.ID, outcome.DeadlineExceeded, 0))
	}
	if p.policy == LeastOutstanding {
		for _, queue := range p.pools {
			p.servePoolQueue(queue, out)
		}
		return
	}
	for _, s := range p.sortedServers {
		p.serveServerQueue(s, out)
	}
}

// servePoolQueue grants calls in order of arrival until the first one has to
// wait for a free slot.
func (p *plainPolicy) servePoolQueue(queue *plainQueue, out *Decisions) {
	for c := queue.head(); c != nil; c = queue.head() {
		s := p.choose(&c.request, true)
		if s == nil && p.choose(&c.request, false) != nil {
			return
		}
		queue.calls = queue.calls[1:]
		p.grantOrRefuse(c, s, out)
	}
}

// serveServerQueue does the same as servePoolQueue for the queue of one server.
// Calls that the server may no longer run are assigned to another one.
func (p *plainPolicy) serveServerQueue(s *plainServer, out *Decisions) {
	for c := s.queue.head(); c != nil; c = s.queue.head() {
		target := s
		if !s.usable(&c.request) {
			s.queue.calls = s.queue.calls[1:]
			if !p.enqueue(c) {
				p.grantOrRefuse(c, nil, out)
			}
			continue
		}
		if !s.canStart(&c.request) {
			return
		}
		s.queue.calls = s.queue.calls[1:]
		p.grantOrRefuse(c, target, out)
	}
}

// grantOrRefuse grants a call on the server, or refuses it when s is nil.
func (p *plainPolicy) grantOrRefuse(c *plainCall, s *plainServer, out *Decisions) {
	if s == nil {
		p.drop(c)
		out.Refusals = append(out.Refusals, newRefusal(c.request.ID, outcome.NoBackend, retryAfterNoBackend))
		return
	}
	p.stopWaiting(c)
	p.start(c, s)
	out.Grants = append(out.Grants, Grant{ID: c.request.ID, Backend: s.ID})
}

// head removes calls that no longer wait from the front, and returns the first
// waiting call, or nil.
func (q *plainQueue) head() *plainCall {
	for len(q.calls) > 0 && !q.calls[0].waiting {
		q.calls = q.calls[1:]
	}
	if len(q.calls) == 0 {
		return nil
	}
	return q.calls[0]
}

// NextWake implements Scheduler.
func (p *plainPolicy) NextWake() time.Time {
	if p.deadlines.len() == 0 {
		return time.Time{}
	}
	return p.deadlines.top().request.Deadline.Add(1)
}

// Waiting implements Scheduler.
func (p *plainPolicy) Waiting() int { return p.deadlines.len() }
