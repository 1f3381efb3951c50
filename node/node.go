// Package node assembles the duties of one node: it makes the rings that join
// them, starts them, and stops them in order.
//
// A Node lives as long as its process. What it owns belongs to an incarnation
// of it, which ends when another node has taken its journal over; the node
// then goes on with a new and empty incarnation, while requests of callers are
// served through whichever incarnation owns their program.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"google.golang.org/grpc/credentials"

	"dogwoodline.example/api"
	"dogwoodline.example/config"
	"dogwoodline.example/copies"
	"dogwoodline.example/duty"
	"dogwoodline.example/fencedlog"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/placement"
	"dogwoodline.example/resource"
	"dogwoodline.example/rpc"
	"dogwoodline.example/schedule"
)

// Error is the class of all errors of this package.
var Error = errs.Class("node")

var (
	// ErrDraining reports that the node hands its programs over and takes no
	// new ones.
	ErrDraining = Error.New("draining")
	// ErrStoreSilent reports that the platform store does not answer.
	ErrStoreSilent = Error.New("the platform store does not answer")
	// ErrNoView reports that the node does not know the shard map yet.
	ErrNoView = Error.New("the shard map is not known yet")
	// ErrLeftOver reports that shards could not be handed over, because no
	// other node can take them.
	ErrLeftOver = Error.New("no other node takes the remaining shards")
)

// Settings of a node. Zero values take the defaults.
type Settings struct {
	// ID names the node; it is the same over restarts.
	ID string
	// Zone is the node's availability zone.
	Zone string
	// HTTP is the base URL that callers use.
	HTTP string
	// GRPC is the address that other nodes use.
	GRPC string
	// LeaseTTL is how long the node counts as live without a renewal. Default
	// 3 s.
	LeaseTTL time.Duration
	// AddressKeep is how long callers may keep an address. Default 2 s.
	AddressKeep time.Duration
	// Shards is the number of shards of the whole system. Default 1,024.
	Shards int
	// CallWorkers is the number of calls in progress at once. Default 256.
	CallWorkers int
	// CommandSlots is the number of requests that wait for the programs duty.
	// Default 4,096.
	CommandSlots int
	// ReportInterval is the time between two polls of a backend server's load
	// report. Default 500 ms.
	ReportInterval time.Duration
	// SweepInterval is the time between two looks at the memory that a
	// backend server holds for programs. Default 3 s.
	SweepInterval time.Duration
	// Policy names the scheduling policy; empty means the default.
	Policy string
	// Schedule tunes the policy.
	Schedule schedule.Settings
	// Journal bounds the journal writer.
	Journal fencedlog.Settings
}

