package node_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
	"dogwoodline.example/node"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/rpc"
)

// testLeaseTTL is short, so that tests of takeovers do not take long.
const testLeaseTTL = time.Second

// cluster is a set of nodes in this process that share a store, with emulated
// engines and an emulated ledger service.
type cluster struct {
	ctx     context.Context
	store   *memstore.Store
	engines []*engine.Engine
	ledger  *service.Service
	set     *resource.Set
	hosts   hostList
	mu      sync.Mutex // guards nodes
	nodes   []*clusterNode
}

// clusterNode is a node with a connection to the store that a test can break.
type clusterNode struct {
	*node.Node
	store          *disconnectableStore
	kill           context.CancelFunc
	activeRequests sync.WaitGroup // requests of callers in progress
	runResult      chan error
}

// disconnectableStore fails every call while it is disconnected, like the store
// of a node that cannot reach the platform.
type disconnectableStore struct {
	kvstore.Store
	disconnected atomic.Bool
}

func (s *disconnectableStore) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	if s.disconnected.Load() {
		return 0, kvstore.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, expected, lease)
}

func (s *disconnectableStore) Get(ctx context.Context, key string) (kvstore.Item, error) {
	if s.disconnected.Load() {
		return kvstore.Item{}, kvstore.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *disconnectableStore) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	if s.disconnected.Load() {
		return nil, 0, kvstore.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *disconnectableStore) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	if s.disconnected.Load() {
		return nil, 0, kvstore.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, min(wait, 200*time.Millisecond))
}

func (s *disconnectableStore) Renew(ctx context.Context, lease kvstore.LeaseID) error {
	if s.disconnected.Load() {
		return kvstore.ErrUnavailable
	}
	return s.Store.Renew(ctx, lease)
}

func (s *disconnectableStore) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if s.disconnected.Load() {
		return 0, kvstore.ErrUnavailable
	}
	return s.Store.Grant(ctx, ttl)
}

func newCluster(ctx context.Context, nodes, engines int) *cluster {
	c := &cluster{ctx: ctx, store: memstore.New(clockwork.NewRealClock())}
	for i := range engines {
		config := engine.DefaultConfig()
		config.Name = fmt.Sprintf("e%d", i+1)
		config.TimeScale = 20
		started, err := engine.Start(ctx, config)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(started.Close)
		c.engines = append(c.engines, started)
	}
	ledger, err := service.Start(ctx, service.Config{Name: "ledger", Lookup: true})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ledger.Close)
	c.ledger = ledger
	c.set = c.declareResources()
	for i := range nodes {
		c.addNode(fmt.Sprintf("n%d", i+1), fmt.Sprintf("z%d", i%4+1))
	}
	c.waitReady()
	return c
}

// declareResources returns a resource set with one tenant, one class, the engines
// and the ledger.
func (c *cluster) declareResources() *resource.Set {
	high := 9
	set := resource.NewSet()
	version := kvstore.Version(0)
	put := func(kind resource.Kind, name string, spec resource.Spec) {
		version++
		set = set.With(resource.Change{ID: resource.ID{Kind: kind, Name: name}, Version: version, Spec: spec})
	}
	put(resource.KindTenant, "acme", &resource.Tenant{Share: 1, PriorityMax: &high, ProgramBudgetMax: 1_000_000})
	put(resource.KindClass, "agent", &resource.Class{Pool: "m", BudgetLimit: 100_000, BudgetAhead: 2000, TurnLimit: 50,
		IdleLeaseMS: 60_000, DeadlineMS: 5000, Tools: []resource.Tool{{Service: "ledger", Operation: "post", MaxCost: 10}}})
	put(resource.KindPool, "m", &resource.Pool{Model: "m"})
	for i, e := range c.engines {
		put(resource.KindBackend, fmt.Sprintf("e%d", i+1), &resource.Backend{Pool: "m", Address: e.Address(), Zone: "z1", Slots: 8})
	}
	put(resource.KindService, "ledger", &resource.Service{Addresses: []string{c.ledger.Address()}, Concurrency: 64, Lookup: true,
		Operations: []resource.Operation{{Name: "post", Cost: 10}}})
	return set
}

// addNode starts a node.
func (c *cluster) addNode(id, zone string) *clusterNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	m := &clusterNode{store: &disconnectableStore{Store: c.store}, runResult: make(chan error, 1)}
	out := io.Discard
	if os.Getenv("DOGWOODLINE_TEST_LOG") != "" {
		out = GinkgoWriter
	}
	m.Node, err = node.New(node.Settings{
		ID: id, Zone: zone, HTTP: "http://" + id, GRPC: listener.Addr().String(), LeaseTTL: testLeaseTTL, Shards: 64,
		CallWorkers: 64, AddressTTL: 50 * time.Millisecond, MemorySweepInterval: 1500 * time.Millisecond,
	}, node.Dependencies{
		Stores: node.Stores{Lease: m.store, Journal: m.store, Placement: m.store}, Links: rpc.NewLinks(nil), Hosts: &c.hosts, Resources: func() *resource.Set { return c.set }, Listener: listener,
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.NewTextHandler(out, nil)).With("node", id),
		Metrics: metrics.NewSet(), Credentials: func(string) string { return "" },
	})
	Expect(err).NotTo(HaveOccurred())
	var ctx context.Context
	ctx, m.kill = context.WithCancel(c.ctx)
	go func() { m.runResult <- m.Run(ctx) }()
	DeferCleanup(func() {
		m.kill()
		Eventually(m.runResult, "5s").Should(Receive())
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, m)
	return m
}

// waitReady waits until the nodes are ready and programs of several shards can be
// started.
func (c *cluster) waitReady() {
	for _, m := range c.nodes {
		Eventually(m.Service().Ready, "5s", "20ms").Should(Succeed())
	}
	for i := range 20 {
		started := c.nodes[0].Service().Start(c.ctx, "acme", api.StartRequest{ID: fmt.Sprintf("warm-%d", i), Class: "agent", DeadlineMS: 8000})
		Expect(started.Outcome.Code).To(BeEquivalentTo("completed"), "%+v", started.Outcome)
	}
}

// modelCall returns the request for a model call.
func modelCall(order int, text string) api.CallRequest {
	return api.CallRequest{RequestID: fmt.Sprintf("r%d", order), Order: order, Kind: program.Model, MaxTokens: 50, DeadlineMS: 10_000,
		Messages: []program.Message{{Role: "user", Content: text}}}
}

// ledgerPost returns the request for a posting: a call of the ledger's post
// operation, which has an effect.
func ledgerPost(order int, body string) api.CallRequest {
	return api.CallRequest{RequestID: fmt.Sprintf("r%d", order), Order: order, Kind: program.Service, Service: "ledger",
		Operation: "post", Body: []byte(body), DeadlineMS: 10_000}
}
