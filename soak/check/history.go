// Package check judges the history of a fault run: what callers were told,
// what the ledger and the engines show, and what operators saw, against the
// guarantees G1 to G10 of the design page. It does no I/O.
package check

import (
	"fmt"
	"time"

	"dogwoodline.example/outcome"
)

// At is a time since the start of the run.
type At = time.Duration

// Call is what one caller was told about one request. A request that is
// repeated has several.
type Call struct {
	Program   string
	RequestID string
	Order     int
	Model     bool
	// Via tells how it was sent: main, streamed, repeat, early or wrong.
	Via       string
	Invoked   At
	Returned  At
	Code      outcome.Code
	Reason    outcome.Reason
	Detail    string
	Answer    string
	Recorded  bool
	Attempt   int
	MaxTokens int
}

// Lost reports whether the caller got no answer of the system.
func (c Call) Lost() bool { return c.Code == outcome.Unknown && !c.Recorded }

// String returns the call as a line of a history.
func (c Call) String() string {
	return fmt.Sprintf("%9.3fs-%.3fs %s %s order %d (%s): %s %s recorded=%t attempt=%d %q %s",
		c.Invoked.Seconds(), c.Returned.Seconds(), c.Program, c.RequestID, c.Order, c.Via, c.Code, c.Reason, c.Recorded,
		c.Attempt, shorten(c.Answer), c.Detail)
}

func shorten(text string) string {
	const most = 40
	if len(text) > most {
		return text[:most] + "..."
	}
	return text
}

// Effect is an entry of the ledger, in the order of the ledger.
type Effect struct {
	Sequence  int
	Program   string
	RequestID string
	Order     int
}

// String returns the effect as a line of a history.
func (e Effect) String() string {
	return fmt.Sprintf("ledger entry %d: %s %s order %d", e.Sequence, e.Program, e.RequestID, e.Order)
}

// Entry is a call in the final history of a program.
type Entry struct {
	RequestID string
	Order     int
	Model     bool
	Code      outcome.Code
	Answer    string
	Spent     int64
	Recorded  bool
}

// String returns the entry as a line of a history.
func (e Entry) String() string {
	return fmt.Sprintf("history entry %s order %d: %s %q recorded=%t", e.RequestID, e.Order, e.Code, shorten(e.Answer), e.Recorded)
}

// Program is a program at the end of the run.
type Program struct {
	ID       string
	Limit    int64
	Spent    int64
	Reserved int64
	Entries  []Entry
	// Missing tells why the history could not be read.
	Missing string
}

// Fault is a fault that was injected.
type Fault struct {
	Kind   string
	Target string
	Begin  At
	End    At
}

// String returns the fault as a line of a history.
func (f Fault) String() string {
	return fmt.Sprintf("%9.3fs-%.3fs fault %s at %s", f.Begin.Seconds(), f.End.Seconds(), f.Kind, f.Target)
}

// Recovery is the time from a kill until a program of the killed node was
// served again.
type Recovery struct {
	Node    string
	Program string
	Killed  At
	Served  At
	// Failed tells that it was not served within the wait of the run.
	Failed bool
}

// Stop is a planned stop of a node.
type Stop struct {
	Node     string
	Begin    At
	End      At
	ExitCode int
}

// Leave is the time that an engine was shown as leaving.
type Leave struct {
	Engine string
	Shown  At
	Back   At
	// StartedAtBound and StartedAtEnd count the calls that the engine started,
	// at the bound after Shown and at Back.
	StartedAtBound int64
	StartedAtEnd   int64
}

// Held is memory that an engine still holds at the end.
type Held struct {
	Engine  string
	Program string
	Tokens  int64
}

// Write is an operator's write of a resource.
type Write struct {
	Operator string
	Resource string
	Expected int64
	Invoked  At
	Returned At
	// Version is the version written, when it was accepted.
	Version  int64
	Accepted bool
	// Conflict is set when the write was refused because of the version.
	Conflict bool
	Content  int
}

// String returns the write as a line of a history.
func (w Write) String() string {
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

// Seen is the version of a resource that a node showed.
type Seen struct {
	Node     string
	Resource string
	Version  int64
	Asked    At
	At       At
}

// String returns the reading as a line of a history.
func (s Seen) String() string {
	return fmt.Sprintf("%9.3fs %s shows %s version %d", s.At.Seconds(), s.Node, s.Resource, s.Version)
}

// Poison counts the engine crashes of one request text.
type Poison struct {
	Text    string
	Crashes int
	Allowed int
}

// History is all that a run observed.
type History struct {
	Calls      []Call
	Effects    []Effect
	Programs   []Program
	Faults     []Fault
	Recoveries []Recovery
	Stops      []Stop
	Leaves     []Leave
	Held       []Held
	Writes     []Write
	Seen       []Seen
	Poisons    []Poison
	// Nodes names all nodes of the run.
	Nodes []string
	// Incarnations names all runs of nodes. The id of a model call towards
	// engines names the owner that sent it.
	Incarnations []string
}

// Violation is a broken guarantee with the part of the history that shows it.
type Violation struct {
	Guarantee string   `json:"guarantee"`
	Detail    string   `json:"detail"`
	Evidence  []string `json:"evidence"`
}
