// Package daemon runs a node as a process: it connects a node to the platform,
// to the other nodes and to its callers, as the settings say.
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
	// readsPerSecond is this node's share of the store's 2,000 reads a second.
	readsPerSecond = 100
	// otherWritesPerSecond is what a node writes besides its journal: lease
	// renewals, shard map, configuration.
	otherWritesPerSecond = 10
	// closeTimeout bounds the end of connections that are idle.
	closeTimeout = 2 * time.Second
)

// Daemon is a node with its connections.
type Daemon struct {
	settings settings.Settings
	log      *slog.Logger
	metrics  *metrics.Set
	client   *httpstore.Client
	config   *config.Config
	links    *rpc.Links
	node     *node.Node
	http     *http.Server
	listener net.Listener
	stopping context.CancelFunc
}

// Option changes how New assembles a node.
type Option func(*options)

type options struct {
	wrapPeers func(net.Listener) net.Listener
}

// WrapPeers wraps the listener for other nodes, for example to count bytes.
func WrapPeers(wrap func(net.Listener) net.Listener) Option {
	return func(o *options) { o.wrapPeers = wrap }
}

// New assembles a node and opens its listeners. It returns an error when an
// address is not free, or a TLS file cannot be read.
func New(s settings.Settings, log *slog.Logger, chosen ...Option) (*Daemon, error) {
	var o options
	for _, choose := range chosen {
		choose(&o)
	}
	d := &Daemon{settings: s, log: log, metrics: metrics.NewSet()}
	timeout := time.Duration(s.Platform.TimeoutMS) * time.Millisecond
	client, err := httpstore.New(httpstore.Settings{URL: s.Platform.Address, ReadTimeout: timeout, WriteTimeout: timeout})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.client = client
	inbound, outbound, err := credentialsOf(s.TLS)
	if err != nil {
		return nil, err
	}
	d.links = rpc.NewLinks(outbound)
	clock := clockwork.NewRealClock()
	budget := budgeted.New(client, budgeted.Settings{
		WritesPerSecond: float64(s.Journal.WritesPerSecond) + otherWritesPerSecond, ReadsPerSecond: readsPerSecond,
	}, clock, d.metrics)
	d.config = config.New(config.Settings{
		Store: budget.Store(budgeted.Status), Peers: node.ConfigPeers{Links: d.links, Log: log}, Clock: clock,
		Random: rand.NewPCG(rand.Uint64(), rand.Uint64()), Log: log,
	})
	peers, err := net.Listen("tcp", s.Listen.GRPC)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.listener, err = net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return nil, errs.Combine(Error.Wrap(err), peers.Close())
	}
	advertise(&s.Listen, d.listener, peers)
	if o.wrapPeers != nil {
		peers = o.wrapPeers(peers)
	}
	d.node, err = node.New(nodeSettings(s), node.Dependencies{
		Store: node.Stores{
			Lease: budget.Store(budgeted.Lease), Journal: budget.Store(budgeted.Journal), Placement: budget.Store(budgeted.Status),
		},
		Hosts: budget.Hosts(client), Resources: d.config.Snapshot, Config: d.config, Listener: peers, TLS: inbound,
		Links: d.links, Clock: clock, Log: log, Metrics: d.metrics, Credentials: environmentCredential,
	})
	if err != nil {
		return nil, errs.Combine(err, peers.Close(), d.listener.Close())
	}
	d.http = d.newHTTP()
	return d, nil
}

// advertise fills in the ports that the system chose. A setting of port 0
// serves tests and demonstrations.
func advertise(listen *settings.Listen, callers, peers net.Listener) {
	if _, port, _ := net.SplitHostPort(listen.HTTP); port == "0" {
		listen.HTTPAdvertised = callers.Addr().String()
	}
	if _, port, _ := net.SplitHostPort(listen.GRPC); port == "0" {
		listen.GRPCAdvertised = peers.Addr().String()
	}
}

func nodeSettings(s settings.Settings) node.Settings {
	return node.Settings{
		ID: s.Node.ID, Zone: s.Node.AvailabilityZone, HTTP: s.HTTPBaseURL(), GRPC: s.Listen.GRPCAdvertised,
		LeaseTTL: time.Duration(s.Platform.LeaseTTLMS) * time.Millisecond, Shards: int(s.Placement.Shards),
		CallWorkers: int(s.Schedule.CallWorkers), CommandSlots: int(s.Rings.Commands), Policy: s.Schedule.Policy,
		Journal: fencedlog.Settings{
			WritesPerSecond: float64(s.Journal.WritesPerSecond), RingSlots: int(s.Rings.Journal),
			TailRecords: int(s.Journal.TailRecords), TailBytes: int(s.Journal.TailBytes),
		},
	}
}

// environmentCredential reads the credential of a backend server from the
// environment, so that neither settings nor resources hold it.
func environmentCredential(name string) string {
	return os.Getenv("DOGWOODLINE_CREDENTIAL_" + name)
}

func (d *Daemon) newHTTP() *http.Server {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopping = cancel
	handler := api.New(api.Config{
		Service: readyService{d.node.Service(), d.config}, Authenticator: tenants{d.config.Snapshot}, Resources: resources{d.config},
		OperatorKey: d.settings.Operator.Key, Metrics: d.metrics, Log: d.log, ShutdownContext: ctx,
	})
	return handler.HTTPServer(d.settings.Listen.HTTP)
}

// Ready returns nil when the node can serve, else the reason why not.
func (d *Daemon) Ready() error { return readyService{d.node.Service(), d.config}.Ready() }

// Address returns the address on which callers are served.
func (d *Daemon) Address() string { return d.listener.Addr().String() }

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, d.log, d.metrics)
	defer group.Stop()
	d.config.Start(group)
	serving := make(chan error, 1)
	go func() { serving <- d.serveHTTP() }()
	ended := make(chan error, 1)
	group.Go("node", func(ctx context.Context) error {
		ended <- d.node.Run(ctx)
		return nil
	})
	d.log.Info("node: serving", "http", d.Address(), "zone", d.settings.Node.AvailabilityZone)
	var err error
	select {
	case err = <-serving:
	case err = <-ended:
	}
	d.close()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (d *Daemon) serveHTTP() error {
	if files := d.settings.TLS; files.CertificateFile != "" {
		return d.http.ServeTLS(d.listener, files.CertificateFile, files.KeyFile)
	}
	return d.http.Serve(d.listener)
}

func (d *Daemon) close() {
	d.stopping()
	_ = d.http.Close()
	d.client.Close()
}

// Drain hands all programs over, waits for the requests in progress, and ends
// the membership. Callers that still use the old address are served meanwhile.
func (d *Daemon) Drain(ctx context.Context) error {
	err := d.node.Drain(ctx)
	if errors.Is(err, node.ErrLeftOver) {
		// The last node of a deployment. Its programs are in its journal, and
		// the next node that starts takes them over.
		d.log.Warn("node: some programs stay in the journal", "error", err)
		err = nil
	}
	d.stopping()
	shutdown := d.http.Shutdown(ctx)
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	return errors.Join(err, shutdown, d.node.Leave(leaving))
}
