package gateway

import (
	"net/http"
	"strconv"
	"time"

	"dogwoodline.example/route"
)

// Quota bounds the requests of each organisation over all fronts together.
type Quota interface {
	// Take counts a request of an organisation. If the organisation has none left, it
	// returns after which time there is room again.
	Take(organisation string, now time.Time) (admitted bool, retryAfter time.Duration)
	// StartsScarce reports whether the quota of an organisation hardly suffices for its
	// programs in progress. Requests that start programs are then counted by TakeStart.
	StartsScarce(organisation string, now time.Time) bool
	// TakeStart is Take for a request that starts a program, and refuses it before those of
	// programs in progress.
	TakeStart(organisation string, now time.Time) (admitted bool, retryAfter time.Duration)
	// Peek tells what Take would decide, and counts nothing. If asks is set, the request
	// would wait for the answer of a coordinator.
	Peek(organisation string, now time.Time) (admitted, asks bool, retryAfter time.Duration)
	// Started takes in that a request that Take has counted starts a program.
	Started(organisation string)
	// GiveBack takes back a counted request that was refused and has not run.
	GiveBack(organisation string, now time.Time)
}

// hasQuota reports whether the request counts against a quota.
func (e *clientExchange) hasQuota() bool {
	return e.gateway.settings.Quota != nil && e.request.Organisation != ""
}

// withinQuota counts the request against the quota of its organisation. If it reports
// false, it has already written an error response. While starts are scarce, requests that
// may start programs are counted once the ledger has told whether they do.
func (e *clientExchange) withinQuota() bool {
	if !e.hasQuota() {
		return true
	}
	quota, organisation, now := e.gateway.settings.Quota, e.request.Organisation, time.Now()
	if e.mayStartProgram() && quota.StartsScarce(organisation, now) {
		return true
	}
	return e.countAs(quota.Take(organisation, now))
}

// mayStartProgram reports whether the request is one whose ledger tells whether it starts a
// program.
func (e *clientExchange) mayStartProgram() bool {
	return e.route.Kind == route.Streaming && e.request.Program != "" && e.request.TokenBudget > 0 && e.request.PreviousTurn == "" && !e.takesUp()
}

// programWithinQuota counts a request that withinQuota has not counted, and one that starts
// a program as such. If it reports false, it has already written an error response.
func (e *clientExchange) programWithinQuota() bool {
	if !e.hasQuota() || e.counted && !e.startsProgram {
		return true
	}
	quota, organisation, now := e.gateway.settings.Quota, e.request.Organisation, time.Now()
	switch {
	case !e.startsProgram:
		return e.countAs(quota.Take(organisation, now))
	case !e.counted:
		return e.countAs(quota.TakeStart(organisation, now))
	case quota.StartsScarce(organisation, now): // as the coordinator has said when the request was counted
		e.giveBack()
		return e.countAs(quota.TakeStart(organisation, now))
	}
	e.startUncounted = true
	return true
}

// countStart tells the quota of a program that was started without permission, unless its
// request was refused: programs that were never served would make those of the
// organisation seem to need fewer requests than they do.
func (e *clientExchange) countStart() {
	if e.startUncounted && e.counted {
		e.gateway.settings.Quota.Started(e.request.Organisation)
	}
}

// countAs takes in the decision about the request's quota and responds if it is refused.
func (e *clientExchange) countAs(admitted bool, after time.Duration) bool {
	if e.counted = admitted; admitted {
		return true
	}
	e.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	e.respondRefused(*e.overQuota(after))
	return false
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
