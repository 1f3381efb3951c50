// Package memstore is an in-memory platform store for tests and for the
// platform stand-in. It has the semantics of the real store and no network.
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
	// eventsKept and eventBytesKept bound the change log. A watch from an
	// older revision gets ErrCompacted. The byte bound matters for journal
	// heads of 128 KB, which are written 30 times a second by each node.
	eventsKept     = 65536
	eventBytesKept = 64 << 20
)

// Store implements kvstore.Store in memory.
type Store struct {
	clock clockwork.Clock

	mu       sync.Mutex
	revision kvstore.Version
	items    map[string]kvstore.Item
	events   []kvstore.Event
	bytes    int // size of the values in events
	leases   map[kvstore.LeaseID]*lease
	nextID   kvstore.LeaseID
	changed  chan struct{} // closed and replaced at each change
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

var _ kvstore.Store = (*Store)(nil)

// New returns an empty store that takes the time from clock.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		items:   map[string]kvstore.Item{},
		leases:  map[kvstore.LeaseID]*lease{},
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
		held, ok := s.leases[id]
		if !ok {
			return 0, kvstore.ErrLeaseLost
		}
		held.keys[key] = struct{}{}
	}
	if held, ok := s.leases[old.Lease]; ok && old.Lease != id {
		delete(held.keys, key)
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
		found := s.eventsAfter(prefix, after)
		if found.err != nil || len(found.events) > 0 {
			return found.events, found.revision, found.err
		}
		if !s.clock.Now().Before(end) {
			return nil, found.revision, nil
		}
		wake := end
		if !found.expiry.IsZero() && found.expiry.Before(end) {
			wake = found.expiry
		}
		if !s.waitUntil(ctx, wake, found.changed) {
			return nil, after, kvstore.ErrUnavailable
		}
	}
}

// waitUntil waits for a change or a time. It reports false when ctx ended.
func (s *Store) waitUntil(ctx context.Context, wake time.Time, changed <-chan struct{}) bool {
	timer := s.clock.NewTimer(wake.Sub(s.clock.Now()))
	defer timer.Stop()
	// A fake clock may have passed the time before the timer was set.
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
	s.leases[s.nextID] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl), keys: map[string]struct{}{}}
	return s.nextID, nil
}

// Renew implements kvstore.Store.
func (s *Store) Renew(_ context.Context, id kvstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	held, ok := s.leases[id]
	if !ok {
		return kvstore.ErrLeaseLost
	}
	held.expires = s.clock.Now().Add(held.ttl)
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

// found is what a watch sees at one moment. expiry is the next end of a
// lease, or zero.
type found struct {
	events   []kvstore.Event
	revision kvstore.Version
	changed  <-chan struct{}
	expiry   time.Time
	err      error
}

func (s *Store) eventsAfter(prefix string, after kvstore.Version) found {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	result := found{revision: s.revision, changed: s.changed, expiry: s.nextExpiryLocked()}
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
	var found []kvstore.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, clone(item))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func (s *Store) nextExpiryLocked() time.Time {
	var next time.Time
	for _, held := range s.leases {
		if next.IsZero() || held.expires.Before(next) {
			next = held.expires
		}
	}
	return next
}

// expireLocked ends lapsed leases in the order of their identifiers, so that
// a run with a fake clock assigns the same versions each time.
func (s *Store) expireLocked() {
	now := s.clock.Now()
	var lapsed []kvstore.LeaseID
	for id, held := range s.leases {
		if !held.expires.After(now) {
			lapsed = append(lapsed, id)
		}
	}
	slices.Sort(lapsed)
	for _, id := range lapsed {
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
	if held, ok := s.leases[s.items[key].Lease]; ok {
		delete(held.keys, key) // a later value of the key does not belong to the lease
	}
	delete(s.items, key)
	s.revision++
	gone := kvstore.Item{Key: key, Version: s.revision}
	s.publishLocked(kvstore.Event{Item: gone, Deleted: true})
}

func (s *Store) publishLocked(event kvstore.Event) {
	s.events = append(s.events, event)
	s.bytes += len(event.Value)
	first := 0
	for len(s.events)-first > eventsKept || s.bytes > eventBytesKept {
		s.bytes -= len(s.events[first].Value)
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
