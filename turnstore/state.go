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

	"dogwoodline.example/turnlog"
	"dogwoodline.example/turnstore/turnpb"
)

// recordOverhead is the memory that a record takes besides its content, in
// bytes.
const recordOverhead = 400

// indexOverhead is what a turn or a ledger entry counts for in the index, in bytes. Both
// together take 480 bytes with ids of 36 bytes (BenchmarkIndexMemory).
const indexOverhead = 280

// state is the content of a store: an index of the records in the log, and in memory
// all of them but the contents of turns that were not used for long. The store-writer
// goroutine owns it.
type state struct {
	programs   map[string]*ledger
	turns      map[string]*turn
	hot        hotTurns
	gaps       gaps
	news       *news
	facts      *facts
	applied    []appliedRef // in the order of arrival, for stores that pull
	nextCursor uint64       // of the next record that arrives
	entryCount int          // of all ledgers
	arrivals   arrivals
	fence      uint64 // the lowest copy set version that is accepted
	bytes      int64  // the memory that records take without the contents of turns
	use        logUse
	// segmentEnds holds the next cursor after the last write to each segment. All that
	// a segment holds arrived before.
	segmentEnds map[uint64]uint64

	expiringTurns     expiryWheel[*turn]
	expiringLedgers   expiryWheel[*ledger]
	expiringWithdrawn expiryWheel[*entry]
}

// appliedRef is a record in the order of arrival.
type appliedRef struct {
	item   item
	cursor uint64
}

func newState() *state {
	return &state{
		programs: map[string]*ledger{}, turns: map[string]*turn{}, gaps: gaps{}, news: newNews(), facts: newFacts(),
		use: logUse{bySegment: map[uint64]int64{}}, segmentEnds: map[uint64]uint64{},
		expiringTurns: expiryWheel[*turn]{}, expiringLedgers: expiryWheel[*ledger]{}, expiringWithdrawn: expiryWheel[*entry]{},
	}
}

// place records that the log has an item at a position.
func (s *state) place(i item, at turnlog.Position) {
	s.use.place(i, at)
	s.segmentEnds[at.Segment] = s.nextCursor
}

// removeSegment forgets a segment without live records.
func (s *state) removeSegment(segment uint64) { delete(s.segmentEnds, segment) }

// apply adds a record if it is new, and reports whether it is. It returns the item that
// has to be placed once the record is in the log; nil if there is none.
func (s *state) apply(record *turnpb.Record) (item, bool) {
	switch kind := record.Kind.(type) {
	case *turnpb.Record_Reservation:
		r := kind.Reservation
		return s.applyEntry(r.Program, r.Attempt, r.Tokens, false, r.ExpiresUnixMs)
	case *turnpb.Record_Settlement:
		r := kind.Settlement
		return s.applyEntry(r.Program, r.Attempt, r.Tokens, true, r.ExpiresUnixMs)
	case *turnpb.Record_Turn:
		return s.applyTurn(kind.Turn)
	case *turnpb.Record_Fence:
		if kind.Fence.Version > s.fence {
			s.fence = kind.Fence.Version
			return nil, true
		}
	case *turnpb.Record_Crash:
		if entry := s.news.add(kind.Crash); entry != nil {
			s.bytes += recordOverhead
			entry.cursor = s.noteApplied(entry)
			return entry, true
		}
	case *turnpb.Record_Fact:
		if entry, grown := s.facts.add(kind.Fact, s.dropFact); entry != nil {
			s.bytes += grown
			if kind.Fact.Announced {
				s.news.announce(kind.Fact)
			}
			entry.cursor = s.noteApplied(entry)
			return entry, true
		}
	}
	return nil, false
}

// applyTurn adds a turn and extends the expiry of those that it continues. It returns
// the item of a known turn too.
func (s *state) applyTurn(record *turnpb.Turn) (item, bool) {
	known := s.turns[record.Id]
	if known != nil {
		s.extendExpiry(record.Id, record.ExpiresUnixMs)
		return known, false
	}
	previous := record.Previous
	if before := s.turns[previous]; before != nil {
		previous = before.id // shares its memory
	}
	added := s.addTurn(record.Id, previous, record.ExpiresUnixMs)
	s.hot.add(added, record)
	return added, true
}

// addTurn adds a turn that is not known, without its content.
func (s *state) addTurn(id, previous string, expires int64) *turn {
	added := &turn{id: id, previous: previous, expires: max(expires, s.gaps.fill(id))}
	s.turns[id] = added
	s.bytes += indexOverhead
	added.cursor = s.noteApplied(added)
	s.expiringTurns.add(added, added.expires)
	s.extendExpiry(id, added.expires)
	return added
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
		id = t.previous
	}
}

// dropTurn removes a turn.
func (s *state) dropTurn(t *turn) {
	s.hot.remove(t)
	s.use.drop(t)
	s.bytes -= indexOverhead
	delete(s.turns, t.id)
}

// loseTurn removes a turn that the log has lost. It leaves a gap, so that the turn is
// copied from another store.
func (s *state) loseTurn(t *turn) {
	s.dropTurn(t)
	s.gaps.extend(t.id, t.expires)
}

