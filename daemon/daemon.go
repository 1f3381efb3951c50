// Package daemon runs a node as a server process. It assembles the node from
// the settings and connects it to the platform store, to the other nodes over
// gRPC, and to callers and operators over HTTP.
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"dogwoodline.example/api"
	"dogwoodline.example/clientlimits"
	"dogwoodline.example/config"
	"dogwoodline.example/duty"
	"dogwoodline.example/fencedlog"
	"dogwoodline.example/kvstore/budgeted"
	"dogwoodline.example/kvstore/httpstore"
	"dogwoodline.example/node"
	"dogwoodline.example/rpc"
	"dogwoodline.example/settings"
)

// Error is the class of all errors of this package.
var Error = errs.Class("daemon")

const (
	// readsPerSecond is the rate limit of this node's reads from the platform
	// store, which serves 2,000 reads a second to all its clients together.
	readsPerSecond = 100
	// otherWritesPerSecond is added to the write rate of the journal. It covers
	// lease renewals, the shard map and the configuration.
	otherWritesPerSecond = 10
	// leaveTimeout bounds how long Drain waits until the journal is closed and
	// the membership has ended. The context of Drain may have ended by then.
	leaveTimeout = 2 * time.Second
)

// Daemon is a node with its HTTP server and its clients of the platform store
// and of other nodes.
type Daemon struct {
	settings     settings.Settings
	log          *slog.Logger
	metrics      *metrics.Set
	storeClient  *httpstore.Client
	config       *config.Config
	links        *rpc.Links
	node         *node.Node
	httpServer   *http.Server
	httpListener net.Listener
	// callers and peers bound the connections of the two listeners.
	callers, peers *clientlimits.Budget
	// beginShutdown ends the watches that are pending at the HTTP API.
	beginShutdown context.CancelFunc
}

// Option is an optional setting of New.
type Option func(*options)

type options struct {
	wrapPeerListener func(net.Listener) net.Listener
}

// WrapPeerListener sets a function that wraps the listener for connections from other
// nodes, for example to count bytes. A nil function changes nothing.
func WrapPeerListener(wrap func(net.Listener) net.Listener) Option {
	return func(o *options) { o.wrapPeerListener = wrap }
}

// New assembles a node and opens its listeners. It returns an error if it cannot
// listen on an address, if a TLS file cannot be read, or if the settings are
// rejected.
func New(s settings.Settings, log *slog.Logger, opts ...Option) (*Daemon, error) {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	d := &Daemon{settings: s, log: log, metrics: metrics.NewSet()}
	timeout := time.Duration(s.Platform.TimeoutMS) * time.Millisecond
	client, err := httpstore.New(httpstore.Settings{URL: s.Platform.Address, ReadTimeout: timeout, WriteTimeout: timeout})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.storeClient = client
	inbound, outbound, err := transportCredentials(s.TLS)
	if err != nil {
		return nil, err
	}
	d.links = rpc.NewLinks(outbound)
	clock := clockwork.NewRealClock()
	limiter := budgeted.New(client, budgeted.Settings{
		WritesPerSecond: float64(s.Journal.WritesPerSecond) + otherWritesPerSecond, ReadsPerSecond: readsPerSecond,
	}, clock, d.metrics)
	d.config = config.New(config.Settings{
		Store: limiter.Store(budgeted.Status), Peers: node.ConfigPeers{Links: d.links, Log: log}, Clock: clock,
		Random: rand.NewPCG(rand.Uint64(), rand.Uint64()), Log: log,
	})
	peerListener, err := net.Listen("tcp", s.Listen.GRPC)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.httpListener, err = net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return nil, errs.Combine(Error.Wrap(err), peerListener.Close())
	}
	advertiseBoundPorts(&s.Listen, d.httpListener, peerListener)
	if o.wrapPeerListener != nil {
		peerListener = o.wrapPeerListener(peerListener)
	}
	d.callers, d.peers = newClientBudgets(s.Limits, log, d.metrics)
	d.node, err = node.New(nodeSettings(s), node.Dependencies{
		Stores: node.Stores{
			Lease: limiter.Store(budgeted.Lease), Journal: limiter.Store(budgeted.Journal), Placement: limiter.Store(budgeted.Status),
		},
		Hosts: limiter.Hosts(client), Resources: d.config.Snapshot, Config: d.config,
		Listener: d.peers.Wrap(peerListener, clientlimits.HTTP2), TLS: inbound,
		Links: d.links, Clock: clock, Log: log, Metrics: d.metrics, Credentials: credentialFromEnv,
	})
	if err != nil {
		return nil, errs.Combine(err, peerListener.Close(), d.httpListener.Close())
	}
	d.httpServer = d.newHTTPServer()
	return d, nil
}

