package fleet

import (
	"cmp"
	"slices"
	"time"
)

// maxCandidates is the number of candidates that are kept, those with the lowest costs.
const maxCandidates = 16

// Candidate is a backend server that was compared with others for a call.
type Candidate struct {
	Backend Backend
	// Running is the number of calls that run there: of all fronts, as estimated, for
	// contended calls, otherwise of this front.
	Running float64
	// Capacity is the number of calls that it runs at once.
	Capacity float64
	Cost     Cost
}

// Candidates are the backend servers that were compared for a call.
type Candidates struct {
	// Compared counts the comparisons.
	Compared int
	// Best are those with the lowest costs, the lowest first.
	Best []Candidate
	// Zone is the availability zone where a contended call should go if it prefers no
	// server; empty for other calls.
	Zone string
	// Chosen is the server that Choose returns, and Found reports whether there is one.
	Chosen Backend
	Found  bool
}

// Explain returns what Choose returns and the backend servers that it compares. The fleet
// stays as it is.
func (f *Fleet) Explain(request Request, now time.Time) Candidates {
	defer f.Trial(request.Service)()
	candidates := Candidates{}
	request.candidates = &candidates
	candidates.Chosen, _, candidates.Found = f.Choose(request, now)
	return candidates
}

// Trial lets decisions about calls to a service be tried until the returned function is
// called, which takes back what they keep to be faster.
func (f *Fleet) Trial(service string) (end func()) {
	// A decision refreshes the speeds that are out of date.
	speed, known := f.speeds[service]
	var speedBefore serviceSpeed
	if known {
		speedBefore = *speed
	}
	index := f.indexes[service]
	var indexBefore serviceIndex
	if index != nil {
		indexBefore = *index
	}
	trialBefore := f.onTrial
	f.onTrial = true
	return func() {
		f.onTrial = trialBefore
		if index != nil {
			*index = indexBefore
		}
		if known {
			*speed = speedBefore
		} else {
			delete(f.speeds, service)
		}
	}
}

// ZoneShares returns the shares that SetZoneShares has set, by zone.
func (f *Fleet) ZoneShares(service string) map[string]float64 {
	shares := map[string]float64{}
	for _, share := range f.zoneShares[service] {
		shares[share.Zone] = share.Part
	}
	return shares
}

// observe notes a server that is compared. It does nothing if c is nil.
func (c *Candidates) observe(s *backendState, cost *Cost, running, capacity float64) {
	if c != nil {
		c.add(Candidate{Backend: s.Backend, Running: running, Capacity: capacity, Cost: *cost})
	}
}

// add keeps a candidate if it is among the best ones. A server that was drawn twice is
// kept with its lower cost.
func (c *Candidates) add(next Candidate) {
	c.Compared++
	if at := slices.IndexFunc(c.Best, func(known Candidate) bool { return known.Backend.ID == next.Backend.ID }); at >= 0 {
		if c.Best[at].Cost.Sum() <= next.Cost.Sum() {
			return
		}
		c.Best = slices.Delete(c.Best, at, at+1)
	}
	at, _ := slices.BinarySearchFunc(c.Best, next, func(a, b Candidate) int { return cmp.Compare(a.Cost.Sum(), b.Cost.Sum()) })
	if at < maxCandidates {
		c.Best = slices.Insert(c.Best, at, next)[:min(len(c.Best)+1, maxCandidates)]
	}
}
