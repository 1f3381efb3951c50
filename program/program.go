// Package program implements the state machine of agent programs: call order,
// deduplication of repeated requests, history, budget and turn limit.
//
// A Table holds the programs of the shards that one node owns. Each method
// takes the current time and an input, and adds the actions to perform to an
// Effects value. The table does no I/O and is not safe for concurrent use; a
// single goroutine owns it.
package program

import (
	"strings"
	"time"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
)

// Kind is the type of backend that serves a call.
type Kind string

const (
	// Model calls run on a model engine and are idempotent.
	Model Kind = "model"
	// Service calls run an operation of a service. They are idempotent only if
	// the operation is declared so.
	Service Kind = "service"
)

// Spec declares a program. The owning node copies the limits from the class
// before the program starts, so that a later change of the class does not
// affect running programs.
type Spec struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	// Limit is the budget of the program and all its children.
	Limit budget.Units `json:"limit"`
	// BudgetAhead is how much budget each record adds to its ceiling beyond what is
	// spent and reserved, so that idempotent calls below the durable ceiling
	// are sent without waiting for the platform store.
	BudgetAhead budget.Units `json:"ahead,omitempty"`
	// TurnLimit is the largest allowed order number of a call.
	TurnLimit int `json:"turn_limit"`
	// IdleLease is how long the program may go without calls before it counts
	// as abandoned and its engine memory may be freed.
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

// Root returns the id of the root program of the family that id belongs to. A
// family is a root program with all its descendants; it is always on one shard.
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
	// Order is the position of the call in the program, starting at 1. Calls
	// run in this order.
	Order int  `json:"order"`
	Kind  Kind `json:"kind"`
	// Service and Operation name the target of a service call.
	Service   string `json:"service,omitempty"`
	Operation string `json:"operation,omitempty"`
	// Messages are the new messages of a model call. Earlier messages come from
	// the program's history.
	Messages []Message `json:"messages,omitempty"`
	// Body is the input of a service call.
	Body []byte `json:"body,omitempty"`
	// MaxTokens bounds the generated tokens of a model call.
	MaxTokens  int  `json:"max_tokens,omitempty"`
	Idempotent bool `json:"idempotent,omitempty"`
	// Lookup reports whether the service can be asked for the outcome of a
	// request id.
	Lookup bool `json:"lookup,omitempty"`
	// WorstCost is the worst-case cost of the call. Like Idempotent and Lookup it
	// is set by Rules when the call becomes the next one of its program.
	WorstCost budget.Units `json:"worst"`
	// Digest identifies the content of the call, without its request id. Crashes
	// of backend servers are counted per digest.
	Digest string `json:"digest"`

	// Tenant is the tenant that sent the call.
	Tenant string `json:"-"`
	// Deadline is when the caller stops waiting.
	Deadline time.Time `json:"-"`
	// Offset is the number of bytes of the streamed answer that the caller
	// already received from the attempt numbered Attempt.
	Offset  int `json:"-"`
	Attempt int `json:"-"`
}

// WaiterID identifies a caller that waits for a reply on this node. Zero means
// that nobody waits.
type WaiterID uint64

// CallID identifies a dispatched call on this node. Each dispatch of a call
// has its own id.
type CallID uint64

// Tag identifies an appended batch of records until it is durable.
type Tag uint64

// Append asks for a batch of records to be made durable together.
type Append struct {
	Tag     Tag
	Records []Record
}

// Dispatch asks for a call to be run.
type Dispatch struct {
	ID      CallID
	Call    *Call
	Tenant  string
	Class   string
	Attempt int
	// Attained is the service that the program received so far, in budget
	// units: what it spent, plus what its root program spent. The scheduler
	// ranks calls by it.
	Attained int64
	// Conversation holds the earlier messages of the program, for model calls.
	Conversation []Message
	// Alone asks for a backend server that runs no other call at the same
	// time, because the request is suspected of crashing backend servers.
	Alone bool
	// Exclude lists backend servers that refused the call or were lost while
	// they ran it.
	Exclude []string
	// LookupOnly asks the service for the outcome of the request id without
	// sending the request.
	LookupOnly bool
}

// Chunk is a part of a streamed answer.
type Chunk struct {
	Attempt int
	// Offset is the position of Text in the answer, in bytes.
	Offset int
	Text   string
}

// Reply is the final answer to a request.
type Reply struct {
	Outcome outcome.Outcome
	Answer  []byte
	// Recorded reports whether the outcome is durable, so that it survives the
	// loss of this node.
	Recorded bool
	Attempt  int
	Spent    budget.Units
	// Class is the program's class. It is set in replies to calls.
	Class string
	// Info describes the program. It is set in replies to start, end and
	// history requests.
	Info *Info
	// Moved reports that this node does not own the program's shard. The caller
	// repeats the request at the owner.
	Moved bool
}

// Info describes the state of a program.
type Info struct {
	Spec    Spec           `json:"spec"`
	Account budget.Account `json:"account"`
	// Next is the order number of the next call to run.
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

// WaiterReply is a Reply with the waiter that receives it.
type WaiterReply struct {
	Waiter WaiterID
	Reply  Reply
}

// WaiterChunk is a Chunk with the waiter that receives it.
type WaiterChunk struct {
	Waiter WaiterID
	Chunk  Chunk
}

// Effects collects the actions that the caller of a Table method must perform
// afterwards. It is reused: the caller performs them and calls Reset.
type Effects struct {
	Appends    []Append
	Dispatches []Dispatch
	// Hedges lists running calls whose second copy may be sent now, because
	// the record that covers its cost is durable.
	Hedges []CallID
	// Withdrawn lists dispatched calls that must be cancelled.
	Withdrawn []CallID
	Replies   []WaiterReply
	Chunks    []WaiterChunk
	// Crashes lists changed crash counts, to be sent to the other nodes.
	Crashes []Crash
	// Idle lists moving shards that may be handed over: nothing is running or
	// being recorded for them, and their handoff records are durable.
	Idle []int
}

// Reset empties the slices and keeps their capacity.
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

func (e *Effects) reply(w WaiterID, r Reply) {
	if w != 0 {
		e.Replies = append(e.Replies, WaiterReply{Waiter: w, Reply: r})
	}
}

func (e *Effects) refuse(w WaiterID, o outcome.Outcome) {
	e.reply(w, Reply{Outcome: o})
}

// Result is the result of a dispatched call.
type Result struct {
	Outcome outcome.Outcome
	Answer  []byte
	Cost    budget.Units
	// Backend is the backend server or service address that the call was
	// assigned to, or "" if there was none.
	Backend string
	// Crashed reports that the backend server was observed to crash while it
	// ran the call.
	Crashed bool
}
