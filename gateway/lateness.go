package gateway

import "time"

const (
	// latenessWeight is the weight of a new call in the moving average of how late
	// first events come. About ten calls replace an old average.
	latenessWeight = 0.1
	// latenessMemory is how long the average says something about the next call.
	latenessMemory = time.Second
	// maxLateness is the average, as a multiple of the latency objective, above
	// which the least urgent routes start no programs at a service in need, and
	// latenessHeadroom is what is added for routes of priority p, divided by 1+p.
	maxLateness      = 1.0
	latenessHeadroom = 0.5
)

// lateness tells, for each service, how long first events take compared with the
// objective of their routes. Only the scheduler goroutine may use it.
type lateness map[string]lateAverage

type lateAverage struct {
	ratio float64
	at    time.Time
}

// observe adds the time that the first event of a call took.
func (l lateness) observe(service string, took, objective time.Duration, now time.Time) {
	if took <= 0 || objective <= 0 {
		return
	}
	ratio := float64(took) / float64(objective)
	if known, ok := l[service]; ok && now.Sub(known.at) < latenessMemory {
		ratio = known.ratio + latenessWeight*(ratio-known.ratio)
	}
	l[service] = lateAverage{ratio: ratio, at: now}
}

// tooLate returns the average, and whether a route of the given priority may start
// no program because of it.
func (l lateness) tooLate(service string, priority int, now time.Time) (float64, bool) {
	known, ok := l[service]
	if !ok || now.Sub(known.at) >= latenessMemory {
		return 0, false
	}
	return known.ratio, known.ratio > maxLateness+latenessHeadroom/float64(1+max(0, priority))
}
