// Package outcome defines the ways in which a call can end. An Outcome is a plain
// value that is passed to the caller; it is not a Go error.
package outcome

import "time"

// Code classifies an outcome. Codes are part of the HTTP API and never change
// their meaning.
type Code string

const (
	// Completed means that the call ran and its response is complete.
	Completed Code = "completed"
	// NotRun means that no byte of the call reached a backend server or
	// service. The caller may send it again.
	NotRun Code = "not_run"
	// Unknown means that a non-idempotent call may or may not have run. The
	// system never sends it again.
	Unknown Code = "unknown"
	// OverBudget means that the highest possible cost of the call exceeds what is
	// left of the program's budget. The call did not run.
	OverBudget Code = "over_budget"
	// Invalid means that the request was rejected and changed no state.
	Invalid Code = "invalid"
	// Cancelled means that the program ended or the caller withdrew the call.
	Cancelled Code = "cancelled"
	// Failed means that the call ran and the backend server or service responded
	// with an error. The response holds the details.
	Failed Code = "failed"
)

// Reason states why a call did not complete. Like codes, reasons never change
// their meaning.
type Reason string

const (
	// Overloaded means that a bounded queue was full.
	Overloaded Reason = "overloaded"
	// NoOwner means that no node owns the program's shard at the moment, because
	// the shard is being moved or taken over.
	NoOwner Reason = "no_owner"
	// NotRecordable means that the intent record, which is written before a call
	// runs, could not be made durable in time.
	NotRecordable Reason = "not_recordable"
	// DeadlineExceeded means that the deadline of the call passed.
	DeadlineExceeded Reason = "deadline_exceeded"
	// NoBackend means that no backend server can take the call.
	NoBackend Reason = "no_backend"
	// CrashesBackend means that the request crashed two backend servers.
	CrashesBackend Reason = "crashes_backend"
	// TurnLimit means that the program has used up the turns that its class allows.
	TurnLimit Reason = "turn_limit"
	// Conflict means that a request id was sent again with a different body, or
	// that the order number is already used by another request.
	Conflict Reason = "conflict"
	// UnknownProgram means that no such program exists.
	UnknownProgram Reason = "unknown_program"
	// ProgramEnded means that the program has ended.
	ProgramEnded Reason = "program_ended"
	// Malformed means that the request could not be decoded or has a value
	// out of range.
	Malformed Reason = "malformed"
	// Draining means that the node is shutting down.
	Draining Reason = "draining"
	// Fenced means that the node lost its journal to another node.
	Fenced Reason = "fenced"
	// ConnectionLost means that the connection broke after the request was
	// sent.
	ConnectionLost Reason = "connection_lost"
	// Forbidden means that the tenant's key does not allow the request.
	Forbidden Reason = "forbidden"
)

// Outcome states how a call ended.
type Outcome struct {
	Code   Code   `json:"code"`
	Reason Reason `json:"reason,omitempty"`
	// Detail is an explanation for people. Software should use Code and Reason.
	Detail string `json:"detail,omitempty"`
	// RetryAfterMS is the suggested wait in milliseconds before the call is
	// sent again. It is set for NotRun only.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// NewInvalid returns an outcome with code Invalid.
func NewInvalid(reason Reason, detail string) Outcome {
	return Outcome{Code: Invalid, Reason: reason, Detail: detail}
}

// NewNotRun returns an outcome with code NotRun and a suggested wait.
func NewNotRun(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Code: NotRun, Reason: reason, RetryAfterMS: retryAfter.Milliseconds()}
}

// ProvablyNotRun reports whether the call provably did not run, so that its
// order number is free again and the caller may send another call with it.
func (o Outcome) ProvablyNotRun() bool {
	return o.Code == NotRun || o.Code == OverBudget || o.Code == Invalid
}
