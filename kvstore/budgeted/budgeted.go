// Package budgeted limits the rate of a node's calls to the platform store, and
// counts the calls in metrics.
//
// All clients share the rate limits of the store, so each node has a budget for
// writes and one for reads. Calls wait for the budget in the order of their
// priority: if a lease renewal is late, the node loses its programs; if a
// journal commit is late, calls are delayed; if a status write is late, nothing
// else is delayed.
package budgeted

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"dogwoodline.example/kvstore"
)

// Priority is the order in which waiting calls are served.
type Priority int

// The priorities, highest first.
const (
	// Lease is for lease renewals and membership records.
	Lease Priority = iota
	// Journal is for commits and replay of the journal.
	Journal
	// Status is for all other calls, such as those for the shard map, the
	// configuration and the status of the node.
	Status
	numPriorities
)

// Settings holds the rates of a budget, in calls a second. Bursts of up to one
// second's calls, and of at least one call, are allowed.
type Settings struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Limiter limits the rate of the platform calls of one node.
type Limiter struct {
	store  kvstore.Store
	writes *bucket
	reads  *bucket
	set    *metrics.Set
}

// New returns a budget for the calls to store. Its counters are registered in
// set. New panics if a rate is not positive, because no call would ever be
// sent.
func New(store kvstore.Store, settings Settings, clock clockwork.Clock, set *metrics.Set) *Limiter {
	if settings.WritesPerSecond <= 0 || settings.ReadsPerSecond <= 0 {
		panic("budgeted: rates must be positive")
	}
	return &Limiter{
		store:  store,
		writes: newBucket(clock, settings.WritesPerSecond),
		reads:  newBucket(clock, settings.ReadsPerSecond),
		set:    set,
	}
}

// Store returns a store whose calls have the given priority. Its methods wait
// for the budget and return kvstore.ErrRateLimited if ctx ends while they wait
// or too many calls are waiting.
func (b *Limiter) Store(priority Priority) kvstore.Store {
	return &limitedStore{budget: b, priority: priority}
}

// Hosts returns a host list whose calls count against the read budget, with
// priority Status.
func (b *Limiter) Hosts(list kvstore.HostList) kvstore.HostList {
	return &limitedHostList{budget: b, list: list}
}

// limitedStore is a kvstore.Store that waits for the budget before each call.
type limitedStore struct {
	budget   *Limiter
	priority Priority
}

func (s *limitedStore) Get(ctx context.Context, key string) (kvstore.Item, error) {
	return call(ctx, s, s.budget.reads, "get", func() (kvstore.Item, error) {
		return s.budget.store.Get(ctx, key)
	})
}

func (s *limitedStore) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	return call(ctx, s, s.budget.writes, "put", func() (kvstore.Version, error) {
		return s.budget.store.Put(ctx, key, value, expected, lease)
	})
}

func (s *limitedStore) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	return s.write(ctx, "delete", func() error { return s.budget.store.Delete(ctx, key, expected) })
}

// listResult holds the results of List, because call returns a single value.
type listResult struct {
	items    []kvstore.Item
	revision kvstore.Version
}

// watchResult holds the results of Watch.
type watchResult struct {
	events   []kvstore.Event
	revision kvstore.Version
}

func (s *limitedStore) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	result, err := call(ctx, s, s.budget.reads, "list", func() (listResult, error) {
		items, revision, err := s.budget.store.List(ctx, prefix)
		return listResult{items, revision}, err
	})
	return result.items, result.revision, err
}

func (s *limitedStore) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	result, err := call(ctx, s, s.budget.reads, "watch", func() (watchResult, error) {
		events, revision, err := s.budget.store.Watch(ctx, prefix, after, wait)
		return watchResult{events, revision}, err
	})
	if err != nil {
		return nil, after, err
	}
	return result.events, result.revision, nil
}

func (s *limitedStore) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	return call(ctx, s, s.budget.writes, "grant", func() (kvstore.LeaseID, error) {
		return s.budget.store.Grant(ctx, ttl)
	})
}

func (s *limitedStore) Renew(ctx context.Context, lease kvstore.LeaseID) error {
	return s.write(ctx, "renew", func() error { return s.budget.store.Renew(ctx, lease) })
}

func (s *limitedStore) Revoke(ctx context.Context, lease kvstore.LeaseID) error {
	return s.write(ctx, "revoke", func() error { return s.budget.store.Revoke(ctx, lease) })
}

// write is call for writes that return only an error.
func (s *limitedStore) write(ctx context.Context, kind string, run func() error) error {
	_, err := call(ctx, s, s.budget.writes, kind, func() (struct{}, error) { return struct{}{}, run() })
	return err
}

// limitedHostList is a kvstore.HostList that waits for the budget before each
// call.
type limitedHostList struct {
	budget *Limiter
	list   kvstore.HostList
}

func (l *limitedHostList) Hosts(ctx context.Context) ([]kvstore.Host, error) {
	s := &limitedStore{budget: l.budget, priority: Status}
	return call(ctx, s, l.budget.reads, "hosts", func() ([]kvstore.Host, error) { return l.list.Hosts(ctx) })
}

// call waits for a token of the bucket, runs the call and counts its result.
func call[T any](ctx context.Context, s *limitedStore, b *bucket, kind string, run func() (T, error)) (T, error) {
	if err := b.take(ctx, s.priority); err != nil {
		s.budget.count(kind, "over_budget")
		var zero T
		return zero, err
	}
	result, err := run()
	s.budget.count(kind, resultLabel(err))
	return result, err
}

func (b *Limiter) count(kind, result string) {
	b.set.GetOrCreateCounter(fmt.Sprintf(`dogwoodline_platform_calls_total{kind=%q,result=%q}`, kind, result)).Inc()
}

// resultLabel returns the value of the metric label result for an error.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, kvstore.ErrNotFound), errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrLeaseLost):
		return "refused"
	case errors.Is(err, kvstore.ErrAmbiguous):
		return "ambiguous"
	case errors.Is(err, kvstore.ErrRateLimited):
		return "rate_limited"
	}
	return "unavailable"
}
