package role

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"dogwoodline.example/copyset"
	"dogwoodline.example/gateway"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/newsfeed"
	"dogwoodline.example/platform"
	"dogwoodline.example/turnstore"
)

const (
	// callerCount is the number of calls that one front makes at once. A
	// burst on the planned sizes is below 100 a front.
	callerCount = 384
	// addressTTL is how long clients may keep the list of fronts: short, so
	// that a lost front is left soon.
	addressTTL = time.Second
	// drainMargin is the way of the last news and addresses.
	drainMargin = 300 * time.Millisecond
	// drainReserve is kept of the time before the platform kills the process.
	drainReserve = 700 * time.Millisecond
	// drainPoll is how often a stopping front looks whether it is done.
	drainPoll = 20 * time.Millisecond
)

// RunFront runs a front until it is asked to stop.
func RunFront(out io.Writer) error { return start("front", out, serveFront) }

func serveFront(ctx context.Context, p *process) error {
	keeper := turnstore.NewKeeper(p.group, p.log, p.host.AvailabilityZone, p.host.LostHosts, connect)
	g := gateway.New(p.group, p.log, p.set, gateway.Settings{
		Address: p.host.FrontAddress, Zone: p.host.AvailabilityZone, Callers: callerCount,
		AddressTTL: min(addressTTL, p.host.LongestAddressTTL), MostAddresses: platform.MostAddresses,
	}, platform.DecodeRequest, platform.Codec{}, keeper)
	reader := newsfeed.NewReader(p.store, p.log, connect)
	gather := func() time.Duration {
		if reader.Fed() {
			return 0 // news have gathered at the feed
		}
		return frontGather(p.host)
	}
	p.follow(reader, membership.Pace{Wait: watchWait, Gather: gather}, &follower{topics: []topic{
		configTopic(p.log, func(value []byte) error {
			table, err := platform.DecodeConfig(value)
			if err == nil {
				g.SetTable(table)
			}
			return err
		}),
		backendsTopic(g),
		copiesTopic(p.log, func(ctx context.Context, set copyset.Set) { _ = keeper.SetCopies(ctx, set) }),
		membersTopic(p.log, func(_ context.Context, members map[string]membership.Member) {
			g.SetFronts(frontsOf(members))
			reader.SetFeeds(feedsOf(members, p.host))
		}),
	}})
	p.member.HTTP, p.member.Cores = p.host.FrontAddress, p.host.Cores
	if err := p.listenFront(ctx, g); err != nil {
		return err
	}
	p.register()
	p.group.Go("presence", func(ctx context.Context) error { return p.keepPresence(ctx, g) })
	p.awaitStop()
	p.drain(ctx, g)
	return nil
}

const (
	// presenceEvery is how often a front looks whether it can serve.
	presenceEvery = 100 * time.Millisecond
	// presenceCalm is how long a front must be able to serve before clients
	// are sent to it again.
	presenceCalm = 500 * time.Millisecond
)

// keepPresence is the duty that takes a front out of the directory while it
// cannot serve, for example because it does not reach the turn stores.
func (p *process) keepPresence(ctx context.Context, g *gateway.Gateway) error {
	ticker := time.NewTicker(presenceEvery)
	defer ticker.Stop()
	listed := true
	began := g.Ready() // a front that has never been ready keeps its record
	var since time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		ready := g.Ready()
		began = began || ready
		switch {
		case !ready && listed && began && !g.Stopping():
			p.log.Warn("role: front cannot serve, leaving the directory")
			p.tell(ctx, membership.SetDraining{})
			listed = false
		case !ready:
			since = time.Time{}
		case !listed && since.IsZero():
			since = time.Now()
		case !listed && time.Since(since) > presenceCalm && !g.Stopping():
			p.log.Info("role: front can serve again")
			p.tell(ctx, membership.SetDraining{Off: true})
			listed = true
		}
	}
}

func frontsOf(members map[string]membership.Member) []gateway.Front {
	var fronts []gateway.Front
	for _, m := range members {
		if m.HTTP != "" && !m.Draining {
			fronts = append(fronts, gateway.Front{Address: m.HTTP, Zone: m.Zone, Cores: m.Cores})
		}
	}
	return fronts
}

// feedsOf returns where a front may follow the platform's store: the stores of
// its availability zone first, in an order that differs between fronts.
func feedsOf(members map[string]membership.Member, host platform.Host) []string {
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

// backendsTopic passes the registrations of backend servers to the scheduler.
func backendsTopic(g *gateway.Gateway) topic {
	id := func(key string) string { return key[len(platform.BackendKeys):] }
	return topic{
		prefix: platform.BackendKeys,
		changed: func(ctx context.Context, item kvstore.Item, deleted, storeWasAway bool) {
			news := gateway.FleetNews{Remove: id(item.Key), StoreWasAway: storeWasAway}
			if backend, ok := platform.DecodeBackend(item.Key, item.Value); ok && !deleted {
				news = gateway.FleetNews{Put: &backend}
			}
			_ = g.Learn(ctx, news) // fails only when the process ends
		},
		listed: func(ctx context.Context, keys map[string]bool, storeWasAway bool) {
			present := map[string]bool{}
			for key := range keys {
				present[id(key)] = true
			}
			_ = g.Learn(ctx, gateway.FleetNews{Present: present, StoreWasAway: storeWasAway})
		},
	}
}

func (p *process) listenFront(ctx context.Context, g *gateway.Gateway) error {
	ready := chi.NewRouter()
	ready.Get(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	directory := chi.NewRouter()
	directory.Get(platform.ResolvePath, func(w http.ResponseWriter, r *http.Request) {
		addresses, ttl := g.Addresses(platform.ResolveZone(r))
		if len(addresses) == 0 {
			http.Error(w, "no front is ready", http.StatusServiceUnavailable)
			return
		}
		if err := platform.EncodeAddresses(w, addresses, ttl); err != nil {
			p.log.Info("role: addresses not sent", "error", err)
		}
	})
	for address, handler := range map[string]http.Handler{
		p.host.FrontAddress: g, p.host.ReadyAddress: ready, p.host.DirectoryAddress: directory,
	} {
		if address == "" {
			continue
		}
		if err := p.listen(ctx, address, handler); err != nil {
			return err
		}
	}
	return nil
}

// drain ends a front without ending a request: others learn at once that it
// leaves, and it serves until clients have moved on.
func (p *process) drain(ctx context.Context, g *gateway.Gateway) {
	begun := time.Now()
	g.Drain()
	p.tell(ctx, membership.SetDraining{})
	// All fronts must know, and clients must have asked for addresses again;
	// some keep them three times as long.
	shortest := frontGather(p.host) + 3*addressTTL + drainMargin
	longest := p.host.StopWindow - drainReserve
	for time.Since(begun) < longest && (time.Since(begun) < shortest || g.Running() > 0) {
		time.Sleep(drainPoll)
	}
	p.log.Info("role: drained", "took_ms", time.Since(begun).Milliseconds(), "running", g.Running())
	p.tell(ctx, membership.Leave{})
	ctx, cancel := context.WithTimeout(ctx, drainReserve/2)
	defer cancel()
	for _, server := range p.servers {
		if err := server.Shutdown(ctx); err != nil {
			p.log.Warn("role: connections cut at the end", "error", err)
		}
	}
}
