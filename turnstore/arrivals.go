package turnstore

import (
	"time"

	"dogwoodline.example/turnstore/turnpb"
)

const (
	// clockInterval is the least time between two marks of a store, in memory and in its
	// log. There are marks only while records arrive.
	clockInterval = time.Second
	// maxArrivalMarks bounds the marks of a store, to those of ten minutes or more.
	maxArrivalMarks = 600
)

// arrivals tells from which cursor on the records arrived after a time. The
// store-writer goroutine owns it.
type arrivals []arrivalMark

// arrivalMark says that records from the cursor on arrived after the time. In the marks
// from before a start it is a time of day, which may be a little off.
type arrivalMark struct {
	at     time.Time
	cursor uint64
}

// mark records the cursor of the next record that arrives.
func (a *arrivals) mark(now time.Time, cursor uint64) {
	*a = append(*a, arrivalMark{now, cursor})
	if len(*a) > maxArrivalMarks {
		*a = (*a)[1:]
	}
}

// due reports whether it is time for another mark.
func (a arrivals) due(now time.Time) bool { return len(a) == 0 || now.Sub(a.last()) >= clockInterval }

// last returns the time of the newest mark, or zero if there is none.
func (a arrivals) last() time.Time {
	if len(a) == 0 {
		return time.Time{}
	}
	return a[len(a)-1].at
}

// since returns a cursor before which no record arrived after the given time. It is 0
// if the marks do not reach back so far.
func (a arrivals) since(at time.Time) uint64 {
	for i := len(a) - 1; i >= 0; i-- {
		if !a[i].at.After(at) {
			return a[i].cursor
		}
	}
	return 0
}

// stampClock adds the time before records that arrived in this batch, from the cursor
// on, if the last time in the log is old. After a restart, the store knows by it since
// when it may have missed records, and which of its own arrived when.
func (s *Server) stampClock(payloads []pendingRecord, cursor uint64, now time.Time) []pendingRecord {
	if !s.state.arrivals.due(now) {
		return payloads
	}
	s.state.arrivals.mark(now, cursor)
	clock := &turnpb.Record{Kind: &turnpb.Record_Clock{Clock: &turnpb.Clock{UnixMs: now.UnixMilli()}}}
	return append([]pendingRecord{{payload: encodeRecord(clock)}}, payloads...)
}
