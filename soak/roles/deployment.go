package roles

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/emulator/usersplatform"
	"dogwoodline.example/soak/relay"
)

const (
	// storePort is the port on which a store serves its peers. All stores use
	// the same one, because each host has its own address.
	storePort = 7380
	// eventCount is the number of events of a stream of the backend server, and
	// eventInterval the time between them. They make streams last long enough
	// for faults to interrupt them.
	eventCount    = 3
	eventInterval = 15 * time.Millisecond
	pollInterval  = 50 * time.Millisecond
)

// host is an emulated host of the deployment, which runs one front or store
// process.
type host struct {
	settings      usersplatform.Host
	role          string
	folder        string
	platformRelay *relay.Relay // from the process to the platform's metadata store
	clientRelay   *relay.Relay // from the clients to a front; nil for a store
	process       *exec.Cmd
	exited        chan struct{}
	started       time.Time
	stopping      bool // the process has been sent SIGKILL or SIGTERM
}

// deployment is a set of front and store processes with the emulated platform
// store and backend server that they use.
type deployment struct {
	binary       string
	folder       string
	store        *usersplatform.Store
	backend      *usersplatform.Backend
	fragile      []*usersplatform.FragileBackend
	servers      []*httptest.Server
	backendRelay *relay.Relay   // from the fronts to the backend server
	streamRelays []*relay.Relay // from the fronts to the servers of resumable streams
	fronts       []*host
	stores       []*host
	dataDirs     int // number given out so far
}

// deploy starts the stores and the fronts and waits until all fronts are ready.
// The caller must stop the returned deployment even after an error.
func deploy(ctx context.Context, config Config, folder string) (*deployment, error) {
	d := &deployment{
		binary: config.Binary, folder: folder, store: usersplatform.NewStore(clockwork.NewRealClock()),
		backend: &usersplatform.Backend{ID: "i-1", Events: eventCount},
	}
	d.backend.SetPause(eventInterval)
	platformServer, backendServer := httptest.NewServer(d.store.Handler()), httptest.NewServer(d.backend)
	d.servers = []*httptest.Server{platformServer, backendServer}
	var err error
	if d.backendRelay, err = relay.Start(backendServer.Listener.Addr().String()); err != nil {
		return d, err
	}
	if err := d.store.Configure(ctx, d.backend, d.backendRelay.Address()); err != nil {
		return d, Error.Wrap(err)
	}
	if config.Organisations {
		if err := d.store.PutConfig(ctx, usersplatform.FirstConfigVersion+1, organisationsWith()); err != nil {
			return d, Error.Wrap(err)
		}
	}
	for _, server := range streamServers() {
		if err := d.addStreamServer(ctx, server); err != nil {
			return d, err
		}
	}
	for i := range fragileServers {
		d.fragile = append(d.fragile, usersplatform.NewFragileBackend(fmt.Sprintf("fragile-%d", i), i%2 == 1, d.store))
	}
	add := func(role, ip string) (*host, error) {
		platformRelay, err := relay.Start(platformServer.Listener.Addr().String())
		if err != nil {
			return nil, err
		}
		h := &host{role: role, folder: folder, platformRelay: platformRelay}
		h.settings = usersplatform.Host{Name: role + "-" + ip, IP: ip, PeerPort: storePort, Store: platformRelay.Address(), Contended: config.Contended}
		if config.Organisations {
			h.settings.ConfigMs, h.settings.Quotas = int(keyDelay.Milliseconds()), true
		}
		if role == "store" {
			h.settings.DataDir = d.newDataDir()
		}
		return h, h.start(d.binary)
	}
	for i := range config.Stores {
		h, err := add("store", fmt.Sprintf("127.%d.1.%d", config.SecondOctet, i+1))
		if err != nil {
			return d, err
		}
		d.stores = append(d.stores, h)
	}
	for i := range config.Fronts {
		h, err := add("front", fmt.Sprintf("127.%d.2.%d", config.SecondOctet, i+1))
		if err != nil {
			return d, err
		}
		if h.clientRelay, err = relay.Start(net.JoinHostPort(h.settings.IP, strconv.Itoa(usersplatform.FrontPort))); err != nil {
			return d, err
		}
		d.fronts = append(d.fronts, h)
	}
	return d, d.awaitService(ctx, startTimeout)
}

