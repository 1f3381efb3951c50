package role

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"dogwoodline.example/clientlimits"
	"dogwoodline.example/coordination"
	"dogwoodline.example/coordination/coordinationpb"
	"dogwoodline.example/copyset"
	"dogwoodline.example/gateway"
	"dogwoodline.example/gateway/where"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/netdial"
	"dogwoodline.example/newsfeed"
	"dogwoodline.example/platform"
	"dogwoodline.example/tunnel"
	"dogwoodline.example/tunnel/tunnelpb"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/upstream"
)

const (
	// callWorkers is the number of calls to backend servers that one front makes
	// concurrently. At the planned deployment sizes a burst is below 100 calls
	// per front.
	callWorkers = 384
	// answerMemoryShare is the fraction of the process's memory that answers of
	// backend servers may hold, above the few KiB that each may hold anyway.
	answerMemoryShare = 0.1
	// requestMemoryShare is the fraction that the bodies of requests may hold, above
	// the few KiB that each may hold anyway.
	requestMemoryShare = 0.25
	// addressTTL is how long clients may cache the list of fronts. It is short so
	// that clients soon stop using a front that was lost.
	addressTTL = time.Second
	// tunnelDialTimeout bounds the opening of a connection for another front, which
	// waits netdial.ConnectTimeout for the outcome.
	tunnelDialTimeout = 300 * time.Millisecond
)

// RunFront runs a front until the process receives SIGTERM or SIGINT.
func RunFront(out io.Writer) error { return runProcess("front", out, serveFront) }

func serveFront(ctx context.Context, p *process) error {
	turnStores := turnstore.NewClient(p.group, p.log, p.host.AvailabilityZone, p.host.ToleratedHostLosses, connect)
	detour := tunnel.NewClient(p.log, connect)
	defer detour.Close()
	quotas := p.newQuotas()
	g := gateway.New(p.group, p.log, p.metricSet, gateway.Settings{
		Address: p.host.FrontAddress, Zone: p.host.AvailabilityZone, CallWorkers: callWorkers,
		AnswerBytes:  int64(answerMemoryShare * float64(p.host.MemoryBytes)),
		RequestBytes: int64(requestMemoryShare * float64(p.host.MemoryBytes)),
		AddressTTL:   min(addressTTL, p.host.MaxAddressTTL), MaxAddresses: platform.MaxAddresses,
		Detour: detour, Incarnations: platform.Incarnations{}, Quota: quotas, ContendedCapacity: p.host.ContendedCapacity,
		MaxTableAge: maxTableAge(p.host),
	}, platform.DecodeRequest, platform.Codec{}, turnStores)
	whereHandler := where.Handler(g)
	p.where.Store(&whereHandler)
	fronts := &frontList{}
	exchange := p.coordinate(g, fronts, quotas, g.ServerStatistics())
	quotas.SetWake(exchange.Wake)
	reader := newsfeed.NewReader(p.store, p.log, connect)
	batchDelay := func() time.Duration {
		if reader.FollowsFeed() {
			return 0 // the feed already delivers changes in batches
		}
		return frontBatchDelay(p.currentHost())
	}
	var configs platform.ConfigDecoder // only the duty that follows the store uses it
	p.followStore(reader, membership.FollowOptions{WatchWait: frontWatchWait, BatchDelay: batchDelay, StaleFirstList: true}, &follower{onWatched: func() { g.ConfirmTable(time.Now().Add(-reader.WatchAge())) }, subscriptions: []subscription{
		configSubscription(p.log, func(value []byte) error {
			table, err := configs.Decode(value)
			if err == nil && g.SetTable(table) {
				quotas.SetLimits(quotaLimits(table))
				p.budgets.setLimits(table.Limits)
			}
			return err
		}),
		backendsSubscription(g),
		copySetSubscription(p.log, func(ctx context.Context, set copyset.Set) { _ = turnStores.SetCopySet(ctx, set) }),
		membersSubscription(p.log, func(ctx context.Context, members map[string]membership.Member) {
			fronts.followFronts(ctx, g, members)
			reader.SetFeeds(feedAddresses(members, p.host))
		}),
	}})
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return upstream.DialTCP(ctx, address, tunnelDialTimeout)
	}
	tunnels := tunnel.NewServer(p.group, p.log, dial, g.KnowsBackend, g.CutOff)
	p.member.HTTP, p.member.Cores = p.host.FrontAddress, p.host.Cores
	p.member.GRPC = p.servePeers(ctx, tunnels, exchange)
	if err := p.listenFront(ctx, g); err != nil {
		return err
	}
	p.register()
	p.group.Go("presence", func(ctx context.Context) error { return p.publishReadiness(ctx, g) })
	p.awaitStop()
	p.drain(ctx, g, func() int { return g.ActiveRequests() + tunnels.Active() })
	return nil
}

