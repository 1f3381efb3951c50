package turnstore

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// expireAndCompact drops expired records. If few records of the oldest segment
// are still live, it appends those to the log again and removes the segment.
func (s *Server) expireAndCompact(now time.Time) {
	s.state.expire(now)
	s.updateGauges()
	segment, ok := s.turnLog.OldestSegment()
	if !ok {
		return
	}
	live := s.state.liveThrough(segment)
	size := 0
	for _, record := range live {
		size += proto.Size(record)
	}
	if size > maxRewriteBytes {
		return
	}
	payloads := make([][]byte, 0, len(live))
	for _, record := range live {
		payloads = append(payloads, encodeRecord(record))
	}
	if len(payloads) > 0 {
		if err := s.turnLog.Append(payloads); err != nil {
			s.log.Error("turnstore: live records of a segment not rewritten", "segment", segment, "error", err)
			return
		}
		s.state.moveTo(s.turnLog.CurrentSegment(), segment)
	}
	if err := s.turnLog.RemoveOldestSegment(); err != nil {
		s.log.Error("turnstore: segment not removed", "segment", segment, "error", err)
	}
}

// maxRewriteBytes is how much of a segment may still be live when it is
// compacted. A quarter of a segment keeps the cost of writing records twice
// small.
const maxRewriteBytes = 2 << 20
