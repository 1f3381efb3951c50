package schedule

import (
	"slices"
	"time"
)

// order keeps the waiting calls of a cell. Calls are taken by declared
// priority, then from the tenant with the least weighted service, then by
// rank. The rank of a call is its arrival delayed in proportion to the
// service that its program attained; because all waiting calls age at the
// same rate, this order never changes while they wait and a heap can hold it.
//
// A second heap holds the same calls by arrival. One grant in agedEvery goes
// to the oldest call when that waits beyond the ageing bound, so that neither
// low priority nor long programs starve.
type order struct {
	weights map[string]float64
	levels  []*level // highest priority first
	tenants map[string]*tenant
	aged    indexHeap[*call]
	grants  int
	floor   float64 // virtual time at which a tenant enters
	waiting int
	// activeWeight is the sum of the weights of tenants with waiting calls.
	activeWeight float64
}

type level struct {
	priority int
	tenants  indexHeap[*tenantQueue]
	waiting  int
}

// tenant is the fair share account of one tenant in one cell.
type tenant struct {
	name    string
	weight  float64
	served  float64 // seconds of backend time per unit of weight
	waiting int
	running int
	queues  []*tenantQueue
}

type tenantQueue struct {
	tenant   *tenant
	level    *level
	calls    indexHeap[*call]
	position int
}

const (
	// agedEvery limits overdue calls to an eighth of the grants, so that an
	// overloaded queue does not turn into first come, first served.
	agedEvery = 8
	// tenantsKept bounds the accounts of idle tenants per cell.
	tenantsKept = 4096
)

func newOrder(weights map[string]float64) *order {
	return &order{
		weights: weights,
		tenants: map[string]*tenant{},
		aged: indexHeap[*call]{
			less:  func(a, b *call) bool { return a.arrived < b.arrived },
			place: func(c *call, position int) { c.agedAt = position },
		},
	}
}

func (o *order) tenant(name string) *tenant {
	t := o.tenants[name]
	if t == nil {
		weight := o.weights[name]
		if weight <= 0 {
			weight = 1
		}
		t = &tenant{name: name, weight: weight}
		o.tenants[name] = t
	}
	return t
}

func (o *order) level(priority int) *level {
	for i, l := range o.levels {
		if l.priority == priority {
			return l
		}
		if l.priority < priority {
			return o.insertLevel(i, priority)
		}
	}
	return o.insertLevel(len(o.levels), priority)
}

func (o *order) insertLevel(i, priority int) *level {
	l := &level{priority: priority, tenants: indexHeap[*tenantQueue]{
		less:  func(a, b *tenantQueue) bool { return a.tenant.served < b.tenant.served },
		place: func(q *tenantQueue, position int) { q.position = position },
	}}
	o.levels = slices.Insert(o.levels, i, l)
	return l
}

func (t *tenant) queue(l *level) *tenantQueue {
	for _, q := range t.queues {
		if q.level == l {
			return q
		}
	}
	q := &tenantQueue{tenant: t, level: l, position: notQueued, calls: indexHeap[*call]{
		less:  func(a, b *call) bool { return a.rank < b.rank },
		place: func(c *call, position int) { c.queuedAt = position },
	}}
	t.queues = append(t.queues, q)
	return q
}

func (o *order) add(c *call) {
	l := o.level(c.request.Priority)
	t := c.tenant
	if t.waiting == 0 && t.running == 0 {
		// An idle tenant collects no credit for the time it was away.
		t.served = max(t.served, o.floor)
	}
	c.queue = t.queue(l)
	c.queue.calls.push(c)
	if c.queue.position == notQueued {
		l.tenants.push(c.queue)
	}
	o.aged.push(c)
	if t.waiting == 0 {
		o.activeWeight += t.weight
	}
	t.waiting++
	l.waiting++
	o.waiting++
}

func (o *order) remove(c *call) {
	q := c.queue
	q.calls.remove(c.queuedAt)
	if q.calls.len() == 0 {
		q.level.tenants.remove(q.position)
	}
	o.aged.remove(c.agedAt)
	q.tenant.waiting--
	if q.tenant.waiting == 0 {
		o.activeWeight -= q.tenant.weight
	}
	q.level.waiting--
	o.waiting--
}

// pick returns the next call without removing it, or nil.
func (o *order) pick(overdue time.Duration) *call {
	if o.waiting == 0 {
		return nil
	}
	if o.grants >= agedEvery && o.aged.top().arrived < overdue {
		return o.aged.top()
	}
	for _, l := range o.levels {
		if l.tenants.len() > 0 {
			return l.tenants.top().calls.top()
		}
	}
	return nil
}

// granted counts a grant for the share of overdue calls.
func (o *order) granted(c *call, overdue time.Duration) {
	o.grants++
	o.floor = max(o.floor, c.tenant.served)
	if c.arrived < overdue {
		o.grants = 0
	}
}

// charge adds backend time to a tenant's account.
func (o *order) charge(t *tenant, seconds float64) {
	t.served += seconds / t.weight
	for _, q := range t.queues {
		if q.position != notQueued {
			q.level.tenants.fix(q.position)
		}
	}
}

// forget drops idle tenants when there are too many.
func (o *order) forget(t *tenant) {
	if t.waiting == 0 && t.running == 0 && len(o.tenants) > tenantsKept {
		delete(o.tenants, t.name)
	}
}
