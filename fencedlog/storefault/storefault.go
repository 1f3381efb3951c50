// Package storefault wraps a platform store for tests and makes chosen calls
// fail or wait.
package storefault

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"dogwoodline.example/kvstore"
)

// Fault is how one call fails.
type Fault int

const (
	// None lets the call through.
	None Fault = iota
	// Unavailable refuses the call.
	Unavailable
	// LostBefore loses the answer of a write that had no effect. A read is
	// refused.
	LostBefore
	// LostAfter loses the answer of a write that took effect. A read is
	// refused.
	LostAfter
	// LostLate loses the answer of a write that takes effect LateBy after the
	// caller has its error. A read is refused.
	LostLate
)

// Call describes one call.
type Call struct {
	N   int64 // number of the call, from 1
	Op  string
	Key string // or prefix
}

// Store is a platform store with faults.
type Store struct {
	// LateBy is the delay of LostLate, 2 ms if not changed before the first
	// call. Retries within it race with the write.
	LateBy time.Duration

	inner  kvstore.Store
	decide func(Call) Fault
	calls  atomic.Int64
}

var _ kvstore.Store = (*Store)(nil)

// New returns a store whose calls fail as decide says. Decide may block to hold
// a call back; it is called from many goroutines.
func New(inner kvstore.Store, decide func(Call) Fault) *Store {
	return &Store{LateBy: 2 * time.Millisecond, inner: inner, decide: decide}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int64 { return s.calls.Load() }

// write does one write, or has it done later by late, which changes no variable
// of the caller.
func (s *Store) write(op, key string, do, late func() error) error {
	switch s.decide(Call{s.calls.Add(1), op, key}) {
	case Unavailable:
		return kvstore.ErrUnavailable
	case LostBefore:
		return kvstore.ErrAmbiguous
	case LostAfter:
		_ = do()
		return kvstore.ErrAmbiguous
	case LostLate:
		time.AfterFunc(s.LateBy, func() { _ = late() })
		return kvstore.ErrAmbiguous
	default:
		return do()
	}
}

func (s *Store) read(op, key string, do func() error) error {
	if s.decide(Call{s.calls.Add(1), op, key}) != None {
		return kvstore.ErrUnavailable
	}
	return do()
}

// Get implements kvstore.Store.
func (s *Store) Get(ctx context.Context, key string) (item kvstore.Item, err error) {
	err = s.read("get", key, func() error {
		item, err = s.inner.Get(ctx, key)
		return err
	})
	return item, err
}

// Put implements kvstore.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (version kvstore.Version, err error) {
	copied := bytes.Clone(value)
	err = s.write("put", key, func() error {
		version, err = s.inner.Put(ctx, key, value, expected, lease)
		return err
	}, func() error {
		_, err := s.inner.Put(context.WithoutCancel(ctx), key, copied, expected, lease)
		return err
	})
	return version, err
}

// Delete implements kvstore.Store.
func (s *Store) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	do := func() error { return s.inner.Delete(context.WithoutCancel(ctx), key, expected) }
	return s.write("delete", key, do, do)
}

// List implements kvstore.Store.
func (s *Store) List(ctx context.Context, prefix string) (items []kvstore.Item, revision kvstore.Version, err error) {
	err = s.read("list", prefix, func() error {
		items, revision, err = s.inner.List(ctx, prefix)
		return err
	})
	return items, revision, err
}

// Watch implements kvstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) (events []kvstore.Event, revision kvstore.Version, err error) {
	err = s.read("watch", prefix, func() error {
		events, revision, err = s.inner.Watch(ctx, prefix, after, wait)
		return err
	})
	return events, revision, err
}

// Grant implements kvstore.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lease kvstore.LeaseID, err error) {
	err = s.write("grant", "", func() error {
		lease, err = s.inner.Grant(ctx, ttl)
		return err
	}, func() error { return nil })
	return lease, err
}

// Renew implements kvstore.Store.
func (s *Store) Renew(ctx context.Context, lease kvstore.LeaseID) error {
	do := func() error { return s.inner.Renew(context.WithoutCancel(ctx), lease) }
	return s.write("renew", "", do, do)
}

// Revoke implements kvstore.Store.
func (s *Store) Revoke(ctx context.Context, lease kvstore.LeaseID) error {
	do := func() error { return s.inner.Revoke(context.WithoutCancel(ctx), lease) }
	return s.write("revoke", "", do, do)
}
