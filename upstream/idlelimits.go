package upstream

import "time"

const (
	// maxResetDelay is how soon after a request was sent a connection must end to
	// be taken for one that the backend server had dropped while it was idle. Such
	// a connection ends within a network round trip, without any work by the
	// backend server.
	maxResetDelay = 25 * time.Millisecond
	// minIdleLimit is the idle time below which the end of a connection is put
	// down to other causes, such as a backend server that has just exited. It is
	// also the lowest limit.
	minIdleLimit = 100 * time.Millisecond
	// idleLimitTTL is how long a limit applies. A backend server that drops idle
	// connections early does so for some seconds, and a limit that applies for
	// longer costs new connections.
	idleLimitTTL = 8 * time.Second
)

// idleLimits holds, by service, the longest idle time after which a connection is
// used again. It has entries only for services whose backend servers dropped idle
// connections sooner than they announce. The pool's lock guards it.
type idleLimits map[string]idleLimit

type idleLimit struct {
	maxIdle time.Duration
	expires time.Time
}

// recordClose records that a connection ended sinceSent after a request was sent
// on it, having been idle before. If the backend server had dropped it while it
// was idle, half of that idle time becomes the limit of the service, unless a
// lower one applies. It reports false if the end has another cause.
func (l idleLimits) recordClose(service string, idle, sinceSent time.Duration, now time.Time) bool {
	if idle < minIdleLimit || sinceSent > maxResetDelay {
		return false
	}
	maxIdle := idle / 2
	if known := l[service]; now.Before(known.expires) {
		maxIdle = min(maxIdle, known.maxIdle)
	}
	l[service] = idleLimit{maxIdle: max(maxIdle, minIdleLimit), expires: now.Add(idleLimitTTL)}
	return true
}

// allows reports whether a connection to the service may be used after it was
// idle for the given time.
func (l idleLimits) allows(service string, idle time.Duration, now time.Time) bool {
	known := l[service]
	return idle <= known.maxIdle || !now.Before(known.expires)
}
