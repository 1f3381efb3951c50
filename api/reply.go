package api

import (
	"encoding/json"
	"unicode/utf8"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// Answer is the result of a call. At most one field is set.
type Answer struct {
	// Text is the answer of a model, or an answer of a service that is not
	// JSON.
	Text string `json:"text,omitempty"`
	// Body is the JSON answer of a service.
	Body json.RawMessage `json:"body,omitempty"`
	// Bytes replaces Text if the answer is not valid UTF-8, because a JSON
	// string would alter it.
	Bytes []byte `json:"bytes,omitempty"`
}

func newTextAnswer(data []byte) Answer {
	if utf8.Valid(data) {
		return Answer{Text: string(data)}
	}
	return Answer{Bytes: data}
}

func newAnswer(kind program.Kind, data []byte) Answer {
	if kind == program.Service && json.Valid(data) {
		return Answer{Body: data}
	}
	return newTextAnswer(data)
}

// Raw returns the answer as bytes.
func (a Answer) Raw() []byte {
	switch {
	case a.Body != nil:
		return a.Body
	case a.Bytes != nil:
		return a.Bytes
	}
	return []byte(a.Text)
}

// CallReply is the JSON response to a call, and the data of a done event.
type CallReply struct {
	Outcome outcome.Outcome `json:"outcome"`
	Answer
	// Recorded reports whether the outcome is durable, so that it survives the
	// loss of the node.
	Recorded bool         `json:"recorded"`
	Attempt  int          `json:"attempt,omitempty"`
	Spent    budget.Units `json:"spent"`
	// Length is the size of a streamed answer in bytes. A caller uses it to
	// check that it has received the whole answer.
	Length int `json:"length,omitempty"`
	// Moved reports that this node does not own the program. The caller should
	// look up the address again.
	Moved bool `json:"moved,omitempty"`
}

// ProgramReply is the JSON response to a request that starts, shows or ends a
// program.
type ProgramReply struct {
	Outcome outcome.Outcome `json:"outcome"`
	Program *ProgramInfo    `json:"program,omitempty"`
	// Moved is as in CallReply.
	Moved bool `json:"moved,omitempty"`
}

// ProgramInfo describes a program to its caller.
type ProgramInfo struct {
	ID          string       `json:"id"`
	Class       string       `json:"class"`
	Limit       budget.Units `json:"limit"`
	Spent       budget.Units `json:"spent"`
	Reserved    budget.Units `json:"reserved"`
	TurnLimit   int          `json:"turn_limit"`
	IdleLeaseMS int64        `json:"idle_lease_ms"`
	// NextOrder is the order number of the next call.
	NextOrder int            `json:"next"`
	Ended     bool           `json:"ended"`
	History   []HistoryEntry `json:"history,omitempty"`
}

// HistoryEntry is a call in the history of a program.
type HistoryEntry struct {
	RequestID string            `json:"request_id"`
	Order     int               `json:"order"`
	Kind      program.Kind      `json:"kind"`
	Service   string            `json:"service,omitempty"`
	Operation string            `json:"operation,omitempty"`
	Messages  []program.Message `json:"messages,omitempty"`
	Input     json.RawMessage   `json:"input,omitempty"`
	Outcome   outcome.Outcome   `json:"outcome"`
	Answer    Answer            `json:"answer"`
	Spent     budget.Units      `json:"spent"`
	Recorded  bool              `json:"recorded"`
}

func callReply(kind program.Kind, reply program.Reply) CallReply {
	return CallReply{
		Outcome:  reply.Outcome,
		Answer:   newAnswer(kind, reply.Answer),
		Recorded: reply.Recorded,
		Attempt:  reply.Attempt,
		Spent:    reply.Spent,
		Moved:    reply.Moved,
	}
}

func programReply(reply program.Reply) ProgramReply {
	result := ProgramReply{Outcome: reply.Outcome, Moved: reply.Moved}
	if reply.Info == nil {
		return result
	}
	info := reply.Info
	result.Program = &ProgramInfo{
		ID:          info.Spec.ID,
		Class:       info.Spec.Class,
		Limit:       info.Account.Limit,
		Spent:       info.Account.Spent,
		Reserved:    info.Account.Reserved,
		TurnLimit:   info.Spec.TurnLimit,
		IdleLeaseMS: info.Spec.IdleLease.Milliseconds(),
		NextOrder:   info.Next,
		Ended:       info.Ended,
	}
	for _, entry := range info.History {
		result.Program.History = append(result.Program.History, historyEntry(entry))
	}
	return result
}

func historyEntry(entry program.Entry) HistoryEntry {
	result := HistoryEntry{
		RequestID: entry.Call.RequestID,
		Order:     entry.Call.Order,
		Kind:      entry.Call.Kind,
		Service:   entry.Call.Service,
		Operation: entry.Call.Operation,
		Messages:  entry.Call.Messages,
		Outcome:   entry.Outcome,
		Answer:    newAnswer(entry.Call.Kind, entry.Answer),
		Spent:     entry.Spent,
		Recorded:  entry.Recorded,
	}
	if json.Valid(entry.Call.Body) {
		result.Input = entry.Call.Body
	}
	return result
}
