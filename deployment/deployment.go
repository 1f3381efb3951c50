// Package deployment runs a complete deployment in one process on loopback
// addresses: the nodes, and emulators of the platform, of model engines and of
// other services. The demo and the load tool use it.
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

// ErrNotReady reports that a node did not become ready in time.
var ErrNotReady = Error.New("nodes did not become ready")

// readyTimeout bounds the wait until a new node is ready.
const readyTimeout = 10 * time.Second

// Config configures a deployment.
type Config struct {
	// Nodes is the number of nodes at the start.
	Nodes int
	// Zones are the availability zones. Nodes and engines are assigned to them
	// in turn.
	Zones []string
	// Engines and Services configure the emulators of backend servers. Those
	// without an address listen on a free port.
	Engines  []engine.Config
	Services []service.Config
	// Limits are the rate limits of the platform emulator.
	Limits platformserver.Limits
	// Settings are the common settings of the nodes. AddNode sets the id, host,
	// availability zone and addresses.
	Settings settings.Settings
	// Seed seeds the random numbers of the platform emulator.
	Seed uint64
	Log  *slog.Logger
	// WrapPlatformListener and WrapPeerListener, if set, wrap the listener of the platform
	// emulator and the listeners of the nodes for connections from other nodes,
	// for example to count bytes.
	WrapPlatformListener func(net.Listener) net.Listener
	WrapPeerListener     func(net.Listener) net.Listener
}

// Deployment is a running deployment.
type Deployment struct {
	config   Config
	ctx      context.Context
	cancel   context.CancelFunc
	platform *platformserver.Server
	// platformAddress is the host and port of the platform emulator.
	platformAddress string

	Engines  []*engine.Engine
	Services []*service.Service

	mu    sync.Mutex
	nodes []*Node // the running nodes
	// created counts all nodes, including those that were stopped.
	created int
}

// Node is a running node of a deployment.
type Node struct {
	*daemon.Daemon
	ID     string
	stop   context.CancelFunc
	runErr chan error // receives the result of Run
}

// Start starts the emulators and the nodes and waits until the nodes are ready.
// If a part cannot start, or a node is not ready in time (ErrNotReady), it stops
// everything and returns the error.
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
	d.platform = platformserver.New(platformserver.Settings{Seed: d.config.Seed, Limits: d.config.Limits, WrapListener: d.config.WrapPlatformListener})
	address, _, err := d.platform.Listen(d.ctx, "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	d.platformAddress = address
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

// Platform returns the platform emulator, which can also inject faults.
func (d *Deployment) Platform() *platformserver.Server { return d.platform }

// SetHosts replaces the host list of the platform with the engines. Those named
// in leaving get the state leaving, all others the state live.
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

// zone returns the availability zone of the i-th node or engine.
func (d *Deployment) zone(i int) string { return d.config.Zones[i%len(d.config.Zones)] }

// AddNode starts a node and waits until it is ready.
func (d *Deployment) AddNode() (*Node, error) {
	s := d.config.Settings
	s.Node.ID = fmt.Sprintf("node-%d", d.created+1)
	s.Node.Host = fmt.Sprintf("entry-%d", d.created+1)
	s.Node.AvailabilityZone = d.zone(d.created)
	s.Listen = settings.Listen{HTTP: "127.0.0.1:0", GRPC: "127.0.0.1:0"}
	s.Platform.Address = "http://" + d.platformAddress
	d.created++
	nodeDaemon, err := daemon.New(s, d.config.Log.With("node", s.Node.ID), daemon.WrapPeerListener(d.config.WrapPeerListener))
	if err != nil {
		return nil, err
	}
	n := &Node{Daemon: nodeDaemon, ID: s.Node.ID, runErr: make(chan error, 1)}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(d.ctx)
	go func() { n.runErr <- nodeDaemon.Run(ctx) }()
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

// Nodes returns the running nodes.
func (d *Deployment) Nodes() []*Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Node(nil), d.nodes...)
}

func (d *Deployment) remove(n *Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.nodes {
		if other == n {
			d.nodes = append(d.nodes[:i:i], d.nodes[i+1:]...)
		}
	}
}

// Kill stops a node at once, without handing over its programs, and returns the
// result of its Run.
func (d *Deployment) Kill(n *Node) error {
	d.remove(n)
	n.stop()
	return <-n.runErr
}

// Drain hands over the programs of a node and stops it.
func (d *Deployment) Drain(ctx context.Context, n *Node) error {
	err := n.Drain(ctx)
	return errs.Combine(err, d.Kill(n))
}

// Client returns a client for callers or operators that knows the running nodes.
// The key is that of a tenant; the operator key is taken from the settings.
func (d *Deployment) Client(key string) *client.Client {
	config := client.Config{Key: key, OperatorKey: d.config.Settings.Operator.Key}
	for _, n := range d.Nodes() {
		config.Nodes = append(config.Nodes, "http://"+n.Address())
	}
	return client.New(config)
}

// Close stops the nodes, without draining them, and the emulators.
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
