// Package ring provides the bounded queue that joins two duties.
//
// A Ring has any number of producers. It has one consumer, or several that do
// the same duty, such as a fixed pool of callers. It never grows: a full ring is reported to the producer, which turns it into an outcome.
// Waiting uses channels, so no goroutine spins, and a steady flow of items
// allocates nothing.
package ring

import (
	"context"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ring")

var (
	// ErrFull reports that the ring holds as many items as it can.
	ErrFull = Error.New("full")
	// ErrClosed reports that the ring takes no more items, or that it is
	// closed and drained.
	ErrClosed = Error.New("closed")
)

// Ring is a bounded first-in, first-out queue between duties.
type Ring[T any] struct {
	mu     sync.Mutex
	slots  []T
	head   int
	count  int
	closed bool

	ready chan struct{} // holds a token while items may be waiting
	space chan struct{} // holds a token while slots may be free
	done  chan struct{} // closed by Close
}

// New returns an empty ring with the given number of slots. It panics when
// capacity is below one, because a ring without slots can join nothing.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity must be at least 1")
	}
	return &Ring[T]{
		slots: make([]T, capacity),
		ready: make(chan struct{}, 1),
		space: make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
}

// TryPush adds an item without waiting. It returns ErrFull or ErrClosed when
// the item was not added.
func (r *Ring[T]) TryPush(item T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if r.count == len(r.slots) {
		return ErrFull
	}
	r.slots[(r.head+r.count)%len(r.slots)] = item
	r.count++
	signal(r.ready)
	if r.count < len(r.slots) {
		signal(r.space) // passes the wake-up on to another waiting producer
	}
	return nil
}

// Push adds an item and waits for a free slot. It returns ErrClosed, or the
// context's error, when the item was not added.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	for {
		err := r.TryPush(item)
		if err != ErrFull { //nolint:errorlint // TryPush returns the sentinel itself
			return err
		}
		select {
		case <-r.space:
		case <-r.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TryPop removes the oldest item without waiting. The second result is false
// when the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.popLocked()
}

// Pop removes the oldest item and waits for one. After Close it returns the
// remaining items and then ErrClosed.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		r.mu.Lock()
		item, ok := r.popLocked()
		closed := r.closed
		r.mu.Unlock()
		if ok {
			return item, nil
		}
		if closed {
			return item, ErrClosed
		}
		select {
		case <-r.ready:
		case <-r.done:
		case <-ctx.Done():
			return item, ctx.Err()
		}
	}
}

// PopBatch appends up to limit waiting items to dst and returns it. It does
// not wait.
func (r *Ring[T]) PopBatch(dst []T, limit int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range limit {
		item, ok := r.popLocked()
		if !ok {
			break
		}
		dst = append(dst, item)
	}
	return dst
}

// Ready returns a channel that holds a token after items were added, for a
// consumer that waits on several rings and timers in one select. A token may
// be stale, so the consumer follows it with TryPop until the ring is empty.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Done returns a channel that is closed when the ring is closed.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }

// Close refuses further items. Items already in the ring can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.done)
}

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Cap returns the number of slots.
func (r *Ring[T]) Cap() int { return len(r.slots) }

func (r *Ring[T]) popLocked() (T, bool) {
	var zero T
	if r.count == 0 {
		return zero, false
	}
	item := r.slots[r.head]
	r.slots[r.head] = zero // lets the garbage collector free what the item refers to
	r.head = (r.head + 1) % len(r.slots)
	r.count--
	signal(r.space)
	if r.count > 0 {
		signal(r.ready)
	}
	return item, true
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
