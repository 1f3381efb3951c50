package turnstore

import "time"

// maxArrivalMarks bounds the marks of a store; with one mark each expireInterval,
// they reach back ten minutes.
const maxArrivalMarks = 300

// arrivals tells from which cursor on the records arrived after a time. The
// store-writer goroutine owns it.
type arrivals []arrivalMark

// arrivalMark says that records from the cursor on arrived after the time.
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
