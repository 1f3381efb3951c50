package placement

import (
	"context"
	"errors"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/ring"
)

// maxWriteAttempts limits the writes of one call of updateMap or retryUnresolved.
// After that many conflicts or lost answers the call fails, and the duty goes on
// with other work before it tries again.
const maxWriteAttempts = 16

// updateMap changes the map in the store by compare-and-swap. It calls plan, which
// modifies a copy of the current map and reports whether it changed anything,
// and writes the result. After each write, also one that conflicted with that of
// another node, it calls plan again on the map that is then stored, until plan
// has nothing left to change. When updateMap returns nil, the caller finds the
// outcome in d.shardMap.
func (d *Duty) updateMap(ctx context.Context, plan func(m *Map) bool) error {
	for range maxWriteAttempts {
		if err := d.retryUnresolved(ctx); err != nil {
			return err
		}
		next := d.shardMap.Clone()
		if !plan(&next) {
			return nil
		}
		value, err := next.Encode()
		if err != nil {
			return err
		}
		if err := d.writeMap(ctx, mapWrite{value: value, expected: d.mapVersion}); err != nil {
			return err
		}
		if d.unresolved == nil {
			continue // written or in conflict; the next call of plan shows which
		}
	}
	return Error.New("shard map still changing after %d compare-and-swap attempts", maxWriteAttempts)
}

// writeMap writes the map and installs the map that is then stored, which is
// another node's after a conflict. If the answer is lost, it records the write in
// d.unresolved and returns nil.
func (d *Duty) writeMap(ctx context.Context, w mapWrite) error {
	version, err := d.store.Put(ctx, MapKey, w.value, w.expected, 0)
	switch {
	case err == nil:
		d.installMap(kvstore.Item{Key: MapKey, Value: w.value, Version: version})
		return nil
	case errors.Is(err, kvstore.ErrConflict):
		return d.readMap(ctx)
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrRateLimited):
		return Error.Wrap(err)
	default:
		d.unresolved = &w
		return nil
	}
}

// retryUnresolved settles the outcome of a write whose answer was lost, by sending
// the same write again: either it succeeds, or the conflict shows that the map
// has a later version, so that the first write cannot take effect any more. To
// read the map would not be enough, because the first write may still be in
// transit. If this node withdrew a handoff and served the shard again, and the
// late write then took effect, the shard would have two owners.
func (d *Duty) retryUnresolved(ctx context.Context) error {
	for range maxWriteAttempts {
		if d.unresolved == nil {
			return nil
		}
		if err := d.writeMap(ctx, *d.unresolved); err != nil {
			return err
		}
	}
	if d.unresolved == nil {
		return nil
	}
	return Error.New("answers to %d writes of the shard map were lost", maxWriteAttempts)
}

// readMap reads the map from the store and installs it. It returns
// kvstore.ErrNotFound if there is none.
func (d *Duty) readMap(ctx context.Context) error {
	item, err := d.store.Get(ctx, MapKey)
	if err != nil {
		return Error.Wrap(err)
	}
	d.installMap(item)
	return nil
}

// installMap makes a stored map the current one. A map that cannot be decoded or
// has another number of shards was written by an operator, by a newer build or
// under other settings; it is logged, and the last valid map stays in force.
func (d *Duty) installMap(item kvstore.Item) {
	m, err := Decode(item.Value)
	if err == nil && len(m.Shards) != d.settings.Shards {
		err = Error.New("map has %d shards, but the settings require %d", len(m.Shards), d.settings.Shards)
	}
	if err != nil {
		d.log.Error("placement: stored map ignored", "version", item.Version, "error", err)
		return
	}
	d.shardMap, d.mapVersion = m, item.Version
	if d.unresolved != nil && item.Version > d.unresolved.expected {
		d.unresolved = nil // its expected version is outdated, so it cannot take effect any more
	}
}

// loadOrCreateMap reads the map for the first time. If there is none, it creates
// the map after the rank delay, so that nodes rarely conflict.
func (d *Duty) loadOrCreateMap(ctx context.Context) error {
	if d.mapVersion != 0 {
		return nil
	}
	err := d.readMap(ctx)
	if !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	now := d.clock.Now()
	eligible := d.eligible()
	if len(eligible) == 0 {
		return nil
	}
	if d.createMapAt.IsZero() {
		d.createMapAt = now.Add(d.rankDelay())
	}
	if now.Before(d.createMapAt) {
		return nil
	}
	first := NewMap(d.settings.Shards)
	first.Assign(eligible)
	value, err := first.Encode()
	if err != nil {
		return err
	}
	return d.writeMap(ctx, mapWrite{value: value, expected: kvstore.Absent})
}

// Watch follows the map in the store and passes its changes to Run, until ctx
// ends. It runs as a duty of its own, next to Run.
func (d *Duty) Watch(ctx context.Context) error {
	return membership.Follow(ctx, d.store, d.clock, Prefix, mapFollower{d.updates})
}

// mapFollower is a membership.Follower that keeps the newest version of the map
// in a ring of one slot.
type mapFollower struct{ updates *ring.Ring[kvstore.Item] }

func (f mapFollower) Listed(_ context.Context, items []kvstore.Item, _ kvstore.Version) {
	for _, item := range items {
		f.offer(item)
	}
}

func (f mapFollower) Changed(_ context.Context, events []kvstore.Event, _ kvstore.Version) {
	for _, e := range events {
		if !e.Deleted {
			f.offer(e.Item)
		}
	}
}

func (mapFollower) Failed(context.Context, error) {}

// offer puts the map into the ring in place of an older one. It ignores other
// keys.
func (f mapFollower) offer(item kvstore.Item) {
	if item.Key != MapKey {
		return
	}
	f.updates.TryPop() // discard the older map
	_ = f.updates.TryPush(item)
}
