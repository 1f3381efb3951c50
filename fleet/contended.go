package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"dogwoodline.example/zones"
)

const (
	// candidateCount is how many servers, drawn at random, are compared for a call. Many
	// fronts know the same table; with the best of a few each, they do not all choose the
	// same server.
	candidateCount = 4
	// loadCost is the part of a turn's time by which a full batch delays a call and others:
	// it slows each turn by a quarter, and it evicts prompts whose next turns come back.
	// crowdCost is added near the capacity, where a call delays those behind it. Without
	// it, each call chooses what is best for itself: the fast servers had twelve calls for
	// eight slots and the slow ones four, and turns took 350 ms and not 229 ms in the
	// simulation of contended_test.go.
	loadCost  = 1.0
	crowdCost = 2.0
	// maxCrowding bounds the utilization that counts for it.
	maxCrowding = 1.5
	// waitCost is the cost of a server without a free slot, in turns of the median
	// server, beyond the expected time until a slot is free: the call waits there although
	// it could still go elsewhere.
	waitCost = 0.5
	// recomputeCost is the part of a turn's time that it takes to process the prompt of a
	// conversation again on a server that does not hold it.
	recomputeCost = otherServerCost
)

// chooseContended returns the backend server at which the call is expected to end first,
// among those that it has reason to prefer and a few others at random. If all of these
// are full, it looks at all servers with a free slot, so that no call waits while a slot
// is free.
func (f *Fleet) chooseContended(request Request, now time.Time) (Backend, int, bool) {
	choice := contendedChoice{fleet: f, request: request, now: now, random: rand.New(rand.NewPCG(request.TieBreak, 0))}
	if home := f.byID[request.Home]; home != nil && !home.Draining && home.Service == request.Service && !f.saidLeaving(home.Backend) {
		choice.preferred = home
		choice.consider(home, false)
	} else if first, second := f.preferred(request); first != nil {
		choice.preferred, choice.second = first, second
		choice.consider(first, false)
		choice.consider(second, false)
	}
	choice.zone = f.zone
	if choice.preferred == nil {
		choice.zone = zones.Pick(f.zone, f.zoneShares[request.Service], choice.random.Float64())
	}
	if request.candidates != nil {
		request.candidates.Zone = choice.zone
	}
	if in := f.byZone[zoneOfService{request.Service, choice.zone}]; in != nil {
		choice.sample(in.servers)
	}
	choice.sample(f.byService[request.Service])
	if choice.best == nil || choice.load(choice.best) >= choice.capacity(choice.best) {
		choice.considerFree()
	}
	if choice.best == nil {
		return Backend{}, 0, false
	}
	return choice.best.Backend, int(choice.load(choice.best)), true
}

// contendedChoice is the choice of a server for one call.
type contendedChoice struct {
	fleet             *Fleet
	request           Request
	now               time.Time
	random            *rand.Rand
	preferred, second *backendState
	zone              string // where the call should go if it has no preferred server
	best              *backendState
	bestCost          float64
}

// sample considers candidateCount servers at random.
func (c *contendedChoice) sample(servers []*backendState) {
	if len(servers) <= candidateCount {
		for _, s := range servers {
			c.consider(s, false)
		}
		return
	}
	for range candidateCount {
		c.consider(servers[c.random.IntN(len(servers))], false)
	}
}

// considerFree considers all servers with a free slot, in the order of their IDs. Those that
// are full of this front's calls alone are left out: the load is never below these.
func (c *contendedChoice) considerFree() {
	index := c.fleet.indexes[c.request.Service]
	if index == nil {
		return
	}
	told := c.fleet.othersRunning[c.request.Service].told
	known := !told.IsZero() && c.now.Sub(told) < othersValidFor
	set := index.notFull(&index.forAny, math.Ceil(c.request.CallsInMemory))
	for at := set.next(0); at >= 0; at = set.next(at + 1) {
		s := index.servers[at]
		if known && s.others.told.Equal(told) && s != c.preferred && s.leastLoad() >= c.capacity(s) {
			continue
		}
		c.consider(s, true)
	}
}

// consider makes a server the best one if it may get the call and its cost is lower. If
// onlyFree is set, full servers are left out.
func (c *contendedChoice) consider(s *backendState, onlyFree bool) {
	if s == nil || s == c.best || onlyFree && c.load(s) >= c.capacity(s) {
		return
	}
	if excluded(c.request.Exclude, s.ID) || !c.request.versionFits(s) || s.limit.wait(c.now) > 0 {
		return
	}
	cost := c.cost(s)
	if sum := cost.Sum(); c.best == nil || sum < c.bestCost {
		c.best, c.bestCost = s, sum
	}
}

// load returns the number of calls that run at a server, from all fronts as far as known.
func (c *contendedChoice) load(s *backendState) float64 {
	if s == c.preferred {
		return c.fleet.homeLoad(s, c.now)
	}
	return c.fleet.load(s, c.now)
}

// capacity returns the number of calls that a server runs at once.
func (c *contendedChoice) capacity(s *backendState) float64 {
	return s.capacity(c.request.CallsInMemory)
}

// cost estimates the time until the call ends at a server, in units of the time that it
// takes at the idle median server.
func (c *contendedChoice) cost(s *backendState) Cost {
	f, load, capacity := c.fleet, c.load(s), c.capacity(s)
	slowness := f.slowness(s, c.now)
	utilization := min(maxCrowding, load/capacity)
	cost := Cost{Load: slowness * (1 + loadCost*utilization), Failures: failureCost * f.failureRate(s, c.now)}
	if s != c.preferred { // elsewhere it takes a slot for longer, to process the prompt again
		cost.Crowding = slowness * crowdCost * math.Pow(utilization, 4)
	}
	if load >= capacity {
		cost.Wait = waitCost + slowness*(load-capacity+1)/capacity
	}
	switch {
	case c.preferred == nil || s == c.preferred:
	case s == c.second:
		cost.OtherServer = slowness * secondChoiceCost
	default:
		cost.OtherServer = slowness * recomputeCost
	}
	if c.preferred == nil && s.AvailabilityZone != c.zone {
		cost.OtherZone = otherZoneCost
	}
	cost.setState(s, &c.request, c.now)
	cost.TieBreak = tieBreakRange * c.random.Float64()
	c.request.candidates.observe(s, &cost, load, capacity)
	return cost
}
