package schedule

import (
	"slices"
	"time"
)

// fairQueue orders the waiting calls of a cell: by declared priority, then by
// the weighted service of the tenant, least first, then by rank. The rank of a
// call is its arrival time plus a delay in proportion to the attained service
// of its program. Because all waiting calls age at the same rate, their ranks
// keep their order while they wait, and a heap can hold them.
//
// A second heap holds the same calls by arrival. When the oldest call has waited
// beyond the ageing bound, it gets the next grant after grantsPerOverdue grants
// in a row to calls that were not overdue, so that neither calls of low priority
// nor those of long programs starve.
type fairQueue struct {
	weights            map[string]float64
	levels             []*priorityLevel // highest priority first
	tenants            map[string]*tenant
	byArrival          indexHeap[*call]
	grantsSinceOverdue int     // grants since the last one to an overdue call
	virtualTime        float64 // highest tenant.served at a grant; an idle tenant resumes at least there
	waiting            int
	// activeWeight is the sum of the weights of tenants with waiting calls.
	activeWeight float64
}

// priorityLevel holds the waiting calls of one declared priority.
type priorityLevel struct {
	priority int
	tenants  indexHeap[*tenantQueue] // queues with calls, by tenant.served
	waiting  int
}

// tenant is the fair-share account of one tenant in one cell.
type tenant struct {
	name    string
	weight  float64
	served  float64 // seconds of slot time per unit of weight
	waiting int
	running int
	queues  []*tenantQueue
}

// tenantQueue holds the waiting calls of one tenant at one priority.
type tenantQueue struct {
	tenant    *tenant
	level     *priorityLevel
	calls     indexHeap[*call] // by rank
	heapIndex int              // position in level.tenants, or notInHeap
}

const (
	// grantsPerOverdue is the number of grants to calls that are not overdue
	// before one that is given by age. It limits the grants given by age to one
	// in nine, so that an overloaded queue does not become first come, first
	// served.
	grantsPerOverdue = 8
	// maxKeptTenants is the number of accounts per cell above which those of
	// idle tenants are dropped.
	maxKeptTenants = 4096
)

func newFairQueue(weights map[string]float64) *fairQueue {
	return &fairQueue{
		weights: weights,
		tenants: map[string]*tenant{},
		byArrival: indexHeap[*call]{
			less:     func(a, b *call) bool { return a.arrived < b.arrived },
			setIndex: func(c *call, index int) { c.arrivalIndex = index },
		},
	}
}

// tenant returns the account of a tenant and creates it when it is new.
func (f *fairQueue) tenant(name string) *tenant {
	t := f.tenants[name]
	if t == nil {
		weight := f.weights[name]
		if weight <= 0 {
			weight = 1
		}
		t = &tenant{name: name, weight: weight}
		f.tenants[name] = t
	}
	return t
}

// level returns the level of a priority and creates it when it is new.
func (f *fairQueue) level(priority int) *priorityLevel {
	for i, l := range f.levels {
		if l.priority == priority {
			return l
		}
		if l.priority < priority {
			return f.insertLevel(i, priority)
		}
	}
	return f.insertLevel(len(f.levels), priority)
}

func (f *fairQueue) insertLevel(i, priority int) *priorityLevel {
	l := &priorityLevel{priority: priority, tenants: indexHeap[*tenantQueue]{
		less:     func(a, b *tenantQueue) bool { return a.tenant.served < b.tenant.served },
		setIndex: func(q *tenantQueue, index int) { q.heapIndex = index },
	}}
	f.levels = slices.Insert(f.levels, i, l)
	return l
}

// queue returns the tenant's queue at a level and creates it when it is new.
func (t *tenant) queue(l *priorityLevel) *tenantQueue {
	for _, q := range t.queues {
		if q.level == l {
			return q
		}
	}
	q := &tenantQueue{tenant: t, level: l, heapIndex: notInHeap, calls: indexHeap[*call]{
		less:     func(a, b *call) bool { return a.rank < b.rank },
		setIndex: func(c *call, index int) { c.queueIndex = index },
	}}
	t.queues = append(t.queues, q)
	return q
}

func (f *fairQueue) add(c *call) {
	l := f.level(c.request.Priority)
	t := c.tenant
	if t.waiting == 0 && t.running == 0 {
		// A tenant accumulates no credit while it is idle.
		t.served = max(t.served, f.virtualTime)
	}
	c.queue = t.queue(l)
	c.queue.calls.push(c)
	if c.queue.heapIndex == notInHeap {
		l.tenants.push(c.queue)
	}
	f.byArrival.push(c)
	if t.waiting == 0 {
		f.activeWeight += t.weight
	}
	t.waiting++
	l.waiting++
	f.waiting++
}

func (f *fairQueue) remove(c *call) {
	q := c.queue
	q.calls.remove(c.queueIndex)
	if q.calls.len() == 0 {
		q.level.tenants.remove(q.heapIndex)
	}
	f.byArrival.remove(c.arrivalIndex)
	q.tenant.waiting--
	if q.tenant.waiting == 0 {
		f.activeWeight -= q.tenant.weight
	}
	q.level.waiting--
	f.waiting--
}

// peek returns the next call without removing it, or nil. Calls that arrived
// before overdueBefore are overdue.
func (f *fairQueue) peek(overdueBefore time.Duration) *call {
	if f.waiting == 0 {
		return nil
	}
	if f.grantsSinceOverdue >= grantsPerOverdue && f.byArrival.top().arrived < overdueBefore {
		return f.byArrival.top()
	}
	for _, l := range f.levels {
		if l.tenants.len() > 0 {
			return l.tenants.top().calls.top()
		}
	}
	return nil
}

// recordGrant counts a grant, so that peek can limit the share of overdue
// calls.
func (f *fairQueue) recordGrant(c *call, overdueBefore time.Duration) {
	f.grantsSinceOverdue++
	f.virtualTime = max(f.virtualTime, c.tenant.served)
	if c.arrived < overdueBefore {
		f.grantsSinceOverdue = 0
	}
}

// charge adds slot time to a tenant's account.
func (f *fairQueue) charge(t *tenant, seconds float64) {
	t.served += seconds / t.weight
	for _, q := range t.queues {
		if q.heapIndex != notInHeap {
			q.level.tenants.fix(q.heapIndex)
		}
	}
}

// evictIdle drops the account of a tenant that has no calls when there are too
// many accounts.
func (f *fairQueue) evictIdle(t *tenant) {
	if t.waiting == 0 && t.running == 0 && len(f.tenants) > maxKeptTenants {
		delete(f.tenants, t.name)
	}
}