// advertiseBoundPorts advertises the addresses of the listeners where the
// settings ask for port 0, which lets the operating system choose a free port.
// Tests and demos use this.
func advertiseBoundPorts(listen *settings.Listen, httpListener, peerListener net.Listener) {
	if _, port, _ := net.SplitHostPort(listen.HTTP); port == "0" {
		listen.HTTPAdvertised = httpListener.Addr().String()
	}
	if _, port, _ := net.SplitHostPort(listen.GRPC); port == "0" {
		listen.GRPCAdvertised = peerListener.Addr().String()
	}
}

func nodeSettings(s settings.Settings) node.Settings {
	return node.Settings{
		ID: s.Node.ID, Zone: s.Node.AvailabilityZone, HTTP: s.HTTPBaseURL(), GRPC: s.Listen.GRPCAdvertised,
		LeaseTTL: time.Duration(s.Platform.LeaseTTLMS) * time.Millisecond, Shards: int(s.Placement.Shards),
		CallWorkers: int(s.Schedule.CallWorkers), CommandRingSize: int(s.Rings.Commands), Policy: s.Schedule.Policy,
		Journal: fencedlog.Settings{
			WritesPerSecond: float64(s.Journal.WritesPerSecond), RingSlots: int(s.Rings.Journal),
			TailRecords: int(s.Journal.TailRecords), TailBytes: int(s.Journal.TailBytes),
		},
	}
}

// credentialFromEnv returns the credential of a backend server from the
// environment, so that it is stored neither in the settings nor in the
// resources.
func credentialFromEnv(name string) string {
	return os.Getenv("DOGWOODLINE_CREDENTIAL_" + name)
}

func (d *Daemon) newHTTPServer() *http.Server {
	ctx, cancel := context.WithCancel(context.Background())
	d.beginShutdown = cancel
	handler := api.New(api.Config{
		Service: readyService{d.node.Service(), d.config}, Authenticator: authenticator{d.config.Snapshot}, Resources: resources{d.config},
		OperatorKey: d.settings.Operator.Key, Metrics: d.metrics, Log: d.log, ShutdownContext: ctx,
	})
	server := handler.HTTPServer(d.settings.Listen.HTTP)
	server.ConnState = clientlimits.ConnState
	d.callers.SetLimits(clientlimits.Defaults.Operator(server.MaxHeaderBytes, server.ReadHeaderTimeout, server.IdleTimeout))
	return server
}

// Ready returns nil if the node can serve callers, otherwise the reason why it
// cannot.
func (d *Daemon) Ready() error { return readyService{d.node.Service(), d.config}.Ready() }

// Address returns the host and port at which callers are served over HTTP.
func (d *Daemon) Address() string { return d.httpListener.Addr().String() }

// Run serves until ctx ends, Drain shuts the HTTP server down, or the node or
// the HTTP server fails.
func (d *Daemon) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, d.log, d.metrics)
	defer group.Stop()
	d.config.Start(group)
	group.Go("client-limits", d.callers.Run)
	group.Go("client-limits", d.peers.Run)
	httpErr := make(chan error, 1)
	go func() { httpErr <- d.serveHTTP() }()
	nodeErr := make(chan error, 1)
	group.Go("node", func(ctx context.Context) error {
		nodeErr <- d.node.Run(ctx)
		return nil
	})
	d.log.Info("node: serving", "http", d.Address(), "zone", d.settings.Node.AvailabilityZone)
	var err error
	select {
	case err = <-httpErr:
	case err = <-nodeErr:
	}
	d.close()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (d *Daemon) serveHTTP() error {
	if files := d.settings.TLS; files.CertificateFile != "" {
		return d.httpServer.ServeTLS(d.callers.Wrap(d.httpListener, clientlimits.Encrypted), files.CertificateFile, files.KeyFile)
	}
	return d.httpServer.Serve(d.callers.Wrap(d.httpListener, clientlimits.HTTP1))
}

func (d *Daemon) close() {
	d.beginShutdown()
	_ = d.httpServer.Close()
	d.storeClient.Close()
}

// Drain hands all programs over to other nodes, waits for the requests in
// progress, and ends the node's membership. During the handover, callers that
// still use the address of this node are served.
func (d *Daemon) Drain(ctx context.Context) error {
	err := d.node.Drain(ctx)
	if errors.Is(err, node.ErrShardsRemain) {
		// This is the last node of the deployment. The remaining programs are
		// recorded in its journal; the next node that starts takes them over.
		d.log.Warn("node: not all programs were handed over, the rest stays in the journal", "error", err)
		err = nil
	}
	d.beginShutdown()
	shutdownErr := d.httpServer.Shutdown(ctx)
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	return errors.Join(err, shutdownErr, d.node.Leave(leaveCtx))
}
