package api

import (
	"net/http"
	"strconv"

	"dogwoodline.example/outcome"
)

// Reasons that only the HTTP API sets.
const (
	// TooLarge means that the body exceeds MaxBodyBytes.
	TooLarge outcome.Reason = "too_large"
	// Unauthorized means that the key is missing or unknown.
	Unauthorized outcome.Reason = "unauthorized"
	// UnknownResource means that no such resource exists.
	UnknownResource outcome.Reason = "unknown_resource"
	// StoreUnavailable means that the platform store did not respond, so a
	// write of a resource may have taken effect.
	StoreUnavailable outcome.Reason = "store_unavailable"
)

type outcomeKey struct {
	code   outcome.Code
	reason outcome.Reason
}

// statusByOutcome maps outcomes to HTTP statuses. An outcome that is not listed
// has the status of its code with an empty reason.
var statusByOutcome = map[outcomeKey]int{
	{outcome.Completed, ""}:                       http.StatusOK,
	{outcome.NotRun, ""}:                          http.StatusServiceUnavailable,
	{outcome.NotRun, outcome.DeadlineExceeded}:    http.StatusGatewayTimeout,
	{outcome.NotRun, outcome.Overloaded}:          http.StatusTooManyRequests,
	{outcome.Unknown, ""}:                         http.StatusBadGateway,
	{outcome.Unknown, outcome.DeadlineExceeded}:   http.StatusGatewayTimeout,
	{outcome.OverBudget, ""}:                      http.StatusPaymentRequired,
	{outcome.Invalid, ""}:                         http.StatusBadRequest,
	{outcome.Invalid, outcome.Conflict}:           http.StatusConflict,
	{outcome.Invalid, outcome.CrashesBackend}:     http.StatusUnprocessableEntity,
	{outcome.Invalid, outcome.TurnLimit}:          http.StatusUnprocessableEntity,
	{outcome.Invalid, outcome.UnknownProgram}:     http.StatusNotFound,
	{outcome.Invalid, outcome.ProgramEnded}:       http.StatusGone,
	{outcome.Invalid, outcome.Forbidden}:          http.StatusForbidden,
	{outcome.Invalid, Unauthorized}:               http.StatusUnauthorized,
	{outcome.Invalid, TooLarge}:                   http.StatusRequestEntityTooLarge,
	{outcome.Invalid, UnknownResource}:            http.StatusNotFound,
	{outcome.Unknown, StoreUnavailable}:           http.StatusServiceUnavailable,
	{outcome.Cancelled, ""}:                       http.StatusConflict,
	{outcome.Cancelled, outcome.ProgramEnded}:     http.StatusGone,
	{outcome.Cancelled, outcome.DeadlineExceeded}: http.StatusGatewayTimeout,
	{outcome.Failed, ""}:                          http.StatusBadGateway,
}

// HTTPStatus returns the HTTP status of an outcome. Several outcomes share a
// status; the code and the reason in the response body are exact.
func HTTPStatus(o outcome.Outcome) int {
	if status, ok := statusByOutcome[outcomeKey{o.Code, o.Reason}]; ok {
		return status
	}
	if status, ok := statusByOutcome[outcomeKey{o.Code, ""}]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// writeOutcome writes a response with the status of the outcome and the given
// body.
func writeOutcome(w http.ResponseWriter, o outcome.Outcome, body any) {
	if o.RetryAfterMS > 0 {
		seconds := (o.RetryAfterMS + 999) / 1000 // Retry-After has whole seconds; round up
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, HTTPStatus(o), body)
}
