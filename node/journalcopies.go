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
	// collectTimeout bounds the request for the copies at one holder. They are
	// at most as large as a journal's tail, 16 MB.
	collectTimeout = 2 * time.Second
	// maxAddresses bounds the remembered addresses of former members. A
	// deployment of 420 nodes starts about 750 incarnations a day.
	maxAddresses = 4096
)

// holderChooser chooses the members that hold copies of this node's journal.
type holderChooser struct {
	view     func() *membership.View
	id, zone string
}

var _ fencedlog.HolderChooser = holderChooser{}

// Holders implements fencedlog.HolderChooser.
func (h holderChooser) Holders() []string { return copies.ChooseHolders(h.view(), h.id, h.zone) }

// copyCollector fetches the copies of a sealed journal from their holders.
type copyCollector struct {
	node *Node
	view func() *membership.View
}

var _ placement.Collector = copyCollector{}

// Collect implements placement.Collector. The holder is gone when its process
// was replaced, or when it is not a member and does not answer a direct ping.
func (c copyCollector) Collect(ctx context.Context, holder, incarnation string) ([]fencedlog.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if c.node.isOwnIncarnation(holder) {
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
	case errors.Is(err, rpc.ErrNotHolder), !live && c.unreachable(ctx, address):
		return nil, errors.Join(placement.ErrHolderGone, err)
	default:
		return nil, err
	}
}

// unreachable reports whether no node answers a ping at an address.
func (c copyCollector) unreachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout)
	defer cancel()
	_, err := c.node.links.PingAt(ctx, address)
	return err != nil
}

// rememberIncarnation adds a name under which this process holds copies.
func (n *Node) rememberIncarnation(name string) {
	names := append(slices.Clone(*n.incarnationNames.Load()), name)
	n.incarnationNames.Store(&names)
}

// isOwnIncarnation reports whether this process is or was the incarnation.
func (n *Node) isOwnIncarnation(name string) bool {
	return slices.Contains(*n.incarnationNames.Load(), name)
}

// rememberAddresses records the addresses of the members and keeps those of
// former members, which may still be reachable after their leases lapsed.
func (n *Node) rememberAddresses(current map[string]string) {
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

// needsJournal reports whether a journal may still be replayed or written to.
// While the shard map is not known, every journal may be needed.
func (n *Node) needsJournal(incarnation string) bool {
	current := n.current.Load()
	if current == nil {
		return true
	}
	view := current.placement.View()
	_, live := view.Members.ByIncarnation(incarnation)
	return live || view.Members.StoreDown || len(view.Map.Shards) == 0 ||
		view.Map.References(incarnation) || slices.Contains(view.Map.Sealed, incarnation)
}

// HoldCopies implements rpc.Handler.
func (h *peerHandler) HoldCopies(ctx context.Context, holder, incarnation string, c fencedlog.Copy) (copies.Verdict, error) {
	if !h.node.isOwnIncarnation(holder) {
		return 0, rpc.ErrNotHolder
	}
	return h.node.copies.Hold(ctx, incarnation, c)
}

// CollectCopies implements rpc.Handler.
func (h *peerHandler) CollectCopies(ctx context.Context, holder, incarnation string) ([]fencedlog.Copy, error) {
	if !h.node.isOwnIncarnation(holder) {
		return nil, rpc.ErrNotHolder
	}
	return h.node.copies.Collect(ctx, incarnation)
}

// DropCopies implements rpc.Handler.
func (h *peerHandler) DropCopies(ctx context.Context, holder, incarnation string, commit uint64) error {
	if !h.node.isOwnIncarnation(holder) {
		return rpc.ErrNotHolder
	}
	return h.node.copies.Drop(ctx, incarnation, commit)
}
