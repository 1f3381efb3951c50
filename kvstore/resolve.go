package kvstore

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// resolveFirstWait and resolveLongestWait bound the pauses between
	// attempts to reach the store again. The longest one costs each waiting
	// writer half a read a second during an outage.
	resolveFirstWait   = 50 * time.Millisecond
	resolveLongestWait = 2 * time.Second
)

// Resolver finds out whether a write whose answer was lost took effect.
type Resolver struct {
	Store Store
	Clock clockwork.Clock
}

// PutResolved is Resolver.Put with real time.
func PutResolved(ctx context.Context, store Store, key string, value []byte, expected Version, lease LeaseID) (Version, error) {
	resolver := Resolver{Store: store, Clock: clockwork.NewRealClock()}
	return resolver.Put(ctx, key, value, expected, lease)
}

// Put writes like Store.Put. When the answer is lost it reads the key back and
// repeats the same compare-and-swap until the result is definite or ctx ends.
// The value must contain a nonce of the writer, so that no other writer's
// value is equal to it.
//
// A success means that the write took effect, even when it was overwritten
// since. ErrConflict means that it did not and never will. ErrAmbiguous means
// that ctx ended first, or that the key moved on and the store no longer holds
// the changes in between.
func (r Resolver) Put(ctx context.Context, key string, value []byte, expected Version, lease LeaseID) (Version, error) {
	version, err := r.Store.Put(ctx, key, value, expected, lease)
	if !errors.Is(err, ErrAmbiguous) {
		return version, err
	}
	for wait := resolveFirstWait; ; wait = min(2*wait, resolveLongestWait) {
		version, err = r.readBack(ctx, key, value, expected)
		if errors.Is(err, errNotApplied) {
			// The first write may still be on its way. The repetition has the
			// same expected version, so at most one of them takes effect.
			version, err = r.Store.Put(ctx, key, value, expected, lease)
			if errors.Is(err, ErrConflict) {
				continue
			}
		}
		if isDefinite(err) {
			return version, err
		}
		if !r.sleep(ctx, wait) {
			return 0, ErrAmbiguous
		}
	}
}

var (
	// errNotApplied reports that the key still has the expected version.
	errNotApplied = Error.New("write not applied yet")
	// errUndecidable reports that the store dropped the changes that would
	// tell whether the write took effect.
	errUndecidable = Error.New("changes dropped: %w", ErrAmbiguous)
)

// isDefinite reports whether further attempts cannot change the result.
func isDefinite(err error) bool {
	switch {
	case errors.Is(err, errUndecidable):
		return true
	case errors.Is(err, ErrAmbiguous), errors.Is(err, ErrUnavailable), errors.Is(err, ErrRateLimited):
		return false
	}
	return true
}

func (r Resolver) readBack(ctx context.Context, key string, value []byte, expected Version) (Version, error) {
	item, err := r.Store.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		item, err = Item{}, nil // Version is Absent
	}
	switch {
	case err != nil:
		return 0, err
	case item.Version != Absent && bytes.Equal(item.Value, value):
		return item.Version, nil
	case item.Version == expected, expected == AnyVersion:
		return 0, errNotApplied
	}
	return r.findInHistory(ctx, key, value, expected, item.Version)
}

// findInHistory decides about a key that moved on: either the write took
// effect and was overwritten, or another write came first.
func (r Resolver) findInHistory(ctx context.Context, key string, value []byte, expected, current Version) (Version, error) {
	events, _, err := r.Store.Watch(ctx, key, expected, 0)
	if errors.Is(err, ErrCompacted) {
		return 0, errUndecidable
	}
	if err != nil {
		return 0, err
	}
	for _, event := range events {
		if event.Key == key && !event.Deleted && bytes.Equal(event.Value, value) {
			return event.Version, nil
		}
	}
	return current, ErrConflict
}

func (r Resolver) sleep(ctx context.Context, wait time.Duration) bool {
	timer := r.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
