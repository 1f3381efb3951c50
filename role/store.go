package role

import (
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"google.golang.org/grpc"

	"dogwoodline.example/clientlimits"
	"dogwoodline.example/copyset"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/netdial"
	"dogwoodline.example/newsfeed"
	"dogwoodline.example/newsfeed/feedpb"
	"dogwoodline.example/platform"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/turnstore/turnpb"
)

// storeStopTimeout is how long a stopping store waits for gRPC calls in progress.
const storeStopTimeout = time.Second

// RunStore runs a turn store until the process receives SIGTERM or SIGINT.
func RunStore(out io.Writer) error { return runProcess("store", out, serveStore) }

func serveStore(ctx context.Context, p *process) error {
	if p.host.DataDir == "" {
		return Error.New("DataDir is empty: a store needs a host with a disk")
	}
	server, err := turnstore.NewServer(p.group, p.log, p.host.DataDir, turnstore.Limits{MemoryBytes: p.host.MemoryBytes, DiskBytes: p.host.DiskBytes})
	if err != nil {
		return err
	}
	address := net.JoinHostPort(p.host.IP, strconv.Itoa(p.host.PeerPorts[0]))
	listener, err := netdial.Listen(ctx, address)
	if err != nil {
		return Error.Wrap(err)
	}
	grpcServer := newGRPCServer()
	turnpb.RegisterTurnStoreServer(grpcServer, server)
	feed := newsfeed.NewHub(p.group)
	feedpb.RegisterFeedServer(grpcServer, feed)
	p.group.Go("grpc-accept", func(context.Context) error {
		return grpcServer.Serve(p.budgets.peers.Wrap(listener, clientlimits.HTTP2))
	})

	self := copyset.Member{Host: p.host.Name, Address: address, Zone: p.host.AvailabilityZone}
	report := func(done bool) (string, []byte) { return platform.RetireReport(p.host.Name, done) }
	joiner := turnstore.NewJoiner(server, p.store, p.log, self, p.host.ToleratedHostLosses, report, connect)
	p.group.Go("joiner", joiner.Run)
	p.group.Go("repairer", turnstore.NewRepairer(server, p.log, p.host.AvailabilityZone, connect).Run)
	notify := func(ctx context.Context, update turnstore.Update) { _ = joiner.Updates().Push(ctx, update) } // fails only when the process stops
	copySets := copySetSubscription(p.log, func(ctx context.Context, set copyset.Set) { notify(ctx, turnstore.Update{CopySet: &set}) })
	copySets.onList = func(ctx context.Context, keys map[string]bool, _ bool) {
		if !keys[copyset.Key] {
			notify(ctx, turnstore.Update{CopySet: &copyset.Set{}})
		}
	}
	options := membership.FollowOptions{WatchWait: storeWatchWait, BatchDelay: func() time.Duration { return storeBatchDelay(p.currentHost(), joiner.Stable()) }}
	p.followStore(p.store, options, &follower{
		subscriptions: []subscription{
			// The order to retire comes first, so that a store that restarts after
			// it has left does not join again.
			retireSubscription(p, notify), copySets, disksSubscription(p, notify),
		},
		onStoreLost: func(ctx context.Context) { notify(ctx, turnstore.Update{PlatformStoreLost: true}) },
		feed:        feed,
	})
	p.member.GRPC, p.member.Disk = address, server.Disk()
	p.register()
	p.awaitStop()
	p.sendCommand(ctx, membership.Leave{})
	stopGRPC(grpcServer)
	return nil
}

// stopGRPC stops a server once the calls in progress have ended, or when they have had
// storeStopTimeout.
func stopGRPC(server *grpc.Server) {
	stop := time.AfterFunc(storeStopTimeout, server.Stop)
	server.GracefulStop()
	stop.Stop()
}

// disksSubscription reports the disks whose stores are registered.
func disksSubscription(p *process, notify func(context.Context, turnstore.Update)) subscription {
	return membersSubscription(p.log, func(ctx context.Context, members map[string]membership.Member) {
		present := map[string]bool{}
		for _, m := range members {
			if m.Disk != "" {
				present[m.Disk] = true
			}
		}
		notify(ctx, turnstore.Update{RegisteredDisks: present})
	})
}

// retireSubscription reports when the operator orders the retirement of this
// host's disk.
func retireSubscription(p *process, notify func(context.Context, turnstore.Update)) subscription {
	key := platform.RetireKey(p.host.Name)
	return subscription{prefix: key, onChange: func(ctx context.Context, item kvstore.Item, deleted, _ bool) {
		if item.Key != key || deleted {
			return
		}
		within, err := platform.DecodeRetireOrder(item.Value)
		if err != nil {
			p.log.Error("role: time of the retirement not decoded, retiring at once", "revision", item.Version, "error", err)
		}
		p.log.Info("role: operator ordered the retirement of the disk", "revision", item.Version, "within_ms", within.Milliseconds())
		notify(ctx, turnstore.Update{Retire: &turnstore.RetireOrder{Within: within}})
	}}
}
