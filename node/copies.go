package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"dogwoodline.example/copies"
	"dogwoodline.example/fencedlog"
	"dogwoodline.example/membership"
	"dogwoodline.example/placement"
	"dogwoodline.example/rpc"
)

const (
	// collectTimeout bounds the answer of one holder. Copies have at most the
	// size of a journal's tail, 16 MB.
	collectTimeout = 2 * time.Second
	// maxAddresses bounds the remembered addresses of former members. 420
	// nodes start about 750 incarnations a day.
	maxAddresses = 4096
)

// holders chooses the holders of the own journal from the members.
type holders struct {
	view     func() *membership.View
	id, zone string
}

var _ fencedlog.HolderChooser = holders{}

// Holders implements fencedlog.Holders.
func (h holders) Holders() []string { return copies.ChooseHolders(h.view(), h.id, h.zone) }

// collector asks the holders of a sealed journal for its copies.
type collector struct {
	node *Node
	view func() *membership.View
}

var _ placement.Collector = collector{}

// Collect implements placement.Collector. The holder is gone when its process
// is replaced, or when it is no member and does not answer directly.
func (c collector) Collect(ctx context.Context, holder, incarnation string) ([]fencedlog.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if c.node.ran(holder) {
		return c.node.copies.Collect(ctx, incarnation)
	}
	member, live := c.view().ByIncarnation(holder)
	address := member.GRPC
	if !live {
		address = (*c.node.memberAddresses.Load())[holder]
	}
	if address == "" {
		return nil, placement.ErrHolderGone
	}
	held, err := c.node.links.CollectAt(ctx, address, holder, incarnation)
	switch {
	case err == nil:
		return held, nil
	case errors.Is(err, rpc.ErrNotHolder), !live && c.silent(ctx, address):
		return nil, errors.Join(placement.ErrHolderGone, err)
	default:
		return nil, err
	}
}

func (c collector) silent(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout)
	defer cancel()
	_, err := c.node.links.PingAt(ctx, address)
	return err != nil
}

// noteIncarnation remembers the names under which this process is a holder.
func (n *Node) noteIncarnation(name string) {
	names := append(slices.Clone(*n.incarnationNames.Load()), name)
	n.incarnationNames.Store(&names)
}

// ran reports whether this process is or was the incarnation.
func (n *Node) ran(name string) bool { return slices.Contains(*n.incarnationNames.Load(), name) }

// noteAddresses remembers where members are reached after they have lapsed.
func (n *Node) noteAddresses(current map[string]string) {
	known := *n.memberAddresses.Load()
	if len(known) > maxAddresses {
		known = nil
	}
	next := maps.Clone(current)
	for name, address := range known {
		if _, ok := next[name]; !ok {
			next[name] = address
		}
	}
	n.memberAddresses.Store(&next)
}

// needsJournal reports whether a journal may still be replayed or written. An
// unknown shard map may need any.
func (n *Node) needsJournal(incarnation string) bool {
	current := n.current.Load()
	if current == nil {
		return true
	}
	view := current.placement.View()
	_, live := view.Members.ByIncarnation(incarnation)
	return live || view.Members.StoreDown || len(view.Map.Shards) == 0 ||
		view.Map.Names(incarnation) || slices.Contains(view.Map.Sealed, incarnation)
}

// HoldCopies implements rpc.Handler.
func (h *peerHandler) HoldCopies(ctx context.Context, holder, incarnation string, c fencedlog.Copy) (copies.Verdict, error) {
	if !h.node.ran(holder) {
		return 0, rpc.ErrNotHolder
	}
	return h.node.copies.Hold(ctx, incarnation, c)
}

// CollectCopies implements rpc.Handler.
func (h *peerHandler) CollectCopies(ctx context.Context, holder, incarnation string) ([]fencedlog.Copy, error) {
	if !h.node.ran(holder) {
		return nil, rpc.ErrNotHolder
	}
	return h.node.copies.Collect(ctx, incarnation)
}

// DropCopies implements rpc.Handler.
func (h *peerHandler) DropCopies(ctx context.Context, holder, incarnation string, commit uint64) error {
	if !h.node.ran(holder) {
		return rpc.ErrNotHolder
	}
	return h.node.copies.Drop(ctx, incarnation, commit)
}
