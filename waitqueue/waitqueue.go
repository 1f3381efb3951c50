// Package waitqueue decides which of the calls that wait for a place at the backend
// servers of a service goes next, which of them would be sent too late, whether a program
// may start, and when refused callers should return. It does no I/O and reads no clock;
// its caller passes the time and random numbers.
//
// It handles bursts of about twice what the servers can take: calls wait for as long as
// their callers can use the response, and the rest is refused at once.
package waitqueue

import (
	"cmp"
	"slices"
	"time"

	"dogwoodline.example/urgency"
)

const (
	// grantsPerOverdue is the number of calls that are sent in order before one is sent
	// by age, if there is one that has waited for half of the time that it can. Such a
	// call is thus sent after at most grantsPerOverdue+1 calls for itself and for each
	// that has waited longer, or refused when its caller cannot use the response any more.
	grantsPerOverdue = 16
	// maxAccounts is the number of organisations above which the accounts of those are
	// dropped that have nothing saved or owed, and no calls that wait.
	maxAccounts = 4096
)

// Entry is a call that waits.
type Entry[T any] struct {
	// Level is the priority of the call, 0 for the most urgent.
	Level int
	// Organisation sent the call; the organisations of a level are served in rotation.
	Organisation string
	// Weight is the share of the organisation in the rotation; 0 counts as 1.
	Weight  float64
	Urgency urgency.Assessment
	// StartsProgram says that no work is lost if the call is refused.
	StartsProgram bool
	Arrived       time.Time
	// Latest is when the call must be sent for its caller to use the response.
	Latest time.Time
	// Value is the call itself.
	Value T

	// The times below count from the epoch of the queue: comparing numbers is several
	// times as fast, and each decision compares up to all calls that wait.
	inTimeUntil, lateUntil, latest time.Duration
	pushed, overdueFrom            time.Duration // overdueFrom is when it has waited for half of the time that it can
}

func (e *Entry[T]) weight() float64 {
	if e.Weight <= 0 {
		return 1
	}
	return e.Weight
}

// Queue holds the calls that wait for one service. It is not safe for concurrent use.
type Queue[T any] struct {
	epoch              time.Time
	buckets            []*bucket[T]        // in order; none is empty
	accounts           map[string]*account // by organisation; one with a line has its account
	virtualTime        float64             // highest account at a grant; an idle organisation resumes at least there
	waiting            int
	grantsSinceOverdue int
	drain              drainRate
	strained           bool // calls of programs under way would be sent too late
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{accounts: map[string]*account{}} }

// Len returns the number of calls that wait.
func (q *Queue[T]) Len() int { return q.waiting }

// bucketKey orders calls: those of lost programs go last, the others by priority and
// then by what their programs can still achieve.
type bucketKey struct {
	lost  bool
	level int
	class urgency.Class
}

func (e *Entry[T]) key(now time.Duration) bucketKey {
	switch {
	case now <= e.inTimeUntil:
		return bucketKey{level: e.Level, class: urgency.InTime}
	case now <= e.lateUntil:
		return bucketKey{level: e.Level, class: urgency.Late}
	default:
		return bucketKey{lost: true, level: e.Level, class: urgency.Lost}
	}
}

