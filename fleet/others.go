package fleet

import (
	"maps"
	"math"
	"slices"
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
	// Load is the number of their calls in progress, averaged over some seconds.
	Load float64
	// Slowness is the factor by which its streams are slower than those of the median
	// server of its service; 0 if they have measured none.
	Slowness float64
	// FailureRate is the fraction of their recent calls that failed.
	FailureRate float64
}

// OthersTable is what the other fronts together have measured of a service.
type OthersTable struct {
	Service string
	// Running is the number of their calls in progress.
	Running int
	Servers map[uint32]Others // by ServerKey
	Rest    Others            // of the servers that are not listed
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
	Load    float64 // the same, averaged
	// Ended and Failed are the numbers of calls that have ended, and that failed, since the
	// front reported before.
	Ended, Failed int
	// Slowness is the factor by which its streams were lately slower than those of the
	// median server that this front knows; 0 if it has seen none since it reported before.
	Slowness float64
}

// ServerKey returns the key of a backend server in reports: a hash of its ID. Two servers
// of a service with the same key would be taken for one. With 12,000 servers, the chance
// that there are two such is below 1 in 50.
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
		if s.period != (reportPeriod{}) || m.Running > 0 || m.Load >= minReportedLoad {
			all = append(all, m)
		}
		s.period = reportPeriod{}
	}
	return all
}

// reportPeriod counts what happened at a backend server since the last report.
type reportPeriod struct{ ended, failed, streams int }

// LearnOthers takes in what the other fronts have measured of the backend servers of a
// service.
func (f *Fleet) LearnOthers(table OthersTable, now time.Time) {
	f.othersRunning[table.Service] = runningElsewhere{calls: table.Running, told: now}
	for _, s := range f.byService[table.Service] {
		known, listed := table.Servers[s.key]
		if !listed {
			known = table.Rest
		}
		s.others = othersState{Others: known, told: now}
	}
	f.updateRatios(table.Service, now)
}

// runningElsewhere is the number of calls of the other fronts that run at a service.
type runningElsewhere struct {
	calls int
	told  time.Time
}

// Places returns the number of free slots of the backend servers of a service and the
// number of calls that run there, over all fronts. callsInMemory is the number of calls
// that fit into the memory of one server; 0 if unknown. It reports false if the calls of
// the other fronts are not known at present.
func (f *Fleet) Places(service string, callsInMemory float64, now time.Time) (free, running int, known bool) {
	others := f.othersRunning[service]
	if others.told.IsZero() || now.Sub(others.told) >= othersValidFor {
		return 0, 0, false
	}
	index := f.indexes[service]
	if index == nil {
		return 0, others.calls, true
	}
	if callsInMemory > 0 {
		callsInMemory = max(1, callsInMemory) // each server runs at least one
	}
	running = others.calls + index.running
	return max(0, int(index.sumSlots(callsInMemory))-running), running, true
}

// Services returns the services that have backend servers.
func (f *Fleet) Services() []string { return slices.Sorted(maps.Keys(f.byService)) }
