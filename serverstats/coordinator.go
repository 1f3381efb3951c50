package serverstats

import (
	"math"
	"time"
)

// Coordinator aggregates the reports of fronts about the services that belong to it.
type Coordinator struct {
	services map[string]*serviceTotals
}

// NewCoordinator returns a coordinator that knows nothing yet.
func NewCoordinator() *Coordinator { return &Coordinator{services: map[string]*serviceTotals{}} }

// serviceTotals is what all fronts together have measured of a service.
type serviceTotals struct {
	fronts  map[string]*frontReport
	servers map[uint32]*serverTotals
	pruned  time.Time
	// told is what tables have, and rest what they have of all other servers, as chosen at
	// the given time.
	told   []entry
	rest   Known
	chosen time.Time
}

// frontReport is the newest report of a front.
type frontReport struct {
	at               time.Time
	zone             string
	running, waiting int
	demand           float64
	load             map[uint32]float64
}

// serverTotals is what all fronts together have measured of a server.
type serverTotals struct {
	load          float64 // sum over the fronts
	slow          decayingMean
	ended, failed float64 // decayed at counted
	counted       time.Time
}

// decayingMean is a mean whose samples lose half of their weight in each evidenceMemory.
type decayingMean struct {
	sum, weight float64
	at          time.Time
}

func decay(since, now time.Time) float64 {
	return math.Exp2(-max(0, float64(now.Sub(since))) / float64(evidenceMemory))
}

func (m *decayingMean) add(sample float64, now time.Time) {
	left := decay(m.at, now)
	m.sum, m.weight, m.at = m.sum*left+sample, m.weight*left+1, now
}

// minEvidence is the weight below which what was measured of a server is no longer told.
const minEvidence = 0.25

// Answer takes in the report of a front in a zone about a service, and returns the table
// for this front.
func (c *Coordinator) Answer(front, zone string, report Report, now time.Time) Table {
	totals := c.services[report.Service]
	if totals == nil {
		if len(c.services) >= maxServices {
			return Table{Service: report.Service}
		}
		totals = &serviceTotals{fronts: map[string]*frontReport{}, servers: map[uint32]*serverTotals{}}
		c.services[report.Service] = totals
	}
	totals.prune(now)
	totals.take(front, zone, report, now)
	return totals.table(front, report.Service, now)
}

// prune removes the fronts that have not reported lately and the servers of which nothing
// is known any more.
func (t *serviceTotals) prune(now time.Time) {
	if now.Sub(t.pruned) < ReportValidFor/2 {
		return
	}
	t.pruned = now
	for name, f := range t.fronts {
		if now.Sub(f.at) > ReportValidFor {
			t.withdraw(f)
			delete(t.fronts, name)
		}
	}
	loads := map[uint32]float64{} // anew, so that rounding errors do not add up
	for _, f := range t.fronts {
		for key, load := range f.load {
			loads[key] += load
		}
	}
	for key, s := range t.servers {
		s.load = loads[key]
		if s.load == 0 && s.ended*decay(s.counted, now) < minEvidence && s.slow.weight*decay(s.slow.at, now) < minEvidence {
			delete(t.servers, key)
		}
	}
}

// withdraw takes the load of a front out of the sums.
func (t *serviceTotals) withdraw(f *frontReport) {
	for key, load := range f.load {
		if s := t.servers[key]; s != nil {
			s.load = max(0, s.load-load)
		}
	}
}

func (t *serviceTotals) take(front, zone string, report Report, now time.Time) {
	before := t.fronts[front]
	if before != nil {
		t.withdraw(before)
	} else if len(t.fronts) >= maxFronts {
		return
	}
	newest := &frontReport{at: now, zone: zone, running: report.Running, waiting: report.Waiting, demand: report.Demand, load: map[uint32]float64{}}
	t.fronts[front] = newest
	for _, r := range report.Servers[:min(len(report.Servers), MaxEntries)] {
		s := t.servers[r.Key]
		if s == nil {
			if len(t.servers) >= maxServers {
				continue
			}
			s = &serverTotals{}
			t.servers[r.Key] = s
		}
		newest.load[r.Key] = r.Load
		s.load += r.Load
		left := decay(s.counted, now)
		s.ended, s.failed, s.counted = s.ended*left+float64(r.Ended), s.failed*left+float64(min(r.Failed, r.Ended)), now
		if r.Slowness > 0 {
			s.slow.add(math.Log(r.Slowness), now)
		}
	}
}

// table returns what a front is told.
func (t *serviceTotals) table(front, service string, now time.Time) Table {
	out := Table{Service: service, Fronts: len(t.fronts), Servers: make(map[uint32]Known, len(t.told)), ZoneDemand: map[string]float64{}}
	for name, f := range t.fronts {
		if name != front {
			out.Running += f.running
			out.Waiting += f.waiting
		}
		out.ZoneDemand[f.zone] += f.demand
	}
	t.choose(now)
	var own map[uint32]float64
	if f := t.fronts[front]; f != nil {
		own = f.load
	}
	for _, e := range t.told {
		known := e.Known
		if s := t.servers[e.key]; s != nil {
			known.Load = max(0, s.load-own[e.key])
		}
		out.Servers[e.key] = known
	}
	out.Rest = t.rest
	return out
}
