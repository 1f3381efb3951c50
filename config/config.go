// Package config is the part of a node that owns the declared resources.
//
// It consists of duties that are joined by rings:
//
//   - config owns the resource set and publishes it as an immutable snapshot;
//   - config-commands carries operators' writes to the platform store;
//   - config-watch follows the platform store;
//   - config-push sends accepted changes to the peers;
//   - config-pull compares the set with a random peer.
//
// A write is accepted when the compare-and-swap in the platform store
// succeeded. From then on it reaches every node through at least one of watch,
// push and pull, also while the store is down. A set never goes back to an
// older version of a resource, because only greater versions are applied.
package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"dogwoodline.example/duty"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
)

// Error is the class of all errors of this package.
var Error = errs.Class("config")

const (
	// Operators' writes are rare (32,000 a day, design page section 1.7); the
	// rings cover a burst of them.
	commandRing = 64
	updateRing  = 64
	offerRing   = 256
	pushRing    = 256

	// Prefix is the key prefix of the resources in the platform store.
	Prefix = "resource/"

	// pullInterval is the time between comparisons with a random peer. With
	// exchange in both directions a change reaches 7 nodes in about three
	// rounds, within the bound of 11 s.
	pullInterval = 2 * time.Second
	// startInterval is the time between pulls until the first full view.
	startInterval = 250 * time.Millisecond
	// watchWait is the length of a long poll.
	watchWait = 10 * time.Second
	// retryFirst and retryLongest bound the wait after a failed watch.
	retryFirst   = 250 * time.Millisecond
	retryLongest = 2 * time.Second
	// commandTimeout bounds the attempts to get a definite answer from the
	// platform store. Commands wait for each other.
	commandTimeout = 5 * time.Second
	// peerTimeout bounds a push or pull, so that a half-open link to one
	// peer delays the next round by less than one interval.
	peerTimeout = time.Second
)

// Peers is the way to the other nodes. Every method may block up to the end
// of ctx.
type Peers interface {
	// List returns the names of the other live nodes. It does not block.
	List() []string
	// Push sends the changes to the named peers, to all at the same time. A
	// peer that does not get them is left to its next pull.
	Push(ctx context.Context, peers []string, changes []resource.Change)
	// Pull asks one peer for the changes that the request shows as missing.
	Pull(ctx context.Context, peer string, request PullRequest) (PullAnswer, error)
}

// PullRequest describes the set of the node that asks.
type PullRequest struct {
	Complete kvstore.Version `json:"complete"`
	Digest   uint64          `json:"digest"`
}

// PullAnswer holds what the asking node lacks, and describes the set of the
// answering node. Ready tells whether that node had a full view itself.
type PullAnswer struct {
	Ready    bool              `json:"ready"`
	Changes  []resource.Change `json:"changes,omitempty"`
	Complete kvstore.Version   `json:"complete"`
	Digest   uint64            `json:"digest"`
}

// Notice tells another duty that the snapshot changed. A ring of notices may
// hold one notice for several changes.
type Notice struct {
	Revision kvstore.Version
}

// Settings of a Config. All fields are required.
type Settings struct {
	Store  kvstore.Store
	Peers  Peers
	Clock  clockwork.Clock
	Random rand.Source
	Log    *slog.Logger
}

// Config holds the rings and the snapshot. Its methods may be called by any
// goroutine.
type Config struct {
	settings Settings

	snapshot atomic.Pointer[resource.Set] // written by the config duty only
	ready    atomic.Bool                  // written by the config duty only

	commands *ring.Ring[*command]
	updates  *ring.Ring[update] // from the other duties of this package
	offers   *ring.Ring[update] // from peers
	pushes   *ring.Ring[push]
	stopped  chan struct{} // closed when commands are no longer carried out

	subscribers []*ring.Ring[Notice] // fixed by Start
	started     bool
}

// New returns a Config with an empty snapshot. Start makes it work.
func New(settings Settings) *Config {
	c := &Config{
		settings: settings,
		commands: ring.New[*command](commandRing),
		updates:  ring.New[update](updateRing),
		offers:   ring.New[update](offerRing),
		pushes:   ring.New[push](pushRing),
		stopped:  make(chan struct{}),
	}
	c.snapshot.Store(resource.NewSet())
	return c
}

// Subscribe returns a ring with one slot for the duty that consumes it. A
// notice that waits covers all changes up to the time it is read. Subscribe
// is called before Start.
func (c *Config) Subscribe() *ring.Ring[Notice] {
	if c.started {
		panic("config: Subscribe after Start")
	}
	notices := ring.New[Notice](1)
	c.subscribers = append(c.subscribers, notices)
	return notices
}

// Start starts the duties. It is called once.
func (c *Config) Start(group *duty.Group) {
	if c.started {
		panic("config: Start called twice")
	}
	c.started = true
	group.Depth("config", "updates", c.updates.Len)
	group.Depth("config", "offers", c.offers.Len)
	group.Depth("config-commands", "commands", c.commands.Len)
	group.Depth("config-push", "pushes", c.pushes.Len)
	// Each duty that draws random numbers has a generator of its own.
	seeds := rand.New(c.settings.Random)
	commands := &commander{config: c, random: rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))}
	pulls := &puller{config: c, random: rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))}
	owner := &owner{config: c, timer: group.Timer("config")}
	group.Go("config", owner.run)
	group.Go("config-commands", commands.run)
	group.Go("config-watch", c.watch)
	group.Go("config-push", c.pushToPeers)
	group.Go("config-pull", pulls.run)
}

// Snapshot returns the resources in force on this node.
func (c *Config) Snapshot() *resource.Set { return c.snapshot.Load() }

// Ready reports whether this node has seen a full view of the resources from
// the platform store or from a peer that had one. It stays true.
func (c *Config) Ready() bool { return c.ready.Load() }

// Offer takes the changes that a peer pushed. It returns ring.ErrFull when too
// many wait; the next pull brings them.
func (c *Config) Offer(changes []resource.Change) error {
	return c.offers.TryPush(update{changes: changes})
}

// Answer answers the pull of a peer from the snapshot.
func (c *Config) Answer(request PullRequest) PullAnswer {
	// Ready is read first: a set that is published later is at least as full.
	ready := c.Ready()
	set := c.Snapshot()
	answer := PullAnswer{Ready: ready, Complete: set.Complete(), Digest: set.Digest()}
	if request.Digest != answer.Digest {
		answer.Changes = set.ChangesAfter(request.Complete)
	}
	return answer
}

// wait waits for a duration of the injected clock. It reports false when ctx
// ended.
func (c *Config) wait(ctx context.Context, duration time.Duration) bool {
	timer := c.settings.Clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
