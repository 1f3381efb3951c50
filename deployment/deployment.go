// Package deployment runs a whole deployment in one process over loopback: the
// stand-ins of the platform, of model engines and of plain services, and the
// nodes. The demo and the load tool use it.
package deployment

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/api/client"
	"dogwoodline.example/daemon"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/platformserver"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/settings"
)

// Error is the class of all errors of this package.
var Error = errs.Class("deployment")

// ErrNotReady reports nodes that did not become ready in time.
var ErrNotReady = Error.New("nodes did not become ready")

// readyTimeout bounds the wait for a new node.
const readyTimeout = 10 * time.Second

// Config says what a deployment consists of.
type Config struct {
	// Nodes is the number of nodes; they are spread over Zones.
	Nodes int
	Zones []string
	// Engines and Services are started on free ports when they name none.
	Engines  []engine.Config
	Services []service.Config
	// Limits are the rates of the platform.
	Limits platformserver.Limits
	// Settings are the common settings of the nodes. Ids and addresses are
	// filled in.
	Settings settings.Settings
	// Seed starts the random numbers of the stand-ins.
	Seed uint64
	Log  *slog.Logger
	// WrapPlatform and WrapPeers, when set, wrap the sockets of the platform
	// and those of the nodes for other nodes, for example to count bytes.
	WrapPlatform func(net.Listener) net.Listener
	WrapPeers    func(net.Listener) net.Listener
}

// Deployment is a running deployment.
type Deployment struct {
	config   Config
	ctx      context.Context
	cancel   context.CancelFunc
	platform *platformserver.Server
	address  string

	Engines  []*engine.Engine
	Services []*service.Service

	mu    sync.Mutex
	nodes []*Node
	made  int
}

// Node is a node of a deployment.
type Node struct {
	*daemon.Daemon
	// ID is the node's id.
	ID    string
	stop  context.CancelFunc
	ended chan error
}

// Start starts everything and waits until the nodes are ready. It returns
// ErrNotReady, or the error of a part that cannot start; nothing runs then.
func Start(ctx context.Context, config Config) (*Deployment, error) {
	d := &Deployment{config: config}
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	d.platform = platformserver.New(platformserver.Settings{Seed: d.config.Seed, Limits: d.config.Limits, Wrap: d.config.WrapPlatform})
	address, _, err := d.platform.Listen(d.ctx, "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	d.address = address
	for _, config := range d.config.Engines {
		started, err := engine.Start(d.ctx, config)
		if err != nil {
			return Error.Wrap(err)
		}
		d.Engines = append(d.Engines, started)
	}
	for _, config := range d.config.Services {
		started, err := service.Start(d.ctx, config)
		if err != nil {
			return Error.Wrap(err)
		}
		d.Services = append(d.Services, started)
	}
	d.SetHosts(nil)
	for range d.config.Nodes {
		if _, err := d.AddNode(); err != nil {
			return err
		}
	}
	return nil
}

// Platform returns the platform stand-in with its fault switches.
func (d *Deployment) Platform() *platformserver.Server { return d.platform }

// SetHosts publishes the engines in the host list, the named ones as leaving.
func (d *Deployment) SetHosts(leaving map[string]bool) {
	hosts := make([]kvstore.Host, 0, len(d.Engines))
	for i, e := range d.Engines {
		state := kvstore.HostLive
		name := d.config.Engines[i].Name
		if leaving[name] {
			state = kvstore.HostLeaving
		}
		hosts = append(hosts, kvstore.Host{Name: name, Address: e.Address(), Zone: d.zone(i), State: state})
	}
	d.platform.SetHosts(hosts)
}

func (d *Deployment) zone(i int) string { return d.config.Zones[i%len(d.config.Zones)] }

// AddNode starts a node and waits until it is ready.
func (d *Deployment) AddNode() (*Node, error) {
	s := d.config.Settings
	s.Node.ID = fmt.Sprintf("node-%d", d.made+1)
	s.Node.Host = fmt.Sprintf("entry-%d", d.made+1)
	s.Node.AvailabilityZone = d.zone(d.made)
	s.Listen = settings.Listen{HTTP: "127.0.0.1:0", GRPC: "127.0.0.1:0"}
	s.Platform.Address = "http://" + d.address
	d.made++
	made, err := daemon.New(s, d.config.Log.With("node", s.Node.ID), daemon.WrapPeers(d.config.WrapPeers))
	if err != nil {
		return nil, err
	}
	n := &Node{Daemon: made, ID: s.Node.ID, ended: make(chan error, 1)}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(d.ctx)
	go func() { n.ended <- made.Run(ctx) }()
	d.mu.Lock()
	d.nodes = append(d.nodes, n)
	d.mu.Unlock()
	return n, d.awaitReady(n)
}

func (d *Deployment) awaitReady(n *Node) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if n.Ready() == nil {
			return nil
		}
		select {
		case <-d.ctx.Done():
			return d.ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return ErrNotReady
}

// Nodes returns the nodes that run.
func (d *Deployment) Nodes() []*Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Node(nil), d.nodes...)
}

func (d *Deployment) remove(n *Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, known := range d.nodes {
		if known == n {
			d.nodes = append(d.nodes[:i:i], d.nodes[i+1:]...)
		}
	}
}

// Kill ends a node at once, without handing anything over.
func (d *Deployment) Kill(n *Node) error {
	d.remove(n)
	n.stop()
	return <-n.ended
}

// Drain stops a node as planned.
func (d *Deployment) Drain(ctx context.Context, n *Node) error {
	err := n.Drain(ctx)
	return errs.Combine(err, d.Kill(n))
}

// Client returns a client for callers or operators that knows all nodes.
func (d *Deployment) Client(key string) *client.Client {
	config := client.Config{Key: key, OperatorKey: d.config.Settings.Operator.Key}
	for _, n := range d.Nodes() {
		config.Nodes = append(config.Nodes, "http://"+n.Address())
	}
	return client.New(config)
}

// Close ends everything.
func (d *Deployment) Close() {
	for _, n := range d.Nodes() {
		_ = d.Kill(n)
	}
	for _, s := range d.Services {
		s.Close()
	}
	for _, e := range d.Engines {
		e.Close()
	}
	d.cancel()
}
