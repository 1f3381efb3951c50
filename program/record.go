package program

import (
	"encoding/json"

	"github.com/zeebo/errs"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
)

// Error is the class of all errors of this package.
var Error = errs.Class("program")

// ErrBadRecord reports a record that cannot be decoded or lacks its fields.
var ErrBadRecord = Error.New("bad record")

// Record is a durable fact about one program. Exactly one of the pointers is
// set. Seq grows by one with each record of the program; replay sorts by it
// and drops repetitions.
type Record struct {
	Program string `json:"p"`
	Seq     uint64 `json:"s"`
	// Ceiling is what may be spent before the next record is durable.
	Ceiling budget.Units `json:"c"`
	Started *Spec        `json:"started,omitempty"`
	Intent  *Intent      `json:"intent,omitempty"`
	Ended   *CallEnded   `json:"ended,omitempty"`
	Crash   *Crash       `json:"crash,omitempty"`
	Child   *ChildOpened `json:"child,omitempty"`
	Closed  *ChildClosed `json:"closed,omitempty"`
	Handoff *Handoff     `json:"handoff,omitempty"`
	Hedge   *Hedged      `json:"hedge,omitempty"`
	Final   *Final       `json:"final,omitempty"`
}

// Intent is recorded before a call is dispatched.
type Intent struct {
	Call    Call `json:"call"`
	Attempt int  `json:"attempt"`
}

// CallEnded is recorded when the outcome of a call is known.
type CallEnded struct {
	RequestID string          `json:"request_id"`
	Outcome   outcome.Outcome `json:"outcome"`
	Answer    []byte          `json:"answer,omitempty"`
	Spent     budget.Units    `json:"spent"`
	Attempt   int             `json:"attempt"`
}

// Crash counts the backend servers that a request has crashed.
type Crash struct {
	Digest string `json:"digest"`
	Count  int    `json:"count"`
}

// ChildOpened reserves a child's limit in its parent's budget.
type ChildOpened struct {
	ID    string       `json:"id"`
	Limit budget.Units `json:"limit"`
}

// ChildClosed returns what a child left of its share.
type ChildClosed struct {
	ID    string       `json:"id"`
	Limit budget.Units `json:"limit"`
	Spent budget.Units `json:"spent"`
}

// Handoff is recorded before a planned move of the program's shard. Its
// ceiling leaves nothing to spend ahead, so that a planned move costs no
// budget.
type Handoff struct{}

// Hedged is recorded before a second copy of a running call is sent. Its
// ceiling covers both copies.
type Hedged struct {
	RequestID string `json:"request_id"`
}

// Final ends a program.
type Final struct {
	UnixMS int64 `json:"unix_ms"`
}

// Encode returns the durable form of the record.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("program: record of plain values failed to encode: " + err.Error())
	}
	return data
}

// DecodeRecord reads the durable form of a record. It returns ErrBadRecord
// for anything Encode does not produce.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errs.Combine(ErrBadRecord, err)
	}
	if r.Program == "" || r.Seq == 0 || r.parts() != 1 {
		return Record{}, ErrBadRecord
	}
	return r, nil
}

func (r Record) parts() int {
	set := 0
	for _, present := range []bool{
		r.Started != nil, r.Intent != nil, r.Ended != nil, r.Crash != nil,
		r.Child != nil, r.Closed != nil, r.Handoff != nil, r.Hedge != nil, r.Final != nil,
	} {
		if present {
			set++
		}
	}
	return set
}
