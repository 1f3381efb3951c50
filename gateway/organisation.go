package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"dogwoodline.example/route"
)

const (
	// organisationCounter counts requests by organisation and outcome.
	organisationCounter = "dogwoodline_organisation_requests_total"
	// otherOrganisations and noOrganisation stand for the organisations that are not
	// counted one by one, and for requests without a known key.
	otherOrganisations = "(others)"
	noOrganisation     = "(none)"
	// maxKeyLines bounds the lines per second about requests without a known key, because
	// anyone can send such requests.
	maxKeyLines = 10

	reasonNoKey      = "the request has no key"
	reasonUnknownKey = "unknown key"
	reasonOldTable   = "the key is not known here, and the configuration may be old"
)

// authenticate finds the organisation of the request by its key. If it reports false, it
// has already written an error response. Without organisations in the configuration, the
// request's credentials are passed on as any other header.
func (e *clientExchange) authenticate() bool {
	if !e.table.HasOrganisations() {
		e.request.ForwardCredentials = true
		return true
	}
	organisation, known := e.table.OrganisationOfKey(string(e.request.Key))
	switch {
	case known:
		e.request.Organisation = organisation.Name
		return true
	case e.route.Public:
		return true
	}
	reason := reasonUnknownKey
	if e.request.Key == "" {
		reason = reasonNoKey
	} else if e.gateway.tableMayBeOld(time.Now()) {
		// 401 ends a program for good, and another front may know the key.
		e.w.Header().Set("Connection", "close")
		e.refuse(reasonOldTable, retryAfterNotReady)
		return false
	}
	e.w.Header().Set("WWW-Authenticate", "Bearer")
	logged, leftOut := e.gateway.keyLines.allow(e.request.Arrived)
	if leftOut > 0 {
		e.gateway.log.Warn("gateway: requests without a known key were not logged", "count", leftOut)
	}
	if logged {
		e.writeError(http.StatusUnauthorized, reason)
	} else {
		e.sendError(http.StatusUnauthorized, reason)
	}
	return false
}

// owns reports whether the request may continue a turn or a stream of the given
// organisation. Those without one were stored by a front of an earlier release, or while
// the configuration had no organisations; to refuse them would end programs in an upgrade.
func (e *clientExchange) owns(organisation string) bool {
	return organisation == "" || organisation == e.request.Organisation || !e.table.HasOrganisations()
}

// organisationLimit returns the limit of the request's organisation, in requests per
// second; 0 for none.
func (e *clientExchange) organisationLimit() float64 {
	if organisation := e.table.Organisations[e.request.Organisation]; organisation != nil {
		return organisation.RatePerSecond
	}
	return 0
}

// countOrganisation updates the metrics of the request's organisation.
func (e *clientExchange) countOrganisation(outcome string) {
	if e.table == nil || !e.table.HasOrganisations() {
		return
	}
	name := e.request.Organisation
	switch {
	case name == "":
		name = noOrganisation
	case !e.table.IsLarge(name):
		name = otherOrganisations
	}
	e.gateway.set.GetOrCreateCounter(fmt.Sprintf("%s{organisation=%q,outcome=%q}", organisationCounter, name, outcome)).Inc()
}

// dropOrganisationCounters removes the counters of organisations that are no longer among
// the largest, so that their number stays bounded.
func (g *Gateway) dropOrganisationCounters(before, now *route.Table) {
	if before == nil {
		return
	}
	for _, name := range before.LargeOrganisations() {
		if now.IsLarge(name) {
			continue
		}
		prefix := fmt.Sprintf("%s{organisation=%q,", organisationCounter, name)
		for _, metric := range g.set.ListMetricNames() {
			if strings.HasPrefix(metric, prefix) {
				g.set.UnregisterMetric(metric)
			}
		}
	}
}

// lineLimit bounds the log lines per second about one cause.
type lineLimit struct{ second, lines atomic.Int64 }

// allow reports whether a line may be written, and how many were left out in the last
// second that had any, if this is the first line since.
func (l *lineLimit) allow(now time.Time) (allowed bool, leftOut int64) {
	second := now.Unix()
	if before := l.second.Load(); before != second && l.second.CompareAndSwap(before, second) {
		leftOut = max(0, l.lines.Swap(0)-maxKeyLines)
	}
	return l.lines.Add(1) <= maxKeyLines, leftOut
}