// servePeers starts the gRPC server at which other fronts ask for connections to
// backend servers and report to this one. It returns its address, or an empty text if
// no port is free: another process of the host may use the first ones.
func (p *process) servePeers(ctx context.Context, tunnels *tunnel.Server, exchange *coordination.Exchange) string {
	for port := p.host.PeerPorts[0]; port <= p.host.PeerPorts[1]; port++ {
		address := net.JoinHostPort(p.host.IP, strconv.Itoa(port))
		listener, err := netdial.Listen(ctx, address)
		if err != nil {
			p.log.Info("role: port for other fronts not opened", "address", address, "error", err)
			continue
		}
		server := newGRPCServer()
		tunnelpb.RegisterTunnelServer(server, tunnels)
		coordinationpb.RegisterCoordinationServer(server, exchange)
		p.group.Go("grpc-accept", func(context.Context) error { return server.Serve(p.budgets.peers.Wrap(listener, clientlimits.HTTP2)) })
		p.onStop = append(p.onStop, server.Stop)
		return address
	}
	p.log.Error("role: no port for other fronts is free, they get no connections and cannot report")
	return ""
}

const (
	// readyCheckInterval is how often a front checks whether it can serve.
	readyCheckInterval = 100 * time.Millisecond
	// minReadyTime is how long a front must have been able to serve without
	// interruption before clients are sent to it again.
	minReadyTime = 500 * time.Millisecond
)

// publishReadiness takes the front out of the directory while it cannot serve,
// for example because it cannot reach the turn stores. It runs until ctx ends.
func (p *process) publishReadiness(ctx context.Context, g *gateway.Gateway) error {
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	listed := true
	wasReady := g.Ready() // a front that has not been ready yet stays in the directory
	var readySince time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		ready := g.Ready()
		wasReady = wasReady || ready
		switch {
		case !ready && listed && wasReady && !g.Draining():
			p.log.Warn("role: front cannot serve, leaving the directory")
			p.sendCommand(ctx, membership.SetDraining{})
			listed = false
		case !ready:
			readySince = time.Time{}
		case !listed && readySince.IsZero():
			readySince = time.Now()
		case !listed && time.Since(readySince) > minReadyTime && !g.Draining():
			p.log.Info("role: front can serve again")
			p.sendCommand(ctx, membership.SetDraining{Off: true})
			listed = true
		}
	}
}

// activeFronts returns the fronts among the members that are not draining.
func activeFronts(members map[string]membership.Member) []gateway.Front {
	var fronts []gateway.Front
	for _, m := range members {
		if m.HTTP != "" && !m.Draining {
			fronts = append(fronts, gateway.Front{Address: m.HTTP, Zone: m.Zone, Cores: m.Cores, PeerAddress: m.GRPC})
		}
	}
	return fronts
}

// feedAddresses returns the addresses of the stores from which the front on the
// host may receive changes of the platform's store. Stores in the front's own
// availability zone come first; within a zone the order differs between fronts,
// so that they spread over the stores.
func feedAddresses(members map[string]membership.Member, host platform.Host) []string {
	var stores []membership.Member
	for _, m := range members {
		if m.Disk != "" && m.GRPC != "" && !m.Draining {
			stores = append(stores, m)
		}
	}
	distance := func(m membership.Member) int {
		if m.Zone == host.AvailabilityZone {
			return 0
		}
		return 1
	}
	slices.SortFunc(stores, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)),
			cmp.Compare(xxhash.Sum64String(host.Name+a.ID), xxhash.Sum64String(host.Name+b.ID)))
	})
	addresses := make([]string, 0, len(stores))
	for _, m := range stores {
		addresses = append(addresses, m.GRPC)
	}
	return addresses
}

// backendsSubscription passes the registrations of backend servers on to the
// scheduler.
func backendsSubscription(g *gateway.Gateway) subscription {
	backendID := func(key string) string { return key[len(platform.BackendPrefix):] }
	return subscription{
		prefix: platform.BackendPrefix,
		onChange: func(ctx context.Context, item kvstore.Item, deleted, recentOutage bool) {
			change := gateway.FleetUpdate{Remove: backendID(item.Key), StoreWasUnavailable: recentOutage}
			if backend, ok := platform.DecodeBackend(item.Key, item.Value); ok && !deleted {
				change = gateway.FleetUpdate{Put: &backend}
			}
			_ = g.UpdateFleet(ctx, change) // fails only when the process stops
		},
		onList: func(ctx context.Context, keys map[string]bool, recentOutage bool) {
			present := map[string]bool{}
			for key := range keys {
				present[backendID(key)] = true
			}
			_ = g.UpdateFleet(ctx, gateway.FleetUpdate{Present: present, StoreWasUnavailable: recentOutage})
		},
	}
}

// listenFront starts the HTTP servers of a front: client requests, readiness
// checks and the directory of fronts.
func (p *process) listenFront(ctx context.Context, g *gateway.Gateway) error {
	ready := chi.NewRouter()
	ready.Get(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	directory := chi.NewRouter()
	directory.Get(platform.ResolvePath, func(w http.ResponseWriter, r *http.Request) {
		addresses, ttl := g.Addresses(platform.ClientZone(r))
		if len(addresses) == 0 {
			http.Error(w, "no front is ready", http.StatusServiceUnavailable)
			return
		}
		if err := platform.WriteAddresses(w, addresses, ttl); err != nil {
			p.log.Info("role: address list not sent", "error", err)
		}
	})
	for _, s := range []struct {
		address string
		budget  *clientlimits.Budget
		handler http.Handler
	}{
		{p.host.FrontAddress, p.budgets.callers, g}, {p.host.ReadyAddress, p.budgets.operators, ready},
		{p.host.DirectoryAddress, p.budgets.directory, directory},
	} {
		if s.address == "" {
			continue
		}
		if err := p.listen(ctx, s.address, s.budget, s.handler); err != nil {
			return err
		}
	}
	return nil
}