func (s *state) dropFact(entry *factEntry) {
	s.use.drop(entry)
	s.bytes -= entry.size()
}

// chain returns the conversation that ends with the given turn, as far as this
// store has it. It adds the turns whose content has to be read to cold.
func (s *state) chain(id string, cold *coldTurns) *turnpb.Chain {
	out := &turnpb.Chain{Id: id}
	for id != "" {
		t := s.turns[id]
		if t == nil {
			return out
		}
		if t.hot != nil {
			s.hot.use(t)
			out.Turns = append(out.Turns, t.hot)
		} else {
			out.Turns = append(out.Turns, cold.add(t))
		}
		id = t.previous
	}
	out.Whole = true
	return out
}

// recordFor returns the record of an item for another store. It adds a turn whose content
// has to be read to cold, unless the content is to be omitted.
func (s *state) recordFor(i item, omitContent bool, cold *coldTurns) *turnpb.Record {
	t, isTurn := i.(*turn)
	switch {
	case !isTurn:
		return i.encode()
	case omitContent:
		omitted := t.withoutContent()
		omitted.ContentOmitted = true
		return turnOf(omitted)
	case t.hot == nil:
		return turnOf(cold.add(t))
	}
	return turnOf(t.withContent())
}

// sizeFor is the size of an item's record as it counts for the limit of a reply.
func sizeFor(i item, omitContent bool) int {
	if t, isTurn := i.(*turn); isTurn && !omitContent {
		if t.hot != nil {
			return recordOverhead + len(t.hot.Content)
		}
		return recordOverhead + int(t.at.Length)
	}
	return recordOverhead
}

// page returns the live records from a cursor on, up to about limit bytes, and
// the cursor of the next page.
func (s *state) page(cursor uint64, limit int, omitContent bool, cold *coldTurns) (records []*turnpb.Record, next uint64, done bool) {
	first, _ := slices.BinarySearchFunc(s.applied, cursor, func(r appliedRef, cursor uint64) int { return cmp.Compare(r.cursor, cursor) })
	size := 0
	for _, r := range s.applied[first:] {
		if size >= limit {
			return records, r.cursor, false
		}
		if !r.gone() {
			records = append(records, s.recordFor(r.item, omitContent, cold))
			size += sizeFor(r.item, omitContent)
		}
	}
	return records, s.nextCursor, true
}

// noteApplied puts an item at the end of the order of arrival and returns its cursor.
func (s *state) noteApplied(i item) uint64 {
	s.applied = append(s.applied, appliedRef{i, s.nextCursor})
	s.nextCursor++
	return s.nextCursor - 1
}

// maxDeadRefs is how many references to records that are gone may remain besides one
// for each record that is left.
const maxDeadRefs = 1024

// trimApplied removes the references to records that are gone, or that have arrived
// again in another form, once there are many of them.
func (s *state) trimApplied() {
	live := len(s.turns) + s.entryCount + len(s.news.byKey) + len(s.facts.byKey)
	if len(s.applied) > 2*live+maxDeadRefs {
		s.applied = slices.Clone(slices.DeleteFunc(s.applied, appliedRef.gone))
	}
	for len(s.applied) > 0 && s.applied[0].gone() {
		s.applied[0].item = nil // or the array would keep it in memory
		s.applied = s.applied[1:]
	}
}

// gone reports whether a reference leads to no record, or to one with a later
// reference.
func (r appliedRef) gone() bool { return r.item.location().gone || !r.item.appliedAt(r.cursor) }

// turnRecords returns the records of the given turns that are held, up to about
// limit bytes, and the number of ids that were looked up.
func (s *state) turnRecords(ids []string, limit int, omitContent bool, cold *coldTurns) (records []*turnpb.Record, lookedUp int) {
	size := 0
	for lookedUp < len(ids) && size < limit {
		t := s.turns[ids[lookedUp]]
		lookedUp++
		if t == nil {
			continue
		}
		records = append(records, s.recordFor(t, omitContent, cold))
		size += sizeFor(t, omitContent)
	}
	return records, lookedUp
}

// expire removes the records that have expired by now.
func (s *state) expire(now time.Time) {
	limit := now.UnixMilli()
	for _, entry := range s.news.expire(now) {
		s.use.drop(entry)
		s.bytes -= recordOverhead
	}
	s.facts.expire(now, s.dropFact)
	s.expiringTurns.due(limit, func(t *turn) {
		switch {
		case t.gone:
		case t.expires < limit:
			s.dropTurn(t)
		default:
			s.expiringTurns.add(t, t.expires)
		}
	})
	s.gaps.expire(limit)
	s.expireLedgers(limit)
	s.trimApplied()
}

// liveThrough returns the items whose segment is the given one or an earlier one.
func (s *state) liveThrough(segment uint64) []item {
	end := uint64(0)
	for each, next := range s.segmentEnds {
		if each <= segment {
			end = max(end, next)
		}
	}
	var items []item
	for _, r := range s.applied {
		if r.cursor >= end {
			break
		}
		if at := r.item.location().at; at.Segment != 0 && at.Segment <= segment && !r.gone() {
			items = append(items, r.item)
		}
	}
	return items
}
