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

// WriteResponse is the response to PUT and DELETE /kv/{key}.
type WriteResponse struct {
	Version kvstore.Version `json:"version"`
}

// ListResponse is the response to GET /kv?prefix=.
type ListResponse struct {
	Items    []kvstore.Item  `json:"items"`
	Revision kvstore.Version `json:"revision"`
}

// WatchResponse is the response to GET /watch.
type WatchResponse struct {
	Events   []kvstore.Event `json:"events"`
	Revision kvstore.Version `json:"revision"`
}

// GrantRequest is the request body of POST /leases.
type GrantRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// GrantResponse is the response to POST /leases.
type GrantResponse struct {
	Lease kvstore.LeaseID `json:"lease"`
}

// HostsMessage is the response to GET /hosts and the request body of PUT
// /admin/hosts.
type HostsMessage struct {
	Hosts []kvstore.Host `json:"hosts"`
}

// WeightRequest is the request body of POST /weights/{model}.
type WeightRequest struct {
	Bytes int64 `json:"bytes"`
}

// WeightResponse is the response to POST /weights/{model}.
type WeightResponse struct {
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

// CodeForError returns the code and the HTTP status for an error of package
// kvstore. Other errors are reported as CodeBadRequest.
func CodeForError(err error) (Code, int) {
	for _, row := range errorTable {
		if errors.Is(err, row.err) {
			return row.code, row.status
		}
	}
	return CodeBadRequest, http.StatusBadRequest
}

// ErrorForCode returns the error of package kvstore for a code. The second result is
// false if the code has none.
func ErrorForCode(code Code) (error, bool) { //nolint:revive // the error is the looked-up value, not a failure
	for _, row := range errorTable {
		if row.code == code {
			return row.err, true
		}
	}
	return nil, false
}
