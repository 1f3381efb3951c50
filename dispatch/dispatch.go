// Package dispatch is the client for backend servers (model engines) and for
// services: it sends calls and control requests, and polls load reports and
// cache events.
//
// A fixed pool of caller duties (long-lived goroutines, see package duty) takes
// jobs from a ring, runs each to its end and pushes its events onto another
// ring. Poller duties read load reports and cache events, and a reports duty
// turns them into observations. The package encodes the requests to backend
// servers and decides the outcome of each call; where and when a call is sent
// is decided elsewhere.
package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/outcome"
	"dogwoodline.example/schedule"
)

// Error is the class of errors that this package creates or wraps.
var Error = errs.Class("dispatch")

// Kind is the type of server that a job is sent to.
type Kind string

const (
	// Model jobs are chat-completion requests to a model engine.
	Model Kind = "model"
	// Service jobs call an operation of a service.
	Service Kind = "service"
)

// Endpoint is the address of a backend server or service, with what each
// request to it must carry.
type Endpoint struct {
	Name schedule.BackendID
	// Address has the form host:port.
	Address string
	// Credential is the bearer token, empty for none.
	Credential string
	// Fence is the fencing number of each request and order. Servers that check
	// fencing refuse numbers below the highest that they have seen.
	Fence uint64
}

// Job is one attempt of a call on one backend server or service.
type Job struct {
	ID        schedule.CallID
	Program   string
	RequestID string
	Attempt   int
	Kind      Kind
	Endpoint  Endpoint
	// Operation is the service operation to call. It is empty for models.
	Operation string
	// Body is the request body and is sent unchanged.
	Body     json.RawMessage
	Priority int
	// Deadline is the time at which the job is cancelled. Zero means none.
	Deadline time.Time
	// Offset is the number of bytes of this attempt's answer that were already
	// received. If it is above zero, the job resumes the stream there.
	Offset int64
	// Idempotent means that the call may run more than once.
	Idempotent bool
	// LookupOnly asks a service for the state of RequestID and does not send the
	// call.
	LookupOnly bool
	// WorstCost is the budget reserved for the call, in budget units. It is
	// charged for a service call, and for a model call whose usage is unknown.
	WorstCost int64
	// StartID is the backend server's start ID when the job was created. A
	// server has a new start ID after each restart. Empty means unknown.
	StartID string
	// Context cancels the job. If it is nil, only the deadline does.
	Context context.Context
}

// Event is a chunk of an answer or the end of a job.
type Event struct {
	ID        schedule.CallID
	Program   string
	RequestID string
	Attempt   int
	Backend   schedule.BackendID
	// Text is the next chunk of the answer and Offset its byte offset in the
	// answer of this attempt. The final event may hold the last chunk.
	Text   string
	Offset int64
	// Timing holds the measurements up to this event.
	Timing schedule.Timing
	// Final marks the last event of the job. Result is set only on that event.
	Final  bool
	Result Result
}

// Result is the result of a job that has ended.
type Result struct {
	Outcome outcome.Outcome
	// Answer is the JSON answer, or the JSON details of a failure. The answer
	// to a resumed stream holds the text after the job's offset.
	Answer json.RawMessage
	Timing schedule.Timing
	// Cost is in budget units. It is zero if the call did not run.
	Cost int64
	// StartID is the start ID of the backend server that responded. It differs
	// from that of an earlier response if the server has restarted in between.
	// Empty means unknown.
	StartID string
	// Crashed means that the connection was lost and the backend server either
	// no longer responds or has restarted.
	Crashed bool
	// Leaving means that the backend server refused the request because it is
	// leaving: it finishes running calls and accepts no new ones.
	Leaving bool
}

// Caller runs one job to its end. It passes the chunks of a streamed answer to
// the chunk function in order, and must not call that function after Call
// returns.
type Caller interface {
	Call(ctx context.Context, job Job, chunk func(text string, offset int64, timing schedule.Timing)) Result
}
