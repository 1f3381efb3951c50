// Package storefault provides a wrapper of a platform store for tests that
// makes selected calls fail or wait.
package storefault

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"dogwoodline.example/kvstore"
)

// Fault selects how one call fails.
type Fault int

const (
	// None passes the call to the wrapped store.
	None Fault = iota
	// Unavailable fails the call with kvstore.ErrUnavailable and without effect.
	Unavailable
	// RequestLost fails a write with kvstore.ErrAmbiguous, as if its request was
	// lost before it took effect. It fails a read as Unavailable does.
	RequestLost
	// AnswerLost applies a write and then fails it with kvstore.ErrAmbiguous, as
	// if the answer was lost. It fails a read as Unavailable does.
	AnswerLost
	// AppliedLate fails a write with kvstore.ErrAmbiguous and applies it after
	// ApplyDelay, as if the request was held up in the network. It fails a
	// read as Unavailable does. A Grant is never applied late.
	AppliedLate
)

// Call describes one call of the store.
type Call struct {
	Number int64  // number of the call, from 1
	Op     string // get, put, delete, list, watch, grant, renew or revoke
	Key    string // key or prefix; empty for calls on leases
}

// Store wraps a platform store and injects faults into its calls.
type Store struct {
	// ApplyDelay is the delay after which AppliedLate applies a write, by
	// default 2 ms. It must not change after the first call. A retry within the
	// delay races with the late write.
	ApplyDelay time.Duration

	inner  kvstore.Store
	decide func(Call) Fault
	calls  atomic.Int64
}

var _ kvstore.Store = (*Store)(nil)

// New returns a wrapper of inner that calls decide before each call to select
// its fault. The function decide may block to delay the call, and must be safe
// for concurrent use.
func New(inner kvstore.Store, decide func(Call) Fault) *Store {
	return &Store{ApplyDelay: 2 * time.Millisecond, inner: inner, decide: decide}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int64 { return s.calls.Load() }

// write runs one write with its fault. It applies the write by apply, or later
// by applyLate, which must not change variables of the caller.
func (s *Store) write(op, key string, apply, applyLate func() error) error {
	switch s.decide(Call{s.calls.Add(1), op, key}) {
	case Unavailable:
		return kvstore.ErrUnavailable
	case RequestLost:
		return kvstore.ErrAmbiguous
	case AnswerLost:
		_ = apply()
		return kvstore.ErrAmbiguous
	case AppliedLate:
		time.AfterFunc(s.ApplyDelay, func() { _ = applyLate() })
		return kvstore.ErrAmbiguous
	default:
		return apply()
	}
}

// read runs one read, which every fault but None makes fail.
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
