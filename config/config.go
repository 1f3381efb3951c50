// Package config keeps a node's copy of the declared resources up to date and
// writes the operators' changes to the platform store.
//
// It consists of duties (see package duty), each with a goroutine of its own,
// that exchange messages over rings (see package ring):
//
//   - config applies changes to the resource set and publishes it as an
//     immutable snapshot;
//   - config-commands runs operators' reads and writes against the platform
//     store;
//   - config-watch lists and watches the resources in the platform store;
//   - config-push sends accepted changes to the peers;
//   - config-pull compares the set with that of a random peer.
//
// A write is accepted when the compare-and-swap in the platform store has
// succeeded. From then on it reaches every node through at least one of watch,
// push and pull, even while the store is down. A set never returns to an older
// version of a resource, because only greater versions are applied.
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
	// Operators' writes are rare (32,000 a day, section 1.7 of the design); the
	// rings are large enough for a burst of them.
	commandRingSize = 64
	updateRingSize  = 64
	offerRingSize   = 256
	pushRingSize    = 256

	// KeyPrefix is the prefix of the keys of resources in the platform store.
	KeyPrefix = "resource/"

	// pullInterval is the time between comparisons with a random peer. Because
	// a pull transfers changes in both directions, a change reaches 7 nodes in
	// about three rounds, within the bound of 11 s.
	pullInterval = 2 * time.Second
	// startupPullInterval is the time between pulls until the node is ready.
	startupPullInterval = 250 * time.Millisecond
	// watchWait is the longest wait of one watch call (a long poll).
	watchWait = 10 * time.Second
	// initialRetryDelay and maxRetryDelay bound the exponential backoff after
	// failed list and watch calls.
	initialRetryDelay = 250 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// commandTimeout bounds the attempts to get a definite answer from the
	// platform store. Commands run one at a time, so a slow one delays those
	// behind it.
	commandTimeout = 5 * time.Second
	// peerTimeout bounds a push or pull, so that a half-open connection to one
	// peer delays the next round by less than one interval.
	peerTimeout = time.Second
)

// Peers sends changes to the other nodes and requests changes from them. Push
// and Pull may block until ctx ends.
type Peers interface {
	// List returns the names of the other live nodes. It does not block.
	List() []string
	// Push sends the changes to all named peers concurrently. A peer that is
	// not reached gets them by its next pull.
	Push(ctx context.Context, peers []string, changes []resource.Change)
	// Pull asks one peer for the changes that this node may lack according to
	// the request.
	Pull(ctx context.Context, peer string, request PullRequest) (PullResponse, error)
}

// PullRequest describes the resource set of the requesting node. Complete is
// the revision up to which the set lacks no change; Digest covers the whole
// set.
type PullRequest struct {
	Complete kvstore.Version `json:"complete"`
	Digest   uint64          `json:"digest"`
}

// PullResponse holds the changes that the requesting node may lack, and
// describes the set of the answering node. Ready reports whether the answering
// node itself was ready.
type PullResponse struct {
	Ready    bool              `json:"ready"`
	Changes  []resource.Change `json:"changes,omitempty"`
	Complete kvstore.Version   `json:"complete"`
	Digest   uint64            `json:"digest"`
}

// ChangeNotice tells another duty that the snapshot changed. One notice may stand
// for several changes.
type ChangeNotice struct {
	Revision kvstore.Version
}

// Settings holds the dependencies of a Config. All fields are required.
type Settings struct {
	Store  kvstore.Store
	Peers  Peers
	Clock  clockwork.Clock
	Random rand.Source
	Log    *slog.Logger
}

// Config holds the current resource set of a node and the rings of the duties
// that maintain it. After Start its methods are safe for concurrent use.
type Config struct {
	settings Settings

	snapshot atomic.Pointer[resource.Set] // stored only by the config duty
	ready    atomic.Bool                  // stored only by the config duty

	commands *ring.Ring[*command]
	updates  *ring.Ring[update] // from the other duties of this package
	offers   *ring.Ring[update] // from peers
	pushes   *ring.Ring[pushRequest]
	stopped  chan struct{} // closed when the config-commands duty has ended

	subscribers []*ring.Ring[ChangeNotice] // not changed after Start
	started     bool
}

// New returns a Config with an empty snapshot. Its duties run after Start.
func New(settings Settings) *Config {
	c := &Config{
		settings: settings,
		commands: ring.New[*command](commandRingSize),
		updates:  ring.New[update](updateRingSize),
		offers:   ring.New[update](offerRingSize),
		pushes:   ring.New[pushRequest](pushRingSize),
		stopped:  make(chan struct{}),
	}
	c.snapshot.Store(resource.NewSet())
	return c
}

// Subscribe returns a ring with one slot that gets a notice after each change
// of the snapshot. A waiting notice covers all changes up to the time when it
// is read. Subscribe must be called before Start.
func (c *Config) Subscribe() *ring.Ring[ChangeNotice] {
	if c.started {
		panic("config: Subscribe called after Start")
	}
	notices := ring.New[ChangeNotice](1)
	c.subscribers = append(c.subscribers, notices)
	return notices
}

// Start starts the duties in group. It must be called at most once.
func (c *Config) Start(group *duty.Group) {
	if c.started {
		panic("config: Start called twice")
	}
	c.started = true
	group.RegisterRingDepth("config", "updates", c.updates.Len)
	group.RegisterRingDepth("config", "offers", c.offers.Len)
	group.RegisterRingDepth("config-commands", "commands", c.commands.Len)
	group.RegisterRingDepth("config-push", "pushes", c.pushes.Len)
	// Each duty that uses random numbers has its own generator, since a
	// rand.Rand is not safe for concurrent use.
	seeds := rand.New(c.settings.Random)
	executor := &commandExecutor{config: c, random: rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))}
	puller := &puller{config: c, random: rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))}
	applier := &applier{config: c, timer: group.Timer("config")}
	group.Go("config", applier.run)
	group.Go("config-commands", executor.run)
	group.Go("config-watch", c.watch)
	group.Go("config-push", c.pushToPeers)
	group.Go("config-pull", puller.run)
}

// Snapshot returns the current resource set of this node.
func (c *Config) Snapshot() *resource.Set { return c.snapshot.Load() }

// Ready reports whether this node has received the full list of resources from
// the platform store, or from a peer that was ready. Once true it stays true.
func (c *Config) Ready() bool { return c.ready.Load() }

// HandlePush queues changes that a peer pushed. It returns ring.ErrFull when too
// many are waiting; the next pull then delivers them.
func (c *Config) HandlePush(changes []resource.Change) error {
	return c.offers.TryPush(update{changes: changes})
}

// HandlePull answers the pull of a peer from the snapshot. The changes are left out
// when both sets have the same digest.
func (c *Config) HandlePull(request PullRequest) PullResponse {
	// Ready is read before the snapshot, which only gains changes: if ready is
	// true, the set read after it has the full list of resources.
	ready := c.Ready()
	set := c.Snapshot()
	answer := PullResponse{Ready: ready, Complete: set.Complete(), Digest: set.Digest()}
	if request.Digest != answer.Digest {
		answer.Changes = set.ChangesAfter(request.Complete)
	}
	return answer
}

// wait waits for a duration of the injected clock. It returns false if ctx
// ended first.
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
