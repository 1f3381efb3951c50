package gateway

import (
	"log/slog"
	"sync/atomic"
	"time"

	"dogwoodline.example/duty"
	"dogwoodline.example/fleet"
	"dogwoodline.example/serverstats"
	"dogwoodline.example/zones"
)

const (
	// zoneTransit is how much longer a call takes if its server is in another zone: two
	// round trips, one for the connection or the body and one for the answer.
	zoneTransit = 4 * time.Millisecond
	// callBytesWeight is the weight of a new call in the average of the bytes of calls.
	callBytesWeight = 0.02
	// frontsPerInterval is the number of listed fronts up to which each reports in every
	// round. With more, reports are rarer, so that a coordinator's work stays the same.
	frontsPerInterval = 100
	// zonePlanInterval is how often the shares of zones are worked out.
	zonePlanInterval = time.Second
	// minReporting is the part of the listed fronts that must report before what they know
	// counts as that of all fronts.
	minReporting = 0.5
	// tableValidFor is how long a table counts.
	tableValidFor = serverstats.ReportValidFor
)

// sharedCounts are read by the metrics.
type sharedCounts struct {
	contended, reporting, tables, crossed atomic.Int64
}

func (c *sharedCounts) register(group *duty.Group) {
	group.RegisterGauge("dogwoodline_contended_services", func() int { return int(c.contended.Load()) })
	group.RegisterGauge("dogwoodline_statistics_fronts", func() int { return int(c.reporting.Load()) })
	group.RegisterGauge("dogwoodline_statistics_tables_total", func() int { return int(c.tables.Load()) })
	group.RegisterGauge("dogwoodline_calls_to_other_zones_total", func() int { return int(c.crossed.Load()) })
}

// sharedView is what the scheduler knows of a contended service from all fronts.
type sharedView struct {
	table     serverstats.Table
	told      time.Time // when the table arrived; zero for never
	plan      zones.Plan
	planned   time.Time
	shares    []zones.Share
	callBytes float64 // average of the bodies of calls
	// callsInMemory is the number of calls that fit into the memory of one server; 0 if
	// that is not known.
	callsInMemory float64
	contended     bool
}

// valid reports whether the table is recent.
func (v *sharedView) valid(now time.Time) bool {
	return !v.told.IsZero() && now.Sub(v.told) < tableValidFor
}

// view returns the shared view of a service and creates it when it is new.
func (s *Scheduler) view(service string) *sharedView {
	v := s.views[service]
	if v == nil {
		v = &sharedView{}
		s.views[service] = v
	}
	return v
}

// shareStatistics passes what this front has measured of the contended services to the
// coordination, and works out how much of their calls leaves the zone.
func (s *Scheduler) shareStatistics(now time.Time) {
	interval := expireInterval * time.Duration(1+s.listedFronts.Load()/frontsPerInterval)
	if now.Sub(s.sharedAt) < interval-expireInterval/2 {
		return
	}
	s.sharedAt = now
	contendedServices, reporting, demand := 0, 0, map[string]float64{}
	for _, service := range s.fleet.Services() {
		v := s.view(service)
		contended := s.contended(service)
		if contended != v.contended {
			s.log.Info("gateway: choice of servers changed", "service", service, "by_measured_speed", contended, "uneven", s.fleet.Uneven(service),
				"servers", s.fleet.Size(service))
			v.contended = contended
			s.fleet.SetZoneShares(service, nil)
		}
		if !contended {
			continue
		}
		contendedServices++
		report := serverstats.Report{Service: service, Waiting: s.waitingFor(service)}
		report.Demand = float64(report.Waiting)
		for _, m := range s.fleet.TakeMeasured(service, now) {
			report.Running += m.Running
			report.Demand += m.Load
			report.Servers = append(report.Servers, serverstats.Server{Key: m.Key, Load: m.Load, Ended: m.Ended, Failed: m.Failed, Slowness: m.Slowness})
		}
		_ = s.statistics.measured.TryPush(report) // full while no coordinator is known; the next one is newer
		s.planZones(service, v, now)
		if v.valid(now) {
			reporting = max(reporting, v.table.Fronts)
			for zone, calls := range v.table.ZoneDemand {
				demand[zone] += calls
			}
		}
	}
	s.zoneDemand.Store(&zoneDemand{contended: contendedServices > 0, calls: demand})
	s.shared.contended.Store(int64(contendedServices))
	s.shared.reporting.Store(int64(reporting))
}

