package fleet

import (
	"math"
	"time"
)

// loadMemory is the time over which the number of calls that run at a server is
// averaged. A front sees a server about once a second. What the other fronts run there is
// known late; with one second, or with the numbers of the moment, all fronts send to the
// servers that had room a moment ago, and turns took twice as long in the simulation of
// contended_test.go.
const loadMemory = 5 * time.Second

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
	return float64(running) + (l.average-float64(running))*math.Exp(-float64(now.Sub(l.updated))/float64(loadMemory))
}

// load estimates the number of calls that run at a server. If it is not known what the
// other fronts run there, each is taken to run as many as this one on average: clients
// choose a listed front at random.
func (f *Fleet) load(s *backendState, now time.Time) float64 {
	if s.others.valid(now) {
		return float64(s.running) + s.others.Load
	}
	return float64(s.running) + s.average.at(s.running, now)*float64(max(0, len(f.listed)-1))
}
