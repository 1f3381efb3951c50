package waitqueue

import "time"

const (
	// startMemory is the time over which the rate of started programs is averaged.
	startMemory = 2 * time.Second
	// defaultStartRate is the rate of started programs, per second, that is taken before
	// any was seen.
	defaultStartRate = 4.0
	// minReturn is the shortest time after which a refused caller returns: a slot becomes
	// free every few tens of ms.
	minReturn = 100 * time.Millisecond
	// honouredSpread is the part of the longest time that a caller honours over which
	// callers are spread that should return later than that.
	honouredSpread = 0.3
)

// Spread returns after which time a refused caller should return whose call would have
// been sent after the given wait. The random number between 0 and 1 keeps callers apart.
func Spread(wait, honoured time.Duration, random float64) time.Duration {
	after := wait + time.Duration(random*honouredSpread*float64(wait))
	if honoured > 0 && after > honoured {
		after = time.Duration((1 - honouredSpread*random) * float64(honoured))
	}
	return max(minReturn, after)
}

// Returns tells refused callers when to return, so that they come back one after the
// other, the most urgent first, as fast as programs start.
type Returns struct {
	next    [maxLevels]time.Time
	starts  float64 // that were let start, older ones with less weight
	decayed time.Time
	since   time.Time
}

// Started counts a program that was let start.
func (r *Returns) Started(now time.Time) {
	r.decay(now)
	r.starts++
}

func (r *Returns) decay(now time.Time) {
	if r.since.IsZero() {
		r.since, r.decayed = now, now
	}
	if passed := now.Sub(r.decayed); passed > 0 {
		r.starts *= max(0, 1-float64(passed)/float64(startMemory))
		r.decayed = now
	}
}

// rate returns the programs per second that start.
func (r *Returns) rate(now time.Time) float64 {
	r.decay(now)
	if now.Sub(r.since) < startMemory {
		return max(defaultStartRate, r.starts/startMemory.Seconds())
	}
	return max(1/startMemory.Seconds(), r.starts/startMemory.Seconds())
}

// Reserve returns after which time a refused caller should return. The queue is expected
// to be empty after drain; honoured is the longest time that the caller honours. The
// random number between 0 and 1 keeps callers of different fronts apart.
func (r *Returns) Reserve(level int, drain, honoured time.Duration, random float64, now time.Time) time.Duration {
	level = min(max(0, level), maxLevels-1)
	interval := time.Duration(float64(time.Second) / r.rate(now))
	at := now.Add(max(minReturn, drain))
	if at.Before(r.next[level]) {
		at = r.next[level]
	}
	after := at.Sub(now) + time.Duration(random*float64(interval))
	if honoured > 0 && after > honoured {
		// It returns before its turn and takes no place of those that return in time.
		return Spread(after, honoured, random)
	}
	for l := level; l < maxLevels; l++ {
		if r.next[l].Before(at) {
			r.next[l] = at
		}
		r.next[l] = r.next[l].Add(interval)
	}
	return after
}
