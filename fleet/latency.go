package fleet

import (
	"sort"
	"time"
)

const (
	// latencyWeight is the part of a new observation in the average; about
	// five calls replace an old belief.
	latencyWeight = 0.25
	// latencyMemory is the age at which a belief counts half; backend servers
	// turn slow and recover within seconds.
	latencyMemory = 3 * time.Second
	// slowestFactor bounds the belief, so that a slow backend server still
	// gets a call now and then and can show that it has recovered.
	slowestFactor = 8
)

// latency is a backend server's time for a call relative to the
// others of its service.
type latency struct {
	average  float64 // ms
	relative float64
	at       time.Time
}

func (l *latency) observe(took time.Duration, typical float64, now time.Time) {
	ms := float64(took) / float64(time.Millisecond)
	if l.at.IsZero() {
		l.average = ms
	} else {
		l.average += latencyWeight * (ms - l.average)
	}
	l.relative = 1
	if typical > 0 {
		l.relative = min(slowestFactor, max(0.5, l.average/typical))
	}
	l.at = now
}

// factor is what a running call at this backend server costs; 1 is typical.
func (l *latency) factor(now time.Time) float64 {
	if l.at.IsZero() || l.relative <= 0 {
		return 1
	}
	age := float64(now.Sub(l.at)) / float64(latencyMemory)
	return 1 + (l.relative-1)/(1+age)
}

// typical is the median of the averages of a service's backend servers, ms.
func (f *Fleet) typical(service string) float64 {
	var averages []float64
	for _, s := range f.byService[service] {
		if !s.latency.at.IsZero() {
			averages = append(averages, s.latency.average)
		}
	}
	if len(averages) == 0 {
		return 0
	}
	sort.Float64s(averages)
	return averages[len(averages)/2]
}
