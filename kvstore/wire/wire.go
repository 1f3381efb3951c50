// Package wire defines the messages and error codes of the platform's HTTP
// protocol, which the client and the emulated platform share.
//
// A value is the raw body of PUT /kv/{key}, and base64-encoded in JSON
// responses. An error is a response with a 4xx or 5xx status and an Error as
// its body.
package wire

import (
	"errors"
	"net/http"

	"dogwoodline.example/kvstore"
)

// Code identifies an error of the protocol.
type Code string

// The error codes of the protocol.
const (
	CodeNotFound    Code = "not_found"
	CodeConflict    Code = "conflict"
	CodeLeaseLost   Code = "lease_lost"
	CodeTooLarge    Code = "too_large"
	CodeRateLimited Code = "rate_limited"
	CodeUnavailable Code = "unavailable"
	CodeCompacted   Code = "compacted"
	CodeBadRequest  Code = "bad_request"
)

// Error is the response body of a refused call. After a conflict, Version is
// the current version of the key.
type Error struct {
	Code    Code            `json:"code"`
	Version kvstore.Version `json:"version,omitempty"`
	Detail  string          `json:"detail,omitempty"`
}

// Written is the response to PUT and DELETE /kv/{key}.
type Written struct {
	Version kvstore.Version `json:"version"`
}

// Items is the response to GET /kv?prefix=.
type Items struct {
	Items    []kvstore.Item  `json:"items"`
	Revision kvstore.Version `json:"revision"`
}

// Events is the response to GET /watch.
type Events struct {
	Events   []kvstore.Event `json:"events"`
	Revision kvstore.Version `json:"revision"`
}

// GrantRequest is the request body of POST /leases.
type GrantRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// Granted is the response to POST /leases.
type Granted struct {
	Lease kvstore.LeaseID `json:"lease"`
}

// Hosts is the response to GET /hosts and the request body of PUT
// /admin/hosts.
type Hosts struct {
	Hosts []kvstore.Host `json:"hosts"`
}

// WeightRequest is the request body of POST /weights/{model}.
type WeightRequest struct {
	Bytes int64 `json:"bytes"`
}

// WeightGrant is the response to POST /weights/{model}.
type WeightGrant struct {
	WaitMS int64 `json:"wait_ms"`
}

// errorTable maps codes, HTTP statuses and errors of package kvstore to each
// other.
var errorTable = []struct {
	code   Code
	status int
	err    error
}{
	{CodeNotFound, http.StatusNotFound, kvstore.ErrNotFound},
	{CodeConflict, http.StatusConflict, kvstore.ErrConflict},
	{CodeLeaseLost, http.StatusGone, kvstore.ErrLeaseLost},
	{CodeTooLarge, http.StatusRequestEntityTooLarge, kvstore.ErrTooLarge},
	{CodeRateLimited, http.StatusTooManyRequests, kvstore.ErrRateLimited},
	{CodeUnavailable, http.StatusServiceUnavailable, kvstore.ErrUnavailable},
	{CodeCompacted, http.StatusPreconditionFailed, kvstore.ErrCompacted},
}

// FromError returns the code and the HTTP status for an error of package
// kvstore. Other errors are reported as CodeBadRequest.
func FromError(err error) (Code, int) {
	for _, row := range errorTable {
		if errors.Is(err, row.err) {
			return row.code, row.status
		}
	}
	return CodeBadRequest, http.StatusBadRequest
}

// ToError returns the error of package kvstore for a code. The second result is
// false if the code has none.
func ToError(code Code) (error, bool) { //nolint:revive // the error is the looked-up value, not a failure
	for _, row := range errorTable {
		if row.code == code {
			return row.err, true
		}
	}
	return nil, false
}
