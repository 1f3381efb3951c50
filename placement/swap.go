package placement

import (
	"context"
	"errors"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/ring"
)

// swapAttempts bounds the conflicts of one change before the duty goes on with
// other work.
const swapAttempts = 16

// swap changes the map by a plan. After a conflict the plan runs again on the
// new map; it reports false when nothing is left to change. After nil, the
// caller reads from the current map what became of its change.
func (d *Duty) swap(ctx context.Context, plan func(m *Map) bool) error {
	for range swapAttempts {
		if err := d.resolve(ctx); err != nil {
			return err
		}
		next := d.current.Clone()
		if !plan(&next) {
			return nil
		}
		value, err := next.Encode()
		if err != nil {
			return err
		}
		if err := d.put(ctx, write{value: value, version: d.version}); err != nil {
			return err
		}
		if d.doubt == nil {
			continue // succeeded or in conflict; the plan tells
		}
	}
	return Error.New("map changed during %d attempts to swap it", swapAttempts)
}

// put writes the map and installs what is stored then. A lost answer leaves
// the write in doubt.
func (d *Duty) put(ctx context.Context, w write) error {
	version, err := d.store.Put(ctx, MapKey, w.value, w.version, 0)
	switch {
	case err == nil:
		d.installItem(kvstore.Item{Key: MapKey, Value: w.value, Version: version})
		return nil
	case errors.Is(err, kvstore.ErrConflict):
		return d.reload(ctx)
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrRateLimited):
		return Error.Wrap(err)
	default:
		d.doubt = &w
		return nil
	}
}

// resolve ends the doubt about a swap by the same write again: it succeeds, or
// the conflict shows that the version has moved on. A read alone would not do,
// because the first write may still be under way, and a shard that was taken
// back from a handoff would then have two owners.
func (d *Duty) resolve(ctx context.Context) error {
	for range swapAttempts {
		if d.doubt == nil {
			return nil
		}
		if err := d.put(ctx, *d.doubt); err != nil {
			return err
		}
	}
	if d.doubt == nil {
		return nil
	}
	return Error.New("answers to %d swaps of the map were lost", swapAttempts)
}

// reload installs the stored map. It returns kvstore.ErrNotFound if there is
// none.
func (d *Duty) reload(ctx context.Context) error {
	item, err := d.store.Get(ctx, MapKey)
	if err != nil {
		return Error.Wrap(err)
	}
	d.installItem(item)
	return nil
}

// installItem makes a stored map the current one. A map that cannot be decoded
// is an operator's or a newer build's; the last good one stays in force.
func (d *Duty) installItem(item kvstore.Item) {
	m, err := Decode(item.Value)
	if err == nil && len(m.Shards) != d.settings.Shards {
		err = Error.New("map has %d shards, the settings say %d", len(m.Shards), d.settings.Shards)
	}
	if err != nil {
		d.log.Error("placement: stored map ignored", "version", item.Version, "error", err)
		return
	}
	d.current, d.version = m, item.Version
	if d.doubt != nil && item.Version > d.doubt.version {
		d.doubt = nil // the expected version is gone for good
	}
}

// load reads the map for the first time, and creates it if there is none. Then
// the nodes act by rank, so that they rarely conflict.
func (d *Duty) load(ctx context.Context) error {
	if d.version != 0 {
		return nil
	}
	err := d.reload(ctx)
	if !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	now := d.clock.Now()
	eligible := d.eligible()
	if len(eligible) == 0 {
		return nil
	}
	if d.createDue.IsZero() {
		d.createDue = now.Add(d.rankDelay())
	}
	if now.Before(d.createDue) {
		return nil
	}
	first := NewMap(d.settings.Shards)
	first.Assign(eligible)
	value, err := first.Encode()
	if err != nil {
		return err
	}
	return d.put(ctx, write{value: value, version: kvstore.Absent})
}

// Watch returns the duty that feeds map changes to this one.
func (d *Duty) Watch(ctx context.Context) error {
	return membership.Follow(ctx, d.store, d.clock, Prefix, mapFollower{d.updates})
}

// mapFollower keeps the newest map in a ring of one slot.
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

func (f mapFollower) offer(item kvstore.Item) {
	if item.Key != MapKey {
		return
	}
	f.updates.TryPop() // replaced by the newer one
	_ = f.updates.TryPush(item)
}
