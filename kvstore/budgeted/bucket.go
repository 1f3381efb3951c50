package budgeted

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/kvstore"
)

// maxWaiting bounds the calls that wait for one bucket. A node has some ten
// duties that call the platform, and each waits for one call.
const maxWaiting = 256

// bucket is a token bucket that serves waiting calls by priority, and in the
// order of arrival within one.
type bucket struct {
	clock     clockwork.Clock
	perSecond float64
	burst     float64

	mu      sync.Mutex
	tokens  float64
	filled  time.Time // when tokens was last brought up to date
	waiting [priorities][]*waiter
	count   int
	armed   bool // a timer for the next token runs
}

type waiter struct {
	granted chan struct{} // closed with mu held
}

func newBucket(clock clockwork.Clock, perSecond float64) *bucket {
	burst := max(1, perSecond)
	return &bucket{clock: clock, perSecond: perSecond, burst: burst, tokens: burst, filled: clock.Now()}
}

// take waits for a token. It returns kvstore.ErrRateLimited when ctx ends or
// too many calls wait; the call had no effect then.
func (b *bucket) take(ctx context.Context, priority Priority) error {
	self := &waiter{granted: make(chan struct{})}
	b.mu.Lock()
	if b.count == maxWaiting {
		b.mu.Unlock()
		return kvstore.ErrRateLimited
	}
	b.waiting[priority] = append(b.waiting[priority], self)
	b.count++
	b.serveLocked()
	b.mu.Unlock()
	select {
	case <-self.granted:
		return nil
	case <-ctx.Done():
	}
	b.withdraw(priority, self)
	return kvstore.ErrRateLimited
}

// withdraw removes a waiter whose context ended, or returns its token.
func (b *bucket) withdraw(priority Priority, self *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting[priority] {
		if other == self {
			b.waiting[priority] = append(b.waiting[priority][:i], b.waiting[priority][i+1:]...)
			b.count--
			return
		}
	}
	b.tokens++
	b.serveLocked()
}

// serveLocked hands out tokens and sets a timer when calls still wait.
func (b *bucket) serveLocked() {
	now := b.clock.Now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.filled).Seconds()*b.perSecond)
	b.filled = now
	for b.tokens >= 1 && b.count > 0 {
		b.tokens--
		close(b.nextLocked().granted)
	}
	if b.count == 0 || b.armed {
		return
	}
	b.armed = true
	missing := (1 - b.tokens) / b.perSecond
	// The nanosecond covers the rounding of the division.
	wait := time.Duration(missing*float64(time.Second)) + time.Nanosecond
	b.clock.AfterFunc(wait, b.serve)
}

func (b *bucket) serve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.armed = false
	b.serveLocked()
}

// nextLocked removes the first waiter of the highest priority. The caller
// made sure that one waits.
func (b *bucket) nextLocked() *waiter {
	for priority := range b.waiting {
		if queue := b.waiting[priority]; len(queue) > 0 {
			b.waiting[priority] = queue[1:]
			b.count--
			return queue[0]
		}
	}
	panic("budgeted: waiting calls are miscounted")
}
