package fleet

import (
	"math"
	"slices"
	"time"
)

const (
	// recentGapWeight and lastingGapWeight are the weights of a new stream in the
	// moving averages of a server's gaps: about the last 3 and the last 20 streams.
	recentGapWeight  = 0.4
	lastingGapWeight = 0.05
	// maxGapRatio bounds what one stream can change: its gap counts as at most this
	// many times longer or shorter than the average. One stream may have been stalled
	// by the prompts of others.
	maxGapRatio = 3
	// minRelativeGap and maxRelativeGap bound the estimate, as maxSlowness does for
	// latencies.
	minRelativeGap, maxRelativeGap = 0.25, 8
	// ownEvidenceWeight is the weight of a stream that this front has just seen,
	// relative to what the other fronts have measured of its server.
	ownEvidenceWeight = 2
	maxOwnEvidence    = 16
	// passingRatio is how far the speed of the last streams must be from the lasting one to
	// count. Less is due to the calls that run beside them: a full batch alone slows a
	// server by a quarter.
	passingRatio = 1.4
	// speedInterval is how often the median speed of a service is worked out anew.
	speedInterval = 500 * time.Millisecond
)

// speedStats estimates the speed of a backend server from the gaps between the events
// of its streams. A slow server has longer gaps whatever the prompt and the length of
// the answer, so that every stream counts.
type speedStats struct {
	// Moving averages of the logarithm of the gap in ms.
	recent, lasting float64
	streams         int     // that were observed
	evidence        float64 // weight of the recent streams at observedAt
	observedAt      time.Time
}

// observe records the gap between the events of a stream.
func (s *speedStats) observe(gap time.Duration, now time.Time) {
	measured := math.Log(max(float64(gap)/float64(time.Millisecond), 1e-3))
	if s.streams == 0 {
		s.recent, s.lasting = measured, measured
	} else {
		s.recent += recentGapWeight * clamp(measured-s.recent, math.Log(maxGapRatio))
		// The first streams count alike, so that the first one does not dominate.
		weight := max(lastingGapWeight, 1/float64(s.streams+1))
		s.lasting += weight * clamp(measured-s.lasting, math.Log(maxGapRatio))
	}
	s.evidence = min(maxOwnEvidence, s.currentEvidence(now)+ownEvidenceWeight)
	s.streams++
	s.observedAt = now
}

// currentEvidence returns the weight of the recent streams, which halves with each
// latencyMemory.
func (s *speedStats) currentEvidence(now time.Time) float64 {
	if s.streams == 0 {
		return 0
	}
	return s.evidence * math.Exp2(-float64(now.Sub(s.observedAt))/float64(latencyMemory))
}

// logGap returns the logarithm of the expected gap: what the last streams have shown,
// which approaches the lasting average with their age.
func (s *speedStats) logGap(now time.Time) float64 {
	age := float64(now.Sub(s.observedAt)) / float64(latencyMemory)
	return s.lasting + (s.recent-s.lasting)/(1+max(0, age))
}

func clamp(value, limit float64) float64 { return min(limit, max(-limit, value)) }

// serviceSpeed is what is known of the servers of a service together.
type serviceSpeed struct {
	median   float64 // of the lasting averages, as a logarithm of ms
	measured int     // servers with a measurement
	meanLoad float64 // calls of this front that run at a server, averaged
	updated  time.Time
	uneven   unevenness
}

// speedOf returns the speeds of a service, updated at most every speedInterval.
func (f *Fleet) speedOf(service string, now time.Time) *serviceSpeed {
	known := f.speeds[service]
	if known == nil {
		known = &serviceSpeed{}
		f.speeds[service] = known
	}
	if !known.updated.IsZero() && now.Sub(known.updated) < speedInterval {
		return known
	}
	known.updated = now
	var gaps []float64
	known.meanLoad = 0
	for _, s := range f.byService[service] {
		known.meanLoad += s.average.at(s.running, now) / float64(len(f.byService[service]))
		if s.speed.streams > 0 {
			gaps = append(gaps, s.speed.lasting)
		}
	}
	known.measured = len(gaps)
	if len(gaps) > 0 {
		slices.Sort(gaps)
		known.median = gaps[len(gaps)/2]
	}
	known.uneven.update(f.spread(service, now), now)
	return known
}

// slowness returns the factor by which calls at a backend server take longer than at the
// median server of its service: the lasting one, from the gaps of its streams or, if it has
// had none, from the durations of its calls, unless it has lately been far from that, as
// this front and the others have measured.
func (f *Fleet) slowness(s *backendState, now time.Time) float64 {
	others, othersWeight := s.others.logSlowness(now)
	speed := f.speedOf(s.Service, now)
	switch {
	case s.speed.streams > 0:
		lasting, weight := s.speed.lasting-speed.median, s.speed.currentEvidence(now)
		deviation := weight*(s.speed.logGap(now)-s.speed.lasting) + othersWeight*(others-lasting)
		if weight += othersWeight; weight > 0 {
			deviation /= weight
		}
		return clampRelative(math.Exp(lasting + beyond(deviation, math.Log(passingRatio))))
	case othersWeight > 0:
		return clampRelative(math.Exp(others))
	case speed.measured == 0:
		// The lengths of calls alone explain some of the difference.
		return max(1, s.latency.slowness(now)/toleratedSlowness)
	}
	return 1
}

// beyond returns the value if its amount exceeds the limit, else 0.
func beyond(value, limit float64) float64 {
	if math.Abs(value) < limit {
		return 0
	}
	return value
}

func clampRelative(relative float64) float64 {
	return min(maxRelativeGap, max(minRelativeGap, relative))
}
