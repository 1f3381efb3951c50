package api

import (
	"encoding/json"
	"unicode/utf8"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// Answer is the answer of a call. At most one field is set.
type Answer struct {
	// Text is the answer of a model, or of a service that is not JSON.
	Text string `json:"text,omitempty"`
	// Body is the JSON answer of a service.
	Body json.RawMessage `json:"body,omitempty"`
	// Bytes replaces Text when the answer is not valid UTF-8, which JSON
	// strings cannot carry unchanged.
	Bytes []byte `json:"bytes,omitempty"`
}

func textAnswer(data []byte) Answer {
	if utf8.Valid(data) {
		return Answer{Text: string(data)}
	}
	return Answer{Bytes: data}
}

func answerOf(kind program.Kind, data []byte) Answer {
	if kind == program.Service && json.Valid(data) {
		return Answer{Body: data}
	}
	return textAnswer(data)
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

// CallReply is the JSON answer to a call, and the data of the done event.
type CallReply struct {
	Outcome outcome.Outcome `json:"outcome"`
	Answer
	// Recorded tells that the answer survives the loss of the node.
	Recorded bool         `json:"recorded"`
	Attempt  int          `json:"attempt,omitempty"`
	Spent    budget.Units `json:"spent"`
	// Length is the size of a streamed answer in bytes. It lets a caller see
	// that it has all of it.
	Length int `json:"length,omitempty"`
	// Moved tells that another node owns the program now. The caller asks for
	// the address again.
	Moved bool `json:"moved,omitempty"`
}

// ProgramReply answers requests that are about a program.
type ProgramReply struct {
	Outcome outcome.Outcome `json:"outcome"`
	Program *ProgramInfo    `json:"program,omitempty"`
	Moved   bool            `json:"moved,omitempty"`
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
	// Next is the order number of the next call.
	Next    int            `json:"next"`
	Ended   bool           `json:"ended"`
	History []HistoryEntry `json:"history,omitempty"`
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
		Answer:   answerOf(kind, reply.Answer),
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
		Next:        info.Next,
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
		Answer:    answerOf(entry.Call.Kind, entry.Answer),
		Spent:     entry.Spent,
		Recorded:  entry.Recorded,
	}
	if json.Valid(entry.Call.Body) {
		result.Input = entry.Call.Body
	}
	return result
}
