// Package node assembles one node of the system from its duties, the long-lived
// worker goroutines described in package duty. It creates the rings (bounded
// queues) that connect the duties, and starts and stops the duties.
//
// A Node exists as long as its process. Its lease, its journal and the programs
// that it owns belong to an incarnation, which ends when another node has fenced
// the journal and taken the programs over. The node then continues as a new
// incarnation that owns no programs yet. A request can enter the system through
// any node, which forwards it to the incarnation that owns the program.
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
	// ErrDraining reports that the node is handing its programs over to other
	// nodes and accepts no new ones.
	ErrDraining = Error.New("draining")
	// ErrStoreUnavailable reports that the platform store has not answered for
	// longer than a ready node tolerates.
	ErrStoreUnavailable = Error.New("the platform store does not answer")
	// ErrNoShardMap reports that the node has not read the shard map yet.
	ErrNoShardMap = Error.New("the shard map is not known yet")
	// ErrShardsRemain reports that a drain could not hand all shards over, because
	// no other node can take the remaining ones.
	ErrShardsRemain = Error.New("no other node takes the remaining shards")
)

// Settings holds the settings of a node. The zero value of a field means its
// default.
type Settings struct {
	// ID is the name of the node. It stays the same across restarts.
	ID string
	// Zone is the node's availability zone.
	Zone string
	// HTTP is the base URL at which callers reach the node.
	HTTP string
	// GRPC is the address at which other nodes reach the node.
	GRPC string
	// LeaseTTL is how long the membership lease lasts without a renewal.
	// Default 3 s.
	LeaseTTL time.Duration
	// AddressTTL is how long callers may cache the address for a program.
	// Default 2 s.
	AddressTTL time.Duration
	// Shards is the number of shards of the whole system. Default 1,024.
	Shards int
	// CallWorkers is the number of calls to backend servers and services that
	// run concurrently. Default 256.
	CallWorkers int
	// CommandRingSize is the number of requests that can wait for the programs
	// duty. Further ones are refused as overloaded. Default 4,096.
	CommandRingSize int
	// ReportInterval is the interval at which the load report of a backend
	// server is polled. Default 500 ms.
	ReportInterval time.Duration
	// MemorySweepInterval is the interval at which a backend server is checked for
	// memory that it still holds for ended programs. Default 3 s.
	MemorySweepInterval time.Duration
	// Policy is the name of the scheduling policy. Empty means the default
	// policy.
	Policy string
	// Schedule holds the parameters of the policy.
	Schedule schedule.Settings
	// Journal holds the limits of the journal writer.
	Journal fencedlog.Settings
}

func (s Settings) withDefaults() Settings {
	s.LeaseTTL = orDefault(s.LeaseTTL, membership.DefaultTTL)
	s.AddressTTL = orDefault(s.AddressTTL, 2*time.Second)
	s.Shards = orDefault(s.Shards, 1024)
	s.CallWorkers = orDefault(s.CallWorkers, 256)
	s.CommandRingSize = orDefault(s.CommandRingSize, 4096)
	s.ReportInterval = orDefault(s.ReportInterval, 500*time.Millisecond)
	s.MemorySweepInterval = orDefault(s.MemorySweepInterval, 3*time.Second)
	return s
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Dependencies holds the components that a node uses but does not create.
type Dependencies struct {
	Stores Stores
	Hosts  kvstore.HostList
	// Resources returns the current set of declared resources.
	Resources func() *resource.Set
	// Config handles the configuration messages of other nodes.
	Config ConfigExchange
	// Listener accepts the connections of other nodes.
	Listener net.Listener
	// TLS secures the connections that other nodes open to this one. Nil means
	// no encryption.
	TLS credentials.TransportCredentials
	// Links holds the connections to the other nodes.
	Links   *rpc.Links
	Clock   clockwork.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
	// Credentials returns the value of a named credential.
	Credentials func(name string) string
}

// ConfigExchange handles the messages in which nodes exchange configuration
// changes.
type ConfigExchange interface {
	// HandlePush accepts changes that another node sent.
	HandlePush(changes []resource.Change) error
	// HandlePull returns the changes that another node lacks.
	HandlePull(request config.PullRequest) config.PullResponse
}

// Stores holds one client of the platform store for each kind of use, so that a
// lease renewal does not wait behind other calls for the node's share of the
// store's rate limit.
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
	// incarnationNames lists the current and the earlier incarnations of this
	// process. memberAddresses holds the gRPC addresses of current and former
	// members by incarnation.
	incarnationNames atomic.Pointer[[]string]
	memberAddresses  atomic.Pointer[map[string]string]
}

// New returns a node, to be started with Run. It returns
// schedule.ErrUnknownPolicy if the scheduling policy does not exist.
func New(settings Settings, deps Dependencies) (*Node, error) {
	settings = settings.withDefaults()
	if _, err := schedule.New(settings.Policy, settings.Schedule); err != nil {
		return nil, Error.Wrap(err)
	}
	n := &Node{settings: settings, deps: deps, links: deps.Links}
	n.service = &service{clock: deps.Clock, node: n}
	n.copies = copies.NewDuty(deps.Clock, copies.Limits{}, n.needsJournal)
	n.incarnationNames.Store(&[]string{})
	n.memberAddresses.Store(&map[string]string{})
	return n, nil
}

// Run serves requests until ctx ends or, after Drain, the node has left. When an
// incarnation has been taken over, Run continues as a new one.
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
		current := newIncarnation(n, n.settings.ID+"-"+randomSuffix())
		n.rememberIncarnation(current.name)
		n.current.Store(current)
		if err := current.run(ctx); err != nil && !isRecoverable(err) {
			return err
		}
	}
	return Error.Wrap(ctx.Err())
}

// isRecoverable reports whether the node may continue as a new incarnation after
// one ended with err: because another node took its programs over, because a
// newer run of the node is registered, or because its context was cancelled.
func isRecoverable(err error) bool {
	return errors.Is(err, fencedlog.ErrFenced) || errors.Is(err, membership.ErrFenced) ||
		errors.Is(err, membership.ErrSuperseded) || errors.Is(err, context.Canceled)
}

func randomSuffix() string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// Drain hands all programs over to other nodes and waits until that is done.
// Requests in progress either finish here or continue at the new owners. Drain
// returns ErrShardsRemain if some programs remain because no other node can
// take them.
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

// Service returns the API that the node offers to callers.
func (n *Node) Service() api.Service { return n.service }

// Incarnation returns the name of the current incarnation, or "" before the
// first one.
func (n *Node) Incarnation() string {
	if current := n.current.Load(); current != nil {
		return current.name
	}
	return ""
}

// maxStoreSilence is how long the platform store may not answer before the node
// reports that it is not ready. Running programs continue for longer.
const maxStoreSilence = 30 * time.Second

// ready returns the reason why the node is not ready, or nil.
func (n *Node) ready() error {
	current := n.current.Load()
	switch {
	case n.draining.Load():
		return ErrDraining
	case current == nil || len(current.placement.View().Map.Shards) == 0:
		return ErrNoShardMap
	case current.storeContact().storeSilence(current.node.deps.Clock.Now()) > maxStoreSilence:
		return ErrStoreUnavailable
	}
	return nil
}

func (n *Node) shardOf(programID string) int {
	return placement.Shard(programID, n.settings.Shards)
}

// Leave seals the journal and ends the membership. It is called after Drain.
// Programs that Drain could not hand over are taken over as soon as another node
// is available.
func (n *Node) Leave(ctx context.Context) error {
	current := n.current.Load()
	if current == nil {
		return nil
	}
	return current.leave(ctx)
}
