package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodline.example/outcome"
)

// plain implements the three policies without knowledge of programs. The
// first two keep a queue per backend server, least-outstanding one per pool.
type plain struct {
	policy   string
	settings Settings
	random   *rand.Rand
	servers  map[BackendID]*plainServer
	order    []*plainServer // by id, so that decisions are reproducible
	pools    map[string]*plainQueue
	calls    map[CallID]*plainCall
	deadline indexHeap[*plainCall]
}

type plainServer struct {
	Backend
	listed    bool
	running   int
	exclusive bool // runs a call with Alone
	reported  int  // running and waiting by the last report
	sent      int  // calls routed here since that report
	queue     plainQueue
}

// plainQueue is first come, first served. Withdrawn calls stay in it until
// they reach its head.
type plainQueue struct {
	calls   []*plainCall
	waiting int // calls of the pool in any queue; kept by the pool's queue only
}

type plainCall struct {
	request  Request
	waiting  bool
	server   *plainServer // set while running
	position int          // in the deadline heap
}

func newPlain(policy string, settings Settings) *plain {
	return &plain{
		policy:   policy,
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		servers:  map[BackendID]*plainServer{},
		pools:    map[string]*plainQueue{},
		calls:    map[CallID]*plainCall{},
		deadline: indexHeap[*plainCall]{
			less:  func(a, b *plainCall) bool { return a.request.Deadline.Before(b.request.Deadline) },
			place: func(c *plainCall, position int) { c.position = position },
		},
	}
}

// SetBackends implements Scheduler.
func (p *plain) SetBackends(_ time.Time, backends []Backend) {
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
	p.order = p.order[:0]
	for id, s := range p.servers {
		if !s.listed && s.running == 0 && len(s.queue.calls) == 0 {
			delete(p.servers, id)
			continue
		}
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(a, b *plainServer) int {
		return compare(a.ID, b.ID)
	})
}

func compare(a, b BackendID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *plainServer) usable(r *Request) bool {
	return s.listed && !s.Leaving && s.Slots > 0 && s.Pool == r.Pool && !slices.Contains(r.Exclude, s.ID)
}

func (s *plainServer) free(r *Request) bool {
	if s.exclusive || s.running >= s.Slots {
		return false
	}
	return !r.Alone || s.running == 0
}

// Submit implements Scheduler.
func (p *plain) Submit(now time.Time, request Request, out *Decisions) {
	if p.calls[request.ID] != nil {
		return
	}
	queue := p.pools[request.Pool]
	if queue == nil {
		queue = &plainQueue{}
		p.pools[request.Pool] = queue
	}
	if queue.waiting >= p.settings.QueueLimit {
		out.Refusals = append(out.Refusals, refusal(request.ID, outcome.Overloaded, retryAfterFull))
		return
	}
	c := &plainCall{request: request, waiting: true}
	if !p.enqueue(c) {
		out.Refusals = append(out.Refusals, refusal(request.ID, outcome.NoBackend, retryAfterNoBackend))
		return
	}
	p.calls[request.ID] = c
	p.deadline.push(c)
	queue.waiting++
}

func (p *plain) enqueue(c *plainCall) bool {
	target := p.choose(&c.request, false)
	if target == nil {
		return false
	}
	if p.policy == LeastOutstanding {
		queue := p.pools[c.request.Pool]
		queue.calls = append(queue.calls, c)
		return true
	}
	target.sent++
	target.queue.calls = append(target.queue.calls, c)
	return true
}

// choose returns the backend server for a call by the policy, or nil.
func (p *plain) choose(r *Request, free bool) *plainServer {
	var best *plainServer
	least, seen := 0, 0
	for _, s := range p.order {
		if !s.usable(r) || free && !s.free(r) {
			continue
		}
		load := s.running
		if p.policy == LeastReportedFCFS {
			load = s.reported + s.sent
		}
		seen++
		switch {
		case best == nil, p.policy != RandomFCFS && load < least:
			best, least = s, load
		case p.policy == RandomFCFS && p.random.IntN(seen) == 0:
			best = s
		}
	}
	return best
}

