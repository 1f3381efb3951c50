package budgeted

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/kvstore"
)

// maxWaiting bounds the calls that wait for one bucket. It is well above the
// demand of a node: about ten of its long-lived goroutines (package duty) call
// the platform, and each waits for one call at a time.
const maxWaiting = 256

// bucket is a token bucket that grants tokens to waiting calls by priority, and
// in order of arrival among calls of the same priority.
type bucket struct {
	clock clockwork.Clock
	rate  float64 // tokens a second
	burst float64

	mu           sync.Mutex
	tokens       float64
	refilled     time.Time // when tokens was last updated
	queues       [numPriorities][]*waiter
	waiting      int  // number of calls in queues
	timerRunning bool // whether a timer for the next token is running
}

type waiter struct {
	granted chan struct{} // closed with mu held
}

func newBucket(clock clockwork.Clock, rate float64) *bucket {
	burst := max(1, rate)
	return &bucket{clock: clock, rate: rate, burst: burst, tokens: burst, refilled: clock.Now()}
}

// take waits for a token. It returns kvstore.ErrRateLimited if ctx ends first
// or too many calls are waiting. The bucket has spent no token then.
func (b *bucket) take(ctx context.Context, priority Priority) error {
	w := &waiter{granted: make(chan struct{})}
	b.mu.Lock()
	if b.waiting == maxWaiting {
		b.mu.Unlock()
		return kvstore.ErrRateLimited
	}
	b.queues[priority] = append(b.queues[priority], w)
	b.waiting++
	b.grantLocked()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	b.cancelWait(priority, w)
	return kvstore.ErrRateLimited
}

// cancelWait removes a waiter whose context ended. If the waiter was granted a
// token in the meantime, cancelWait returns the token to the bucket.
func (b *bucket) cancelWait(priority Priority, w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.queues[priority] {
		if other == w {
			b.queues[priority] = append(b.queues[priority][:i], b.queues[priority][i+1:]...)
			b.waiting--
			return
		}
	}
	b.tokens++
	b.grantLocked()
}

// grantLocked refills the bucket, grants tokens to waiting calls and starts a
// timer if calls are still waiting.
func (b *bucket) grantLocked() {
	now := b.clock.Now()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.refilled).Seconds()*b.rate)
	b.refilled = now
	for b.tokens >= 1 && b.waiting > 0 {
		b.tokens--
		close(b.nextLocked().granted)
	}
	if b.waiting == 0 || b.timerRunning {
		return
	}
	b.timerRunning = true
	missing := (1 - b.tokens) / b.rate
	// The extra nanosecond covers the rounding of the division.
	wait := time.Duration(missing*float64(time.Second)) + time.Nanosecond
	b.clock.AfterFunc(wait, b.onTimer)
}

// onTimer is called when the timer fires.
func (b *bucket) onTimer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timerRunning = false
	b.grantLocked()
}

// nextLocked removes and returns the first waiter of the highest priority that
// has one. It must be called only if waiting is positive.
func (b *bucket) nextLocked() *waiter {
	for priority := range b.queues {
		if queue := b.queues[priority]; len(queue) > 0 {
			b.queues[priority] = queue[1:]
			b.waiting--
			return queue[0]
		}
	}
	panic("budgeted: waiter count is positive but all queues are empty")
}
