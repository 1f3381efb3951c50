// Package program is the state machine of agent programs: the order of calls,
// repeated requests, history, budget and turn limit.
//
// A Table holds the programs that one node owns. It is a pure state machine:
// each step takes the time and an input, and appends what has to happen to an
// Effects value. It does no I/O and has no locks; one duty owns it.
package program

import (
	"strings"
	"time"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
)

// Kind tells what serves a call.
type Kind string

const (
	// Model calls run on a model engine and are idempotent.
	Model Kind = "model"
	// Service calls run on a plain service.
	Service Kind = "service"
)

// Spec declares a program. The owner fills the limits from the class before
// the program starts, so that a later change of the class does not change
// running programs.
type Spec struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	// Limit is the budget of the program and all its children.
	Limit budget.Units `json:"limit"`
	// Ahead is how much budget is made durable beyond what is reserved, so
	// that idempotent calls need not wait for the platform store.
	Ahead budget.Units `json:"ahead,omitempty"`
	// TurnLimit is the largest order number.
	TurnLimit int `json:"turn_limit"`
	// IdleLease is how long the program may be without calls before it counts
	// as abandoned.
	IdleLease time.Duration `json:"idle_lease"`
}

// Parent returns the id of the parent program, or "" for a root program.
func (s Spec) Parent() string {
	cut := strings.LastIndexByte(s.ID, '.')
	if cut < 0 {
		return ""
	}
	return s.ID[:cut]
}

// Root returns the id of the root program of a family. A family of programs
// is always on one shard.
func Root(id string) string {
	root, _, _ := strings.Cut(id, ".")
	return root
}

// Message is one message of a conversation with a model.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Call is a request of a program.
type Call struct {
	Program   string `json:"program"`
	RequestID string `json:"request_id"`
	// Order is the place of the call in the program's order, from 1.
	Order int  `json:"order"`
	Kind  Kind `json:"kind"`
	// Service and Operation name what a service call runs.
	Service   string `json:"service,omitempty"`
	Operation string `json:"operation,omitempty"`
	// Messages are the new messages of a model call. The earlier ones are in
	// the program's history.
	Messages []Message `json:"messages,omitempty"`
	// Body is the input of a service call.
	Body []byte `json:"body,omitempty"`
	// MaxTokens bounds the generated tokens of a model call.
	MaxTokens  int  `json:"max_tokens,omitempty"`
	Idempotent bool `json:"idempotent,omitempty"`
	// Lookup tells that the service answers what became of a request id.
	Lookup bool `json:"lookup,omitempty"`
	// Worst is the most that the call can cost. Like Idempotent and Lookup it
	// is filled in by Rules when it is the call's turn.
	Worst budget.Units `json:"worst"`
	// Digest identifies what the call asks for, without its request id.
	Digest string `json:"digest"`

	// Tenant is who sent the call.
	Tenant string `json:"-"`
	// Deadline ends the wait of the caller.
	Deadline time.Time `json:"-"`
	// Offset is the number of bytes of the streamed answer that the caller
	// already has, from attempt Attempt.
	Offset  int `json:"-"`
	Attempt int `json:"-"`
}

// Waiter names the caller's side of a request on this node.
type Waiter uint64

// CallID names a running call on this node.
type CallID uint64

// Tag names an appended batch of records until it is durable.
type Tag uint64

// Append asks for a batch of records to become durable together.
type Append struct {
	Tag     Tag
	Records []Record
}

// Dispatch asks for a call to run.
type Dispatch struct {
	ID      CallID
	Call    *Call
	Tenant  string
	Class   string
	Attempt int
	// Attained is the service that the program's family got so far.
	Attained int64
	// Conversation holds the earlier messages of the program, for model calls.
	Conversation []Message
	// Alone isolates a call that is suspected of crashing backend servers.
	Alone bool
	// Exclude names backend servers that refused or lost the call.
	Exclude []string
	// AskOnly asks the service what became of the request id and does not
	// send the request.
	AskOnly bool
}

// Chunk is a part of a streamed answer.
type Chunk struct {
	Attempt int
	// Offset is the position of Text in the answer, in bytes.
	Offset int
	Text   string
}

// Reply ends a request of a caller.
type Reply struct {
	Outcome outcome.Outcome
	Answer  []byte
	// Recorded tells that the answer survives the loss of this node.
	Recorded bool
	Attempt  int
	Spent    budget.Units
	// Class is the program's class, in answers about a call.
	Class string
	// Info describes the program, in answers that are not about a call.
	Info *Info
	// Moved tells that this node does not own the program's shard.
	Moved bool
}

// Info describes a program.
type Info struct {
	Spec    Spec           `json:"spec"`
	Account budget.Account `json:"account"`
	// Next is the order number of the next call.
	Next    int     `json:"next"`
	Ended   bool    `json:"ended"`
	History []Entry `json:"history,omitempty"`
}

// Entry is one call in a program's history.
type Entry struct {
	Call     Call            `json:"call"`
	Outcome  outcome.Outcome `json:"outcome"`
	Answer   []byte          `json:"answer,omitempty"`
	Spent    budget.Units    `json:"spent"`
	Recorded bool            `json:"recorded"`
}

// WaiterReply is a Reply with its destination.
type WaiterReply struct {
	Waiter Waiter
	Reply  Reply
}

// WaiterChunk is a Chunk with its destination.
type WaiterChunk struct {
	Waiter Waiter
	Chunk  Chunk
}

// Effects collects what has to happen after a step. The caller reuses it.
type Effects struct {
	Appends    []Append
	Dispatches []Dispatch
	// Hedges lists running calls whose second copy may be sent now.
	Hedges []CallID
	// Withdrawn lists calls that were dispatched and must stop.
	Withdrawn []CallID
	Replies   []WaiterReply
	Chunks    []WaiterChunk
	// Crashes lists requests whose crash count changed, for the other nodes.
	Crashes []Crash
	// Idle lists shards that were asked to move and have no running call.
	Idle []int
}

// Reset empties the effects and keeps their memory.
func (e *Effects) Reset() {
	e.Appends = e.Appends[:0]
	e.Dispatches = e.Dispatches[:0]
	e.Hedges = e.Hedges[:0]
	e.Withdrawn = e.Withdrawn[:0]
	e.Replies = e.Replies[:0]
	e.Chunks = e.Chunks[:0]
	e.Crashes = e.Crashes[:0]
	e.Idle = e.Idle[:0]
}

func (e *Effects) reply(w Waiter, r Reply) {
	if w != 0 {
		e.Replies = append(e.Replies, WaiterReply{Waiter: w, Reply: r})
	}
}

func (e *Effects) refuse(w Waiter, o outcome.Outcome) {
	e.reply(w, Reply{Outcome: o})
}

// Result is how a dispatched call ended.
type Result struct {
	Outcome outcome.Outcome
	Answer  []byte
	Cost    budget.Units
	// Backend is the backend server or service address that had the call.
	Backend string
	// Crashed tells that the backend server was seen to have crashed while
	// the call ran there.
	Crashed bool
}
