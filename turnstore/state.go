// Package turnstore implements the turn store, which keeps conversations and
// budgets on a disk, and the client with which front servers reach it.
//
// A record is one of six kinds: a turn of a conversation; a reservation, the
// most tokens of a program's budget that an attempt may generate; a settlement,
// the tokens that were handed out for that attempt; a fence, the lowest copy set
// version that the store accepts; a crash, the end of a backend server while it
// ran a call; or a fact, which one front server knows and others need.
//
// The state of a store is a set of records, to which records are only added
// until they expire: a turn never changes, a settlement replaces its
// reservation for good, and a fact replaces those of lower versions. So records may arrive in any order and more than once.
package turnstore

import (
	"cmp"
	"slices"
	"time"

	"dogwoodline.example/turnstore/turnpb"
)

// recordOverhead is the memory that a record takes besides its content, in
// bytes.
const recordOverhead = 400

// turn is a stored turn.
type turn struct {
	record  *turnpb.Turn
	expires int64  // Unix ms; extended by the turns that continue it
	segment uint64 // as in entry
}

// state is the content of a store in memory. The store-writer goroutine owns
// it.
type state struct {
	programs   map[string]*ledger
	turns      map[string]*turn
	gaps       gaps
	news       *news
	facts      *facts
	applied    []appliedRef // in the order of arrival, for stores that pull
	nextCursor uint64       // of the next record that arrives
	entryCount int          // of all ledgers
	arrivals   arrivals
	fence      uint64 // the lowest copy set version that is accepted
	bytes      int64  // the memory that records take
}

// recordRef names an applied record: program and attempt, or turn, or crash, or
// fact and its version.
type recordRef struct {
	program, attempt, turn, crash, fact string
	factVersion                         uint64
}

// appliedRef is a record in the order of arrival.
type appliedRef struct {
	recordRef
	cursor uint64
}

func newState() *state {
	return &state{programs: map[string]*ledger{}, turns: map[string]*turn{}, gaps: gaps{}, news: newNews(), facts: newFacts()}
}

// apply adds a record that will be written to the given segment if it is new,
// and reports whether it is. A record that is known stays in its segment.
func (s *state) apply(record *turnpb.Record, segment uint64) bool {
	switch kind := record.Kind.(type) {
	case *turnpb.Record_Reservation:
		r := kind.Reservation
		return s.applyEntry(r.Program, r.Attempt, entry{tokens: r.Tokens, segment: segment}, r.ExpiresUnixMs)
	case *turnpb.Record_Settlement:
		r := kind.Settlement
		return s.applyEntry(r.Program, r.Attempt, entry{tokens: r.Tokens, settled: true, segment: segment}, r.ExpiresUnixMs)
	case *turnpb.Record_Turn:
		return s.applyTurn(kind.Turn, segment)
	case *turnpb.Record_Fence:
		if kind.Fence.Version > s.fence {
			s.fence = kind.Fence.Version
			return true
		}
	case *turnpb.Record_Crash:
		if s.news.add(kind.Crash, segment) {
			s.bytes += recordOverhead
			s.noteApplied(recordRef{crash: crashKey(kind.Crash)})
			return true
		}
	case *turnpb.Record_Fact:
		if grown, added := s.facts.add(kind.Fact, segment); added {
			s.bytes += grown
			if kind.Fact.Announced {
				s.news.announce(kind.Fact)
			}
			s.noteApplied(recordRef{fact: kind.Fact.Key, factVersion: kind.Fact.Version})
			return true
		}
	}
	return false
}

// applyTurn adds a turn and extends the expiry of those that it continues.
func (s *state) applyTurn(record *turnpb.Turn, segment uint64) bool {
	known := s.turns[record.Id]
	expires := record.ExpiresUnixMs
	if known == nil {
		expires = max(expires, s.gaps.fill(record.Id))
		s.turns[record.Id] = &turn{record: record, expires: expires, segment: segment}
		s.bytes += int64(len(record.Content)) + recordOverhead
		s.noteApplied(recordRef{turn: record.Id})
	}
	s.extendExpiry(record.Id, expires)
	return known == nil
}

// extendExpiry makes a turn and those that it continues live at least until the
// given time. Those before a turn that is not held follow when it arrives.
func (s *state) extendExpiry(last string, expires int64) {
	for id := last; id != ""; {
		t := s.turns[id]
		if t == nil {
			s.gaps.extend(id, expires)
			return
		}
		if id != last && t.expires >= expires {
			return
		}
		t.expires = max(t.expires, expires)
		id = t.record.Previous
	}
}

// moveTo records that all live records up to the end of the given segment have
// been written again to the current one.
func (s *state) moveTo(current, segment uint64) {
	for _, entry := range s.news.byKey {
		if entry.segment <= segment {
			entry.segment = current
		}
	}
	for _, entry := range s.facts.byKey {
		if entry.segment <= segment {
			entry.segment = current
		}
	}
	for _, t := range s.turns {
		if t.segment <= segment {
			t.segment = current
		}
	}
	for _, l := range s.programs {
		for _, e := range l.entries {
			if e.segment <= segment {
				e.segment = current
			}
		}
	}
}

// chain returns the conversation that ends with the given turn, as far as this
// store has it.
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

