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

// reconcile brings the shard states in line with the map: it gives up shards
// that this node does not own any more and serves owned shards that have no
// sources.
func (d *Duty) reconcile(ctx context.Context) error {
	for shard, e := range d.shardMap.Shards {
		var err error
		switch {
		case e.Owner != d.self && d.states[shard] != inactive:
			d.states[shard] = inactive
			err = d.send(ctx, Released{Shard: shard, NewOwner: e.Owner})
		case e.Owner == d.self && len(e.Sources) == 0 && d.states[shard] <= adopted:
			d.states[shard] = serving
			err = d.send(ctx, Serve{Shard: shard, Version: d.mapVersion})
		case e.Owner == d.self && d.states[shard] == adopted && !slices.Equal(e.Sources, d.replayedSources[shard]):
			d.states[shard] = inactive // adopted again, with the new sources
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// startAdoptions replays the sources of newly owned shards, appends the records
// to this node's own journal and passes them on to the programs duty. It reads
// each source once for all shards.
func (d *Duty) startAdoptions(ctx context.Context) error {
	replayed := map[string]map[int][]fencedlog.Record{}
	var batch []fencedlog.Record
	var orders []Adopt
	for shard, e := range d.shardMap.Shards {
		if e.Owner != d.self || len(e.Sources) == 0 || d.states[shard] != inactive {
			continue
		}
		var lists [][]fencedlog.Record
		for _, source := range e.Sources {
			if err := d.replaySource(ctx, replayed, source); err != nil {
				return err
			}
			lists = append(lists, replayed[source][shard])
		}
		records := fencedlog.Merge(lists...)
		generation := uint64(d.mapVersion) //nolint:gosec // versions are positive
		ownSource := slices.Contains(e.Sources, d.self)
		batch = append(batch, fencedlog.AdoptionBegin(shard, generation, ownSource))
		batch = append(batch, records...)
		batch = append(batch, fencedlog.AdoptionEnd(shard, generation))
		orders = append(orders, Adopt{Shard: shard, Records: records})
	}
	if err := d.inputs.Appender.Append(ctx, batch); err != nil {
		return err
	}
	for _, order := range orders {
		d.states[order.Shard] = adopting
		d.replayedSources[order.Shard] = d.shardMap.Shards[order.Shard].Sources
		if err := d.send(ctx, order); err != nil {
			return err
		}
	}
	return nil
}

// replaySource reads a source for all shards that this node owns and adds its
// records to replayed, by source and shard, unless it was read before.
func (d *Duty) replaySource(ctx context.Context, replayed map[string]map[int][]fencedlog.Record, source string) error {
	if replayed[source] != nil {
		return nil
	}
	copies, err := d.collectCopies(ctx, source)
	if err != nil {
		return err
	}
	records, err := fencedlog.Replay(ctx, d.store, source, func(shard int) bool {
		return shard < len(d.shardMap.Shards) && d.shardMap.Shards[shard].Owner == d.self
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

// finishAdoptions removes the sources of adopted shards from the map. The shards
// are served only after that.
func (d *Duty) finishAdoptions(ctx context.Context) error {
	if !slices.Contains(d.states, adopted) {
		return nil
	}
	err := d.updateMap(ctx, func(m *Map) bool {
		changed := false
		for shard, s := range d.states {
			if s == adopted && m.RemoveSources(shard, d.self, d.replayedSources[shard]) {
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

// completeHandoffs enters the new owners of idle shards in the map. Before that
// it appends a handoff marker for each shard: once the marker is durable, so are
// all earlier records of the shard.
func (d *Duty) completeHandoffs(ctx context.Context) error {
	if !slices.Contains(d.states, idle) {
		return nil
	}
	var markers []fencedlog.Record
	moves := d.ownMoves()
	for shard, s := range d.states {
		_, planned := moves[shard]
		switch {
		case s != idle:
		case planned:
			markers = append(markers, fencedlog.Handoff(shard))
		default: // the handoff is no longer planned
			d.states[shard] = serving
			if err := d.send(ctx, Serve{Shard: shard, Version: d.mapVersion}); err != nil {
				return err
			}
		}
	}
	if err := d.inputs.Appender.Append(ctx, markers); err != nil {
		return err
	}
	err := d.updateMap(ctx, func(m *Map) bool {
		changed := false
		for _, marker := range markers {
			changed = m.Handoff(moves[marker.Shard]) || changed
		}
		return changed
	})
	if err != nil {
		return err
	}
	return d.reconcile(ctx)
}

// startHandoffs orders the release of the shards that are to be handed off for
// balance or because this node is draining, up to Settings.MaxHandoffs at a time.
func (d *Duty) startHandoffs(ctx context.Context) error {
	available := d.settings.MaxHandoffs
	for _, s := range d.states {
		if s == releasing || s == idle {
			available--
		}
	}
	for shard, move := range d.ownMoves() {
		if available <= 0 {
			return nil
		}
		if d.states[shard] != serving {
			continue
		}
		available--
		d.states[shard] = releasing
		if err := d.send(ctx, Release{Shard: shard, NewOwner: move.To}); err != nil {
			return err
		}
	}
	return nil
}

// ownMoves returns the planned handoffs of this node's shards, by shard. While a
// shard has no live owner, it returns none unless this node is draining, because
// the coming takeover changes the balance.
func (d *Duty) ownMoves() map[int]Move {
	moves := map[int]Move{}
	if !d.draining && d.hasShardWithoutLiveOwner() {
		return moves
	}
	for _, move := range d.shardMap.Rebalance(d.eligible()) {
		if move.From == d.self {
			moves[move.Shard] = move
		}
	}
	return moves
}

// hasShardWithoutLiveOwner reports whether some shard in the map has no owner or
// one that is not a live member.
func (d *Duty) hasShardWithoutLiveOwner() bool {
	live := map[string]bool{}
	for _, m := range d.inputs.View().Members {
		live[m.Incarnation] = true
	}
	return slices.ContainsFunc(d.shardMap.Shards, func(e Entry) bool { return !live[e.Owner] })
}

// rankDelay returns how long this node waits before it does work that any node
// may do.
func (d *Duty) rankDelay() time.Duration {
	return time.Duration(d.inputs.View().Rank(d.self)) * d.settings.RankDelay
}

// scheduleTakeover plans the takeover of a dead member after the rank delay. A
// further report of the same death has no effect.
func (d *Duty) scheduleTakeover(m membership.Member) {
	if _, known := d.pendingTakeovers[m.Incarnation]; !known && m.Incarnation != d.self {
		d.pendingTakeovers[m.Incarnation] = &pendingTakeover{member: m, due: d.clock.Now().Add(d.rankDelay())}
	}
}

// takeOverDue seals the journals of dead members and assigns their shards to
// eligible nodes, for each member as soon as its pending takeover is due.
func (d *Duty) takeOverDue(ctx context.Context) error {
	now := d.clock.Now()
	view := d.inputs.View()
	for name, takeover := range d.pendingTakeovers {
		if _, rejoined := view.ByIncarnation(name); rejoined {
			delete(d.pendingTakeovers, name)
			continue
		}
		if view.StoreDown || now.Before(view.NoDeathsBefore) {
			// The store is down or was so recently, so the member may have failed
			// to renew its lease for that reason alone. The detector checks it
			// again once members have had the time to renew.
			if d.inputs.Suspects.TryPush(membership.Lapsed{Member: takeover.member}) == nil {
				delete(d.pendingTakeovers, name)
			}
			continue
		}
		if now.Before(takeover.due) || len(d.eligible()) == 0 {
			continue
		}
		if err := d.takeOverShardsOf(ctx, name); err != nil {
			return err
		}
		delete(d.pendingTakeovers, name)
	}
	return d.reconcile(ctx)
}

// takeOverShardsOf performs one takeover. While this node had an older map,
// another node may have completed the takeover and even deleted the journal.
// There is nothing to do then, and the journal's head must not be created again,
// because no node would delete it.
func (d *Duty) takeOverShardsOf(ctx context.Context, name string) error {
	err := fencedlog.SealExisting(ctx, d.store, name)
	if errors.Is(err, kvstore.ErrNotFound) {
		if err = d.readMap(ctx); err != nil || d.shardMap.CountOwned(name) == 0 {
			return err
		}
		err = fencedlog.Seal(ctx, d.store, name)
	}
	if err != nil {
		return err
	}
	d.log.Info("placement: taking over", "incarnation", name, "shards", d.shardMap.CountOwned(name))
	return d.updateMap(ctx, func(m *Map) bool { return m.Takeover(name, d.eligible()) })
}

// deleteUnusedJournals deletes the sealed journals that no shard refers to. Only
// the live member of the lowest rank does so.
func (d *Duty) deleteUnusedJournals(ctx context.Context) error {
	unused := d.shardMap.UnusedJournals()
	if len(unused) == 0 || d.inputs.View().Rank(d.self) != 0 {
		return nil
	}
	var deleted []string
	for _, name := range unused {
		err := fencedlog.Delete(ctx, d.store, name)
		if errors.Is(err, fencedlog.ErrNotSealed) {
			continue // listed by retire, whose node has yet to seal it
		}
		if err != nil {
			return err
		}
		deleted = append(deleted, name)
	}
	if len(deleted) == 0 {
		return nil
	}
	return d.updateMap(ctx, func(m *Map) bool { return m.RemoveSealed(deleted) })
}

// reportUnknownOwners reports owners that are not live members to the failure
// detector, for instance those that died while no node was running.
func (d *Duty) reportUnknownOwners() {
	view := d.inputs.View()
	for _, e := range d.shardMap.Shards {
		_, live := view.ByIncarnation(e.Owner)
		switch {
		case live:
			delete(d.reportedOwners, e.Owner)
		case e.Owner == "" || e.Owner == d.self || d.reportedOwners[e.Owner]:
		case view.StoreDown:
		default:
			lapsed := membership.Lapsed{Member: membership.Member{Incarnation: e.Owner}}
			d.reportedOwners[e.Owner] = d.inputs.Suspects.TryPush(lapsed) == nil
		}
	}
}

// reportDrained sends Drained when a draining node has no shards left, or when no
// other node can take those that are left. It sends it again only if the number
// left has changed.
func (d *Duty) reportDrained(ctx context.Context) error {
	left := d.shardMap.CountOwned(d.self)
	if !d.draining || left == d.lastLeft || left > 0 && len(d.eligible()) > 0 {
		return nil
	}
	if left == 0 {
		if retired, err := d.retire(ctx); err != nil || !retired {
			return err
		}
	}
	d.lastLeft = left
	return d.send(ctx, Drained{ShardsLeft: left})
}

// retire makes sure that no node assigns a shard to this one any more, and
// reports whether it succeeded. Without it, a node with an outdated member view,
// in which this node is not draining yet, could hand a shard off to this node
// just before it exits. The journal of this node is first listed as sealed in the
// map and then sealed.
func (d *Duty) retire(ctx context.Context) (bool, error) {
	retired := false
	err := d.updateMap(ctx, func(m *Map) bool {
		before := len(m.Sealed)
		retired = m.Retire(d.self)
		return len(m.Sealed) > before
	})
	if err != nil || !retired {
		return false, err
	}
	return true, fencedlog.Seal(ctx, d.store, d.self)
}
