package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// othersValidFor is how old what the other fronts have measured may be. It is ignored
	// after that: without a coordinator, a front uses its own evidence.
	othersValidFor = 2 * time.Second
	// othersWeight is the weight of the speed that the other fronts have measured.
	othersWeight = 1
	// minReportedLoad is the average number of calls from which a server is reported.
	minReportedLoad = 0.01
)

// Others is what the other fronts together have measured of one backend server.
type Others struct {
	// Running is the number of their calls in progress, and Load the same averaged over
	// some seconds.
	Running int
	Load    float64
	// Slowness is the factor by which its streams are slower than those of the median
	// server of its service; 0 if they have measured none.
	Slowness float64
	// FailureRate is the fraction of their recent calls that failed.
	FailureRate float64
}

// othersState is what a front was told last of a backend server.
type othersState struct {
	Others
	told time.Time
}

func (o *othersState) valid(now time.Time) bool {
	return !o.told.IsZero() && now.Sub(o.told) < othersValidFor
}

// logSlowness returns the logarithm of the slowness and its weight; 0 if there is none.
func (o *othersState) logSlowness(now time.Time) (slowness, weight float64) {
	if !o.valid(now) || o.Slowness <= 0 {
		return 0, 0
	}
	return math.Log(o.Slowness), othersWeight
}

func (o *othersState) running(now time.Time) int {
	if !o.valid(now) {
		return 0
	}
	return o.Running
}

func (o *othersState) failureRate(now time.Time) float64 {
	if !o.valid(now) {
		return 0
	}
	return o.FailureRate
}

// Measured is what this front has measured of one backend server.
type Measured struct {
	Key     uint32  // see ServerKey
	Running int     // calls in progress
	Load    float64 // the same, averaged over loadMemory
	// Ended and Failed are the numbers of calls that have ended, and that failed, since the
	// front reported before.
	Ended, Failed int
	// Slowness is the factor by which its streams were lately slower than those of the
	// median server that this front knows; 0 if it has seen none since it reported before.
	Slowness float64
}

// ServerKey returns the key of a backend server in reports: a hash of its ID. Two servers
// of a service with the same key would be taken for one, which one in ten deployments of
// the largest size has.
func ServerKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// TakeMeasured returns what is new or in progress at the backend servers of a service, and
// begins a new period for the numbers of calls that have ended.
func (f *Fleet) TakeMeasured(service string, now time.Time) []Measured {
	var all []Measured
	median := f.speedOf(service, now).median
	for _, s := range f.byService[service] {
		m := Measured{Key: s.key, Load: s.average.at(s.running, now), Running: s.running, Ended: s.period.ended, Failed: s.period.failed}
		if s.period.streams > 0 {
			m.Slowness = clampRelative(math.Exp(s.speed.recent - median))
		}
		if s.period != (reportPeriod{}) || m.Load >= minReportedLoad {
			all = append(all, m)
		}
		s.period = reportPeriod{}
	}
	return all
}

// reportPeriod counts what happened at a backend server since the last report.
type reportPeriod struct{ ended, failed, streams int }

// LearnOthers takes in what the other fronts have measured of the backend servers of a
// service, by key. Servers that are not listed are like rest.
func (f *Fleet) LearnOthers(service string, servers map[uint32]Others, rest Others, now time.Time) {
	for _, s := range f.byService[service] {
		known, listed := servers[s.key]
		if !listed {
			known = rest
		}
		s.others = othersState{Others: known, told: now}
	}
}

// RunningOverall returns the number of calls that run at the backend servers of a service
// for all fronts and the number of calls that these can run at once. It reports false if
// that is not known because no coordinator has answered lately.
func (f *Fleet) RunningOverall(service string, callsInMemory float64, now time.Time) (running int, capacity float64, known bool) {
	for _, s := range f.byService[service] {
		running += s.running + s.others.running(now)
		capacity += s.capacity(callsInMemory)
		known = known || s.others.valid(now)
	}
	return running, capacity, known
}
