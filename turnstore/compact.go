package turnstore

import (
	"errors"
	"time"

	"dogwoodline.example/turnlog"
)

const (
	// maxRewriteShare is how much of a full segment may still be live when it is
	// compacted although there is space. A quarter keeps the cost of writing records
	// twice small.
	maxRewriteShare = 0.25
	// pressureShare is the fraction of the space for records from which segments are
	// compacted whatever is live of them, as long as it is worth it.
	pressureShare = 0.7
	// worthwhileShare is the fraction of the log that has to be dead for that.
	worthwhileShare = 0.1
	// moveChunkBytes is how much is moved with one write, and moveInterval the time from
	// one such write to the next. Together they bound what compaction writes to 10 MB a
	// second, and the time for which a request waits for it to that of 256 KB.
	moveChunkBytes = 256 << 10
	moveInterval   = 25 * time.Millisecond
)

// compaction moves the live records of the oldest segment to the current one and then
// removes it. It goes on in steps between the batches of requests. Segments are removed in
// the order of their numbers only, because a settlement has to outlive its reservation.
type compaction struct {
	segment uint64
	items   []item // still to be looked at
	waiting bool   // for the reader
	begun   bool   // the fence has been written again
}

// due returns the channel of the timer while the compaction has something to do.
func (c *compaction) due(timer <-chan time.Time) <-chan time.Time {
	if c == nil || c.waiting {
		return nil
	}
	return timer
}

// moveChunk is a part of the items of a segment.
type moveChunk struct {
	segment uint64
	moves   []move
	err     error // of the reader, other than a record that is damaged
}

// move is an item that is moved. The reader sets the payload if it is a cold turn.
type move struct {
	item    item
	at      turnlog.Position
	expires int64
	payload []byte
	lost    bool // the log does not have the record any more
}

// removedSegment is the outcome of deleting the file of a segment.
type removedSegment struct {
	number uint64
	err    error
}

// expireAndCompact drops expired records and starts to compact the oldest segment if that
// is due.
func (s *Server) expireAndCompact(now time.Time) {
	s.state.expire(now)
	s.updateGauges()
	s.startCompaction()
}

func (s *Server) startCompaction() {
	segment, _, ok := s.turnLog.OldestSegment()
	if !ok || s.compaction != nil {
		return
	}
	if live := s.state.use.bySegment[segment]; live <= int64(maxRewriteShare*float64(s.bounds.segment)) || s.underPressure() {
		s.compaction = &compaction{segment: segment, items: s.state.liveThrough(segment)}
	}
}

// underPressure reports whether the log takes much of its space, and enough of it is dead.
func (s *Server) underPressure() bool {
	size := float64(s.turnLog.Size())
	return s.bounds.records > 0 && size > pressureShare*float64(s.bounds.records) && float64(s.state.use.total) < (1-worthwhileShare)*size
}

// continueCompaction hands the next chunk of live records to the reader, or the segment
// once it has none left.
func (s *Server) continueCompaction() {
	c := s.compaction
	chunk := &moveChunk{segment: c.segment}
	count, size := 0, 0
	for _, i := range c.items {
		count++
		at := i.location().at
		if i.location().gone || at.Segment == 0 || at.Segment > c.segment {
			continue
		}
		m := move{item: i, at: at}
		if record := i.encode(); record != nil {
			m.payload = encodeRecord(record)
		} else {
			m.expires = i.(*turn).expires
		}
		chunk.moves = append(chunk.moves, m)
		if size += int(at.Length); size >= moveChunkBytes {
			break
		}
	}
	job := readJob{chunk: chunk}
	if len(chunk.moves) == 0 && c.begun {
		if s.state.use.bySegment[c.segment] > 0 || len(s.unwritten) > 0 {
			s.compaction = nil // a write has failed; tried again later
			return
		}
		job = readJob{remove: c.segment}
	}
	if s.reads.TryPush(job) == nil {
		c.items, c.waiting = c.items[count:], true
	}
}

// readChunk reads the cold turns of a chunk.
func (s *Server) readChunk(chunk *moveChunk) {
	for i := range chunk.moves {
		m := &chunk.moves[i]
		if m.payload != nil {
			continue
		}
		content, err := s.readTurn(m.at, m.item.(*turn).id)
		switch {
		case errors.Is(err, turnlog.ErrNotReadable):
			m.lost = true
		case err != nil:
			chunk.err = err
			return
		default:
			content.ExpiresUnixMs = max(content.ExpiresUnixMs, m.expires)
			m.payload = encodeRecord(turnOf(content))
		}
	}
}

// writeMoved adds the records of a chunk that are still live in their segment to those
// that are written next. The fence, which no segment has to keep, goes with the first.
func (s *Server) writeMoved(chunk *moveChunk, pending []pendingRecord) []pendingRecord {
	c := s.compaction
	if chunk.err != nil {
		s.log.Error("turnstore: live records of a segment not read", "segment", chunk.segment, "error", chunk.err)
		s.compaction = nil
		return pending
	}
	c.waiting = false
	if !c.begun {
		c.begun = true
		if s.state.fence > 0 {
			pending = append(pending, pendingRecord{payload: encodeRecord(fenceRecord(s.state.fence))})
		}
	}
	lost := 0
	for _, m := range chunk.moves {
		switch t, isTurn := m.item.(*turn); {
		case m.item.location().gone || m.item.location().at != m.at:
		case m.lost && isTurn:
			s.state.loseTurn(t)
			lost++
		default:
			pending = append(pending, pendingRecord{m.payload, m.item})
		}
	}
	if lost > 0 {
		s.log.Error("turnstore: turns are damaged on this disk, to be copied from others", "segment", chunk.segment, "turns", lost)
	}
	return pending
}

// finishCompaction takes a segment off the log whose file was deleted.
func (s *Server) finishCompaction(removed *removedSegment) {
	s.compaction = nil
	if removed.err != nil {
		s.log.Error("turnstore: segment not removed", "segment", removed.number, "error", removed.err)
		return
	}
	s.turnLog.ForgetOldestSegment()
	s.state.removeSegment(removed.number)
	if s.underPressure() {
		s.startCompaction()
	}
}
