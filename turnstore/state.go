// Package turnstore is the role that keeps conversations and budgets on a
// disk, and its client.
//
// The state of a store is a set of records that only grows until they expire:
// a turn never changes, and a settlement replaces its reservation for ever. So
// records may arrive in any order and more than once.
package turnstore

import (
	"time"

	"dogwoodline.example/turnstore/turnpb"
)

// recordOverhead is the memory of a record beside its content, in bytes.
const recordOverhead = 400

type entry struct {
	attempt string
	tokens  int64
	settled bool
	segment uint64
}

type ledger struct {
	entries []entry
	expires int64 // Unix ms
}

type turn struct {
	record  *turnpb.Turn
	expires int64 // that of its newest successor
	segment uint64
}

// state is the content of a store in memory. One duty owns it.
type state struct {
	programs map[string]*ledger
	turns    map[string]*turn
	order    []ref // what was applied, for stores that pull
	first    uint64
	fence    uint64
	bytes    int64
}

// ref names an applied record.
type ref struct{ program, attempt, turn string }

func newState() *state {
	return &state{programs: map[string]*ledger{}, turns: map[string]*turn{}}
}

// apply takes a record that is or will be durable in a segment. It reports
// whether the record was new.
func (s *state) apply(record *turnpb.Record, segment uint64) bool {
	switch kind := record.Kind.(type) {
	case *turnpb.Record_Reservation:
		r := kind.Reservation
		return s.account(r.Program, entry{r.Attempt, r.Tokens, false, segment}, r.ExpiresUnixMs)
	case *turnpb.Record_Settlement:
		r := kind.Settlement
		return s.account(r.Program, entry{r.Attempt, r.Tokens, true, segment}, r.ExpiresUnixMs)
	case *turnpb.Record_Turn:
		return s.keep(kind.Turn, segment)
	case *turnpb.Record_Fence:
		if kind.Fence.Version > s.fence {
			s.fence = kind.Fence.Version
			return true
		}
	}
	return false
}

func (s *state) account(program string, e entry, expires int64) bool {
	book := s.programs[program]
	if book == nil {
		book = &ledger{}
		s.programs[program] = book
	}
	book.expires = max(book.expires, expires)
	for i := range book.entries {
		known := &book.entries[i]
		if known.attempt != e.attempt {
			continue
		}
		if known.settled || !e.settled {
			known.segment = max(known.segment, e.segment)
			return false
		}
		*known = e
		s.order = append(s.order, ref{program: program, attempt: e.attempt})
		return true
	}
	book.entries = append(book.entries, e)
	s.bytes += recordOverhead
	s.order = append(s.order, ref{program: program, attempt: e.attempt})
	return true
}

func (s *state) keep(record *turnpb.Turn, segment uint64) bool {
	known := s.turns[record.Id]
	if known != nil {
		known.segment = max(known.segment, segment)
	} else {
		s.turns[record.Id] = &turn{record: record, expires: record.ExpiresUnixMs, segment: segment}
		s.bytes += int64(len(record.Content)) + recordOverhead
		s.order = append(s.order, ref{turn: record.Id})
	}
	// A turn is kept with its conversation.
	for id := record.Id; id != ""; {
		t := s.turns[id]
		if t == nil || (id != record.Id && t.expires >= record.ExpiresUnixMs) {
			break
		}
		t.expires = max(t.expires, record.ExpiresUnixMs)
		id = t.record.Previous
	}
	return known == nil
}

func (s *state) ledger(program string) *turnpb.Ledger {
	out := &turnpb.Ledger{Program: program}
	if book := s.programs[program]; book != nil {
		for _, e := range book.entries {
			out.Entries = append(out.Entries, &turnpb.LedgerEntry{Attempt: e.attempt, Tokens: e.tokens, Settled: e.settled})
		}
	}
	return out
}

// chain returns the conversation that ends with the turn, as far as it is here.
func (s *state) chain(id string) *turnpb.Chain {
	out := &turnpb.Chain{Id: id}
	for id != "" {
		t := s.turns[id]
		if t == nil {
			return out
		}
		out.Turns = append(out.Turns, t.record)
		id = t.record.Previous
	}
	out.Whole = true
	return out
}

// record returns the present form of an applied record, or nil if it expired.
func (s *state) record(r ref) *turnpb.Record {
	if r.turn != "" {
		if t := s.turns[r.turn]; t != nil {
			return &turnpb.Record{Kind: &turnpb.Record_Turn{Turn: &turnpb.Turn{
				Id: t.record.Id, Previous: t.record.Previous, Content: t.record.Content, ExpiresUnixMs: t.expires,
			}}}
		}
		return nil
	}
	book := s.programs[r.program]
	if book == nil {
		return nil
	}
	for _, e := range book.entries {
		if e.attempt == r.attempt {
			return entryRecord(r.program, e, book.expires)
		}
	}
	return nil
}

func entryRecord(program string, e entry, expires int64) *turnpb.Record {
	if e.settled {
		return &turnpb.Record{Kind: &turnpb.Record_Settlement{Settlement: &turnpb.Settlement{
			Program: program, Attempt: e.attempt, Tokens: e.tokens, ExpiresUnixMs: expires,
		}}}
	}
	return &turnpb.Record{Kind: &turnpb.Record_Reservation{Reservation: &turnpb.Reservation{
		Program: program, Attempt: e.attempt, Tokens: e.tokens, ExpiresUnixMs: expires,
	}}}
}

// page returns live records from a cursor on, up to about limit bytes.
func (s *state) page(cursor uint64, limit int) (records []*turnpb.Record, next uint64, done bool) {
	cursor = max(cursor, s.first)
	size := 0
	for cursor < s.first+uint64(len(s.order)) && size < limit {
		r := s.order[cursor-s.first]
		cursor++
		if record := s.record(r); record != nil {
			records = append(records, record)
			size += recordOverhead
			if t := record.GetTurn(); t != nil {
				size += len(t.Content)
			}
		}
	}
	return records, cursor, cursor >= s.first+uint64(len(s.order))
}

// expire forgets what is past its time.
func (s *state) expire(now time.Time) {
	limit := now.UnixMilli()
	for id, t := range s.turns {
		if t.expires < limit {
			s.bytes -= int64(len(t.record.Content)) + recordOverhead
			delete(s.turns, id)
		}
	}
	for program, book := range s.programs {
		if book.expires < limit {
			s.bytes -= recordOverhead * int64(len(book.entries))
			delete(s.programs, program)
		}
	}
	for len(s.order) > 0 && s.record(s.order[0]) == nil {
		s.order = s.order[1:]
		s.first++
	}
}

// inSegment returns the live records that are durable in that segment only.
func (s *state) inSegment(segment uint64) []*turnpb.Record {
	var records []*turnpb.Record
	for id, t := range s.turns {
		if t.segment <= segment {
			records = append(records, s.record(ref{turn: id}))
		}
	}
	for program, book := range s.programs {
		for _, e := range book.entries {
			if e.segment <= segment {
				records = append(records, entryRecord(program, e, book.expires))
			}
		}
	}
	if s.fence > 0 {
		records = append(records, &turnpb.Record{Kind: &turnpb.Record_Fence{Fence: &turnpb.Fence{Version: s.fence}}})
	}
	return records
}
