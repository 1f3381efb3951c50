package gateway

import "time"

// Quota bounds the requests of each organisation over all fronts together.
type Quota interface {
	// Take counts a request of an organisation. If the organisation has none left, it
	// returns after which time there is room again.
	Take(organisation string, now time.Time) (admitted bool, retryAfter time.Duration)
	// GiveBack takes back a counted request that was refused and has not run.
	GiveBack(organisation string, now time.Time)
}

// withinQuota counts the request against the quota of its organisation. If it reports
// false, it has already written an error response.
func (e *clientExchange) withinQuota() bool {
	return true
}
