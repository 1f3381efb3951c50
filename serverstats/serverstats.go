// Package serverstats aggregates what many fronts have measured of the backend servers of
// a service. A front reports to the coordinator of the service, which answers with a table
// of what the other fronts have measured. It does no I/O and reads no clock.
//
// The load that it handles: hundreds of fronts, each of which sees a server less than once
// a second, and thousands of servers that become slow, fail or fill up within a second.
package serverstats

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ReportValidFor is how long a front's report counts. Fronts report several times a
	// second; one that has died must not count for long.
	ReportValidFor = 2 * time.Second
	// evidenceMemory is the age at which what was measured of a server's speed and failures
	// counts half.
	evidenceMemory = 3 * time.Second
	// MaxEntries bounds the servers of one service in a report or a table, which thus takes
	// about 1 KB at the most. A front that reports on two services once a second stays below
	// 4 KB/s.
	MaxEntries = 104
	// maxServices, maxServers and maxFronts bound what a coordinator keeps.
	maxServices, maxServers, maxFronts = 64, 1 << 14, 1 << 12
)

// Server is what a front reports of one backend server.
type Server struct {
	Key           uint32  // hash of its ID
	Load          float64 // calls in progress, averaged
	Ended, Failed int     // calls since the report before
	Slowness      float64 // relative to the median server; 0 if not measured
}

// Report is what a front reports of one service.
type Report struct {
	Service          string
	Running, Waiting int
	Demand           float64 // running and waiting calls, averaged
	Servers          []Server
}

// Known is what is told of one backend server.
type Known struct {
	Load        float64
	Slowness    float64 // 0 if not measured
	FailureRate float64
}

// Table is what a front is told of one service: what the other fronts have measured of its
// servers, and what runs and waits there.
type Table struct {
	Service          string
	Fronts           int // that report, the receiver included
	Running, Waiting int // calls of the other fronts
	Servers          map[uint32]Known
	Rest             Known              // of servers that are not listed
	ZoneDemand       map[string]float64 // running and waiting calls of all fronts by their zone
}

// AddEarlier adds the counts of an earlier report that was not sent.
func (r *Report) AddEarlier(earlier Report) {
	at := make(map[uint32]int, len(r.Servers))
	for i, s := range r.Servers {
		at[s.Key] = i
	}
	for _, s := range earlier.Servers {
		i, known := at[s.Key]
		if !known {
			s.Load = 0
			r.Servers = append(r.Servers, s)
			continue
		}
		r.Servers[i].Ended += s.Ended
		r.Servers[i].Failed += s.Failed
		if r.Servers[i].Slowness == 0 {
			r.Servers[i].Slowness = s.Slowness
		}
	}
}

// Limit orders the servers of a report and leaves out those beyond MaxEntries: servers that
// failed come first, then those with the most calls.
func (r *Report) Limit() {
	if len(r.Servers) <= MaxEntries {
		return
	}
	slices.SortFunc(r.Servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(b.Load+float64(b.Ended), a.Load+float64(a.Ended)), cmp.Compare(a.Key, b.Key))
	})
	r.Servers = r.Servers[:MaxEntries]
}
