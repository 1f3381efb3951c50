package fencedlog

import (
	"context"
)

// appendedDivisor determines how much must be appended between two compactions:
// SegmentBytes divided by it. With a quarter of a segment, compaction writes at
// most four bytes for each appended byte, and keeps up with the appends as long
// as a quarter of the oldest segments is no longer needed.
const appendedDivisor = 4

// index describes the records in the journal, and the compaction of its oldest
// segment if one is in progress.
type index struct {
	recordCounts   map[string]int // number of records of each program, rewritten ones included
	appendedBytes  int            // bytes appended since the last compaction, without rewritten records
	queryPending   bool           // a CompactionQuery is not answered yet, or its live records are not rewritten yet
	queriedRecords []Record       // records of the segment of the CompactionQuery
	queriedSegment uint64
}

func newIndex() index { return index{recordCounts: map[string]int{}} }

// add counts the records of a committed entry.
func (x *index) add(e entry) {
	for _, program := range e.programs {
		x.recordCounts[program]++
	}
	if !e.fromCompaction {
		x.appendedBytes += len(e.body)
	}
}

// remove subtracts the records of a segment that is to be deleted.
func (x *index) remove(records []Record) {
	for _, r := range records {
		if r.kind != kindProgram {
			continue
		}
		x.recordCounts[r.Program]--
		if x.recordCounts[r.Program] == 0 {
			delete(x.recordCounts, r.Program)
		}
	}
}

// queryOldestSegment starts the compaction of the oldest segment if the journal
// is long enough: it asks the owner of the records which ones are still needed.
// A failed read of the segment is not retried here, because the next commit
// calls queryOldestSegment again.
func (w *Writer) queryOldestSegment(ctx context.Context) {
	closed := int(w.head.openSegment - w.head.firstSegment)
	if closed <= w.settings.CompactAbove || w.index.queryPending {
		return
	}
	if w.index.appendedBytes < w.settings.SegmentBytes/appendedDivisor {
		return
	}
	var records []Record
	var err error
	w.beginWrite()
	w.callStore(ctx, func(ctx context.Context) {
		records, err = readSegment(ctx, w.store, w.incarnation, w.head.firstSegment)
	})
	w.endWrite()
	w.recordStoreResult(err)
	if err != nil {
		w.log.Warn("journal: oldest segment cannot be read, compaction postponed", "error", err)
		return
	}
	w.index.queryPending, w.index.queriedSegment, w.index.queriedRecords = true, w.head.firstSegment, records
	withoutData := make([]Record, len(records))
	for i, r := range records {
		r.Data = nil
		withoutData[i] = r
	}
	w.deliver(ctx, nil, CompactionQuery{Segment: w.head.firstSegment, Records: withoutData})
}

// handleCompactionAnswer handles the answer to a CompactionQuery: it queues the
// live records to be written again, or postpones the compaction.
func (w *Writer) handleCompactionAnswer() {
	v, ok := w.compactionAnswers.TryPop()
	if !ok || !w.index.queryPending || v.Segment != w.index.queriedSegment {
		return
	}
	if len(v.Live) != len(w.index.queriedRecords) {
		w.index.queryPending = false
		return
	}
	for _, e := range rewriteEntries(w.index.survivors(v.Live), v.Segment) {
		w.tail.push(e)
	}
}

// survivors returns the records of the segment to write again: the live ones,
// and the last record of an ended program as long as other records of the
// program stay in the journal.
func (x *index) survivors(live []bool) []Record {
	inSegment := map[string]int{}
	kept := map[string]int{}
	for i, r := range x.queriedRecords {
		inSegment[r.Program]++
		if live[i] {
			kept[r.Program]++
		}
	}
	var survivors []Record
	for i, r := range x.queriedRecords {
		remaining := x.recordCounts[r.Program] - inSegment[r.Program] + kept[r.Program]
		// A marker is not needed any more once its segment is the oldest,
		// because no record is left before it.
		if r.kind == kindProgram && (live[i] || r.Ended && remaining > 0) {
			survivors = append(survivors, r)
		}
	}
	return survivors
}

// rewriteEntries groups the surviving records of a segment into entries. The
// commit of the last entry also removes the segment from the head, so there is
// always at least one entry.
func rewriteEntries(records []Record, segment uint64) []entry {
	entries := []entry{{fromCompaction: true}}
	for _, r := range records {
		e := &entries[len(entries)-1]
		if len(e.body) >= MaxAppendBytes/2 {
			entries = append(entries, entry{fromCompaction: true})
			e = &entries[len(entries)-1]
		}
		e.add(r)
		e.records++
	}
	entries[len(entries)-1].firstSegment = segment + 1
	return entries
}

// deleteCompactedSegment deletes a segment that the head no longer names, and
// ends the compaction. If the deletion fails, the key stays until Delete removes
// it with the journal.
func (w *Writer) deleteCompactedSegment(ctx context.Context, segment uint64) error {
	w.index.remove(w.index.queriedRecords)
	w.index.queriedRecords, w.index.queryPending, w.index.appendedBytes = nil, false, 0
	if err := w.waitForBudget(ctx); err != nil {
		return err
	}
	var err error
	w.beginWrite()
	w.callStore(ctx, func(ctx context.Context) {
		err = deleteKey(ctx, w.store, segmentKey(w.incarnation, segment))
	})
	w.endWrite()
	if err != nil {
		w.log.Warn("journal: compacted segment not deleted", "segment", segment, "error", err)
	}
	return nil
}