// record returns the current form of an applied record, or nil if it has
// expired.
func (s *state) record(r recordRef) *turnpb.Record {
	if r.turn != "" {
		if t := s.turns[r.turn]; t != nil {
			return &turnpb.Record{Kind: &turnpb.Record_Turn{Turn: &turnpb.Turn{
				Id: t.record.Id, Previous: t.record.Previous, Content: t.record.Content, ExpiresUnixMs: t.expires,
				Organisation: t.record.Organisation, BackendServer: t.record.BackendServer,
			}}}
		}
		return nil
	}
	if r.crash != "" {
		if entry := s.news.byKey[r.crash]; entry != nil {
			return crashRecord(entry.crash)
		}
		return nil
	}
	if r.fact != "" {
		if entry := s.facts.byKey[r.fact]; entry != nil && entry.fact.Version == r.factVersion {
			return factRecord(entry.fact)
		}
		return nil
	}
	if l := s.programs[r.program]; l != nil && l.entries[r.attempt] != nil {
		return l.record(r.program, r.attempt)
	}
	return nil
}

// page returns the live records from a cursor on, up to about limit bytes, and
// the cursor of the next page.
func (s *state) page(cursor uint64, limit int, omitContent bool) (records []*turnpb.Record, next uint64, done bool) {
	first, _ := slices.BinarySearchFunc(s.applied, cursor, func(r appliedRef, cursor uint64) int { return cmp.Compare(r.cursor, cursor) })
	size := 0
	for _, r := range s.applied[first:] {
		if size >= limit {
			return records, r.cursor, false
		}
		if record := s.record(r.recordRef); record != nil {
			if omitContent {
				omit(record)
			}
			records = append(records, record)
			size += recordSize(record)
		}
	}
	return records, s.nextCursor, true
}

// noteApplied puts a record at the end of the order of arrival.
func (s *state) noteApplied(r recordRef) {
	s.applied = append(s.applied, appliedRef{r, s.nextCursor})
	s.nextCursor++
}

// maxDeadRefs is how many references to records that are gone may remain besides one
// for each record that is left.
const maxDeadRefs = 1024

// trimApplied removes the references to records that are gone, or that have arrived
// again in another form, once there are many of them.
func (s *state) trimApplied() {
	live := len(s.turns) + s.entryCount + len(s.news.byKey) + len(s.facts.byKey)
	if len(s.applied) > 2*live+maxDeadRefs {
		s.applied = slices.Clone(slices.DeleteFunc(s.applied, s.gone))
	}
	for len(s.applied) > 0 && s.gone(s.applied[0]) {
		s.applied = s.applied[1:]
	}
}

// gone reports whether a reference leads to no record, or to one with a later
// reference.
func (s *state) gone(r appliedRef) bool {
	if l := s.programs[r.program]; r.program != "" && l != nil && l.entries[r.attempt] != nil {
		return l.entries[r.attempt].cursor != r.cursor
	}
	return s.record(r.recordRef) == nil
}

// turnRecords returns the records of the given turns that are held, up to about
// limit bytes, and the number of ids that were looked up.
func (s *state) turnRecords(ids []string, limit int, omitContent bool) (records []*turnpb.Record, lookedUp int) {
	size := 0
	for lookedUp < len(ids) && size < limit {
		record := s.record(recordRef{turn: ids[lookedUp]})
		lookedUp++
		if record == nil {
			continue
		}
		if omitContent {
			omit(record)
		}
		records = append(records, record)
		size += recordSize(record)
	}
	return records, lookedUp
}

// omit removes the content of a turn's record.
func omit(record *turnpb.Record) {
	if t := record.GetTurn(); t != nil {
		t.Content, t.ContentOmitted = nil, true
	}
}

// recordSize is the size of a record as it counts for the limit of a reply.
func recordSize(record *turnpb.Record) int {
	return recordOverhead + len(record.GetTurn().GetContent())
}

// expire removes the records that have expired by now.
func (s *state) expire(now time.Time) {
	limit := now.UnixMilli()
	s.bytes -= recordOverhead * int64(s.news.expire(now))
	s.bytes -= s.facts.expire(now)
	for id, t := range s.turns {
		if t.expires < limit {
			s.bytes -= int64(len(t.record.Content)) + recordOverhead
			delete(s.turns, id)
		}
	}
	s.gaps.expire(limit)
	for program, l := range s.programs {
		s.dropEntries(l.dropWithdrawn(limit))
		if l.expires < limit {
			s.dropEntries(len(l.entries))
			delete(s.programs, program)
		}
	}
	s.trimApplied()
}

// liveThrough returns the live records whose segment is the given one or an
// earlier one, to be rewritten before that segment is removed, and the fence,
// which is rewritten every time.
func (s *state) liveThrough(segment uint64) []*turnpb.Record {
	var records []*turnpb.Record
	for id, t := range s.turns {
		if t.segment <= segment {
			records = append(records, s.record(recordRef{turn: id}))
		}
	}
	for program, l := range s.programs {
		for attempt, e := range l.entries {
			if e.segment <= segment {
				records = append(records, l.record(program, attempt))
			}
		}
	}
	for _, entry := range s.news.byKey {
		if entry.segment <= segment {
			records = append(records, crashRecord(entry.crash))
		}
	}
	for _, entry := range s.facts.byKey {
		if entry.segment <= segment {
			records = append(records, factRecord(entry.fact))
		}
	}
	if s.fence > 0 {
		records = append(records, &turnpb.Record{Kind: &turnpb.Record_Fence{Fence: &turnpb.Fence{Version: s.fence}}})
	}
	return records
}
