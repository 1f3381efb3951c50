package gateway

import (
	"cmp"
	"slices"
	"time"

	"dogwoodline.example/coordination"
	"dogwoodline.example/ring"
	"dogwoodline.example/serverstats"
)

const (
	// measuredRingSize is how many reports of the scheduler may wait: those of a few
	// services for a few rounds.
	measuredRingSize = 64
	// maxPendingServices bounds the services whose reports wait for a coordinator.
	maxPendingServices = 64
)

// ServerStatistics is the topic of the coordination between fronts by which they learn
// what others have measured of the backend servers. The coordination duty calls its
// methods; rings connect it with the scheduler.
type ServerStatistics struct {
	zone     string
	measured *ring.Ring[serverstats.Report] // by the scheduler
	// learned passes a table to the scheduler; it reports false if there is no room.
	learned      func(serverstats.Table) bool
	coordinator  *serverstats.Coordinator
	coordinators []string
	pending      map[string]serverstats.Report // that no coordinator was sent, by service
}

func newServerStatistics(zone string, learned func(serverstats.Table) bool) *ServerStatistics {
	return &ServerStatistics{
		zone: zone, measured: ring.New[serverstats.Report](measuredRingSize), learned: learned,
		coordinator: serverstats.NewCoordinator(), pending: map[string]serverstats.Report{},
	}
}

// Name implements coordination.Topic.
func (t *ServerStatistics) Name() string { return "servers" }

// SetFronts implements coordination.FrontsFollower.
func (t *ServerStatistics) SetFronts(_ []coordination.Front, coordinators []string, _ time.Time) {
	t.coordinators = coordinators
}

// Report implements coordination.Topic. It returns what was measured of the services that
// belong to the coordinator.
func (t *ServerStatistics) Report(coordinator string, _ time.Time) []byte {
	for r, ok := t.measured.TryPop(); ok; r, ok = t.measured.TryPop() {
		if before, waits := t.pending[r.Service]; waits {
			r.AddEarlier(before)
		} else if len(t.pending) >= maxPendingServices {
			continue
		}
		t.pending[r.Service] = r
	}
	var reports []serverstats.Report
	for service, r := range t.pending {
		if coordination.Owner(t.coordinators, t.Name()+"/"+service) == coordinator {
			reports = append(reports, r)
			delete(t.pending, service)
		}
	}
	if len(reports) == 0 {
		return nil
	}
	slices.SortFunc(reports, func(a, b serverstats.Report) int { return cmp.Compare(a.Service, b.Service) })
	return serverstats.EncodeReports(t.zone, reports)
}

// Answer implements coordination.Topic.
func (t *ServerStatistics) Answer(front string, payload []byte, now time.Time) []byte {
	zone, reports, ok := serverstats.DecodeReports(payload)
	if !ok {
		return nil
	}
	var tables []serverstats.Table
	for _, r := range reports {
		tables = append(tables, t.coordinator.Answer(front, zone, r, now))
	}
	return serverstats.EncodeTables(tables)
}

// Learn implements coordination.Topic.
func (t *ServerStatistics) Learn(_ string, payload []byte, _ time.Time) {
	tables, ok := serverstats.DecodeTables(payload)
	if !ok {
		return
	}
	for _, table := range tables {
		if !t.learned(table) {
			return // the scheduler is behind, and the next table is newer
		}
	}
}
