package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

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
	quota := e.gateway.settings.Quota
	if quota == nil || e.request.Organisation == "" {
		return true
	}
	admitted, after := quota.Take(e.request.Organisation, time.Now())
	if !admitted {
		e.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		e.writeError(http.StatusTooManyRequests, fmt.Sprintf("more than %g requests per second over all fronts", e.organisationLimit()))
		return false
	}
	e.counted = true
	return true
}

// giveBack gives back what the request has taken of its organisation's quota. It is called
// when the request has not run and will not.
func (e *clientExchange) giveBack() {
	if e.counted {
		e.counted = false
		e.gateway.settings.Quota.GiveBack(e.request.Organisation, time.Now())
	}
}

// neverRan reports whether a response of the gateway itself with this status says that the
// request was not sent to a backend server. The others follow on a call that may have run.
func neverRan(status int) bool {
	return status != http.StatusBadGateway && status != http.StatusGatewayTimeout
}
