package api

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

const (
	// shownTenants bounds the tenants with histograms of their own, so that
	// 39,000 tenants do not make 39,000 histograms. The rest share "other".
	shownTenants = 200
	// shownClasses bounds the classes with histograms of their own.
	shownClasses = 100
	// knownPrograms bounds each of the two generations of programs whose
	// class is remembered. A label is lost when it is exceeded, nothing else.
	knownPrograms = 16384
	otherLabel    = "other"
)

// callMetrics counts endings and measures calls. Its lock is held for map
// look-ups only.
type callMetrics struct {
	set *metrics.Set

	mu      sync.Mutex
	tenants map[string]struct{}
	shown   map[string]struct{}
	// classes and older map program ids to classes. A call does not name its
	// class; the start of its program does.
	classes map[string]string
	older   map[string]string
}

func newCallMetrics(set *metrics.Set) *callMetrics {
	return &callMetrics{
		set:     set,
		tenants: map[string]struct{}{},
		shown:   map[string]struct{}{},
		classes: map[string]string{},
	}
}

func (m *callMetrics) started(request StartRequest, reply program.Reply) {
	m.ended(reply.Outcome)
	if reply.Outcome.Code != outcome.Completed {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.classes) >= knownPrograms {
		m.older, m.classes = m.classes, map[string]string{}
	}
	m.classes[request.ID] = request.Class
}

func (m *callMetrics) called(tenant, id string, begin time.Time, o outcome.Outcome) {
	m.ended(o)
	m.mu.Lock()
	class, ok := m.classes[id]
	if !ok {
		class, ok = m.older[id]
	}
	if !ok {
		class = otherLabel
	}
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
