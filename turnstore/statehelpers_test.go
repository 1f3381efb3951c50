package turnstore

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/turnlog"
	"dogwoodline.example/turnstore/turnpb"
)

// applyIn adds a record to a state as if the log had it in a segment, and reports whether
// it is new.
func applyIn(s *state, record *turnpb.Record, segment uint64) bool {
	item, added := s.apply(record)
	if added && item != nil {
		s.place(item, turnlog.Position{Segment: segment, Length: 1})
	}
	return added
}

// moveTo moves all live items up to the end of a segment to the current one.
func moveTo(s *state, current, segment uint64) {
	for _, i := range s.liveThrough(segment) {
		s.place(i, turnlog.Position{Segment: current, Length: 1})
	}
}

// pageOf returns a page whose contents are all in memory.
func pageOf(s *state, cursor uint64, limit int, omitContent bool) ([]*turnpb.Record, uint64, bool) {
	GinkgoHelper()
	var cold coldTurns
	records, next, done := s.page(cursor, limit, omitContent, &cold)
	Expect(cold).To(BeEmpty())
	return records, next, done
}

// chainOf returns a conversation whose contents are all in memory.
func chainOf(s *state, id string) *turnpb.Chain {
	GinkgoHelper()
	var cold coldTurns
	chain := s.chain(id, &cold)
	Expect(cold).To(BeEmpty())
	return chain
}

// encodedThrough returns the records that a compaction up to a segment writes again.
func encodedThrough(s *state, segment uint64) (records []*turnpb.Record) {
	for _, i := range s.liveThrough(segment) {
		records = append(records, i.encode())
	}
	return records
}
