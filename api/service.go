package api

import (
	"context"

	"dogwoodline.example/budget"
	"dogwoodline.example/program"
)

// Service runs programs and calls for callers. The HTTP API for callers is
// built on it. The methods that take a context return an outcome in the reply
// and do not wait longer than ctx.
type Service interface {
	// Address returns the node to which a caller sends the requests of a
	// program.
	Address(programID string) Address
	// Start starts a program. It replies in the same way if the program was
	// already started with the same values.
	Start(ctx context.Context, tenant string, request StartRequest) program.Reply
	// Call runs a call. If stream is not nil, it receives the parts of the
	// answer in order. After a broken connection the caller repeats the call
	// with the offset up to which it has the answer.
	Call(ctx context.Context, tenant, programID string, request CallRequest, stream func(program.Chunk) error) program.Reply
	// History returns the program with its recorded calls in Reply.Info.
	History(ctx context.Context, tenant, programID string) program.Reply
	// End ends a program and its children.
	End(ctx context.Context, tenant, programID string) program.Reply
	// Ready returns nil if the node can serve requests, else the reason why it
	// cannot.
	Ready() error
}

// Address tells a caller to which node it sends the requests of a program.
type Address struct {
	// Address is the base URL of the node.
	Address string `json:"address"`
	// Zone is the availability zone of that node.
	Zone string `json:"availability_zone"`
	// Second is the base URL of a node in another availability zone. Callers
	// use it if they cannot connect to Address. It is empty if there is none.
	Second     string `json:"second,omitempty"`
	SecondZone string `json:"second_availability_zone,omitempty"`
	// MaxAgeMS is how long a caller may cache this address, in milliseconds.
	MaxAgeMS int64 `json:"keep_ms"`
}

// StartRequest is the JSON body of a request that starts a program.
type StartRequest struct {
	// ID is chosen by the caller. The id of a child program is the id of its
	// parent, a dot and a number.
	ID    string `json:"id"`
	Class string `json:"class"`
	// Budget lowers the budget limit of the program below that of its class.
	// Zero means the limit of the class. Package budget describes the units.
	Budget budget.Units `json:"budget,omitempty"`
	// DeadlineMS bounds the wait for the response, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// CallRequest describes a call of a program.
type CallRequest struct {
	RequestID string `json:"request_id"`
	// Order is the position of the call in the program, starting at 1.
	Order     int               `json:"order"`
	Kind      program.Kind      `json:"kind"`
	Service   string            `json:"service,omitempty"`
	Operation string            `json:"operation,omitempty"`
	Messages  []program.Message `json:"messages,omitempty"`
	// Body is the input of a service call, as JSON.
	Body      []byte `json:"-"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// DeadlineMS bounds the wait for the response, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Offset and Attempt resume a streamed answer. Offset is the number of
	// bytes that the caller has of the answer of this attempt.
	Offset  int `json:"offset,omitempty"`
	Attempt int `json:"attempt,omitempty"`
}
