package quota

import (
	"cmp"
	"slices"
	"time"
)

// idlePool is how long a pool is kept that no front uses. It is full by then, unless it
// takes longer to accrue, which is to the organisation's disadvantage only once.
const idlePool = time.Minute

// expireInterval is how often a coordinator looks for fronts that have not reported. It
// is within the tenth by which reclaimDelay is longer than needed.
const expireInterval = 10 * time.Millisecond

// Coordinator leases tokens to the fronts that report to it. It spends only the shares
// that fronts have delegated to it.
type Coordinator struct {
	bounds     Bounds
	limits     map[uint64]Limit // by organisation; those without a limit are left out
	partitions [Partitions]partition
	pools      map[uint64]*pool
	need       programNeed // of all organisations
	members    map[memberKey]*member
	expired    time.Time // when expire last looked at the fronts
	swept      time.Time
}

// memberKey names a front in one of its epochs.
type memberKey struct {
	front string
	epoch uint64
}

// member is what a coordinator knows of a front.
type member struct {
	number    uint64 // of the last report
	reported  time.Time
	share     float64
	delegated uint64           // partitions
	held      map[uint64]int64 // tokens by organisation
}

// NewCoordinator returns a coordinator to which nothing is delegated.
func NewCoordinator(bounds Bounds) *Coordinator {
	return &Coordinator{bounds: bounds, pools: map[uint64]*pool{}, members: map[memberKey]*member{}}
}

// SetLimits replaces the limits of the organisations, by name.
func (c *Coordinator) SetLimits(limits map[string]Limit, now time.Time) {
	c.expire(now)
	c.limits = make(map[uint64]Limit, len(limits))
	for name, limit := range limits {
		if limit.RatePerSecond > 0 {
			c.limits[organisationKey(name)] = limit
		}
	}
	for key, p := range c.pools {
		part := &c.partitions[partitionOf(key)]
		c.refresh(p, part, now) // at the rate until now
		if limit, known := c.limits[key]; known {
			p.limit = limit
			c.trim(p, part)
		}
	}
}

// Answer takes in the report of a front and returns what it is granted. It reports false
// for a report that is older than one before.
func (c *Coordinator) Answer(front string, report Report, now time.Time) (Reply, bool) {
	c.expire(now)
	key := memberKey{front, report.Epoch}
	m := c.members[key]
	if m == nil {
		c.replaceEpochs(front, now)
		m = &member{held: map[uint64]int64{}}
		c.members[key] = m
	}
	if report.Number <= m.number {
		return Reply{}, false
	}
	m.number, m.reported = report.Number, now
	c.delegate(m, report.Delegated, report.Share, now)
	reply := Reply{Number: report.Number}
	for _, use := range report.Uses {
		if grant, tell := c.answerUse(front, m, use, now); tell {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply, true
}

// answerUse takes in what a front says about one organisation. It reports false if the
// front need not be told anything.
func (c *Coordinator) answerUse(front string, m *member, use Use, now time.Time) (Grant, bool) {
	key := use.Organisation
	part := &c.partitions[partitionOf(key)]
	p := c.pools[key]
	if p == nil {
		limit, known := c.limits[key]
		if !known {
			return Grant{Organisation: key, Unknown: true}, !use.Final
		}
		p = &pool{limit: limit, generation: part.generation, integral: part.base, hungry: map[string]time.Time{}}
		p.level = initialShare * c.bounds.allowance(limit)
		c.pools[key] = p
	}
	gone := min(m.held[key], use.Spent+use.Returned)
	m.held[key] -= gone
	p.outstanding -= gone
	c.refresh(p, part, now)
	p.level += float64(min(use.Returned, gone) + use.GivenBack)
	c.trim(p, part)
	if use.Final {
		p.outstanding -= m.held[key]
		delete(m.held, key)
		delete(p.hungry, front)
		return Grant{}, false
	}
	p.programs.advance(use.Started, use.Spent, &c.need, now)
	starts, nextStart := c.permitStarts(p, part, use)
	p.programs.scarce = nextStart > 0
	tokens := c.grant(p, part, use, starts, m.held[key], nextStart > 0)
	m.held[key] += tokens
	p.programs.retry(max(0, use.Waiting-tokens))
	hungry := tokens < use.Waiting+starts || m.held[key] == 0 && use.Wanted > 0 && p.level < 1-tolerance
	next, rate := c.outlook(p, part, front, hungry, now)
	return Grant{Organisation: key, Tokens: tokens, Next: next, Rate: rate, Starts: starts, NextStart: nextStart}, true
}

// delegate replaces what a front has delegated.
func (c *Coordinator) delegate(m *member, partitions uint64, share float64, now time.Time) {
	if m.delegated == partitions && m.share == share {
		return
	}
	for i := range c.partitions {
		before, after := 0.0, 0.0
		if m.delegated&(1<<i) != 0 {
			before = m.share
		}
		if partitions&(1<<i) != 0 {
			after = share
		}
		if before != after {
			c.partitions[i].change(after-before, now)
		}
	}
	m.delegated, m.share = partitions, share
}

// replaceEpochs ends what a front has delegated in earlier epochs. The tokens that it
// holds from them count until they are void.
func (c *Coordinator) replaceEpochs(front string, now time.Time) {
	for key, m := range c.members {
		if key.front == front {
			c.delegate(m, 0, 0, now)
		}
	}
}

// expire ends what the fronts have delegated and hold that have not reported for
// coordinatorLease, in the order in which that passed.
func (c *Coordinator) expire(now time.Time) {
	if now.Sub(c.expired) < expireInterval {
		return
	}
	c.expired = now
	var silent []memberKey
	for key, m := range c.members {
		if now.Sub(m.reported) > coordinatorLease {
			silent = append(silent, key)
		}
	}
	slices.SortFunc(silent, func(a, b memberKey) int {
		return cmp.Or(c.members[a].reported.Compare(c.members[b].reported), cmp.Compare(a.epoch, b.epoch))
	})
	for _, key := range silent {
		m := c.members[key]
		ended := m.reported.Add(coordinatorLease)
		c.delegate(m, 0, 0, ended)
		for organisation, held := range m.held {
			if p := c.pools[organisation]; p != nil {
				c.refresh(p, &c.partitions[partitionOf(organisation)], ended)
				p.outstanding -= held
			}
		}
		delete(c.members, key)
	}
	if now.Sub(c.swept) < idlePool {
		return
	}
	c.swept = now
	for key, p := range c.pools {
		if _, known := c.limits[key]; p.outstanding == 0 && (!known || now.Sub(p.used) > idlePool) {
			delete(c.pools, key)
		}
	}
}

// Counts returns the number of fronts that report, and of pools.
func (c *Coordinator) Counts() (fronts, pools int) { return len(c.members), len(c.pools) }
