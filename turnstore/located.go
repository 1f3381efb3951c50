package turnstore

import (
	"dogwoodline.example/turnlog"
	"dogwoodline.example/turnstore/turnpb"
)

// located is the part of a live item that says where the log has it.
type located struct {
	at   turnlog.Position // segment 0 until it is written
	gone bool             // it has expired or was replaced
}

func (l *located) location() *located { return l }

// item is what a store holds of one record.
type item interface {
	location() *located
	// encode returns the record in its current form, or nil if memory lacks its content.
	encode() *turnpb.Record
	// appliedAt reports whether the item arrived, or was last replaced, at a cursor.
	appliedAt(cursor uint64) bool
}

// logUse counts the bytes of live records, so that the segments that are worth compacting
// are found without a look at each record.
type logUse struct {
	bySegment map[uint64]int64
	total     int64
}

// place records that the log has the current form of an item at a position. An earlier
// form is no longer live.
func (u *logUse) place(i item, at turnlog.Position) {
	l := i.location()
	if l.gone {
		return
	}
	u.unplace(l)
	l.at = at
	u.add(at.Segment, int64(at.Length))
}

// drop records that an item is gone.
func (u *logUse) drop(i item) {
	u.unplace(i.location())
	i.location().gone = true
}

func (u *logUse) unplace(l *located) {
	if l.at.Segment != 0 {
		u.add(l.at.Segment, -int64(l.at.Length))
		l.at = turnlog.Position{}
	}
}

func (u *logUse) add(segment uint64, bytes int64) {
	u.total += bytes
	u.bySegment[segment] += bytes
	if u.bySegment[segment] == 0 {
		delete(u.bySegment, segment)
	}
}
