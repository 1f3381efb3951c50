package node

import (
	"context"
	"log/slog"

	"dogwoodline.example/placement"
	"dogwoodline.example/program"
	"dogwoodline.example/ring"
)

// crashRingSize bounds the batches of crash counts that wait to be sent to other
// nodes.
const crashRingSize = 256

// shardDuty is the duty that passes messages between the placement duty and the
// programs duty, so that neither of these waits for the other. The rings that it
// writes to are sized so that it does not have to wait either.
type shardDuty struct {
	incarnation *incarnation
	log         *slog.Logger
	crashRing   *ring.Ring[[]program.Crash]
}

// crashCounts returns the ring of crash counts for the other nodes and creates it
// if needed.
func (s *shardDuty) crashCounts() *ring.Ring[[]program.Crash] {
	if s.crashRing == nil {
		s.crashRing = ring.New[[]program.Crash](crashRingSize)
	}
	return s.crashRing
}

func (s *shardDuty) run(ctx context.Context) error {
	orders := s.incarnation.placement.Orders()
	notices := s.incarnation.programs.notices
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-orders.Ready():
			for order, ok := orders.TryPop(); ok; order, ok = orders.TryPop() {
				s.handleOrder(ctx, order)
			}
		case <-notices.Ready():
			for n, ok := notices.TryPop(); ok; n, ok = notices.TryPop() {
				s.handleNotice(ctx, n)
			}
		}
	}
}

func (s *shardDuty) handleOrder(ctx context.Context, order placement.Command) {
	switch o := order.(type) {
	case placement.Adopt:
		change := shardChange{shard: o.Shard, action: adoptShard}
		for _, r := range o.Records {
			change.records = append(change.records, r.Data)
		}
		s.sendChange(ctx, change)
	case placement.Serve:
		s.sendChange(ctx, shardChange{shard: o.Shard, action: serveShard, epoch: int(o.Version)})
	case placement.Release:
		s.sendChange(ctx, shardChange{shard: o.Shard, action: moveShard})
	case placement.Released:
		s.sendChange(ctx, shardChange{shard: o.Shard, action: dropShard})
	case placement.Drained:
		select {
		case s.incarnation.drained <- o.ShardsLeft:
		default:
		}
	}
}

// sendChange sends a change to the programs duty, whose ring has room for two
// changes per shard.
func (s *shardDuty) sendChange(ctx context.Context, c shardChange) {
	_ = s.incarnation.programs.shards.Push(ctx, c)
}

func (s *shardDuty) handleNotice(ctx context.Context, n notice) {
	messages := s.incarnation.placement.Messages()
	switch n.kind {
	case shardAdopted:
		_ = messages.Push(ctx, placement.Adopted{Shard: n.shard})
	case shardIdle:
		_ = messages.Push(ctx, placement.ShardIdle{Shard: n.shard})
	case journalFenced:
		select {
		case s.incarnation.fenced <- struct{}{}:
		default:
		}
	case crashCountsChanged:
		if s.crashCounts().TryPush(n.crashes) != nil {
			s.log.Warn("shards: crash counts dropped, the ring to the other nodes is full")
		}
	}
}
