package gateway

import (
	"context"
	"maps"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodline.example/ring"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/turnstore/turnpb"
	"dogwoodline.example/upstream"
)

const (
	// reachKeyPrefix begins the keys of the facts about fronts. The address of the
	// front follows.
	reachKeyPrefix = "front/"
	// reachCheckInterval is how often a front looks whether it is cut off from the
	// backend servers.
	reachCheckInterval = 200 * time.Millisecond
	// reachRepeat is how often a front that is cut off says so again, and reachTTL how
	// long others believe it. A front that restarts has nothing to take back.
	reachRepeat = 3 * time.Second
	reachTTL    = 10 * time.Second
)

// Detour opens connections to backend servers through other fronts.
type Detour interface {
	upstream.Detour
	// SetPeers replaces the addresses of the fronts that may be asked.
	SetPeers(addresses []string)
}

// reachability tells the other fronts whether this one is cut off from the backend
// servers, and knows which of them are. Its goroutine owns it.
type reachability struct {
	gateway     *Gateway
	announced   *ring.Ring[turnstore.Fact]
	newest      map[string]turnstore.Fact // by key
	cutOff      bool                      // what this front has said of itself
	version     uint64
	announcedAt time.Time
}

func newReachability(g *Gateway) *reachability {
	return &reachability{gateway: g, announced: g.turnStore.Announced(), newest: map[string]turnstore.Fact{}}
}

func (r *reachability) run(ctx context.Context) error {
	ticker := time.NewTicker(reachCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.announce(time.Now())
		case <-r.announced.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
		for fact, ok := r.announced.TryPop(); ok; fact, ok = r.announced.TryPop() {
			if strings.HasPrefix(fact.Key, reachKeyPrefix) && fact.Version > r.newest[fact.Key].Version {
				r.newest[fact.Key] = fact
			}
		}
		if err := r.publish(ctx, time.Now()); err != nil {
			return err
		}
	}
}

// announce tells the other fronts when this one is cut off, again and again while
// it is, and when it no longer is.
func (r *reachability) announce(now time.Time) {
	cutOff := r.gateway.pool.CutOff()
	if cutOff == r.cutOff && (!cutOff || now.Sub(r.announcedAt) <= reachRepeat) {
		return
	}
	if cutOff != r.cutOff {
		r.gateway.log.Warn("gateway: links to backend servers changed", "cut_off", cutOff)
	}
	value, err := proto.Marshal(&turnpb.FrontReach{CutOff: cutOff})
	if err != nil {
		panic("gateway: cannot encode what a front reaches: " + err.Error())
	}
	r.cutOff, r.announcedAt = cutOff, now
	r.version = max(r.version+1, uint64(now.UnixMilli())) // above those of earlier processes of this front
	fact := turnstore.Fact{Key: reachKeyPrefix + r.gateway.settings.Address, Version: r.version, Value: value, Expires: now.Add(reachTTL), Announced: true}
	r.gateway.turnStore.Send(fact.Record())
}

// publish makes the fronts that are cut off known to the other goroutines.
func (r *reachability) publish(ctx context.Context, now time.Time) error {
	cutOff := map[string]bool{}
	if r.cutOff {
		cutOff[r.gateway.settings.Address] = true
	}
	for key, fact := range r.newest {
		address := key[len(reachKeyPrefix):]
		var reach turnpb.FrontReach
		switch {
		case now.After(fact.Expires) || proto.Unmarshal(fact.Value, &reach) != nil:
			delete(r.newest, key)
		case reach.CutOff && address != r.gateway.settings.Address: // it knows best itself
			cutOff[address] = true
		}
	}
	if maps.Equal(cutOff, *r.gateway.cutOff.Load()) {
		return nil
	}
	r.gateway.log.Info("gateway: fronts without links to backend servers", "count", len(cutOff), "fronts", len(*r.gateway.fronts.Load()))
	r.gateway.cutOff.Store(&cutOff)
	return r.gateway.refreshFronts(ctx)
}

// servingFronts returns the fronts that clients should use: those that reach backend
// servers. If none does, the servers have gone, or all are cut off alike, and clients
// need to be answered all the same.
func (g *Gateway) servingFronts() []Front {
	all, cutOff := *g.fronts.Load(), *g.cutOff.Load()
	var serving []Front
	for _, front := range all {
		if !cutOff[front.Address] {
			serving = append(serving, front)
		}
	}
	if len(serving) == 0 {
		return all
	}
	return serving
}

// refreshFronts passes the fronts to the scheduler, and those that may open
// connections for this one to the pool.
func (g *Gateway) refreshFronts(ctx context.Context) error {
	serving := g.servingFronts()
	if g.settings.Detour != nil {
		g.settings.Detour.SetPeers(g.peers(serving))
	}
	known := knownFronts{}
	listed := map[string]bool{}
	for _, front := range selectFronts(serving, g.scheduler.slots()) {
		listed[front.Address] = true
		known.listed = append(known.listed, front.Address)
	}
	for _, front := range *g.fronts.Load() {
		if !listed[front.Address] {
			known.unlisted = append(known.unlisted, front.Address)
		}
	}
	return g.scheduler.messages.Push(ctx, schedulerMessage{fronts: &known})
}

// peers returns the addresses at which other fronts open connections for this one.
func (g *Gateway) peers(serving []Front) []string {
	cutOff := *g.cutOff.Load()
	var peers []string
	for _, front := range serving {
		if front.PeerAddress != "" && front.Address != g.settings.Address && !cutOff[front.Address] {
			peers = append(peers, front.PeerAddress)
		}
	}
	return peers
}

// CutOff reports whether this front is cut off from the backend servers although
// others reach them.
func (g *Gateway) CutOff() bool { return g.pool.CutOff() }

// KnowsBackend reports whether a backend server is registered under the address.
func (g *Gateway) KnowsBackend(address string) bool { return (*g.scheduler.addresses.Load())[address] }
