// Package role assembles the two kinds of processes that run on the users'
// platform. The front runs on hosts that clients reach and forwards their requests
// to backend servers; the store runs on hosts with disks and keeps conversations
// and budgets.
package role

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"dogwoodline.example/clientlimits"
	"dogwoodline.example/duty"
	"dogwoodline.example/gateway/where"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/logline"
	"dogwoodline.example/membership"
	"dogwoodline.example/netdial"
	"dogwoodline.example/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("role")

const (
	// metricsPort and metricsPath are where each role serves its metrics, and a front the
	// queries of package where.
	// deploy/system.toml states the same values.
	metricsPort = 9464
	metricsPath = "/metrics"
	// memoryLimitShare is the fraction of the process's memory that is set as
	// the soft limit of the Go runtime, above which the garbage collector runs
	// more often.
	memoryLimitShare = 0.7
	// unmanagedBytes is the memory that the soft limit leaves at least. The runtime
	// does not count the pages of the executable, 18 MB of which are resident under
	// load, and exceeds its limit for moments.
	unmanagedBytes = 24 << 20
	// leaseTTL is the lease duration of a process's registration. A process
	// that is lost disappears from the directory after that time. To the
	// platform's store, renewing a lease costs a tenth of a read.
	leaseTTL = 2 * time.Second
	// maxMessageBytes bounds a gRPC message between processes. The largest ones
	// are a conversation of the longest turns and a page of records.
	maxMessageBytes = 64 << 20
	// reconnectBaseDelay and reconnectMaxDelay bound the backoff between
	// attempts to connect to a store that is down. After a power failure of all
	// hosts, turns wait for the stores, so the longest pause adds to the outage.
	reconnectBaseDelay = 30 * time.Millisecond
	reconnectMaxDelay  = 120 * time.Millisecond
	// exitReserve is the part of the time between SIGTERM and SIGKILL at whose start a
	// process exits, whatever it still waits for.
	exitReserve = 200 * time.Millisecond
	// handshakeTimeout is the time in which a peer must have begun to speak on a new gRPC
	// connection. A server that stops waits for it, by default for two minutes.
	handshakeTimeout = 2 * time.Second
	// logFlushDelay is how long a stopping process waits for the last log lines
	// to be written.
	logFlushDelay = 50 * time.Millisecond
)

// process holds the state that both roles need.
type process struct {
	// host holds the settings that the process started with, and reread the ones
	// that were read again since; nil if there are none.
	host      platform.Host
	reread    atomic.Pointer[platform.Host]
	log       *slog.Logger
	metricSet *metrics.Set
	group     *duty.Group
	store     kvstore.Store
	session   *membership.Session
	member    membership.Member
	budgets   clientBudgets
	servers   []*http.Server
	onStop    []func() // stop other servers
	signals   chan os.Signal
	exit      func() // ends the process; nil for os.Exit(0)
	// where answers operators' queries where a request would go; nil before the front serves.
	where atomic.Pointer[http.Handler]
}

