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

// Record is a durable state change of one program. Exactly one of the pointers
// is set. Seq grows by one with each record of the program; replay sorts by it
// and drops duplicates.
type Record struct {
	Program string `json:"p"`
	Seq     uint64 `json:"s"`
	// Ceiling is the total that the program may have spent or reserved before
	// its next record is durable. After a change of owner everything below it
	// counts as spent.
	Ceiling     budget.Units `json:"c"`
	Started     *Spec        `json:"started,omitempty"`
	Intent      *Intent      `json:"intent,omitempty"`
	Ended       *CallEnded   `json:"ended,omitempty"`
	Crash       *Crash       `json:"crash,omitempty"`
	ChildOpened *ChildOpened `json:"child,omitempty"`
	ChildClosed *ChildClosed `json:"closed,omitempty"`
	Handoff     *Handoff     `json:"handoff,omitempty"`
	Hedge       *Hedged      `json:"hedge,omitempty"`
	Final       *Ended       `json:"final,omitempty"`
}

// Intent records that a call is about to be dispatched. Calls that are not
// idempotent are dispatched only after it is durable.
type Intent struct {
	Call    Call `json:"call"`
	Attempt int  `json:"attempt"`
}

// CallEnded records the outcome of a call.
type CallEnded struct {
	RequestID string          `json:"request_id"`
	Outcome   outcome.Outcome `json:"outcome"`
	Answer    []byte          `json:"answer,omitempty"`
	Spent     budget.Units    `json:"spent"`
	Attempt   int             `json:"attempt"`
}

// Crash is the number of backend servers that a request, identified by its
// digest, is held to have crashed.
type Crash struct {
	Digest string `json:"digest"`
	Count  int    `json:"count"`
}

// ChildOpened records that a child's limit is reserved in its parent's budget.
type ChildOpened struct {
	ID    string       `json:"id"`
	Limit budget.Units `json:"limit"`
}

// ChildClosed records the end of a child: its reservation in the parent's
// budget is replaced by what it spent.
type ChildClosed struct {
	ID    string       `json:"id"`
	Limit budget.Units `json:"limit"`
	Spent budget.Units `json:"spent"`
}

// Handoff is recorded before a planned move of the program's shard. The ceiling
// of its record equals what is spent and reserved, so that the new owner counts
// no unused budget as spent.
type Handoff struct{}

// Hedged is recorded before a second copy of a running call is sent. The ceiling
// of its record covers both copies.
type Hedged struct {
	RequestID string `json:"request_id"`
}

// Ended records the end of a program.
type Ended struct {
	UnixMS int64 `json:"unix_ms"`
}

// Encode returns the stored form of the record.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("program: record of plain values failed to encode: " + err.Error())
	}
	return data
}

// DecodeRecord decodes the stored form of a record. It returns ErrBadRecord if
// the data is not valid JSON, lacks the program or the sequence number, or does
// not have exactly one payload.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errs.Combine(ErrBadRecord, err)
	}
	if r.Program == "" || r.Seq == 0 || r.countPayloads() != 1 {
		return Record{}, ErrBadRecord
	}
	return r, nil
}

// countPayloads returns how many of the payload pointers are set.
func (r Record) countPayloads() int {
	set := 0
	for _, present := range []bool{
		r.Started != nil, r.Intent != nil, r.Ended != nil, r.Crash != nil,
		r.ChildOpened != nil, r.ChildClosed != nil, r.Handoff != nil, r.Hedge != nil, r.Final != nil,
	} {
		if present {
			set++
		}
	}
	return set
}
