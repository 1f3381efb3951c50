package placement

import (
	"context"
	"errors"
	"slices"
	"time"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
)

// reconcile brings the states in line with the map: it gives up lost shards
// and serves new ones that have nothing to adopt.
func (d *Duty) reconcile(ctx context.Context) error {
	for shard, e := range d.current.Shards {
		var err error
		switch {
		case e.Owner != d.self && d.states[shard] != elsewhere:
			d.states[shard] = elsewhere
			err = d.send(ctx, Released{Shard: shard, NewOwner: e.Owner})
		case e.Owner == d.self && len(e.Sources) == 0 && d.states[shard] <= adopted:
			d.states[shard] = serving
			err = d.send(ctx, Serve{Shard: shard, Version: d.version})
		case e.Owner == d.self && d.states[shard] == adopted && !slices.Equal(e.Sources, d.adopting[shard]):
			d.states[shard] = elsewhere // adopt again, with the new sources
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// adopt replays the sources of new shards into the own journal and hands the
// records to the owner of the programs. Each source is read once for all
// shards.
func (d *Duty) adopt(ctx context.Context) error {
	replayed := map[string]map[int][]fencedlog.Record{}
	var marked []fencedlog.Record
	var orders []Adopt
	for shard, e := range d.current.Shards {
		if e.Owner != d.self || len(e.Sources) == 0 || d.states[shard] != elsewhere {
			continue
		}
		var lists [][]fencedlog.Record
		for _, source := range e.Sources {
			if err := d.replay(ctx, replayed, source); err != nil {
				return err
			}
			lists = append(lists, replayed[source][shard])
		}
		records := fencedlog.Merge(lists...)
		generation := uint64(d.version) //nolint:gosec // versions are positive
		own := slices.Contains(e.Sources, d.self)
		marked = append(marked, fencedlog.AdoptionBegin(shard, generation, own))
		marked = append(marked, records...)
		marked = append(marked, fencedlog.AdoptionEnd(shard, generation))
		orders = append(orders, Adopt{Shard: shard, Records: records})
	}
	if err := d.in.Appender.Append(ctx, marked); err != nil {
		return err
	}
	for _, order := range orders {
		d.states[order.Shard] = adopting
		d.adopting[order.Shard] = d.current.Shards[order.Shard].Sources
		if err := d.send(ctx, order); err != nil {
			return err
		}
	}
	return nil
}

// replay reads a source for all shards that this node adopts from it.
func (d *Duty) replay(ctx context.Context, replayed map[string]map[int][]fencedlog.Record, source string) error {
	if replayed[source] != nil {
		return nil
	}
	copies, err := d.collect(ctx, source)
	if err != nil {
		return err
	}
	records, err := fencedlog.Replay(ctx, d.store, source, func(shard int) bool {
		return shard < len(d.current.Shards) && d.current.Shards[shard].Owner == d.self
	}, copies...)
	if err != nil {
		return err
	}
	replayed[source] = map[int][]fencedlog.Record{}
	for _, r := range records {
		replayed[source][r.Shard] = append(replayed[source][r.Shard], r)
	}
	return nil
}

// finishAdoption removes the sources of adopted shards from the map. The
// shards serve only after that.
func (d *Duty) finishAdoption(ctx context.Context) error {
	if !slices.Contains(d.states, adopted) {
		return nil
	}
	err := d.swap(ctx, func(m *Map) bool {
		changed := false
		for shard, s := range d.states {
			if s == adopted && m.RemoveSources(shard, d.self, d.adopting[shard]) {
				changed = true
			}
		}
		return changed
	})
	if err != nil {
		return err
	}
	return d.reconcile(ctx)
}

// handOff swaps the owner of idle shards. The mark is durable first, and with
// it every record of the shard.
func (d *Duty) handOff(ctx context.Context) error {
	if !slices.Contains(d.states, idle) {
		return nil
	}
	var marks []fencedlog.Record
	targets := d.ownMoves()
	for shard, s := range d.states {
		_, planned := targets[shard]
		switch {
		case s != idle:
		case planned:
			marks = append(marks, fencedlog.Handoff(shard))
		default: // no longer needed
			d.states[shard] = serving
			if err := d.send(ctx, Serve{Shard: shard, Version: d.version}); err != nil {
				return err
			}
		}
	}
	if err := d.in.Appender.Append(ctx, marks); err != nil {
		return err
	}
	err := d.swap(ctx, func(m *Map) bool {
		changed := false
		for _, mark := range marks {
			changed = m.Handoff(targets[mark.Shard]) || changed
		}
		return changed
	})
	if err != nil {
		return err
	}
	return d.reconcile(ctx)
}

// release asks for the shards that balance or the drain gives away.
func (d *Duty) release(ctx context.Context) error {
	free := d.settings.MaxReleases
	for _, s := range d.states {
		if s == releasing || s == idle {
			free--
		}
	}
	for shard, move := range d.ownMoves() {
		if free <= 0 {
			return nil
		}
		if d.states[shard] != serving {
			continue
		}
		free--
		d.states[shard] = releasing
		if err := d.send(ctx, Release{Shard: shard, NewOwner: move.To}); err != nil {
			return err
		}
	}
	return nil
}

// ownMoves returns the planned handoffs of this node's shards. While an owner
// is lapsed, only a drain moves shards, because the takeover changes the
// balance.
func (d *Duty) ownMoves() map[int]Move {
	moves := map[int]Move{}
	if !d.draining && d.hasLapsedOwner() {
		return moves
	}
	for _, move := range d.current.Rebalance(d.eligible()) {
		if move.From == d.self {
			moves[move.Shard] = move
		}
	}
	return moves
}

func (d *Duty) hasLapsedOwner() bool {
	live := map[string]bool{}
	for _, m := range d.in.View().Members {
		live[m.Incarnation] = true
	}
	return slices.ContainsFunc(d.current.Shards, func(e Entry) bool { return !live[e.Owner] })
}

func (d *Duty) rankDelay() time.Duration {
	return time.Duration(d.in.View().Rank(d.self)) * d.settings.RankDelay
}

func (d *Duty) noteDeath(m membership.Member) {
	if _, known := d.deaths[m.Incarnation]; !known && m.Incarnation != d.self {
		d.deaths[m.Incarnation] = &death{member: m, due: d.clock.Now().Add(d.rankDelay())}
	}
}

// takeOver seals the journals of dead members and gives their shards away, as
// soon as this node's turn has come.
func (d *Duty) takeOver(ctx context.Context) error {
	now := d.clock.Now()
	view := d.in.View()
	for name, dead := range d.deaths {
		if _, back := view.ByIncarnation(name); back {
			delete(d.deaths, name)
			continue
		}
		if view.StoreDown || now.Before(view.NoDeathsBefore) {
			// The store was down meanwhile. The member gets the time to renew.
			if d.in.Suspects.TryPush(membership.Lapsed{Member: dead.member}) == nil {
				delete(d.deaths, name)
			}
			continue
		}
		if now.Before(dead.due) || len(d.eligible()) == 0 {
			continue
		}
		if err := d.takeOverFrom(ctx, name); err != nil {
			return err
		}
		delete(d.deaths, name)
	}
	return d.reconcile(ctx)
}

// takeOverFrom does one takeover. Another node may have completed it, and even
// deleted the journal, while this node had an older map: then there is nothing
// to do, and no head is created that nobody would delete.
func (d *Duty) takeOverFrom(ctx context.Context, name string) error {
	err := fencedlog.SealExisting(ctx, d.store, name)
	if errors.Is(err, kvstore.ErrNotFound) {
		if err = d.reload(ctx); err != nil || d.current.Owned(name) == 0 {
			return err
		}
		err = fencedlog.Seal(ctx, d.store, name)
	}
	if err != nil {
		return err
	}
	d.log.Info("placement: taking over", "incarnation", name, "shards", d.current.Owned(name))
	return d.swap(ctx, func(m *Map) bool { return m.Takeover(name, d.eligible()) })
}

// clean deletes the sealed journals that no shard names. The member of the
// lowest rank does it.
func (d *Duty) clean(ctx context.Context) error {
	unused := d.current.Unused()
	if len(unused) == 0 || d.in.View().Rank(d.self) != 0 {
		return nil
	}
	var deleted []string
	for _, name := range unused {
		err := fencedlog.Delete(ctx, d.store, name)
		if errors.Is(err, fencedlog.ErrNotSealed) {
			continue // its owner retires and seals it next
		}
		if err != nil {
			return err
		}
		deleted = append(deleted, name)
	}
	if len(deleted) == 0 {
		return nil
	}
	return d.swap(ctx, func(m *Map) bool { return m.Forget(deleted) })
}

// suspectOwners tells the detector about owners that are not members, for
// instance those that died while no node was running.
func (d *Duty) suspectOwners() {
	view := d.in.View()
	for _, e := range d.current.Shards {
		_, live := view.ByIncarnation(e.Owner)
		switch {
		case live:
			delete(d.reported, e.Owner)
		case e.Owner == "" || e.Owner == d.self || d.reported[e.Owner]:
		case view.StoreDown:
		default:
			lapsed := membership.Lapsed{Member: membership.Member{Incarnation: e.Owner}}
			d.reported[e.Owner] = d.in.Suspects.TryPush(lapsed) == nil
		}
	}
}

func (d *Duty) reportDrained(ctx context.Context) error {
	left := d.current.Owned(d.self)
	if !d.draining || left == d.drained || left > 0 && len(d.eligible()) > 0 {
		return nil
	}
	if left == 0 {
		if retired, err := d.retire(ctx); err != nil || !retired {
			return err
		}
	}
	d.drained = left
	return d.send(ctx, Drained{Left: left})
}

// retire makes sure that no node gives a shard to this one any more. A node
// whose member view is old does not know yet that this one is draining, and
// would hand a shard to a node that is about to exit.
func (d *Duty) retire(ctx context.Context) (bool, error) {
	retired := false
	err := d.swap(ctx, func(m *Map) bool {
		before := len(m.Sealed)
		retired = m.Retire(d.self)
		return len(m.Sealed) > before
	})
	if err != nil || !retired {
		return false, err
	}
	return true, fencedlog.Seal(ctx, d.store, d.self)
}