// runProcess reads the settings, starts logging and metrics, and runs serve,
// the part that is specific to the role. When serve returns, it stops everything
// that it started.
func runProcess(name string, out io.Writer, serve func(ctx context.Context, p *process) error) error {
	host, err := platform.ReadHost()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(softMemoryLimit(host.MemoryBytes))
	writer, log := logline.New(slog.LevelInfo)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	metricSet := metrics.NewSet()
	logs := duty.NewGroup(context.Background(), log, metricSet)
	logs.Go("log-writer", func(ctx context.Context) error { return writer.Run(ctx, out) })
	p := &process{
		host: host, log: log.With("host", host.Name, "role", name), metricSet: metricSet, store: platform.NewStore(host.StoreAddress),
		signals: make(chan os.Signal, 4),
	}
	p.group = duty.NewGroup(ctx, p.log, metricSet)
	signal.Notify(p.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p.member = membership.Member{ID: host.Name, Incarnation: rand.Text(), Zone: host.AvailabilityZone}
	p.log.Info("role: started", "incarnation", p.member.Incarnation, "zone", host.AvailabilityZone, "memory_bytes", host.MemoryBytes,
		"first_start", host.FirstStart, "platform_store", host.StoreAddress, "tolerated_losses", host.ToleratedHostLosses)
	p.budgets = p.newClientBudgets(name)
	p.serveOperators(name)
	err = serve(ctx, p)
	for _, server := range p.servers { // the goroutines that accept connections end only then
		if closeErr := server.Close(); closeErr != nil {
			p.log.Warn("role: HTTP server not closed", "error", closeErr)
		}
	}
	for _, stop := range p.onStop {
		stop()
	}
	p.group.Stop()
	p.log.Info("role: stopped", "error", err)
	time.Sleep(logFlushDelay)
	logs.Stop()
	return err
}

// softMemoryLimit returns the soft limit of the Go runtime for a process with the given
// memory.
func softMemoryLimit(memory int64) int64 {
	share := int64(memoryLimitShare * float64(memory))
	return max(min(share, memory-unmanagedBytes), share/2) // half is for hosts on which nearly all would be left
}

// register starts the goroutine that keeps this process registered in the
// platform's store.
func (p *process) register() {
	ttl := max(leaseTTL, p.host.MinLeaseTTL)
	neverFenced := func(context.Context) (bool, error) { return false, nil } // fronts and stores are never fenced
	p.session = membership.NewSession(p.store, clockwork.NewRealClock(), p.log, p.member, ttl, neverFenced)
	p.group.Go("session", p.session.Run)
}

// sendCommand sends a command to the goroutine that keeps this process
// registered.
func (p *process) sendCommand(ctx context.Context, command membership.Command) {
	if err := p.session.Commands().Push(ctx, command); err != nil {
		p.log.Warn("role: command not sent to the registration", "error", err)
	}
}

// listen starts an HTTP server on the address, whose clients share the budget. runProcess
// closes it.
func (p *process) listen(ctx context.Context, address string, budget *clientlimits.Budget, handler http.Handler) error {
	listener, err := netdial.Listen(ctx, address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: clientlimits.ConnState, ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelInfo),
	}
	p.servers = append(p.servers, server)
	p.group.Go("http-accept", func(context.Context) error {
		if err := server.Serve(budget.Wrap(listener, clientlimits.HTTP1)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// serveOperators starts the HTTP server for operators: metrics, and on a front the query
// where a request would go.
func (p *process) serveOperators(role string) {
	router := chi.NewRouter()
	router.Get(metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		p.metricSet.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	if role == "front" {
		router.Get(where.Path, func(w http.ResponseWriter, r *http.Request) {
			if handler := p.where.Load(); handler != nil {
				(*handler).ServeHTTP(w, r)
				return
			}
			http.Error(w, where.ErrUnavailable.Error(), http.StatusServiceUnavailable)
		})
	}
	address := net.JoinHostPort(p.host.IP, strconv.Itoa(metricsPort))
	if err := p.listen(context.Background(), address, p.budgets.operators, router); err != nil {
		p.log.Error("role: operators' address not opened", "address", address, "error", err)
	}
}

// awaitStop blocks until SIGTERM or SIGINT arrives. On SIGHUP it reads the
// settings again.
func (p *process) awaitStop() {
	for received := range p.signals {
		if received != syscall.SIGHUP {
			p.log.Info("role: stop requested", "signal", received.String())
			p.limitStop()
			return
		}
		host, err := platform.ReadHost()
		if err != nil {
			p.log.Error("role: settings not read again, keeping the previous ones", "error", err)
			continue
		}
		p.log.Info("role: settings read again", "changed", host != p.currentHost())
		p.reread.Store(&host)
	}
}

// limitStop has the process exit when the time for its planned stop is nearly over, so
// that nothing that it waits for keeps it. What it has acknowledged is on disks.
func (p *process) limitStop() {
	window := p.currentHost().StopWindow
	if window <= exitReserve {
		return
	}
	time.AfterFunc(window-exitReserve, func() {
		p.log.Error("role: planned stop takes too long, exiting", "duties", p.group.Running())
		time.Sleep(logFlushDelay)
		if p.exit != nil {
			p.exit()
			return
		}
		os.Exit(0)
	})
}

// newGRPCServer returns a server for other processes of the system.
func newGRPCServer() *grpc.Server {
	return grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxHeaderListSize(maxPeerHeaderBytes))
}

// currentHost returns the newest settings. Goroutines that run until the process
// stops use it for values that may change.
func (p *process) currentHost() platform.Host {
	if host := p.reread.Load(); host != nil {
		return *host
	}
	return p.host
}

// connect returns a gRPC connection to another process of the system and a
// function that closes it.
func connect(address string) (grpc.ClientConnInterface, func(), error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return netdial.DialContext(ctx, "tcp", address)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBaseDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: netdial.ConnectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return conn, func() { _ = conn.Close() }, nil // fails only if already closed
}
