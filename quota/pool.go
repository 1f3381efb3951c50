package quota

import "time"

// partition is what a coordinator knows of the shares of one partition.
type partition struct {
	share float64 // sum of what fronts have delegated
	// integral is the share integrated over time, in seconds, up to since. What a pool
	// accrues between two times is its rate times the difference of the integrals.
	integral float64
	since    time.Time
	// base is the integral when the share was last 0, and generation counts these times.
	// Pools of earlier generations are void, since their organisations may have been
	// served elsewhere.
	base       float64
	generation int
}

// advance integrates the share up to now.
func (p *partition) advance(now time.Time) {
	if dt := now.Sub(p.since).Seconds(); dt > 0 {
		p.integral += min(1, p.share) * dt
		p.since = now
	}
}

// change adds to the share.
func (p *partition) change(difference float64, now time.Time) {
	p.advance(now)
	if p.share == 0 && difference > 0 {
		p.base = p.integral
		p.generation++
	}
	if p.share += difference; p.share < tolerance {
		p.share = 0
	}
}

// pool holds the tokens of one organisation at a coordinator.
type pool struct {
	limit       Limit
	level       float64 // tokens that may be granted
	outstanding int64   // tokens that fronts hold, as far as the coordinator knows
	integral    float64 // of the partition, up to which the pool has accrued
	generation  int     // of the partition
	hungry      map[string]time.Time
	used        time.Time
	programs    programs
}

// refresh accrues tokens up to now. What fronts hold counts towards the capacity.
func (c *Coordinator) refresh(p *pool, part *partition, now time.Time) {
	part.advance(now)
	if p.generation != part.generation {
		p.generation, p.integral = part.generation, part.base
		p.level = initialShare * c.bounds.allowance(p.limit)
	}
	p.level += p.limit.RatePerSecond * (part.integral - p.integral)
	p.integral = part.integral
	c.trim(p, part)
	p.used = now
}

// trim lowers the level so that the pool stays within its capacity. If fronts hold more
// than that, because it became smaller, nothing accrues until they do not.
func (c *Coordinator) trim(p *pool, part *partition) {
	p.level = max(0, min(p.level, c.capacity(p, part)-float64(p.outstanding)))
}

// capacity returns how many tokens may be unspent: at the coordinator, and at the fronts.
func (c *Coordinator) capacity(p *pool, part *partition) float64 {
	return c.bounds.capacity(p.limit) * min(1, part.share)
}

// grant takes tokens out of a pool for a front: for requests that wait, and as a stock.
// While starts are scarce there is no stock, so that fronts ask for each request.
func (c *Coordinator) grant(p *pool, part *partition, use Use, starts, held int64, scarce bool) int64 {
	tokens := min(use.Waiting+starts, whole(p.level))
	stock := use.Wanted - held - tokens
	room := min(p.level-float64(tokens), maxStock(c.capacity(p, part))-float64(p.outstanding+tokens))
	if stock > 0 && !scarce {
		// Half of what is left, since others may want as much.
		tokens += min(stock, whole(room/2))
	}
	p.level -= float64(tokens)
	p.outstanding += tokens
	return tokens
}

// permitStarts returns how many of the requests that start programs may go on, and the time
// after which further ones may; 0 if now.
func (c *Coordinator) permitStarts(p *pool, part *partition, use Use) (permitted int64, next time.Duration) {
	rate := p.limit.RatePerSecond * min(1, part.share)
	unspent := p.level + float64(p.outstanding-use.Waiting)
	for {
		missing := p.programs.missing(unspent, rate)
		switch {
		case missing > 0:
			p.programs.refused += float64(use.Starting - permitted)
			return permitted, p.programs.wait(missing, rate)
		case permitted == use.Starting:
			return permitted, 0
		}
		permitted++
		unspent--
		p.programs.start(1)
	}
}

// outlook returns when a front may expect tokens, and how many per second. A front is
// hungry if it got less than it needs.
func (c *Coordinator) outlook(p *pool, part *partition, front string, hungry bool, now time.Time) (next time.Duration, rate float64) {
	for other, since := range p.hungry {
		if now.Sub(since) > hungryMemory {
			delete(p.hungry, other)
		}
	}
	delete(p.hungry, front)
	rate = p.limit.RatePerSecond * min(1, part.share)
	if !hungry {
		return 0, rate / float64(len(p.hungry)+1)
	}
	p.hungry[front] = now
	if rate == 0 {
		return maxNext, 0
	}
	rate /= float64(len(p.hungry))
	wait := time.Duration(max(0, 1-p.level) / (rate * float64(len(p.hungry))) * float64(time.Second))
	if len(p.hungry) > 1 {
		wait = max(wait, time.Duration(float64(time.Second)/rate))
	}
	return min(max(wait, minNext), maxNext), rate
}

const (
	// hungryMemory is how long a front counts among those that need tokens.
	hungryMemory = time.Second
	// minNext and maxNext bound the time after which a front that got no token asks again.
	minNext = 50 * time.Millisecond
	maxNext = time.Second
)
