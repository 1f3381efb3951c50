package upstream

import "time"

const (
	// resetWithin is the time after sending within which the end of a connection
	// that had been idle shows that the backend server had forgotten it: the way
	// there and back, without any work.
	resetWithin = 25 * time.Millisecond
	// shortestRest is the idle time below which the end of a connection has other
	// causes, such as a backend server that has just ended.
	shortestRest = 100 * time.Millisecond
	// restMemory is how long a service's connections are used only before they
	// have rested for too long. A backend server that forgets them does so for
	// some seconds, and each new connection is a cost.
	restMemory = 8 * time.Second
)

// rests is how long connections of a service may have been idle to be used
// again, where backend servers were seen to forget them sooner than they say.
// The pool's lock guards it.
type rests map[string]rest

type rest struct {
	longest time.Duration
	until   time.Time
}

// note learns from a connection that ended after it had been idle. It reports
// whether the limit for the service changed.
func (r rests) note(service string, idle, took time.Duration, now time.Time) bool {
	if idle < shortestRest || took > resetWithin {
		return false
	}
	longest := idle / 2
	if known := r[service]; now.Before(known.until) {
		longest = min(longest, known.longest)
	}
	r[service] = rest{longest: max(longest, shortestRest), until: now.Add(restMemory)}
	return true
}

// allows reports whether a connection that has been idle may be used.
func (r rests) allows(service string, idle time.Duration, now time.Time) bool {
	known := r[service]
	return idle <= known.longest || !now.Before(known.until)
}