// addStreamServer starts and registers a server of resumable streams.
func (d *deployment) addStreamServer(ctx context.Context, server usersplatform.StreamBackend) error {
	listening := httptest.NewServer(server)
	d.servers = append(d.servers, listening)
	toServer, err := relay.Start(listening.Listener.Addr().String())
	if err != nil {
		return err
	}
	d.streamRelays = append(d.streamRelays, toServer)
	return Error.Wrap(server.Register(ctx, d.store, toServer.Address()))
}

// hosts returns the fronts and the stores.
func (d *deployment) hosts() []*host { return slices.Concat(d.fronts, d.stores) }

// newDataDir returns the path of a data directory that was not used before,
// which stands for an empty disk.
func (d *deployment) newDataDir() string {
	d.dataDirs++
	return filepath.Join(d.folder, fmt.Sprintf("disk-%d", d.dataDirs))
}

// frontAddresses returns the addresses at which clients reach the fronts.
func (d *deployment) frontAddresses() []string {
	var addresses []string
	for _, h := range d.fronts {
		addresses = append(addresses, h.clientRelay.Address())
	}
	return addresses
}

// awaitService waits until every front is ready. It fails after the limit, or
// if a process has exited without being told to.
func (d *deployment) awaitService(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, h := range d.hosts() {
		select {
		case <-h.exited:
			if !h.stopping {
				return Error.New("%s exited unexpectedly: %s", h.settings.Name, h.process.ProcessState)
			}
		default:
		}
	}
	for _, h := range d.fronts {
		for !usersplatform.Ready(h.settings.IP) {
			if pause(ctx, pollInterval) != nil {
				return Error.New("%s was not ready within %s", h.settings.Name, limit)
			}
		}
	}
	return nil
}

// pause waits for the given time or until the context ends.
func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop kills every process of the deployment and closes its relays and servers.
func (d *deployment) stop() {
	for _, h := range d.hosts() {
		h.signal(syscall.SIGKILL)
		<-h.exited
		h.platformRelay.Close()
		if h.clientRelay != nil {
			h.clientRelay.Close()
		}
	}
	if d.backendRelay != nil {
		d.backendRelay.Close()
	}
	for _, r := range d.streamRelays {
		r.Close()
	}
	for _, server := range d.servers {
		server.CloseClientConnections()
		server.Close()
	}
}

// start writes the settings file and starts the process, which appends to the
// host's log file.
func (h *host) start(binary string) error {
	path := filepath.Join(h.folder, h.settings.Name+".toml")
	if err := os.WriteFile(path, []byte(h.settings.Settings()), 0o600); err != nil {
		return Error.Wrap(err)
	}
	out, err := os.OpenFile(filepath.Join(h.folder, h.settings.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = out.Close() }() // the process has its own file descriptor
	command := exec.Command(binary, h.role)
	command.Env = append(os.Environ(), usersplatform.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return Error.Wrap(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // awaitService reads the exit status from ProcessState
		close(exited)
	}()
	h.process, h.exited, h.started, h.stopping = command, exited, time.Now(), false
	return nil
}

// sighupGracePeriod is the time after the start of a process during which it is
// sent no SIGHUP. Until the process has installed its signal handler, SIGHUP ends
// it, as happened in a run of 10 s with seed 8. On the real platform, the process
// would then be restarted.
const sighupGracePeriod = time.Second

// signal sends a signal unless the process has exited. SIGHUP is dropped during
// sighupGracePeriod.
func (h *host) signal(s syscall.Signal) {
	if s == syscall.SIGHUP && time.Since(h.started) < sighupGracePeriod {
		return
	}
	h.stopping = h.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
	select {
	case <-h.exited:
	default:
		_ = h.process.Process.Signal(s) // the process may exit at this moment
	}
}

// sendCall sends a call that may run at most once.
func sendCall(ctx context.Context, front string, request usersplatform.Request) (int, string, error) {
	return usersplatform.Send(ctx, front, usersplatform.SiteHost, "/calls/x", request)
}

// sendTurn sends a turn of a program.
func sendTurn(ctx context.Context, front string, request usersplatform.Request) (int, string, error) {
	request.Turn = true
	return usersplatform.Send(ctx, front, usersplatform.SiteHost, "/turns/x", request)
}

// sendResumableTurn sends a turn of a program whose stream may be resumed.
func sendResumableTurn(ctx context.Context, front string, request usersplatform.Request) (int, string, error) {
	request.Turn = true
	return usersplatform.Send(ctx, front, usersplatform.SiteHost, usersplatform.ResumableTurnsPath, request)
}
