package fleet

import "time"

const (
	// failureWeight is the part of a new outcome in the rate of failures; about
	// four calls replace an old belief.
	failureWeight = 0.25
	// failureMemory is the age at which the rate counts half. Backend servers
	// that fail part of their calls do so for some seconds.
	failureMemory = 3 * time.Second
	// failureCost is what a backend server that fails all its calls costs, in
	// units of the time that a full batch takes. Such a server is idle, and would
	// else be the least busy one.
	failureCost = 4
	// failuresInRow is how many failures without a success between them take a
	// backend server out of the choice while any other is left, for avoidFor and
	// twice as long after each further one.
	failuresInRow = 2
	avoidFor      = 500 * time.Millisecond
	longestAvoid  = 4 * time.Second
)

// failures is what a backend server's calls that broke off say about it. Its
// own word about its health is not asked, since it may be wrong.
type failures struct {
	rate float64
	row  int
	at   time.Time
}

// observe takes the outcome of a call and returns for how long to avoid the
// backend server.
func (f *failures) observe(failed bool, now time.Time) time.Duration {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	known := f.now(now)
	f.rate, f.at = known+failureWeight*(outcome-known), now
	if !failed {
		f.row = 0
		return 0
	}
	f.row++
	if f.row < failuresInRow {
		return 0
	}
	avoid := avoidFor
	for range min(f.row-failuresInRow, 8) {
		avoid = min(longestAvoid, 2*avoid)
	}
	return avoid
}

// now is the rate of failures as far as it still counts.
func (f *failures) now(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.rate / (1 + float64(now.Sub(f.at))/float64(failureMemory))
}
