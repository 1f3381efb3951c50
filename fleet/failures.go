package fleet

import "time"

const (
	// failureWeight is the weight of a new outcome in the moving average of the
	// failure rate. About four calls replace an old estimate.
	failureWeight = 0.25
	// failureMemory is the age at which the failure rate counts half. Backend
	// servers that fail part of their calls do so for some seconds.
	failureMemory = 3 * time.Second
	// failureCost is the cost of a backend server that fails all its calls, in
	// units of the time that a full batch takes. Without it such a server would
	// be chosen most often, because its calls end at once and it looks idle.
	failureCost = 4
	// consecutiveFailureLimit is the number of consecutive failures after which
	// a backend server is avoided while any other is left. It is avoided for
	// avoidFor, doubled with each further failure up to maxAvoidFor.
	consecutiveFailureLimit = 2
	avoidFor                = 500 * time.Millisecond
	maxAvoidFor             = 4 * time.Second
)

// failureStats estimates how often calls at a backend server fail. It uses the
// outcomes of calls only, because the health that a server reports of itself
// may be wrong.
type failureStats struct {
	rate        float64 // moving average at observedAt
	consecutive int     // failures since the last success
	observedAt  time.Time
}

// observe records the outcome of a call and returns for how long to avoid the
// backend server; 0 means not at all.
func (f *failureStats) observe(failed bool, now time.Time) time.Duration {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	rate := f.currentRate(now)
	f.rate, f.observedAt = rate+failureWeight*(outcome-rate), now
	if !failed {
		f.consecutive = 0
		return 0
	}
	f.consecutive++
	if f.consecutive < consecutiveFailureLimit {
		return 0
	}
	avoid := avoidFor
	for range min(f.consecutive-consecutiveFailureLimit, 8) {
		avoid = min(maxAvoidFor, 2*avoid)
	}
	return avoid
}

// currentRate returns the failure rate, which decays with the age of the last
// observation.
func (f *failureStats) currentRate(now time.Time) float64 {
	if f.observedAt.IsZero() {
		return 0
	}
	return f.rate / (1 + float64(now.Sub(f.observedAt))/float64(failureMemory))
}
