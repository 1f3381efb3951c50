package api

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/outcome"
)

const (
	// maxTenantLabels bounds the tenants that get their own histograms, so that
	// 39,000 tenants do not create 39,000 histograms. The other tenants share
	// the label "other".
	maxTenantLabels = 200
	// maxClassLabels bounds the classes that get their own histograms.
	maxClassLabels = 100
	otherLabel     = "other"
)

// callMetrics counts outcomes and measures the duration of calls. mu is held
// only for map accesses.
type callMetrics struct {
	set *metrics.Set

	mu      sync.Mutex
	tenants map[string]struct{} // tenants with their own label
	classes map[string]struct{}
}

func newCallMetrics(set *metrics.Set) *callMetrics {
	return &callMetrics{
		set:     set,
		tenants: map[string]struct{}{},
		classes: map[string]struct{}{},
	}
}

// observeCall records the duration and the outcome of a call. class is empty if
// the reply does not come from the owner of the program.
func (m *callMetrics) observeCall(tenant, class string, startTime time.Time, o outcome.Outcome) {
	m.countOutcome(o)
	if class == "" {
		class = otherLabel
	}
	m.mu.Lock()
	tenant = limitLabel(m.tenants, tenant, maxTenantLabels)
	class = limitLabel(m.classes, class, maxClassLabels)
	m.mu.Unlock()
	name := fmt.Sprintf(`dogwoodline_call_seconds{tenant=%q,class=%q}`, tenant, class)
	m.set.GetOrCreateHistogram(name).UpdateDuration(startTime)
}

// countOutcome counts the outcome of a start, a call or a rejected request.
func (m *callMetrics) countOutcome(o outcome.Outcome) {
	name := fmt.Sprintf(`dogwoodline_endings_total{code=%q,reason=%q}`, o.Code, o.Reason)
	m.set.GetOrCreateCounter(name).Inc()
}

// limitLabel returns label if it is among the first limit labels that were
// used, and otherLabel if not. It adds new labels to used.
func limitLabel(used map[string]struct{}, label string, limit int) string {
	if _, ok := used[label]; ok {
		return label
	}
	if len(used) >= limit {
		return otherLabel
	}
	used[label] = struct{}{}
	return label
}
