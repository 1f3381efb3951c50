// Package check checks the recorded history of a fault run against the
// guarantees G1 to G10 of the design page. The history holds the answers that
// callers received, the entries of the ledger, the state of the engines and the
// reads and writes of operators. The package does no I/O.
package check

import (
	"fmt"
	"time"

	"dogwoodline.example/outcome"
)

// Offset is a time since the start of the run.
type Offset = time.Duration

// Call is one call by a caller and its outcome. A request that is sent
// repeatedly has several calls.
type Call struct {
	Program   string
	RequestID string
	Order     int
	Model     bool
	// Origin is the way in which the call was made: main or streamed for an
	// ordinary call, repeat for a copy of a request that may go to any node,
	// early for a copy that is sent before its turn, and wrong for a call whose
	// order number is used or too high.
	Origin    string
	Invoked   Offset
	Returned  Offset
	Code      outcome.Code
	Reason    outcome.Reason
	Detail    string
	Answer    string
	Recorded  bool
	Attempt   int
	MaxTokens int
}

// Unanswered reports whether the caller received no answer from the system.
func (c Call) Unanswered() bool { return c.Code == outcome.Unknown && !c.Recorded }

// String returns a line that describes the call.
func (c Call) String() string {
	return fmt.Sprintf("%9.3fs-%.3fs %s %s order %d (%s): %s %s recorded=%t attempt=%d %q %s",
		c.Invoked.Seconds(), c.Returned.Seconds(), c.Program, c.RequestID, c.Order, c.Origin, c.Code, c.Reason, c.Recorded,
		c.Attempt, shorten(c.Answer), c.Detail)
}

// shorten cuts long answers for use in a line.
func shorten(text string) string {
	const maxLength = 40
	if len(text) > maxLength {
		return text[:maxLength] + "..."
	}
	return text
}

// Effect is an entry of the ledger service. History holds the effects in the
// order of the ledger.
type Effect struct {
	Sequence  int
	Program   string
	RequestID string
	Order     int
}

// String returns a line that describes the effect.
func (e Effect) String() string {
	return fmt.Sprintf("ledger entry %d: %s %s order %d", e.Sequence, e.Program, e.RequestID, e.Order)
}

// Entry is a call in the history of a program, as read at the end of the run.
type Entry struct {
	RequestID string
	Order     int
	Model     bool
	Code      outcome.Code
	Answer    string
	Spent     int64
	Recorded  bool
}

// String returns a line that describes the entry.
func (e Entry) String() string {
	return fmt.Sprintf("history entry %s order %d: %s %q recorded=%t", e.RequestID, e.Order, e.Code, shorten(e.Answer), e.Recorded)
}

// Program is the state of a program at the end of the run.
type Program struct {
	ID       string
	Limit    int64
	Spent    int64
	Reserved int64
	Entries  []Entry
	// ReadError is the reason why the history could not be read or the program
	// could not be ended, if any.
	ReadError string
}

// Fault is an injected fault.
type Fault struct {
	Kind   string
	Target string
	Begin  Offset
	End    Offset
}

// String returns a line that describes the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%9.3fs-%.3fs fault %s at %s", f.Begin.Seconds(), f.End.Seconds(), f.Kind, f.Target)
}

// Recovery is the time from a kill until a program of the killed node was
// served again.
type Recovery struct {
	Node    string
	Program string
	Killed  Offset
	Served  Offset
	// Failed is set if the program was not served before the run stopped
	// waiting for it.
	Failed bool
}

// Stop is a planned stop of a node.
type Stop struct {
	Node     string
	Begin    Offset
	End      Offset
	ExitCode int
}

// EngineLeave is a period during which the host list showed an engine as leaving,
// from Shown to Back.
type EngineLeave struct {
	Engine     string
	ShownAt    Offset
	RestoredAt Offset
	// StartedAtBound and StartedAtEnd are the numbers of calls that the engine
	// had started when the bound after Shown had passed, and at Back.
	StartedAtBound int64
	StartedAtEnd   int64
}

// HeldMemory is memory that an engine still holds at the end of the run for a program
// that has ended.
type HeldMemory struct {
	Engine  string
	Program string
	Tokens  int64
}

// ConfigWrite is an operator's write of a resource.
type ConfigWrite struct {
	Operator string
	Resource string
	Expected int64
	Invoked  Offset
	Returned Offset
	// Version is the new version if the write was accepted.
	Version  int64
	Accepted bool
	// Conflict is set if the write was refused because Expected was not the
	// current version.
	Conflict bool
	Content  int
}

// String returns a line that describes the write.
func (w ConfigWrite) String() string {
	result := "unknown"
	switch {
	case w.Accepted:
		result = fmt.Sprintf("accepted as version %d", w.Version)
	case w.Conflict:
		result = "conflict"
	}
	return fmt.Sprintf("%9.3fs-%.3fs %s writes %s=%d over version %d: %s",
		w.Invoked.Seconds(), w.Returned.Seconds(), w.Operator, w.Resource, w.Content, w.Expected, result)
}

// ConfigRead is an operator's read of a resource at a node, asked at Asked and
// answered at At.
type ConfigRead struct {
	Node        string
	Resource    string
	Version     int64
	RequestedAt Offset
	AnsweredAt  Offset
}

// String returns a line that describes the read.
func (s ConfigRead) String() string {
	return fmt.Sprintf("%9.3fs %s shows %s version %d", s.AnsweredAt.Seconds(), s.Node, s.Resource, s.Version)
}

// CrashingPrompt is a prompt that crashes engines, with the number of crashes that it
// caused and the number allowed.
type CrashingPrompt struct {
	Text    string
	Crashes int
	Allowed int
}

// History is everything that a run recorded.
type History struct {
	Calls           []Call
	Effects         []Effect
	Programs        []Program
	Faults          []Fault
	Recoveries      []Recovery
	Stops           []Stop
	EngineLeaves    []EngineLeave
	HeldMemory      []HeldMemory
	ConfigWrites    []ConfigWrite
	ConfigReads     []ConfigRead
	CrashingPrompts []CrashingPrompt
	// Nodes holds the names of all nodes of the run.
	Nodes []string
	// Incarnations holds the incarnation ids of all node processes of the run.
	// The id under which a model call is sent to an engine contains that of the
	// node that sent it.
	Incarnations []string
}

// Violation is a broken guarantee with the lines of the history that prove it.
type Violation struct {
	Guarantee string   `json:"guarantee"`
	Detail    string   `json:"detail"`
	Evidence  []string `json:"evidence"`
}
