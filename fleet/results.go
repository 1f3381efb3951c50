package fleet

import "time"

// CallStarted records that a call is sent to a backend server.
func (f *Fleet) CallStarted(id string, now time.Time) {
	if s := f.byID[id]; s != nil {
		s.average.update(s.running, now)
		s.setRunning(s.running + 1)
		s.limit.take(now)
	}
}

// CallResult describes how a call at a backend server ended.
type CallResult struct {
	BackendID string
	// Unreachable says that no connection could be opened.
	Unreachable bool
	// AtCapacity says that the backend server refused the call because it already
	// runs as many calls as it can.
	AtCapacity bool
	// Misdirected says that the address now belongs to another backend server.
	Misdirected bool
	// Failed says that the call was interrupted, or that its answer was an error
	// or could not be used.
	Failed bool
	// Duration is the duration of the whole exchange, or 0 if no answer came.
	Duration time.Duration
	// Comparable says that Duration can be compared with that of calls at other
	// backend servers.
	Comparable bool
	// EventGap is the median gap between the events of a stream; 0 if not measured.
	EventGap time.Duration
}

// fullFor is how long a backend server at capacity is avoided after it refused
// a call.
const fullFor = 100 * time.Millisecond

// CallEnded records the end of a call and updates the load, latency and failures
// of its backend server.
func (f *Fleet) CallEnded(result CallResult, now time.Time) {
	s := f.byID[result.BackendID]
	if s == nil {
		return
	}
	s.average.update(s.running, now)
	s.setRunning(max(0, s.running-1))
	s.period.ended++
	if result.Unreachable || result.Misdirected || result.Failed {
		s.period.failed++
	}
	if result.EventGap > 0 {
		s.period.streams++
		s.speed.observe(result.EventGap, now)
	}
	switch {
	case result.Unreachable, result.Misdirected:
		s.suspectUntil = now.Add(suspectFor)
	case result.AtCapacity:
		s.fullUntil = now.Add(fullFor)
	case result.Failed:
		if avoid := s.failures.observe(true, now); avoid > 0 {
			s.suspectUntil = now.Add(avoid)
		}
	case result.Duration > 0:
		s.suspectUntil = time.Time{}
		s.failures.observe(false, now)
		if result.Comparable {
			f.observeLatency(s, result.Duration, now)
		}
	}
}
