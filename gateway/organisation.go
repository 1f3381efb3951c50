package gateway

import "net/http"

const (
	reasonNoKey      = "the request has no key"
	reasonUnknownKey = "unknown key"
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
	}
	e.w.Header().Set("WWW-Authenticate", "Bearer")
	e.writeError(http.StatusUnauthorized, reason)
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
