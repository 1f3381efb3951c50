package api

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/outcome"
)

const (
	// shownTenants bounds the tenants with histograms of their own, so that
	// 39,000 tenants do not make 39,000 histograms. The rest share "other".
	shownTenants = 200
	// shownClasses bounds the classes with histograms of their own.
	shownClasses = 100
	otherLabel   = "other"
)

// callMetrics counts endings and measures calls. Its lock is held for map
// look-ups only.
type callMetrics struct {
	set *metrics.Set

	mu      sync.Mutex
	tenants map[string]struct{}
	shown   map[string]struct{}
}

func newCallMetrics(set *metrics.Set) *callMetrics {
	return &callMetrics{
		set:     set,
		tenants: map[string]struct{}{},
		shown:   map[string]struct{}{},
	}
}

// called measures a call. Refusals that no owner of the program gave have no
// class.
func (m *callMetrics) called(tenant, class string, begin time.Time, o outcome.Outcome) {
	m.ended(o)
	if class == "" {
		class = otherLabel
	}
	m.mu.Lock()
	tenant = bounded(m.tenants, tenant, shownTenants)
	class = bounded(m.shown, class, shownClasses)
	m.mu.Unlock()
	name := fmt.Sprintf(`dogwoodline_call_seconds{tenant=%q,class=%q}`, tenant, class)
	m.set.GetOrCreateHistogram(name).UpdateDuration(begin)
}

func (m *callMetrics) ended(o outcome.Outcome) {
	name := fmt.Sprintf(`dogwoodline_endings_total{code=%q,reason=%q}`, o.Code, o.Reason)
	m.set.GetOrCreateCounter(name).Inc()
}

// bounded returns the label itself while fewer than limit labels are shown.
func bounded(shown map[string]struct{}, label string, limit int) string {
	if _, ok := shown[label]; ok {
		return label
	}
	if len(shown) >= limit {
		return otherLabel
	}
	shown[label] = struct{}{}
	return label
}
