package load

import (
	"context"
	"encoding/json"
	"time"

	"dogwoodline.example/outcome"
)

// ProgramStart is the request that starts a program on a target.
type ProgramStart struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	Parent string `json:"parent,omitempty"`
	// Budget is in budget units.
	Budget int64 `json:"budget"`
}

// Message is one message of a model call.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CallRequest is one call of a program. A call whose outcome is not_run is sent
// again with the same request id and order.
type CallRequest struct {
	Program   string `json:"-"`
	RequestID string `json:"request_id"`
	Order     int    `json:"order"`
	Kind      Kind   `json:"kind"`
	Service   string `json:"service,omitempty"`
	Operation string `json:"operation,omitempty"`
	// Messages is set for model calls and Body, the JSON input, for service
	// calls.
	Messages     []Message       `json:"messages,omitempty"`
	Body         json.RawMessage `json:"body,omitempty"`
	MaxTokens    int             `json:"max_tokens,omitempty"`
	PromptTokens int             `json:"prompt_tokens,omitempty"`
	DeadlineMS   int64           `json:"deadline_ms"`
	Stream       bool            `json:"-"`
}

// CallResult is the answer to a call.
type CallResult struct {
	Outcome  outcome.Outcome `json:"outcome"`
	Answer   json.RawMessage `json:"answer,omitempty"`
	Recorded bool            `json:"recorded"`
	Attempt  int             `json:"attempt"`
	// FirstToken is the time to the first event of a streamed answer.
	FirstToken time.Duration `json:"-"`
}

// Target is the system under load. An error means that no outcome is known,
// for example because the connection broke; a refusal is an outcome, not an
// error. Methods are called from several goroutines.
type Target interface {
	StartProgram(ctx context.Context, program ProgramStart) (outcome.Outcome, error)
	Call(ctx context.Context, call CallRequest) (CallResult, error)
	EndProgram(ctx context.Context, id string) error
}

// Environment injects the faults of a scenario into the system under load.
// Indexes start at 0.
type Environment interface {
	// SetBackendSlowdown multiplies the processing times of a backend server by factor;
	// a factor of 1 restores its normal speed.
	SetBackendSlowdown(ctx context.Context, index int, factor float64) error
	// SetBackendLeaving makes a backend server leave the fleet if leaving is true,
	// and return to it otherwise.
	SetBackendLeaving(ctx context.Context, index int, leaving bool) error
	// StopNode stops a node without a graceful shutdown; StartNode replaces it.
	StopNode(ctx context.Context, index int) error
	StartNode(ctx context.Context, index int) error
}

// apply begins or ends a fault.
func (f Fault) apply(ctx context.Context, e Environment, begin bool) error {
	switch {
	case f.Kind == SlowBackend && begin:
		return e.SetBackendSlowdown(ctx, f.Index, f.Factor)
	case f.Kind == SlowBackend:
		return e.SetBackendSlowdown(ctx, f.Index, 1)
	case f.Kind == LeaveBackend:
		return e.SetBackendLeaving(ctx, f.Index, begin)
	case begin:
		return e.StopNode(ctx, f.Index)
	}
	return e.StartNode(ctx, f.Index)
}
