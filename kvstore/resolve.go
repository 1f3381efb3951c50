package kvstore

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// resolveInitialBackoff and resolveMaxBackoff bound the pauses between
	// attempts to resolve a write. At the longest pause each waiting writer
	// sends half a read a second during an outage of the store.
	resolveInitialBackoff = 50 * time.Millisecond
	resolveMaxBackoff     = 2 * time.Second
)

// Resolver writes to a store and finds out whether a write whose response was
// lost took effect.
type Resolver struct {
	Store Store
	Clock clockwork.Clock
}

// PutResolved is Resolver.Put with the real clock.
func PutResolved(ctx context.Context, store Store, key string, value []byte, expected Version, lease LeaseID) (Version, error) {
	resolver := Resolver{Store: store, Clock: clockwork.NewRealClock()}
	return resolver.Put(ctx, key, value, expected, lease)
}

// Put writes like Store.Put. If the response is lost, it reads the key back and
// repeats the same compare-and-swap until the result is definite or ctx ends.
// The value must contain a nonce of the writer, so that no other writer's
// value is equal to it.
//
// Success means that the write took effect, even if it has been overwritten
// since. ErrConflict means that it did not take effect and never will.
// ErrAmbiguous means that ctx ended first, or that the key has a newer version
// and the store no longer holds the changes in between.
func (r Resolver) Put(ctx context.Context, key string, value []byte, expected Version, lease LeaseID) (Version, error) {
	version, err := r.Store.Put(ctx, key, value, expected, lease)
	if !errors.Is(err, ErrAmbiguous) {
		return version, err
	}
	for backoff := resolveInitialBackoff; ; backoff = min(2*backoff, resolveMaxBackoff) {
		version, err = r.readBack(ctx, key, value, expected)
		if errors.Is(err, errNotApplied) {
			// The first write may still be in flight. The repeated write has
			// the same expected version, so at most one of them takes effect.
			version, err = r.Store.Put(ctx, key, value, expected, lease)
			if errors.Is(err, ErrConflict) {
				continue
			}
		}
		if isDefinite(err) {
			return version, err
		}
		if !r.sleep(ctx, backoff) {
			return 0, ErrAmbiguous
		}
	}
}

var (
	// errNotApplied reports that the key still has the expected version.
	errNotApplied = Error.New("write not applied yet")
	// errUndecidable reports that the store no longer holds the changes that
	// show whether the write took effect.
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

// readBack reads the key and derives the result of the write from it. It
// returns errNotApplied if the write has not taken effect but still may.
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

// findInHistory derives the result of the write from the change history of a
// key with a newer version: either the write took effect and was overwritten,
// or another write came first.
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

// sleep waits for the given time. It returns false if ctx ended.
func (r Resolver) sleep(ctx context.Context, backoff time.Duration) bool {
	timer := r.Clock.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
