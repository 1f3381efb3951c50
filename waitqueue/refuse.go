package waitqueue

import (
	"slices"
	"time"
)

// unknownWait is taken for the wait behind other calls if no call could be sent for as
// long as the rate is averaged.
const unknownWait = 4 * drainMemory

// strainMargin is how many times its expected wait a call of a program under way must be
// able to wait for further programs to start. With 1, a burst of urgent work alone made
// 12 of 100 other programs fail midway; with 4 it was 5.
const strainMargin = 4

// Refused is a call that would be sent too late.
type Refused[T any] struct {
	Entry[T]
	// Wait is when it would have been sent, as far as that is known.
	Wait time.Duration
}

// waitBehind returns the expected time until a call of a priority is sent that others go
// before; 0 if it is not known. More urgent calls that arrive meanwhile go first.
func (q *Queue[T]) waitBehind(calls, level int) time.Duration {
	return min(time.Duration(calls)*q.spacing(level), unknownWait)
}

// spacing returns the expected time from one call of a priority to the next; 0 if it is
// not known.
func (q *Queue[T]) spacing(level int) time.Duration {
	rate, known := q.drain.perSecond(level)
	if !known {
		return 0
	}
	return time.Duration(float64(time.Second) / max(rate, 1/unknownWait.Seconds()))
}

// Refuse removes and returns the calls that would be sent too late. Calls that start
// programs are refused first, the least urgent priority first, as long as that lets
// others be sent in time: refusing a call of a program under way discards its work.
func (q *Queue[T]) Refuse(now time.Time) []Refused[T] {
	q.drain.observe(now, q.waiting)
	instant := q.instant(now)
	q.rearrange(instant)
	late, underWay := q.tooLate(instant)
	var refused []Refused[T]
	for starts := q.startsFromEnd(); underWay > 0 && len(starts) > 0; {
		n := min(underWay, len(starts))
		for _, e := range starts[:n] {
			refused = append(refused, Refused[T]{Entry: *e, Wait: q.waitBehind(q.waiting, e.Level)})
		}
		q.discard(starts[:n])
		starts = q.startsFromEnd()
		late, underWay = q.tooLate(instant)
	}
	for _, p := range late {
		refused = append(refused, Refused[T]{Entry: *p.entry, Wait: p.wait})
	}
	discard := make([]*Entry[T], 0, len(late))
	for _, p := range late {
		discard = append(discard, p.entry)
	}
	q.discard(discard)
	q.drain.observe(now, q.waiting)
	return refused
}

type latePlace[T any] struct {
	entry *Entry[T]
	wait  time.Duration
}

// tooLate returns the calls that would be sent too late, and how many of them belong to
// programs under way.
func (q *Queue[T]) tooLate(now time.Duration) (late []latePlace[T], underWay int) {
	ahead := 0
	var spacing [maxLevels + 1]time.Duration // between calls of each priority, as expected
	for level := range spacing {
		spacing[level] = q.spacing(level)
	}
	q.strained = false
	for _, b := range q.buckets {
		longest := 0
		for _, l := range b.lines {
			longest = max(longest, len(l.entries))
		}
		for i := range longest { // in rotation
			for _, l := range b.lines {
				if i >= len(l.entries) {
					continue
				}
				e := &l.entries[i]
				wait := min(time.Duration(ahead)*spacing[min(e.Level, maxLevels)], unknownWait)
				if !e.StartsProgram && !b.key.lost && now+strainMargin*wait > e.latest {
					q.strained = true
				}
				if now+wait <= e.latest {
					ahead++
					continue
				}
				late = append(late, latePlace[T]{entry: e, wait: wait})
				if !e.StartsProgram && !b.key.lost {
					underWay++
				}
			}
		}
	}
	return late, underWay
}

// startsFromEnd returns the waiting calls that start programs, the least urgent first.
func (q *Queue[T]) startsFromEnd() []*Entry[T] {
	var starts []*Entry[T]
	for _, b := range slices.Backward(q.buckets) {
		for _, l := range b.lines {
			for i := range slices.Backward(l.entries) {
				if l.entries[i].StartsProgram {
					starts = append(starts, &l.entries[i])
				}
			}
		}
	}
	return starts
}

// discard removes calls.
func (q *Queue[T]) discard(entries []*Entry[T]) {
	if len(entries) == 0 {
		return
	}
	gone := map[*Entry[T]]bool{}
	for _, e := range entries {
		gone[e] = true
	}
	q.rebuild(func(e *Entry[T]) bool { return !gone[e] })
}

// rebuild keeps the calls for which keep reports true.
func (q *Queue[T]) rebuild(keep func(*Entry[T]) bool) {
	q.waiting = 0
	for _, b := range q.buckets {
		b.count = 0
		for _, l := range b.lines {
			kept := 0
			for i := range l.entries {
				if !keep(&l.entries[i]) {
					continue
				}
				if kept != i {
					l.entries[kept] = l.entries[i]
				}
				kept++
			}
			clear(l.entries[kept:])
			l.entries = l.entries[:kept]
			b.count += kept
		}
		b.lines = slices.DeleteFunc(b.lines, func(l *line[T]) bool {
			if len(l.entries) > 0 {
				return false
			}
			l.account.lines--
			return true
		})
		q.waiting += b.count
	}
	q.buckets = slices.DeleteFunc(q.buckets, func(b *bucket[T]) bool { return b.count == 0 })
}

// rearrange puts the calls in order whose programs can achieve less than when they were
// put into the queue.
func (q *Queue[T]) rearrange(now time.Duration) {
	var moved []Entry[T]
	for _, b := range q.buckets {
		for _, l := range b.lines {
			for i := range l.entries {
				if l.entries[i].key(now) != b.key {
					moved = append(moved, l.entries[i])
				}
			}
		}
	}
	if len(moved) == 0 {
		return
	}
	for _, b := range q.buckets {
		key := b.key
		for _, l := range b.lines {
			l.entries = slices.DeleteFunc(l.entries, func(e Entry[T]) bool { return e.key(now) != key })
		}
	}
	q.rebuild(func(*Entry[T]) bool { return true })
	for _, e := range moved {
		q.insert(e, now)
	}
}
