// Package role assembles the processes that run on the users' platform: a
// front on hosts that clients reach, and a store on hosts with disks.
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
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"dogwoodline.example/duty"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/logline"
	"dogwoodline.example/membership"
	"dogwoodline.example/netdial"
	"dogwoodline.example/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("role")

const (
	// metricsPort and metricsPath are where each role serves its metrics, as
	// the deploy file says.
	metricsPort = 9464
	metricsPath = "/metrics"
	// memoryLimitShare is the part of the process's memory at which the
	// collector works harder; the rest is for stacks and unread bytes.
	memoryLimitShare = 0.7
	// leaseTTL is the lease of a process's registration. A lost process
	// leaves the directory after that time; a renewal costs a tenth of a read.
	leaseTTL = 2 * time.Second
	// mostMessage bounds a message between processes: a conversation of the
	// longest turns, or a page of records.
	mostMessage = 64 << 20
	// reconnectFirst and reconnectLongest bound the pauses between attempts
	// to connect to a store that is down. After a loss of power everywhere turns
	// wait for the stores, so that the longest pause is a part of the outage.
	reconnectFirst   = 30 * time.Millisecond
	reconnectLongest = 120 * time.Millisecond
	// logFlush is how long the last log lines may take.
	logFlush = 50 * time.Millisecond
)

// process is what both roles share.
type process struct {
	host    platform.Host
	log     *slog.Logger
	set     *metrics.Set
	group   *duty.Group
	store   kvstore.Store
	session *membership.Session
	member  membership.Member
	servers []*http.Server
	stopped chan os.Signal
}

// start reads the settings and starts logs and metrics.
func start(name string, out io.Writer, serve func(ctx context.Context, p *process) error) error {
	host, err := platform.ReadHost()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(host.MemoryBytes)))
	writer, log := logline.New(slog.LevelInfo)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	set := metrics.NewSet()
	logs := duty.NewGroup(context.Background(), log, set)
	logs.Go("log-writer", func(ctx context.Context) error { return writer.Run(ctx, out) })
	p := &process{
		host: host, log: log.With("host", host.Name, "role", name), set: set, store: platform.NewStore(host.StoreAddress),
		stopped: make(chan os.Signal, 4),
	}
	p.group = duty.NewGroup(ctx, p.log, set)
	signal.Notify(p.stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p.member = membership.Member{ID: host.Name, Incarnation: rand.Text(), Zone: host.AvailabilityZone}
	p.log.Info("role: started", "incarnation", p.member.Incarnation, "zone", host.AvailabilityZone, "memory_bytes", host.MemoryBytes,
		"first_start", host.FirstStart, "platform_store", host.StoreAddress, "tolerated_losses", host.LostHosts)
	p.serveMetrics()
	err = serve(ctx, p)
	for _, server := range p.servers { // their duties end only when they are closed
		if closeErr := server.Close(); closeErr != nil {
			p.log.Warn("role: listener not closed", "error", closeErr)
		}
	}
	p.group.Stop()
	p.log.Info("role: stopped", "error", err)
	time.Sleep(logFlush)
	logs.Stop()
	return err
}

// register starts the duty that keeps this process registered.
func (p *process) register() {
	ttl := max(leaseTTL, p.host.ShortestLease)
	never := func(context.Context) (bool, error) { return false, nil } // nothing fences a process of this kind
	p.session = membership.NewSession(p.store, clockwork.NewRealClock(), p.log, p.member, ttl, never)
	p.group.Go("session", p.session.Run)
}

// tell sends a command to the registration duty.
func (p *process) tell(ctx context.Context, command membership.Command) {
	if err := p.session.Commands().Push(ctx, command); err != nil {
		p.log.Warn("role: registration not told", "error", err)
	}
}

// listen starts an HTTP server.
func (p *process) listen(ctx context.Context, address string, handler http.Handler) error {
	listener, err := netdial.Listen(ctx, address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelInfo),
	}
	p.servers = append(p.servers, server)
	p.group.Go("http-accept", func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

const (
	// headerTimeout, idleTimeout and headerBytes are wider than what the
	// operator's configuration lets clients use, which is known only later.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	headerBytes   = 64 << 10
)

func (p *process) serveMetrics() {
	router := chi.NewRouter()
	router.Get(metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		p.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	address := net.JoinHostPort(p.host.IP, strconv.Itoa(metricsPort))
	if err := p.listen(context.Background(), address, router); err != nil {
		p.log.Error("role: metrics are not served", "address", address, "error", err)
	}
}

// awaitStop handles signals until one asks the process to stop.
func (p *process) awaitStop() {
	for received := range p.stopped {
		if received != syscall.SIGHUP {
			p.log.Info("role: stop requested", "signal", received.String())
			return
		}
		host, err := platform.ReadHost()
		if err != nil {
			p.log.Error("role: settings not read again, the old ones stay", "error", err)
			continue
		}
		p.log.Info("role: settings read again", "changed", host != p.host)
		p.host = host
	}
}

// connect opens a connection to a process of the system.
func connect(address string) (grpc.ClientConnInterface, func(), error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return netdial.Context(ctx, "tcp", address)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectFirst, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectLongest},
			MinConnectTimeout: netdial.ConnectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostMessage), grpc.MaxCallSendMsgSize(mostMessage)),
	)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return conn, func() { _ = conn.Close() }, nil // fails only if it is closed already
}
