package fleet

import (
	"math"
	"time"
)

// loadMemory is the time over which the number of calls that run at a server is
// averaged. A front sees a server about once a second. With averages over one second, or
// the numbers of the moment, exchanged every 250 ms, all fronts send to the servers that
// had room a moment ago: turns took up to twice as long in the simulation of
// contended_test.go.
const loadMemory = 5 * time.Second

// shortAge is the part of loadMemory for which the exponential function is replaced by a
// straight line; averages are updated more often than that.
const shortAge = 0.1

// loadAverage is the average number of this front's calls that run at a backend server.
type loadAverage struct {
	average float64 // at updated
	updated time.Time
}

// update takes in that a number of calls ran since the last update.
func (l *loadAverage) update(running int, now time.Time) {
	l.average, l.updated = l.at(running, now), now
}

// at returns the average if a number of calls ran since the last update.
func (l *loadAverage) at(running int, now time.Time) float64 {
	if l.updated.IsZero() {
		return float64(running)
	}
	age := float64(now.Sub(l.updated)) / float64(loadMemory)
	if age < shortAge { // the usual case, without the cost of an exponential function
		return l.average + (float64(running)-l.average)*age
	}
	return float64(running) + (l.average-float64(running))*math.Exp(-age)
}

// minOwnLoad is the average number of calls of this front in a zone from which their
// distribution says something.
const minOwnLoad = 0.5

// updateRatios works out how many calls the other fronts run in each zone for each call of
// this one.
func (f *Fleet) updateRatios(service string, now time.Time) {
	for zone, in := range f.byZone {
		if zone.service != service {
			continue
		}
		own, others := 0.0, 0.0
		for _, s := range in.servers {
			own += s.average.at(s.running, now)
			others += s.others.Load
		}
		in.othersRatio, in.ratioKnown = 0, own >= minOwnLoad
		if in.ratioKnown {
			in.othersRatio = others / own
		}
	}
}

// load estimates the number of calls that run at a server. How many calls the other fronts
// run in its zone is taken from the table, and how these spread over the servers from what
// this front sees: if all fronts went by the table, they would fill and leave the same
// servers together, a quarter of a second late. Without a table, each listed front is taken
// to run as many calls as this one, because clients choose a front at random.
func (f *Fleet) load(s *backendState, now time.Time) float64 {
	if !s.others.valid(now) {
		return float64(s.running) + s.average.at(s.running, now)*float64(max(0, len(f.listed)-1))
	}
	if s.zone != nil && s.zone.ratioKnown {
		return float64(s.running) + s.zone.othersRatio*s.average.at(s.running, now)
	}
	return float64(s.running) + s.others.Load // this front runs too little to go by it
}

// leastLoad returns a bound below load, if what the other fronts have measured is valid. It
// needs no time: the average number of calls approaches the number that runs now.
func (s *backendState) leastLoad() float64 {
	if s.zone.ratioKnown {
		return float64(s.running) + s.zone.othersRatio*min(s.average.average, float64(s.running))
	}
	return float64(s.running) + s.others.Load
}

// homeLoad estimates the number of calls that run at the home server of a conversation. The
// turns of a conversation may come through the same front, so that what this front runs
// there says little about the others.
func (f *Fleet) homeLoad(s *backendState, now time.Time) float64 {
	if s.others.valid(now) {
		return float64(s.running) + s.others.Load
	}
	return float64(s.running) + f.speedOf(s.Service, now).meanLoad*float64(max(0, len(f.listed)-1))
}
