package waitqueue

import "time"

// drawInterval is how often a front takes a free slot beyond its share. What it knows of the
// other fronts is about a quarter of a second old.
const drawInterval = 20 * time.Millisecond

// Share decides whether a front may take another slot of a service whose slots many fronts
// compete for. A front may always use its share of all slots: one whose calls have ended
// would otherwise find the slots taken by those that replace each ended call by the next.
// Of the free slots beyond that, it takes one in an interval with the probability that
// there is one for it, because all fronts see the same free slots.
type Share struct {
	drawn time.Time
}

// MayTake reports whether a front may send another call. Slots and running are those of
// all fronts, own are the running calls of this front, and random is a number between 0
// and 1.
func (s *Share) MayTake(slots float64, running, own, fronts int, random float64, now time.Time) bool {
	fronts = max(1, fronts)
	free := slots - float64(running)
	switch {
	case float64(own*fronts) < slots, free >= float64(fronts):
		return true
	case now.Sub(s.drawn) < drawInterval:
		return false
	}
	s.drawn = now
	return random*float64(fronts) < free
}
