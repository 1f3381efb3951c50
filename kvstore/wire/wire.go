// Package wire holds the messages and error codes of the platform's HTTP
// protocol, shared by the client and the stand-in server.
//
// Values travel as the raw body of PUT /kv/{key} and base64-coded in JSON
// answers. Errors are an Error body with a 4xx or 5xx status.
package wire

import (
	"errors"
	"net/http"

	"dogwoodline.example/kvstore"
)

// Code names an error of the protocol.
type Code string

// Codes of the protocol.
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

// Error is the body of a refused call. Version is the current version of the
// key after a conflict.
type Error struct {
	Code    Code            `json:"code"`
	Version kvstore.Version `json:"version,omitempty"`
	Detail  string          `json:"detail,omitempty"`
}

// Written answers PUT and DELETE /kv/{key}.
type Written struct {
	Version kvstore.Version `json:"version"`
}

// Items answers GET /kv?prefix=.
type Items struct {
	Items    []kvstore.Item  `json:"items"`
	Revision kvstore.Version `json:"revision"`
}

// Events answers GET /watch.
type Events struct {
	Events   []kvstore.Event `json:"events"`
	Revision kvstore.Version `json:"revision"`
}

// GrantRequest is the body of POST /leases.
type GrantRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// Granted answers POST /leases.
type Granted struct {
	Lease kvstore.LeaseID `json:"lease"`
}

// Hosts answers GET /hosts and is the body of PUT /admin/hosts.
type Hosts struct {
	Hosts []kvstore.Host `json:"hosts"`
}

// WeightRequest is the body of POST /weights/{model}.
type WeightRequest struct {
	Bytes int64 `json:"bytes"`
}

// WeightGrant answers POST /weights/{model}.
type WeightGrant struct {
	WaitMS int64 `json:"wait_ms"`
}

var table = []struct {
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

// FromError returns the code and HTTP status of a platform error.
func FromError(err error) (Code, int) {
	for _, row := range table {
		if errors.Is(err, row.err) {
			return row.code, row.status
		}
	}
	return CodeBadRequest, http.StatusBadRequest
}

// ToError returns the platform error of a code. The second result is false
// for codes without one.
func ToError(code Code) (error, bool) { //nolint:revive // the error is the value here, not the ending
	for _, row := range table {
		if row.code == code {
			return row.err, true
		}
	}
	return nil, false
}
