package serverstats

import (
	"cmp"
	"math"
	"slices"
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
	if now.Sub(t.pruned) < ReportValidFor/4 {
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

// table returns what a front is told. If not all servers fit, it has those that differ
// most from the others; the rest have the mean load.
func (t *serviceTotals) table(front, service string, now time.Time) Table {
	out := Table{Service: service, Fronts: len(t.fronts), Servers: map[uint32]Known{}, ZoneDemand: map[string]float64{}}
	for name, f := range t.fronts {
		if name != front {
			out.Running += f.running
			out.Waiting += f.waiting
		}
		out.ZoneDemand[f.zone] += f.demand
	}
	var own map[uint32]float64
	if f := t.fronts[front]; f != nil {
		own = f.load
	}
	type entry struct {
		key uint32
		Known
		unusual float64
	}
	entries := make([]entry, 0, len(t.servers))
	mean := 0.0
	for key, s := range t.servers {
		known := Known{Load: max(0, s.load-own[key]), FailureRate: s.failureRate(now)}
		if s.slow.weight*decay(s.slow.at, now) >= minEvidence {
			known.Slowness = math.Exp(s.slow.sum / s.slow.weight)
		}
		entries = append(entries, entry{key: key, Known: known})
		mean += known.Load
	}
	mean /= max(1, float64(len(entries)))
	if len(entries) > MaxEntries {
		for i := range entries {
			e := &entries[i]
			e.unusual = math.Abs(e.Load-mean)/(mean+1) + 4*e.FailureRate
			if e.Slowness > 0 {
				e.unusual += math.Abs(math.Log(e.Slowness))
			}
		}
		slices.SortFunc(entries, func(a, b entry) int {
			return cmp.Or(cmp.Compare(b.unusual, a.unusual), cmp.Compare(a.key, b.key))
		})
		for _, e := range entries[MaxEntries:] {
			out.Rest.Load += e.Load / float64(len(entries)-MaxEntries)
		}
		entries = entries[:MaxEntries]
	}
	for _, e := range entries {
		out.Servers[e.key] = e.Known
	}
	return out
}

// failureRate returns the fraction of recent calls at a server that failed. A single
// failure among few calls counts less.
func (s *serverTotals) failureRate(now time.Time) float64 {
	left := decay(s.counted, now)
	return s.failed * left / (s.ended*left + 1)
}
