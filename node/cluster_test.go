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

// testLease is short, so that tests of takeovers are.
const testLease = time.Second

// cluster is a set of nodes in this process over one store, with engines and
// a ledger.
type cluster struct {
	ctx     context.Context
	store   *memstore.Store
	engines []*engine.Engine
	ledger  *service.Service
	set     *resource.Set
	hosts   hostList
	mu      sync.Mutex // guards nodes
	nodes   []*member
}

// member is a node with its own view of the store.
type member struct {
	*node.Node
	store *cutStore
	kill  context.CancelFunc
	calls sync.WaitGroup // requests of callers in progress
	ended chan error
}

// cutStore fails every call while it is cut, as a node that is parted from
// the platform sees it.
type cutStore struct {
	kvstore.Store
	cut atomic.Bool
}

func (s *cutStore) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	if s.cut.Load() {
		return 0, kvstore.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, expected, lease)
}

func (s *cutStore) Get(ctx context.Context, key string) (kvstore.Item, error) {
	if s.cut.Load() {
		return kvstore.Item{}, kvstore.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	if s.cut.Load() {
		return nil, 0, kvstore.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	if s.cut.Load() {
		return nil, 0, kvstore.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, min(wait, 200*time.Millisecond))
}

func (s *cutStore) Renew(ctx context.Context, lease kvstore.LeaseID) error {
	if s.cut.Load() {
		return kvstore.ErrUnavailable
	}
	return s.Store.Renew(ctx, lease)
}

func (s *cutStore) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if s.cut.Load() {
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
	c.set = c.declare()
	for i := range nodes {
		c.add(fmt.Sprintf("n%d", i+1), fmt.Sprintf("z%d", i%4+1))
	}
	c.settle()
	return c
}

// declare returns a set with one tenant, one class, the engines and a ledger.
func (c *cluster) declare() *resource.Set {
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

// add starts a node.
func (c *cluster) add(id, zone string) *member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	m := &member{store: &cutStore{Store: c.store}, ended: make(chan error, 1)}
	out := io.Discard
	if os.Getenv("DOGWOODLINE_TEST_LOG") != "" {
		out = GinkgoWriter
	}
	m.Node, err = node.New(node.Settings{
		ID: id, Zone: zone, HTTP: "http://" + id, GRPC: listener.Addr().String(), LeaseTTL: testLease, Shards: 64,
		CallWorkers: 64, AddressKeep: 50 * time.Millisecond, SweepInterval: 1500 * time.Millisecond,
	}, node.Dependencies{
		Store: node.Stores{Lease: m.store, Journal: m.store, Placement: m.store}, Links: rpc.NewLinks(nil), Hosts: &c.hosts, Resources: func() *resource.Set { return c.set }, Listener: listener,
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.NewTextHandler(out, nil)).With("node", id),
		Metrics: metrics.NewSet(), Credentials: func(string) string { return "" },
	})
	Expect(err).NotTo(HaveOccurred())
	var ctx context.Context
	ctx, m.kill = context.WithCancel(c.ctx)
	go func() { m.ended <- m.Run(ctx) }()
	DeferCleanup(func() {
		m.kill()
		Eventually(m.ended, "5s").Should(Receive())
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, m)
	return m
}

// settle waits until every shard is served.
func (c *cluster) settle() {
	for _, m := range c.nodes {
		Eventually(m.Service().Ready, "5s", "20ms").Should(Succeed())
	}
	for i := range 20 {
		started := c.nodes[0].Service().Start(c.ctx, "acme", api.StartRequest{ID: fmt.Sprintf("warm-%d", i), Class: "agent", DeadlineMS: 8000})
		Expect(started.Outcome.Code).To(BeEquivalentTo("completed"), "%+v", started.Outcome)
	}
}

func ask(order int, text string) api.CallRequest {
	return api.CallRequest{RequestID: fmt.Sprintf("r%d", order), Order: order, Kind: program.Model, MaxTokens: 50, DeadlineMS: 10_000,
		Messages: []program.Message{{Role: "user", Content: text}}}
}

func post(order int, body string) api.CallRequest {
	return api.CallRequest{RequestID: fmt.Sprintf("r%d", order), Order: order, Kind: program.Service, Service: "ledger",
		Operation: "post", Body: []byte(body), DeadlineMS: 10_000}
}
