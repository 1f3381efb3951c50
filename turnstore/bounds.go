package turnstore

import (
	"log/slog"
	"time"

	"dogwoodline.example/turnlog"
)

const (
	// indexShare is the fraction of the process's memory that the index may use.
	// memoryShare is that of the index and the hot contents of turns together, and
	// minHotShare what the contents may use however large the index is. The Go runtime
	// may use 0.7 of the memory; it collects ever more often as what is kept nears that.
	indexShare  = 0.5
	memoryShare = 0.4
	minHotShare = 0.05
	// diskShare is the fraction of the disk that the log may use. The rest is for the file
	// system's own use and for a last write that is larger than was expected.
	diskShare = 0.92
	// moveReserve is the part of the log's space that is left for compaction: the live
	// records of a segment are written again before the segment is removed. It is at most
	// moveReserveShare of the space, for small disks.
	moveReserve      = 24 << 20
	moveReserveShare = 0.125
	// minSegments is how many segments a full log has at least. On small disks they are
	// smaller than elsewhere, so that moveReserve has room for one.
	minSegments = 16
	// liveShare is the fraction of the space for records up to which live ones may fill
	// it. Beyond, compaction would have to write more than five bytes for each byte that
	// it frees.
	liveShare = 0.85
	// almostFullLog is the fraction of the space for records from which the size of the
	// log counts for the fullness, whatever is live of it.
	almostFullLog = 0.95
)

// Limits are the resources that a store may use. A zero means that the limit is not known.
type Limits struct {
	MemoryBytes int64
	DiskBytes   int64
}

// bounds are the limits of a store's parts, in bytes.
type bounds struct {
	index   int64 // of the records in memory without contents of turns
	memory  int64 // of all records in memory, unless the index alone is nearly as large
	minHot  int64 // of the contents of turns in memory
	records int64 // size of the log from which records are refused; 0 for none
	segment int64 // size at which a new segment is started
}

func (l Limits) bounds() bounds {
	space := int64(diskShare * float64(l.DiskBytes))
	b := bounds{
		index: int64(indexShare * float64(l.MemoryBytes)), memory: int64(memoryShare * float64(l.MemoryBytes)), minHot: int64(minHotShare * float64(l.MemoryBytes)),
		records: space - min(moveReserve, int64(moveReserveShare*float64(space))), segment: turnlog.SegmentBytes,
	}
	if b.records > 0 {
		b.segment = min(b.segment, b.records/minSegments)
	}
	return b
}

// evict keeps the hot contents within the memory that the index leaves.
func (s *Server) evict() { s.state.hot.evict(max(s.bounds.minHot, s.bounds.memory-s.state.bytes)) }

// full reports whether there is no room for records besides those that are about to be
// written.
func (s *Server) full(pendingBytes int64) bool {
	return s.state.bytes > s.bounds.index || s.bounds.records > 0 && s.turnLog.Size()+pendingBytes > s.bounds.records
}

// refuses reports whether no further records are taken: there is no room for them, or the
// disk has refused writes for long, so that those in memory have to stay bounded.
func (s *Server) refuses(pending []pendingRecord) bool {
	for _, p := range pending[s.pendingCounted:] {
		s.pendingBytes += int64(len(p.payload))
	}
	s.pendingCounted = len(pending)
	if !s.diskRefuses && !s.full(s.pendingBytes) {
		return false
	}
	s.refusals.count++
	return true
}

// fullness returns how much of what this store can keep is used, by disk or by memory,
// whichever is fuller. What compaction can free does not count as used.
func (s *Server) fullness() (used, limit uint64) {
	type fill struct{ used, limit float64 }
	fills := []fill{{float64(s.state.bytes), float64(s.bounds.index)}}
	if s.bounds.records > 0 {
		records, size := float64(s.bounds.records), float64(s.turnLog.Size())
		fills = append(fills, fill{float64(s.state.use.total), liveShare * records})
		if size > almostFullLog*records {
			fills = append(fills, fill{size, records})
		}
	}
	fullest := fills[0]
	for _, f := range fills[1:] {
		if f.used*fullest.limit > fullest.used*f.limit {
			fullest = f
		}
	}
	return uint64(fullest.used), uint64(fullest.limit)
}

// throttledLog counts events of one kind between two lines about them.
type throttledLog struct {
	count int
	last  time.Time
}

// throttleInterval is the least time between two lines about events of one kind.
const throttleInterval = time.Second

// due returns the number of events since the last line, if it is time for another.
func (t *throttledLog) due(now time.Time) (count int, ok bool) {
	if t.count == 0 || now.Sub(t.last) < throttleInterval {
		return 0, false
	}
	count, t.count, t.last = t.count, 0, now
	return count, true
}

// reportRefusals logs how many requests with records were refused, at most once a second.
func (s *Server) reportRefusals(now time.Time) {
	if count, ok := s.refusals.due(now); ok {
		s.log.Error("turnstore: records refused, limit reached", "requests", count, "index_bytes", s.state.bytes, "index_limit", s.bounds.index,
			slog.Group("log", "bytes", s.turnLog.Size(), "live_bytes", s.state.use.total, "limit", s.bounds.records), "unwritten", len(s.unwritten))
	}
}