// waitingFor returns the number of calls to a service that wait at this front.
func (s *Scheduler) waitingFor(service string) int {
	waiting := len(s.waiting.byService[service])
	if q := s.queues.byService[service]; q != nil {
		waiting += q.queue.Len()
	}
	return waiting
}

// zoneDemand is what the directory needs to know: whether any service is contended, and
// the calls that run or wait by the zone of their front, if that is known.
type zoneDemand struct {
	contended bool
	calls     map[string]float64
}

// learnTable takes in what the other fronts have measured of a service.
func (s *Scheduler) learnTable(table serverstats.Table, now time.Time) {
	v := s.view(table.Service)
	s.shared.tables.Add(1)
	// Fronts of earlier releases, and those that do not take the service for contended, do
	// not report. They are taken to do as much as the others.
	others, listed := float64(table.Fronts-1), float64(s.listedFronts.Load()-1)
	if others < minReporting*listed {
		return
	}
	if !v.valid(now) {
		s.log.Info("gateway: statistics of other fronts known", "service", table.Service, "fronts", table.Fronts, "listed", s.listedFronts.Load(),
			"servers", len(table.Servers))
	}
	v.table, v.told = table, now
	scale := 1.0
	if others > 0 && listed > others {
		scale = listed / others
	}
	known := fleet.OthersTable{Service: table.Service, Running: int(scale*float64(table.Running) + 0.5), Servers: make(map[uint32]fleet.Others, len(table.Servers)),
		Rest: fleet.Others{Load: scale * table.Rest.Load}}
	for key, k := range table.Servers {
		known.Servers[key] = fleet.Others{Load: scale * k.Load, Slowness: k.Slowness, FailureRate: k.FailureRate}
	}
	s.fleet.LearnOthers(known, now)
}

// planZones works out which part of the calls to a service goes to other zones. Without a
// recent table, none does but those for which no server of the zone is free.
func (s *Scheduler) planZones(service string, v *sharedView, now time.Time) {
	if now.Sub(v.planned) < zonePlanInterval {
		return
	}
	v.planned = now
	var wanted []zones.Share
	if v.valid(now) {
		all := s.fleet.ZoneCapacities(service, v.callsInMemory, now)
		for i := range all {
			all[i].Demand = v.table.ZoneDemand[all[i].Name]
		}
		call := zones.Call{Time: s.fleet.TypicalTime(service), Transit: zoneTransit, Bytes: int(v.callBytes)}
		wanted = zones.Shares(s.zone, all, call)
	}
	v.plan.Update(wanted, now)
	before := v.shares
	v.shares = v.plan.Shares()
	s.fleet.SetZoneShares(service, v.shares)
	if (len(before) == 0) != (len(v.shares) == 0) {
		s.logZones(service, v)
	}
}

func (s *Scheduler) logZones(service string, v *sharedView) {
	attributes := []any{"service", service, "zone", s.zone}
	for _, share := range v.shares {
		attributes = append(attributes, slog.Float64("to_"+share.Zone, share.Part))
	}
	for zone, calls := range v.table.ZoneDemand {
		attributes = append(attributes, slog.Float64("demand_"+zone, calls))
	}
	s.log.Info("gateway: share of calls that leaves the zone", attributes...)
}

// noteCall takes in what a call shows of the size of calls to its service.
func (v *sharedView) noteCall(bytes int, callsInMemory float64) {
	v.callBytes += callBytesWeight * (float64(bytes) - v.callBytes)
	v.callsInMemory = callsInMemory
}
