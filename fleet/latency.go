package fleet

import (
	"slices"
	"time"
)

const (
	// latencyWeight is the weight of a new observation in the moving average.
	// About five calls replace an old estimate.
	latencyWeight = 0.25
	// latencyMemory is the age at which a deviation from the median counts half.
	// Backend servers become slow and recover within seconds.
	latencyMemory = 3 * time.Second
	// maxSlowness bounds the estimate, so that a slow backend server still gets
	// an occasional call, which shows whether it has recovered.
	maxSlowness = 8
)

// latencyStats estimates the latency of a backend server relative to the other
// servers of its service.
type latencyStats struct {
	average    float64 // moving average, ms
	relative   float64 // average divided by the median of the service, bounded; at observedAt
	observedAt time.Time
}

// observe records the latency of a call. median is the median of the service in
// ms, or 0 if it is unknown.
func (l *latencyStats) observe(duration time.Duration, median float64, now time.Time) {
	ms := float64(duration) / float64(time.Millisecond)
	if l.observedAt.IsZero() {
		l.average = ms
	} else {
		l.average += latencyWeight * (ms - l.average)
	}
	l.relative = 1
	if median > 0 {
		l.relative = min(maxSlowness, max(0.5, l.average/median))
	}
	l.observedAt = now
}

// slowness returns the factor by which calls at this backend server take longer
// than the median of its service. It approaches 1 with the age of the last
// observation and is 1 if there is none.
func (l *latencyStats) slowness(now time.Time) float64 {
	if l.observedAt.IsZero() || l.relative <= 0 {
		return 1
	}
	age := float64(now.Sub(l.observedAt)) / float64(latencyMemory)
	return 1 + (l.relative-1)/(1+age)
}

// medianLatency returns the median of the average latencies of a service's
// backend servers in ms, or 0 if there is no observation. Servers that have named
// a limit get few calls; they count only if all have, or the others would all be
// slow by comparison.
func (f *Fleet) medianLatency(service string) float64 {
	index := f.indexes[service]
	if index == nil {
		return 0
	}
	if index.latencies == nil {
		index.latencies = make([]float64, 0, len(index.servers))
		for _, s := range index.servers {
			if s.latencyCounts() {
				index.latencies = append(index.latencies, s.latency.average)
			}
		}
		slices.Sort(index.latencies)
	}
	if len(index.latencies) == 0 {
		return 0
	}
	return index.latencies[len(index.latencies)/2]
}

// latencyCounts reports whether the average latency of a backend server that gets calls is
// one of those that the median is taken of.
func (s *backendState) latencyCounts() bool {
	unlimited := s.index.limited < len(s.index.servers)
	return !s.latency.observedAt.IsZero() && !(unlimited && s.limit.perSecond > 0)
}

// observeLatency records the latency of a call at a backend server.
func (f *Fleet) observeLatency(s *backendState, duration time.Duration, now time.Time) {
	median := f.medianLatency(s.Service)
	if s.index == nil || s.index.latencies == nil {
		s.latency.observe(duration, median, now)
		return
	}
	if s.latencyCounts() {
		if at, found := slices.BinarySearch(s.index.latencies, s.latency.average); found {
			s.index.latencies = slices.Delete(s.index.latencies, at, at+1)
		}
	}
	s.latency.observe(duration, median, now)
	if s.latencyCounts() {
		at, _ := slices.BinarySearch(s.index.latencies, s.latency.average)
		s.index.latencies = slices.Insert(s.index.latencies, at, s.latency.average)
	}
}