func (k bucketKey) compare(other bucketKey) int {
	if k.lost != other.lost {
		if other.lost {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(k.level, other.level), cmp.Compare(k.class, other.class))
}

// bucket holds the calls of one key, by organisation.
type bucket[T any] struct {
	key   bucketKey
	lines []*line[T]
	count int
}

// line holds the calls of one organisation in a bucket, those with the least time to
// spare first.
type line[T any] struct {
	organisation string
	account      *account
	entries      []Entry[T]
}

// account is what the calls of an organisation that were sent count in the rotation.
type account struct {
	charged float64
	lines   int // that refer to it
}

// accountOf returns the account of an organisation and creates it when it is new.
func (q *Queue[T]) accountOf(organisation string) *account {
	a := q.accounts[organisation]
	if a == nil {
		a = &account{}
		q.accounts[organisation] = a
	}
	return a
}

// compareSlack orders calls of one bucket: by the time until which their programs can
// achieve what the bucket stands for, then by arrival.
func compareSlack[T any](class urgency.Class) func(a, b Entry[T]) int {
	return func(a, b Entry[T]) int {
		switch class {
		case urgency.InTime:
			return cmp.Or(a.Urgency.StartBy.Compare(b.Urgency.StartBy), a.Arrived.Compare(b.Arrived))
		case urgency.Late:
			return cmp.Or(a.Urgency.LateUntil.Compare(b.Urgency.LateUntil), a.Arrived.Compare(b.Arrived))
		default:
			return a.Arrived.Compare(b.Arrived)
		}
	}
}

// Push adds a call.
func (q *Queue[T]) Push(e Entry[T], now time.Time) {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	q.drain.observe(now, q.waiting)
	e.inTimeUntil, e.lateUntil, e.latest = q.instant(e.Urgency.InTimeUntil), q.instant(e.Urgency.LateUntil), q.instant(e.Latest)
	e.pushed = q.instant(now)
	e.overdueFrom = q.instant(e.Arrived.Add(e.Latest.Sub(e.Arrived) / 2))
	q.insert(e, q.instant(now))
	q.drain.arrived[min(max(0, e.Level), maxLevels-1)]++
	q.drain.observe(now, q.waiting)
}

// instant returns a time as the time since the epoch of the queue.
func (q *Queue[T]) instant(t time.Time) time.Duration { return t.Sub(q.epoch) }

func (q *Queue[T]) insert(e Entry[T], now time.Duration) {
	key := e.key(now)
	at, found := slices.BinarySearchFunc(q.buckets, key, func(b *bucket[T], key bucketKey) int { return b.key.compare(key) })
	if !found {
		q.buckets = slices.Insert(q.buckets, at, &bucket[T]{key: key})
	}
	b := q.buckets[at]
	i := slices.IndexFunc(b.lines, func(l *line[T]) bool { return l.organisation == e.Organisation })
	if i < 0 {
		i = len(b.lines)
		a := q.accountOf(e.Organisation)
		b.lines = append(b.lines, &line[T]{organisation: e.Organisation, account: a})
		a.charged, a.lines = max(a.charged, q.virtualTime), a.lines+1
	}
	l := b.lines[i]
	place, _ := slices.BinarySearchFunc(l.entries, e, compareSlack[T](key.class))
	l.entries = slices.Insert(l.entries, place, e)
	b.count++
	q.waiting++
}

// Pop removes and returns the call that goes next.
func (q *Queue[T]) Pop(now time.Time) (Entry[T], bool) {
	q.drain.observe(now, q.waiting)
	for q.waiting > 0 {
		b, l, i, byAge := q.next(q.instant(now))
		key := b.key
		e := q.remove(b, l, i)
		if fresh := e.key(q.instant(now)); fresh != key && !byAge {
			q.insert(e, q.instant(now)) // it has waited for so long that its program can achieve less
			continue
		}
		q.charge(e)
		q.drain.sent(e.Level, q.instant(now)-e.pushed, now)
		q.drain.observe(now, q.waiting)
		return e, true
	}
	return Entry[T]{}, false
}

// PutBack puts a call back that Pop has returned and that no free place may take.
func (q *Queue[T]) PutBack(e Entry[T], now time.Time) {
	q.accountOf(e.Organisation).charged -= 1 / e.weight()
	q.drain.count = max(0, q.drain.count-1)
	q.insert(e, q.instant(now))
	q.drain.observe(now, q.waiting)
}

// Remove removes the calls for which nobody waits any more.
func (q *Queue[T]) Remove(gone func(T) bool, now time.Time) {
	q.drain.observe(now, q.waiting)
	q.rebuild(func(e *Entry[T]) bool { return !gone(e.Value) })
	q.drain.observe(now, q.waiting)
}

// next returns where the next call is, and whether it goes next because of its age.
func (q *Queue[T]) next(now time.Duration) (inBucket *bucket[T], inLine *line[T], index int, byAge bool) {
	if q.grantsSinceOverdue >= grantsPerOverdue {
		q.grantsSinceOverdue = 0
		if b, l, i := q.oldestOverdue(now); b != nil {
			return b, l, i, true
		}
	}
	q.grantsSinceOverdue++
	b := q.buckets[0]
	best := b.lines[0]
	for _, l := range b.lines[1:] {
		if l.account.charged < best.account.charged {
			best = l
		}
	}
	return b, best, 0, false
}

// oldestOverdue returns where the call is that has waited longest, if it is overdue.
func (q *Queue[T]) oldestOverdue(now time.Duration) (inBucket *bucket[T], inLine *line[T], index int) {
	var oldest *Entry[T]
	for _, b := range q.buckets {
		for _, l := range b.lines {
			for i := range l.entries {
				if e := &l.entries[i]; now > e.overdueFrom && (oldest == nil || e.Arrived.Before(oldest.Arrived)) {
					oldest, inBucket, inLine, index = e, b, l, i
				}
			}
		}
	}
	return inBucket, inLine, index
}

// remove takes a call out.
func (q *Queue[T]) remove(b *bucket[T], l *line[T], i int) Entry[T] {
	e := l.entries[i]
	l.entries = slices.Delete(l.entries, i, i+1)
	b.count--
	q.waiting--
	if len(l.entries) == 0 {
		l.account.lines--
		b.lines = slices.DeleteFunc(b.lines, func(other *line[T]) bool { return other == l })
	}
	if b.count == 0 {
		q.buckets = slices.DeleteFunc(q.buckets, func(other *bucket[T]) bool { return other == b })
	}
	return e
}

// charge counts a sent call to its organisation's account.
func (q *Queue[T]) charge(e Entry[T]) {
	own := q.accountOf(e.Organisation)
	q.virtualTime = max(q.virtualTime, own.charged)
	own.charged += 1 / e.weight()
	if len(q.accounts) > maxAccounts {
		for name, a := range q.accounts {
			if a.charged <= q.virtualTime && a.lines == 0 {
				delete(q.accounts, name) // it would resume at the virtual time in any case
			}
		}
	}
}
