package node

import (
	"context"
	"log/slog"

	"dogwoodline.example/placement"
	"dogwoodline.example/program"
	"dogwoodline.example/ring"
)

// crashSlots bounds the crash counts that wait to be sent to other nodes.
const crashSlots = 256

// shardDuty carries messages between the placement duty and the programs
// duty. It waits for neither, so that none of the two waits for the other.
type shardDuty struct {
	incarnation *incarnation
	log         *slog.Logger
	toPeers     *ring.Ring[[]program.Crash]
}

// crashes returns the ring of crash counts for the other nodes.
func (s *shardDuty) crashes() *ring.Ring[[]program.Crash] {
	if s.toPeers == nil {
		s.toPeers = ring.New[[]program.Crash](crashSlots)
	}
	return s.toPeers
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
				s.order(ctx, order)
			}
		case <-notices.Ready():
			for n, ok := notices.TryPop(); ok; n, ok = notices.TryPop() {
				s.notice(ctx, n)
			}
		}
	}
}

func (s *shardDuty) order(ctx context.Context, order placement.Order) {
	switch o := order.(type) {
	case placement.Adopt:
		change := shardChange{shard: o.Shard, action: adoptShard}
		for _, r := range o.Records {
			change.records = append(change.records, r.Data)
		}
		s.change(ctx, change)
	case placement.Serve:
		s.change(ctx, shardChange{shard: o.Shard, action: serveShard, epoch: int(o.Version)})
	case placement.Release:
		s.change(ctx, shardChange{shard: o.Shard, action: moveShard})
	case placement.Released:
		s.change(ctx, shardChange{shard: o.Shard, action: dropShard})
	case placement.Drained:
		select {
		case s.incarnation.drained <- o.Left:
		default:
		}
	}
}

// change hands a message to the programs duty, whose ring has room for two
// messages of each shard.
func (s *shardDuty) change(ctx context.Context, c shardChange) {
	_ = s.incarnation.programs.shards.Push(ctx, c)
}

func (s *shardDuty) notice(ctx context.Context, n notice) {
	messages := s.incarnation.placement.Messages()
	switch n.kind {
	case shardAdopted:
		_ = messages.Push(ctx, placement.Adopted{Shard: n.shard})
	case shardIdle:
		_ = messages.Push(ctx, placement.Idle{Shard: n.shard})
	case journalFenced:
		select {
		case s.incarnation.fenced <- struct{}{}:
		default:
		}
	case crashesCounted:
		if s.crashes().TryPush(n.crashes) != nil {
			s.log.Warn("shards: crash counts dropped, ring is full")
		}
	}
}
