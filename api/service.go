package api

import (
	"context"

	"dogwoodline.example/budget"
	"dogwoodline.example/program"
)

// Service is what the HTTP interface for callers needs from a node. Every
// method returns an ending; none waits longer than ctx.
type Service interface {
	// Address tells which node a caller uses for a program.
	Address(programID string) Address
	// Start starts a program, or answers again for one that was started with
	// the same values.
	Start(ctx context.Context, tenant string, request StartRequest) program.Reply
	// Call runs a call. Parts of the answer are handed to stream in order,
	// unless it is nil. After a break the caller repeats the call with the
	// offset it has.
	Call(ctx context.Context, tenant, programID string, request CallRequest, stream func(program.Chunk) error) program.Reply
	// History returns the program with its recorded calls in Reply.Info.
	History(ctx context.Context, tenant, programID string) program.Reply
	// End ends a program and its children.
	End(ctx context.Context, tenant, programID string) program.Reply
	// Ready returns nil when the node can serve, else the reason why not.
	Ready() error
}

// Address is the answer to which node a caller uses.
type Address struct {
	// Address is the base URL of the node to use.
	Address string `json:"address"`
	// Zone is the availability zone of that node.
	Zone string `json:"availability_zone"`
	// Second is a node in another availability zone, for when Address does
	// not answer. It is empty when there is none.
	Second     string `json:"second,omitempty"`
	SecondZone string `json:"second_availability_zone,omitempty"`
	// KeepMS is how long the answer may be kept, in milliseconds.
	KeepMS int64 `json:"keep_ms"`
}

// StartRequest starts a program.
type StartRequest struct {
	// ID is chosen by the caller. A child's id is its parent's id, a dot and
	// a number.
	ID    string `json:"id"`
	Class string `json:"class"`
	// Budget lowers the budget of the class when it is above zero. Units as
	// in package budget.
	Budget budget.Units `json:"budget,omitempty"`
	// DeadlineMS bounds the wait for the answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// CallRequest makes a call.
type CallRequest struct {
	RequestID string            `json:"request_id"`
	Order     int               `json:"order"`
	Kind      program.Kind      `json:"kind"`
	Service   string            `json:"service,omitempty"`
	Operation string            `json:"operation,omitempty"`
	Messages  []program.Message `json:"messages,omitempty"`
	// Body is the input of a service call, as JSON.
	Body      []byte `json:"-"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// DeadlineMS bounds the wait for the answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Offset and Attempt resume a streamed answer.
	Offset  int `json:"offset,omitempty"`
	Attempt int `json:"attempt,omitempty"`
}
