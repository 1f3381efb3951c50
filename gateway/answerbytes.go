package gateway

import (
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// errAnswerBytes reports that an answer was given up because the answers in
// progress take all the memory that is set aside for them.
var errAnswerBytes = errs.New("the memory for answers is used up")

const (
	// uncountedAnswerBytes is how much each answer may hold without being counted.
	// Answers without errors are shorter, so they never depend on the budget.
	uncountedAnswerBytes = 16 << 10
	// firstReadBytes is the size of the first buffer for a body.
	firstReadBytes = 2 << 10
)

// answerBudget bounds the bytes that the answers of all calls hold in memory. If
// an answer needs more than is left, the answer that holds most is given up: one
// that a backend server sends without end does not take the memory of others.
type answerBudget struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	holders map[*answerBytes]struct{}
	stopped int // answers given up so far
}

func newAnswerBudget(limit int64) *answerBudget {
	return &answerBudget{limit: limit, holders: map[*answerBytes]struct{}{}}
}

// counts returns the bytes held now and the number of answers given up so far.
func (b *answerBudget) counts() (used int64, stopped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.stopped
}

// answerBytes counts the bytes of the answer to one request against the budget.
// The budget's lock guards its fields.
type answerBytes struct {
	budget *answerBudget
	held   int64
	stop   func() // ends the exchange that the answer arrives on; nil if none is in progress
	over   bool   // the answer was given up
	closed bool   // the request has ended
}

// begin starts to count the answer that arrives on an exchange. The caller calls
// end before the exchange is closed.
func (a *answerBytes) begin(stop func()) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.stop, a.over = stop, false
}

// end states that the exchange is over. The bytes of a complete answer are held
// until the request ends. It reports whether the answer was given up.
func (a *answerBytes) end(complete bool) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.stop = nil
	if !complete {
		a.budget.add(a, -a.held)
	}
	return a.over
}

// close states that the request has ended and uncounts all bytes.
func (a *answerBytes) close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.closed = true
	a.budget.add(a, -a.held)
}

// grow counts further bytes. It reports false if the answer is given up or the
// request has ended.
func (a *answerBytes) grow(count int) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.over || a.closed {
		return false
	}
	b.add(a, int64(count))
	for b.used > b.limit && !a.over {
		largest := a
		for other := range b.holders {
			if other.stop != nil && other.held > largest.held {
				largest = other
			}
		}
		b.giveUp(largest)
	}
	return !a.over
}

// shrink uncounts bytes that are no longer held.
func (a *answerBytes) shrink(count int) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.over {
		a.budget.add(a, -int64(count))
	}
}

// add changes what an answer holds. Only the part above uncountedAnswerBytes
// counts.
func (b *answerBudget) add(a *answerBytes, change int64) {
	counted := max(0, a.held-uncountedAnswerBytes)
	a.held = max(0, a.held+change)
	b.used += max(0, a.held-uncountedAnswerBytes) - counted
	if a.held > uncountedAnswerBytes {
		b.holders[a] = struct{}{}
	} else {
		delete(b.holders, a)
	}
}

func (b *answerBudget) giveUp(a *answerBytes) {
	a.over = true
	b.stopped++
	b.add(a, -a.held)
	if a.stop != nil {
		a.stop()
	}
}

// readBody reads a body of at most limit bytes.
func (a *answerBytes) readBody(from io.Reader, limit int) ([]byte, error) {
	var body []byte
	for size := firstReadBytes; ; size = 2 * len(body) {
		grown := make([]byte, len(body), size)
		if !a.grow(size - cap(body)) {
			return nil, errAnswerBytes
		}
		copy(grown, body)
		body = grown
		for len(body) < cap(body) {
			count, err := from.Read(body[len(body):cap(body)])
			body = body[:len(body)+count]
			switch {
			case len(body) > limit:
				return nil, errs.New("the body has more than %d bytes", limit)
			case err == io.EOF:
				return body, nil
			case err != nil:
				return nil, err
			}
		}
	}
}
