// Package ring provides a bounded first-in, first-out queue that passes items
// between goroutines.
//
// A Ring has any number of producers. It has one consumer, or several that are
// interchangeable, such as a fixed pool of workers. It never grows: TryPush
// reports a full ring, and the producer decides what becomes of the item.
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
	// ErrFull reports that the ring has no free slot.
	ErrFull = Error.New("full")
	// ErrClosed reports that the ring was closed. A producer gets it at once,
	// a consumer only after all remaining items were popped.
	ErrClosed = Error.New("closed")
)

// Ring is a bounded first-in, first-out queue, kept in a circular buffer. It is
// safe for concurrent use.
type Ring[T any] struct {
	mu     sync.Mutex
	slots  []T
	head   int // index of the oldest item
	count  int // number of queued items
	closed bool

	ready chan struct{} // holds a token while items may be queued
	space chan struct{} // holds a token while slots may be free
	done  chan struct{} // closed by Close
}

// New returns an empty ring with the given number of slots. It panics when
// capacity is below one, because a ring without slots can pass no items.
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
		signal(r.space) // space holds one token only, so wake the next waiting producer
	}
	return nil
}

// Push adds an item and waits for a free slot if the ring is full. It returns
// ErrClosed or the error of ctx when the item was not added.
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

// Pop removes the oldest item and waits for one if the ring is empty. After
// Close it returns the remaining items and then ErrClosed. It returns the error
// of ctx if ctx ends while it waits.
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

// PopBatch removes up to limit items, oldest first, appends them to dst and
// returns the extended slice. It does not wait.
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
// consumer that waits on several rings and timers in one select. One token may
// stand for several items or be stale, so after receiving it the consumer calls
// TryPop until the ring is empty.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Done returns a channel that is closed when the ring is closed.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }

// Close makes the ring refuse further items and wakes waiting producers and
// consumers. Items already in the ring can still be popped. Further calls have
// no effect.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.done)
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Cap returns the number of slots.
func (r *Ring[T]) Cap() int { return len(r.slots) }

// popLocked removes the oldest item. The caller holds r.mu.
func (r *Ring[T]) popLocked() (T, bool) {
	var zero T
	if r.count == 0 {
		return zero, false
	}
	item := r.slots[r.head]
	r.slots[r.head] = zero // lets the garbage collector free what the item references
	r.head = (r.head + 1) % len(r.slots)
	r.count--
	signal(r.space)
	if r.count > 0 {
		signal(r.ready)
	}
	return item, true
}

// signal puts a token into c unless it already holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
