package role

import (
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"google.golang.org/grpc"

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

// storeStop is how long a stopping store lets messages in progress end.
const storeStop = time.Second

// RunStore runs a turn store until it is asked to stop.
func RunStore(out io.Writer) error { return start("store", out, serveStore) }

func serveStore(ctx context.Context, p *process) error {
	if p.host.DataDir == "" {
		return Error.New("DataDir is empty: a store runs on hosts with a disk only")
	}
	server, err := turnstore.NewServer(p.group, p.log, p.host.DataDir, p.host.MemoryBytes)
	if err != nil {
		return err
	}
	address := net.JoinHostPort(p.host.IP, strconv.Itoa(p.host.PeerPorts[0]))
	listener, err := netdial.Listen(ctx, address)
	if err != nil {
		return Error.Wrap(err)
	}
	messages := grpc.NewServer(grpc.MaxRecvMsgSize(mostMessage), grpc.MaxSendMsgSize(mostMessage))
	turnpb.RegisterTurnStoreServer(messages, server)
	feed := newsfeed.NewHub(p.group)
	feedpb.RegisterFeedServer(messages, feed)
	p.group.Go("grpc-accept", func(context.Context) error { return messages.Serve(listener) })

	self := copyset.Member{Host: p.host.Name, Address: address, Zone: p.host.AvailabilityZone}
	report := func(done bool) (string, []byte) { return platform.RetireReport(p.host.Name, done) }
	joiner := turnstore.NewJoiner(server, p.store, p.log, self, p.host.LostHosts, report, connect)
	p.group.Go("joiner", joiner.Run)
	news := func(ctx context.Context, n turnstore.News) { _ = joiner.News().Push(ctx, n) } // fails only when the process ends
	copies := copiesTopic(p.log, func(ctx context.Context, set copyset.Set) { news(ctx, turnstore.News{Copies: &set}) })
	copies.listed = func(ctx context.Context, keys map[string]bool, _ bool) {
		if !keys[copyset.Key] {
			news(ctx, turnstore.News{Copies: &copyset.Set{}})
		}
	}
	pace := membership.Pace{Wait: storeWatchWait, Gather: func() time.Duration { return storeGather(p.host, joiner.Settled()) }}
	p.follow(p.store, pace, &follower{
		topics: []topic{copies, presentTopic(p, news), retireTopic(p, news)},
		onLost: func(ctx context.Context) { news(ctx, turnstore.News{StoreLost: true}) },
		feed:   feed,
	})
	p.member.GRPC, p.member.Disk = address, server.Disk()
	p.register()
	p.awaitStop()
	p.tell(ctx, membership.Leave{})
	stop := time.AfterFunc(storeStop, messages.Stop)
	messages.GracefulStop()
	stop.Stop()
	return nil
}

// presentTopic tells which disks' stores are registered.
func presentTopic(p *process, news func(context.Context, turnstore.News)) topic {
	return membersTopic(p.log, func(ctx context.Context, members map[string]membership.Member) {
		present := map[string]bool{}
		for _, m := range members {
			if m.Disk != "" {
				present[m.Disk] = true
			}
		}
		news(ctx, turnstore.News{Present: present})
	})
}

// retireTopic tells when the operator orders this host's disk to be emptied.
func retireTopic(p *process, news func(context.Context, turnstore.News)) topic {
	key := platform.RetireKey(p.host.Name)
	return topic{prefix: key, changed: func(ctx context.Context, item kvstore.Item, deleted, _ bool) {
		if item.Key == key && !deleted {
			p.log.Info("role: retirement ordered", "revision", item.Version)
			news(ctx, turnstore.News{Retire: true})
		}
	}}
}
