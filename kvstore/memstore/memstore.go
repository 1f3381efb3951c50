// Package memstore implements the platform's key-value store in memory, with
// the semantics of the real store. Tests and the emulated platform use it.
package memstore

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/kvstore"
)

const (
	// maxEvents and maxEventBytes bound the change log. A watch from a
	// revision before the log gets ErrCompacted. The limit in bytes matters
	// for the heads of journals: they have up to 128 KB, and each node writes
	// its own 30 times a second.
	maxEvents     = 65536
	maxEventBytes = 64 << 20
)

// Store implements kvstore.Store in memory.
type Store struct {
	clock clockwork.Clock

	mu         sync.Mutex
	revision   kvstore.Version
	items      map[string]kvstore.Item
	events     []kvstore.Event
	eventBytes int // total size of the values in events
	leases     map[kvstore.LeaseID]*leaseState
	nextID     kvstore.LeaseID
	changed    chan struct{} // closed and replaced on each change
}

// leaseState is a lease that has not ended, with the keys that are deleted when
// it ends.
type leaseState struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

var _ kvstore.Store = (*Store)(nil)

// New returns an empty store. Leases expire by the time of clock.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		items:   map[string]kvstore.Item{},
		leases:  map[kvstore.LeaseID]*leaseState{},
		changed: make(chan struct{}),
	}
}

// Get implements kvstore.Store.
func (s *Store) Get(_ context.Context, key string) (kvstore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	item, ok := s.items[key]
	if !ok {
		return kvstore.Item{}, kvstore.ErrNotFound
	}
	return clone(item), nil
}

// Put implements kvstore.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, expected kvstore.Version, id kvstore.LeaseID) (kvstore.Version, error) {
	if len(value) > kvstore.MaxValueBytes {
		return 0, kvstore.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	old := s.items[key]
	if expected != kvstore.AnyVersion && old.Version != expected {
		return old.Version, kvstore.ErrConflict
	}
	if id != 0 {
		lease, ok := s.leases[id]
		if !ok {
			return 0, kvstore.ErrLeaseLost
		}
		lease.keys[key] = struct{}{}
	}
	if lease, ok := s.leases[old.Lease]; ok && old.Lease != id {
		delete(lease.keys, key)
	}
	s.revision++
	item := kvstore.Item{Key: key, Value: append([]byte(nil), value...), Version: s.revision, Lease: id}
	s.items[key] = item
	s.publishLocked(kvstore.Event{Item: item})
	return item.Version, nil
}

// Delete implements kvstore.Store.
func (s *Store) Delete(_ context.Context, key string, expected kvstore.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	old, ok := s.items[key]
	if !ok {
		return kvstore.ErrNotFound
	}
	if expected != kvstore.AnyVersion && old.Version != expected {
		return kvstore.ErrConflict
	}
	s.deleteLocked(key)
	return nil
}

// List implements kvstore.Store.
func (s *Store) List(_ context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	return s.listLocked(prefix), s.revision, nil
}

// Watch implements kvstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	end := s.clock.Now().Add(wait)
	for {
		result := s.eventsAfter(prefix, after)
		if result.err != nil || len(result.events) > 0 {
			return result.events, result.revision, result.err
		}
		if !s.clock.Now().Before(end) {
			return nil, result.revision, nil
		}
		wake := end
		if !result.expiry.IsZero() && result.expiry.Before(end) {
			wake = result.expiry
		}
		if !s.waitUntil(ctx, wake, result.changed) {
			return nil, after, kvstore.ErrUnavailable
		}
	}
}

// waitUntil waits until changed is closed or the time is reached. It returns
// false if ctx ended first.
func (s *Store) waitUntil(ctx context.Context, wake time.Time, changed <-chan struct{}) bool {
	timer := s.clock.NewTimer(wake.Sub(s.clock.Now()))
	defer timer.Stop()
	// A fake clock may have reached the time before the timer was created.
	if !s.clock.Now().Before(wake) {
		return true
	}
	select {
	case <-changed:
	case <-timer.Chan():
	case <-ctx.Done():
		return false
	}
	return true
}

// Grant implements kvstore.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &leaseState{ttl: ttl, expires: s.clock.Now().Add(ttl), keys: map[string]struct{}{}}
	return s.nextID, nil
}

// Renew implements kvstore.Store.
func (s *Store) Renew(_ context.Context, id kvstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	lease, ok := s.leases[id]
	if !ok {
		return kvstore.ErrLeaseLost
	}
	lease.expires = s.clock.Now().Add(lease.ttl)
	return nil
}

// Revoke implements kvstore.Store.
func (s *Store) Revoke(_ context.Context, id kvstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if _, ok := s.leases[id]; !ok {
		return kvstore.ErrLeaseLost
	}
	s.endLeaseLocked(id)
	return nil
}

// watchResult is what a watch finds in the change log at one moment.
type watchResult struct {
	events   []kvstore.Event
	revision kvstore.Version
	changed  <-chan struct{}
	expiry   time.Time // when the next lease expires; zero if there is none
	err      error
}

func (s *Store) eventsAfter(prefix string, after kvstore.Version) watchResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	result := watchResult{revision: s.revision, changed: s.changed, expiry: s.nextExpiryLocked()}
	if s.revision > after && (len(s.events) == 0 || after+1 < s.events[0].Version) {
		result.err = kvstore.ErrCompacted
		return result
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > after })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Key, prefix) {
			event.Item = clone(event.Item)
			result.events = append(result.events, event)
		}
	}
	return result
}

func (s *Store) listLocked(prefix string) []kvstore.Item {
	var items []kvstore.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, clone(item))
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

func (s *Store) nextExpiryLocked() time.Time {
	var next time.Time
	for _, lease := range s.leases {
		if next.IsZero() || lease.expires.Before(next) {
			next = lease.expires
		}
	}
	return next
}

// expireLocked ends expired leases in the order of their IDs, so that every
// run with a fake clock assigns the same versions.
func (s *Store) expireLocked() {
	now := s.clock.Now()
	var expired []kvstore.LeaseID
	for id, lease := range s.leases {
		if !lease.expires.After(now) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.endLeaseLocked(id)
	}
}

func (s *Store) endLeaseLocked(id kvstore.LeaseID) {
	for _, key := range slices.Sorted(maps.Keys(s.leases[id].keys)) {
		s.deleteLocked(key)
	}
	delete(s.leases, id)
}

func (s *Store) deleteLocked(key string) {
	if lease, ok := s.leases[s.items[key].Lease]; ok {
		delete(lease.keys, key) // a later value of the key does not belong to the lease
	}
	delete(s.items, key)
	s.revision++
	tombstone := kvstore.Item{Key: key, Version: s.revision}
	s.publishLocked(kvstore.Event{Item: tombstone, Deleted: true})
}

// publishLocked appends an event to the change log, drops the oldest events
// beyond the limits and wakes all waiting watches.
func (s *Store) publishLocked(event kvstore.Event) {
	s.events = append(s.events, event)
	s.eventBytes += len(event.Value)
	first := 0
	for len(s.events)-first > maxEvents || s.eventBytes > maxEventBytes {
		s.eventBytes -= len(s.events[first].Value)
		s.events[first] = kvstore.Event{}
		first++
	}
	s.events = s.events[first:]
	close(s.changed)
	s.changed = make(chan struct{})
}

func clone(item kvstore.Item) kvstore.Item {
	item.Value = bytes.Clone(item.Value)
	return item
}
