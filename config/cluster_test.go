package config_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/config"
	"dogwoodline.example/duty"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
	"dogwoodline.example/outcome"
	"dogwoodline.example/resource"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// faultyStore is a platform store that can be switched into an outage, refuse
// calls at random and lose the answers to writes.
type faultyStore struct {
	*memstore.Store
	mu                 sync.Mutex
	random             *rand.Rand
	lossProbability    float64       // that the answer to an accepted write is lost
	refusalProbability float64       // that a call fails without effect
	downAfterWrite     bool          // the next accepted write starts an outage
	loseAnswer         bool          // the answer to that write is lost as well
	down               chan struct{} // closed during an outage
}

func newFaultyStore(clock clockwork.Clock) *faultyStore {
	return &faultyStore{Store: memstore.New(clock), random: rand.New(rand.NewPCG(1, 1)), down: make(chan struct{})}
}

func (f *faultyStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down {
		close(f.down)
	} else {
		f.down = make(chan struct{})
	}
}

// refused reports whether the call is refused. The channel is closed when an
// outage begins, which fails a call that is still waiting.
func (f *faultyStore) refused() (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.down:
		return true, f.down
	default:
		return f.random.Float64() < f.refusalProbability, f.down
	}
}

func (f *faultyStore) Get(ctx context.Context, key string) (kvstore.Item, error) {
	if refused, _ := f.refused(); refused {
		return kvstore.Item{}, kvstore.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

func (f *faultyStore) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	if refused, _ := f.refused(); refused {
		return nil, 0, kvstore.ErrUnavailable
	}
	return f.Store.List(ctx, prefix)
}

func (f *faultyStore) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	refused, down := f.refused()
	if refused {
		return nil, after, kvstore.ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-down:
			cancel()
		case <-ctx.Done():
		}
	}()
	events, revision, err := f.Store.Watch(ctx, prefix, after, wait)
	select {
	case <-down: // events found before the outage are lost with the answer
		return nil, after, kvstore.ErrUnavailable
	default:
		return events, revision, err
	}
}

func (f *faultyStore) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	if refused, _ := f.refused(); refused {
		return 0, kvstore.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	version, err := f.Store.Put(ctx, key, value, expected, lease)
	if err == nil && f.downAfterWrite {
		f.downAfterWrite = false
		close(f.down)
		if f.loseAnswer {
			return 0, kvstore.ErrAmbiguous
		}
	}
	if err == nil && f.random.Float64() < f.lossProbability {
		return 0, kvstore.ErrAmbiguous
	}
	return version, err
}

// cluster is a group of nodes that share a store and call each other directly,
// without a network.
type cluster struct {
	clock clockwork.Clock
	store *faultyStore
	mu    sync.Mutex
	nodes map[string]*config.Config
	order []string
	// losePushes drops pushes that go to more than one peer, which are the
	// broadcasts of accepted writes.
	losePushes atomic.Bool
	// failPullsOf holds the name (a string) of the node whose pulls fail.
	failPullsOf atomic.Value
}

func newCluster(clock clockwork.Clock) *cluster {
	return &cluster{clock: clock, store: newFaultyStore(clock), nodes: map[string]*config.Config{}}
}

func (c *cluster) add() *config.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := fmt.Sprint("n", len(c.order))
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	node := config.New(config.Settings{
		Store: c.store, Peers: &links{cluster: c, self: name}, Clock: c.clock,
		Random: rand.NewPCG(uint64(len(c.order)), 7), Log: log,
	})
	c.nodes[name] = node
	c.order = append(c.order, name)
	group := duty.NewGroup(context.Background(), log, metrics.NewSet())
	node.Start(group)
	DeferCleanup(group.Stop)
	return node
}

func (c *cluster) addReady(count int) []*config.Config {
	var nodes []*config.Config
	for range count {
		nodes = append(nodes, c.add())
	}
	for _, node := range nodes {
		Eventually(node.Ready, "10s").Should(BeTrue())
	}
	return nodes
}

// links implements config.Peers for one node of a cluster.
type links struct {
	cluster *cluster
	self    string
}

func (l *links) List() []string {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	var others []string
	for _, name := range l.cluster.order {
		if name != l.self {
			others = append(others, name)
		}
	}
	return others
}

func (l *links) peer(name string) *config.Config {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	return l.cluster.nodes[name]
}

func (l *links) Push(_ context.Context, peers []string, changes []resource.Change) {
	if l.cluster.losePushes.Load() && len(peers) > 1 {
		return
	}
	for _, name := range peers {
		_ = l.peer(name).HandlePush(changes)
	}
}

func (l *links) Pull(_ context.Context, peer string, request config.PullRequest) (config.PullResponse, error) {
	if l.cluster.failPullsOf.Load() == l.self {
		return config.PullResponse{}, kvstore.ErrUnavailable
	}
	return l.peer(peer).HandlePull(request), nil
}

var poolID = resource.ID{Kind: resource.KindPool, Name: "large"}

func write(content string, expected kvstore.Version) config.Write {
	spec := &resource.Pool{Model: content, Role: resource.RoleBoth}
	return config.Write{ID: poolID, Spec: spec, Expected: expected}
}

func modelOn(node *config.Config) string {
	pool, ok := node.Snapshot().Pool(poolID.Name)
	if !ok {
		return ""
	}
	return pool.Model
}

func accept(node *config.Config, content string, expected kvstore.Version) kvstore.Version {
	result := node.Put(context.Background(), write(content, expected))
	ExpectWithOffset(1, result.Outcome.Code).To(Equal(outcome.Completed), result.Outcome.Detail)
	return result.Version
}

func modelOf(result config.Result) string { return result.Change.Spec.(*resource.Pool).Model }
