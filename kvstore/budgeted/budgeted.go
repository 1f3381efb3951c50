// Package budgeted keeps a node's calls to the platform store within a rate,
// and counts them.
//
// The store's rates are shared by all clients, so each node has a budget for
// writes and one for reads. Calls wait for their turn by priority: a late
// lease renewal loses the node its programs, a late journal commit delays
// calls, a late status delays nobody.
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
	// Lease is for lease renewals and member records.
	Lease Priority = iota
	// Journal is for journal commits and replay.
	Journal
	// Status is for everything else: shard map, configuration, status.
	Status
	priorities
)

// Settings of a budget, in calls a second. The burst is one second's calls.
type Settings struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Budget is the rate budget of one node.
type Budget struct {
	store  kvstore.Store
	writes *bucket
	reads  *bucket
	set    *metrics.Set
}

// New returns a budget for the calls to store. It registers its counters in
// set. It panics when a rate is not positive, because no call would ever run.
func New(store kvstore.Store, settings Settings, clock clockwork.Clock, set *metrics.Set) *Budget {
	if settings.WritesPerSecond <= 0 || settings.ReadsPerSecond <= 0 {
		panic("budgeted: rates must be positive")
	}
	return &Budget{
		store:  store,
		writes: newBucket(clock, settings.WritesPerSecond),
		reads:  newBucket(clock, settings.ReadsPerSecond),
		set:    set,
	}
}

// Store returns the store for calls of one priority. Its methods wait for
// their turn and return kvstore.ErrRateLimited when ctx ends before it.
func (b *Budget) Store(priority Priority) kvstore.Store {
	return &view{budget: b, priority: priority}
}

// Hosts returns the host list within the read budget, at priority Status.
func (b *Budget) Hosts(list kvstore.HostList) kvstore.HostList {
	return &hosts{budget: b, list: list}
}

type view struct {
	budget   *Budget
	priority Priority
}

func (v *view) Get(ctx context.Context, key string) (kvstore.Item, error) {
	return call(ctx, v, v.budget.reads, "get", func() (kvstore.Item, error) {
		return v.budget.store.Get(ctx, key)
	})
}

func (v *view) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	return call(ctx, v, v.budget.writes, "put", func() (kvstore.Version, error) {
		return v.budget.store.Put(ctx, key, value, expected, lease)
	})
}

func (v *view) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	return v.write(ctx, "delete", func() error { return v.budget.store.Delete(ctx, key, expected) })
}

// listed and watched hold the two results of List and Watch.
type listed struct {
	items    []kvstore.Item
	revision kvstore.Version
}

type watched struct {
	events   []kvstore.Event
	revision kvstore.Version
}

func (v *view) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	result, err := call(ctx, v, v.budget.reads, "list", func() (listed, error) {
		items, revision, err := v.budget.store.List(ctx, prefix)
		return listed{items, revision}, err
	})
	return result.items, result.revision, err
}

func (v *view) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	result, err := call(ctx, v, v.budget.reads, "watch", func() (watched, error) {
		events, revision, err := v.budget.store.Watch(ctx, prefix, after, wait)
		return watched{events, revision}, err
	})
	if err != nil {
		return nil, after, err
	}
	return result.events, result.revision, nil
}

func (v *view) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	return call(ctx, v, v.budget.writes, "grant", func() (kvstore.LeaseID, error) {
		return v.budget.store.Grant(ctx, ttl)
	})
}

func (v *view) Renew(ctx context.Context, lease kvstore.LeaseID) error {
	return v.write(ctx, "renew", func() error { return v.budget.store.Renew(ctx, lease) })
}

func (v *view) Revoke(ctx context.Context, lease kvstore.LeaseID) error {
	return v.write(ctx, "revoke", func() error { return v.budget.store.Revoke(ctx, lease) })
}

func (v *view) write(ctx context.Context, kind string, run func() error) error {
	_, err := call(ctx, v, v.budget.writes, kind, func() (struct{}, error) { return struct{}{}, run() })
	return err
}

type hosts struct {
	budget *Budget
	list   kvstore.HostList
}

func (h *hosts) Hosts(ctx context.Context) ([]kvstore.Host, error) {
	v := &view{budget: h.budget, priority: Status}
	return call(ctx, v, h.budget.reads, "hosts", func() ([]kvstore.Host, error) { return h.list.Hosts(ctx) })
}

// call waits for the budget, runs the call and counts its result.
func call[T any](ctx context.Context, v *view, b *bucket, kind string, run func() (T, error)) (T, error) {
	if err := b.take(ctx, v.priority); err != nil {
		v.budget.count(kind, "over_budget")
		var none T
		return none, err
	}
	result, err := run()
	v.budget.count(kind, label(err))
	return result, err
}

func (b *Budget) count(kind, result string) {
	b.set.GetOrCreateCounter(fmt.Sprintf(`dogwoodline_platform_calls_total{kind=%q,result=%q}`, kind, result)).Inc()
}

// label names a result in the metrics.
func label(err error) string {
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
