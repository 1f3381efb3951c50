package fencedlog

import (
	"context"
)

// freshShare is the part of a segment that must be appended by owners between
// two compactions. At a quarter, compaction writes at most four bytes for each
// appended one, and keeps up as long as a quarter of the oldest segments is
// dead.
const freshShare = 4

// index is what the writer knows about the records in its journal.
type index struct {
	programs map[string]int // number of records, copies included
	fresh    int            // bytes appended by owners since the last compaction
	asked    bool           // a Query has no Verdict yet, or its copies wait
	records  []Record       // of the segment that was asked about
	segment  uint64
}

func newIndex() index { return index{programs: map[string]int{}} }

func (x *index) add(e entry) {
	for _, program := range e.programs {
		x.programs[program]++
	}
	if !e.compacted {
		x.fresh += len(e.body)
	}
}

func (x *index) remove(records []Record) {
	for _, r := range records {
		if r.kind != kindProgram {
			continue
		}
		x.programs[r.Program]--
		if x.programs[r.Program] == 0 {
			delete(x.programs, r.Program)
		}
	}
}

// query starts the compaction of the oldest segment if the journal is long
// enough. A failed read is not retried here; the next commit asks again.
func (w *Writer) query(ctx context.Context) {
	closed := int(w.head.open - w.head.first)
	if closed <= w.settings.CompactAbove || w.index.asked {
		return
	}
	if w.index.fresh < w.settings.SegmentBytes/freshShare {
		return
	}
	var records []Record
	var err error
	w.beginWrite()
	w.call(ctx, func(ctx context.Context) {
		records, err = readSegment(ctx, w.store, w.incarnation, w.head.first)
	})
	w.endWrite()
	w.note(err)
	if err != nil {
		w.log.Warn("journal: oldest segment not readable, compaction postponed", "error", err)
		return
	}
	w.index.asked, w.index.segment, w.index.records = true, w.head.first, records
	names := make([]Record, len(records))
	for i, r := range records {
		r.Data = nil
		names[i] = r
	}
	w.deliver(ctx, nil, Query{Segment: w.head.first, Records: names})
}

// judge takes the answer to a Query and queues the copies of live records.
func (w *Writer) judge() {
	v, ok := w.verdicts.TryPop()
	if !ok || !w.index.asked || v.Segment != w.index.segment {
		return
	}
	if len(v.Live) != len(w.index.records) {
		w.index.asked = false
		return
	}
	for _, e := range copies(w.index.survivors(v.Live), v.Segment) {
		w.tail.push(e)
	}
}

// survivors returns the records to copy: the live ones, and the last record of
// an ended program as long as other records of it stay in the journal.
func (x *index) survivors(live []bool) []Record {
	inSegment := map[string]int{}
	kept := map[string]int{}
	for i, r := range x.records {
		inSegment[r.Program]++
		if live[i] {
			kept[r.Program]++
		}
	}
	var survivors []Record
	for i, r := range x.records {
		elsewhere := x.programs[r.Program] - inSegment[r.Program] + kept[r.Program]
		// Nothing is left before a mark of the oldest segment, so no mark is
		// needed any more.
		if r.kind == kindProgram && (live[i] || r.Ended && elsewhere > 0) {
			survivors = append(survivors, r)
		}
	}
	return survivors
}

// copies groups records into entries. The last one removes the segment from
// the head in the same commit; there is always one.
func copies(records []Record, segment uint64) []entry {
	entries := []entry{{compacted: true}}
	for _, r := range records {
		e := &entries[len(entries)-1]
		if len(e.body) >= MaxAppendBytes/2 {
			entries = append(entries, entry{compacted: true})
			e = &entries[len(entries)-1]
		}
		e.add(r)
		e.records++
	}
	entries[len(entries)-1].first = segment + 1
	return entries
}

// deleteOldest removes the segment after the head no longer names it. A
// failure leaves a key that Delete removes with the journal.
func (w *Writer) deleteOldest(ctx context.Context, segment uint64) error {
	w.index.remove(w.index.records)
	w.index.records, w.index.asked, w.index.fresh = nil, false, 0
	if err := w.waitForBudget(ctx); err != nil {
		return err
	}
	var err error
	w.beginWrite()
	w.call(ctx, func(ctx context.Context) {
		err = remove(ctx, w.store, segmentKey(w.incarnation, segment))
	})
	w.endWrite()
	if err != nil {
		w.log.Warn("journal: compacted segment not deleted", "segment", segment, "error", err)
	}
	return nil
}
