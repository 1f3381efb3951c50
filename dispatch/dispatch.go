// Package dispatch carries scheduling decisions to model engines and plain
// services, and reports what it learns about them.
//
// A fixed pool of caller duties takes jobs from a ring, runs each to its end
// and pushes events onto a ring of completions. Poller duties read load
// reports and cache events, and a reports duty turns them into observations.
// The package holds the encoding of messages to backend servers and decides
// nothing but the exact outcome of a call.
package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/outcome"
	"dogwoodline.example/schedule"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dispatch")

// Kind tells what a job is sent to.
type Kind string

const (
	// Model jobs go to a model engine in the chat-completion form.
	Model Kind = "model"
	// Service jobs go to an operation of a plain service.
	Service Kind = "service"
)

// Endpoint is where a backend server or service is reached and what it wants
// to know about whoever calls.
type Endpoint struct {
	Name schedule.BackendID
	// Address is host and port.
	Address string
	// Credential is the bearer token, empty for none.
	Credential string
	// Fence is the fencing number that goes with each request and order.
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
	// Operation is the service's operation. It is empty for models.
	Operation string
	// Body is sent unchanged.
	Body     json.RawMessage
	Priority int
	// Deadline ends the job. Zero means none.
	Deadline time.Time
	// Offset is the number of answer bytes that the owner already has of this
	// attempt. Above zero the job resumes a stream.
	Offset int64
	// Idempotent calls may run more than once.
	Idempotent bool
	// Lookup asks a service for the request id and sends nothing.
	Lookup bool
	// WorstCost is what was reserved for the call, in budget units. It is the
	// cost of a service call, and of a model call whose usage is not known.
	WorstCost int64
	// StartID is the start id of the backend server when the job was made.
	// Empty means that it is not known.
	StartID string
	// Context cancels the job. Nil means that only the deadline ends it.
	Context context.Context
}

// Event is a part of an answer or the end of a job.
type Event struct {
	ID        schedule.CallID
	Program   string
	RequestID string
	Attempt   int
	Backend   schedule.BackendID
	// Text is the next part of the answer and Offset its place in the answer
	// of this attempt, in bytes. The final event may hold the last part.
	Text   string
	Offset int64
	// Timing is what was measured so far.
	Timing schedule.Timing
	// Final marks the last event of the job. Result is set then.
	Final  bool
	Result Result
}

// Result is the end of a job.
type Result struct {
	Outcome outcome.Outcome
	// Answer is the JSON answer, or the JSON details of a failure. The answer
	// to a resumed stream holds the text after the job's offset.
	Answer json.RawMessage
	Timing schedule.Timing
	// Cost is in budget units. It is zero when the call did not run.
	Cost int64
	// StartID is the start id of the backend server that answered. A change
	// tells that it restarted. It is empty when it is not known.
	StartID string
	// Crashed tells that the connection broke and the backend server does not
	// answer any more, or has restarted.
	Crashed bool
	// Leaving tells that the backend server refused because it is leaving.
	Leaving bool
}

// Caller runs one job to its end. The chunk function takes parts of a
// streamed answer in order; it must not be kept.
type Caller interface {
	Call(ctx context.Context, job Job, chunk func(text string, offset int64, timing schedule.Timing)) Result
}