func (s Settings) withDefaults() Settings {
	s.LeaseTTL = orDefault(s.LeaseTTL, membership.DefaultTTL)
	s.AddressKeep = orDefault(s.AddressKeep, 2*time.Second)
	s.Shards = orDefault(s.Shards, 1024)
	s.CallWorkers = orDefault(s.CallWorkers, 256)
	s.CommandSlots = orDefault(s.CommandSlots, 4096)
	s.ReportInterval = orDefault(s.ReportInterval, 500*time.Millisecond)
	s.SweepInterval = orDefault(s.SweepInterval, 3*time.Second)
	return s
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Dependencies are what a node needs from outside.
type Dependencies struct {
	Store Stores
	Hosts kvstore.HostList
	// Resources returns the declared resources in force.
	Resources func() *resource.Set
	// Config serves other nodes' questions about the configuration.
	Config ConfigExchange
	// Listener accepts the connections of other nodes.
	Listener net.Listener
	// TLS encrypts the connections of other nodes to this one. Nil means no
	// encryption.
	TLS credentials.TransportCredentials
	// Links are the connections to the other nodes.
	Links   *rpc.Links
	Clock   clockwork.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
	// Credentials returns the value of a named credential.
	Credentials func(name string) string
}

// ConfigExchange passes changes of the configuration between nodes.
type ConfigExchange interface {
	// HandlePush takes changes of another node.
	HandlePush(changes []resource.Change) error
	// HandlePull returns the changes that another node lacks.
	HandlePull(request config.PullRequest) config.PullResponse
}

// Stores gives the platform store by the use of it, so that a lease renewal
// does not wait behind other calls for the node's share of the store's rate.
type Stores struct {
	Lease     kvstore.Store
	Journal   kvstore.Store
	Placement kvstore.Store
}

// Node is one node of the system.
type Node struct {
	settings Settings
	deps     Dependencies
	links    *rpc.Links
	service  *service
	current  atomic.Pointer[incarnation]
	draining atomic.Bool

	copies *copies.Duty
	// names are the incarnations that this process has been, and addresses
	// the gRPC addresses of present and former members by incarnation.
	names     atomic.Pointer[[]string]
	addresses atomic.Pointer[map[string]string]
}

// New assembles a node. It returns schedule.ErrUnknownPolicy for a policy that
// does not exist.
func New(settings Settings, deps Dependencies) (*Node, error) {
	settings = settings.withDefaults()
	if _, err := schedule.New(settings.Policy, settings.Schedule); err != nil {
		return nil, Error.Wrap(err)
	}
	n := &Node{settings: settings, deps: deps, links: deps.Links}
	n.service = &service{clock: deps.Clock, node: n}
	n.copies = copies.NewDuty(deps.Clock, copies.Limits{}, n.needsJournal)
	n.names.Store(&[]string{})
	n.addresses.Store(&map[string]string{})
	return n, nil
}

// Run serves until ctx ends, as one incarnation after the other.
func (n *Node) Run(ctx context.Context) error {
	server := rpc.NewServer(&peerHandler{node: n}, n.deps.TLS)
	defer server.Stop(time.Second)
	defer n.links.Close()
	group := duty.NewGroup(ctx, n.deps.Log, n.deps.Metrics)
	defer group.Stop()
	group.Go("copies", n.copies.Run)
	group.RegisterRingDepth("copies", "requests", n.copies.Depth)
	serving := make(chan error, 1)
	go func() { serving <- server.Serve(n.deps.Listener) }()
	for ctx.Err() == nil && !n.draining.Load() {
		current := newIncarnation(n, n.settings.ID+"-"+nonce())
		n.rememberIncarnation(current.name)
		n.current.Store(current)
		if err := current.run(ctx); err != nil && !fencing(err) {
			return err
		}
	}
	return Error.Wrap(ctx.Err())
}

// fencing reports whether an incarnation ended because another node took its
// programs over or a newer run of the node is registered.
func fencing(err error) bool {
	return errors.Is(err, fencedlog.ErrFenced) || errors.Is(err, membership.ErrFenced) ||
		errors.Is(err, membership.ErrSuperseded) || errors.Is(err, context.Canceled)
}

func nonce() string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// Drain hands all programs over to other nodes and waits until they are gone.
// Requests that are in progress here end here or go on at the new owners. It
// returns ErrLeftOver when no other node can take the programs.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	current := n.current.Load()
	if current == nil {
		return nil
	}
	return current.drain(ctx)
}

// Links returns the connections to the other nodes.
func (n *Node) Links() *rpc.Links { return n.links }

// Service returns the node's interface for callers.
func (n *Node) Service() api.Service { return n.service }

// Incarnation returns the name of the present incarnation, or "".
func (n *Node) Incarnation() string {
	if current := n.current.Load(); current != nil {
		return current.name
	}
	return ""
}

// storeSilence is the time without an answer of the store after which a node
// is not ready. Running programs go on for longer.
const storeSilence = 30 * time.Second

func (n *Node) ready() error {
	current := n.current.Load()
	switch {
	case n.draining.Load():
		return ErrDraining
	case current == nil || len(current.placement.View().Map.Shards) == 0:
		return ErrNoView
	case current.ownership().silence(current.node.deps.Clock.Now()) > storeSilence:
		return ErrStoreSilent
	}
	return nil
}

func (n *Node) shardOf(programID string) int {
	return placement.Shard(programID, n.settings.Shards)
}

// Leave ends the journal and the membership, after Drain. Programs that could
// not be handed over are taken over by other nodes once there are any.
func (n *Node) Leave(ctx context.Context) error {
	current := n.current.Load()
	if current == nil {
		return nil
	}
	return current.leave(ctx)
}