// Adopt implements Scheduler.
func (p *plain) Adopt(_ time.Time, request Request, backend BackendID) {
	s := p.servers[backend]
	if s == nil || p.calls[request.ID] != nil {
		return
	}
	c := &plainCall{request: request, position: notQueued}
	p.calls[request.ID] = c
	p.start(c, s)
}

func (p *plain) start(c *plainCall, s *plainServer) {
	c.server = s
	s.running++
	s.exclusive = c.request.Alone
}

// Withdraw implements Scheduler.
func (p *plain) Withdraw(id CallID) {
	if c := p.calls[id]; c != nil && c.waiting {
		p.drop(c)
	}
}

func (p *plain) drop(c *plainCall) {
	p.unqueue(c)
	delete(p.calls, c.request.ID)
}

func (p *plain) unqueue(c *plainCall) {
	c.waiting = false
	p.deadline.remove(c.position)
	p.pools[c.request.Pool].waiting--
}

// Progress implements Scheduler. These policies do not use timings.
func (p *plain) Progress(time.Time, CallID, BackendID, Timing) {}

// Cache implements Scheduler. These policies do not use cache events.
func (p *plain) Cache(time.Time, CacheEvent) {}

// Finish implements Scheduler.
func (p *plain) Finish(_ time.Time, id CallID, backend BackendID, _ Timing) {
	c := p.calls[id]
	if c == nil || c.server == nil || c.server.ID != backend {
		return
	}
	c.server.running--
	if c.request.Alone {
		c.server.exclusive = false
	}
	delete(p.calls, id)
}

// Report implements Scheduler.
func (p *plain) Report(_ time.Time, report Report) {
	if s := p.servers[report.Backend]; s != nil {
		s.reported, s.sent = report.Running+report.Waiting, 0
	}
}

// Next implements Scheduler.
func (p *plain) Next(now time.Time, out *Decisions) {
	for p.deadline.len() > 0 && p.deadline.top().request.Deadline.Before(now) {
		c := p.deadline.top()
		p.drop(c)
		out.Refusals = append(out.Refusals, refusal(c.request.ID, outcome.DeadlineExceeded, 0))
	}
	if p.policy == LeastOutstanding {
		for _, queue := range p.pools {
			p.serveCentral(queue, out)
		}
		return
	}
	for _, s := range p.order {
		p.serveOwn(s, out)
	}
}

func (p *plain) serveCentral(queue *plainQueue, out *Decisions) {
	for c := queue.head(); c != nil; c = queue.head() {
		s := p.choose(&c.request, true)
		if s == nil && p.choose(&c.request, false) != nil {
			return
		}
		queue.calls = queue.calls[1:]
		p.grantOrRefuse(c, s, out)
	}
}

func (p *plain) serveOwn(s *plainServer, out *Decisions) {
	for c := s.queue.head(); c != nil; c = s.queue.head() {
		target := s
		if !s.usable(&c.request) {
			s.queue.calls = s.queue.calls[1:]
			if !p.enqueue(c) {
				p.grantOrRefuse(c, nil, out)
			}
			continue
		}
		if !s.free(&c.request) {
			return
		}
		s.queue.calls = s.queue.calls[1:]
		p.grantOrRefuse(c, target, out)
	}
}

func (p *plain) grantOrRefuse(c *plainCall, s *plainServer, out *Decisions) {
	if s == nil {
		p.drop(c)
		out.Refusals = append(out.Refusals, refusal(c.request.ID, outcome.NoBackend, retryAfterNoBackend))
		return
	}
	p.unqueue(c)
	p.start(c, s)
	out.Grants = append(out.Grants, Grant{ID: c.request.ID, Backend: s.ID})
}

// head returns the first call that still waits, or nil.
func (q *plainQueue) head() *plainCall {
	for len(q.calls) > 0 && !q.calls[0].waiting {
		q.calls = q.calls[1:]
	}
	if len(q.calls) == 0 {
		return nil
	}
	return q.calls[0]
}

// Wake implements Scheduler.
func (p *plain) Wake() time.Time {
	if p.deadline.len() == 0 {
		return time.Time{}
	}
	return p.deadline.top().request.Deadline.Add(1)
}

// Waiting implements Scheduler.
func (p *plain) Waiting() int { return p.deadline.len() }
