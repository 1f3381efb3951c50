package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// refusal is a response of the gateway itself to a request that has not run.
type refusal struct {
	status int
	reason string
	after  time.Duration // Retry-After; 0 for none
}

// unavailable returns a refusal after which the client should return.
func unavailable(reason string, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, after: after}
}

// respondRefused responds with a refusal.
func (e *clientExchange) respondRefused(r refusal) {
	if r.status == http.StatusServiceUnavailable {
		e.refuse(r.reason, r.after)
		return
	}
	e.writeError(r.status, r.reason)
}

// findRoute finds the route for a host and a path, and returns why the request is refused
// if there is none.
func (e *clientExchange) findRoute(host, path string) *refusal {
	e.table = e.gateway.table.Load()
	if e.table == nil {
		return unavailable("no configuration is known yet", retryAfterNotReady)
	}
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	found, ok := e.table.Match(host, path)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	e.route = found
	return nil
}

// limitTime limits the time of the request, and returns why it is refused if this front
// stops before.
func (e *clientExchange) limitTime() *refusal {
	if e.request.Timeout == 0 || (e.route.Timeout > 0 && e.request.Timeout > e.route.Timeout) {
		e.request.Timeout = e.route.Timeout
	}
	if e.request.Timeout == 0 {
		e.request.Timeout = defaultTimeout
	}
	if e.gateway.stopPlan.Load().refuses(e.request.Arrived, e.request.Arrived.Add(e.request.Timeout)) {
		return unavailable("this front stops before the time of the request is over", retryAfterStopping)
	}
	return nil
}

// limitBody returns the greatest length of a body, and why one of the given length is
// refused.
func (e *clientExchange) limitBody(length int64) (int64, *refusal) {
	limit := e.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if length > limit {
		return limit, &refusal{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("the body has more than %d bytes", limit)}
	}
	return limit, nil
}

// refusedByStores returns why the turn stores cannot keep the turn whole; nil if they can.
func (e *clientExchange) refusedByStores() *refusal {
	switch {
	case !e.route.RetainTurns:
		return nil
	case !e.gateway.turnStore.Serving():
		return unavailable("too few turn stores are known", retryAfterNotReady)
	case e.gateway.turnStore.Fullness() >= 1 && e.request.PreviousTurn == "" && !e.takesUp():
		// The stores would refuse the reservation too.
		return e.noRoom()
	case !e.route.Resumable && e.request.LastEventID != "":
		// The backend server would leave out the events that the client has, and the turn
		// would be stored without them.
		return unavailable("streams of this route cannot be taken up", retryAfterUnknownStream)
	}
	return nil
}

// noRoom refuses a request that starts a program for which the turn stores have no room.
func (e *clientExchange) noRoom() *refusal {
	return unavailable("the turn stores are nearly full", roomAfter(e.gateway.turnStore.Fullness(), e.turn.turnRetention(), rand.Float64()))
}

// overQuota refuses a request of an organisation that has sent more than its quota.
func (e *clientExchange) overQuota(after time.Duration) *refusal {
	text := fmt.Sprintf("more than %g requests per second over all fronts", e.organisationLimit())
	if e.startsProgram {
		text += ", programs in progress go first"
	}
	return &refusal{status: http.StatusTooManyRequests, reason: text, after: after}
}
