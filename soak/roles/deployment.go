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
	// storePort is the port of a store's messages; each host has an address of
	// its own.
	storePort = 7380
	// eventCount and eventPause shape the streams of the backend server, so
	// that faults meet streams under way.
	eventCount = 3
	eventPause = 15 * time.Millisecond
	pollEvery  = 50 * time.Millisecond
)

// host is a place of the deployment that a process fills.
type host struct {
	settings usersplatform.Host
	role     string
	folder   string
	platform *relay.Relay // the host's way to the platform's store
	clients  *relay.Relay // the clients' way to a front
	process  *exec.Cmd
	exited   chan struct{}
	started  time.Time
	ending   bool // the soak has ended it, or asked it to end
}

type deployment struct {
	binary  string
	folder  string
	store   *usersplatform.Store
	backend *usersplatform.Backend
	servers []*httptest.Server
	route   *relay.Relay // the fronts' way to the backend server
	fronts  []*host
	stores  []*host
	disks   int // given out so far
}

func deploy(ctx context.Context, config Config, folder string) (*deployment, error) {
	d := &deployment{
		binary: config.Binary, folder: folder, store: usersplatform.NewStore(clockwork.NewRealClock()),
		backend: &usersplatform.Backend{ID: "i-1", Events: eventCount},
	}
	d.backend.SetPause(eventPause)
	platform, backend := httptest.NewServer(d.store.Handler()), httptest.NewServer(d.backend)
	d.servers = []*httptest.Server{platform, backend}
	var err error
	if d.route, err = relay.Start(backend.Listener.Addr().String()); err != nil {
		return d, err
	}
	if err := d.store.Configure(ctx, d.backend, d.route.Address()); err != nil {
		return d, Error.Wrap(err)
	}
	add := func(role, ip string) (*host, error) {
		way, err := relay.Start(platform.Listener.Addr().String())
		if err != nil {
			return nil, err
		}
		h := &host{role: role, folder: folder, platform: way}
		h.settings = usersplatform.Host{Name: role + "-" + ip, IP: ip, PeerPort: storePort, Store: way.Address()}
		if role == "store" {
			h.settings.DataDir = d.newDisk()
		}
		return h, h.start(d.binary)
	}
	for i := range config.Stores {
		h, err := add("store", fmt.Sprintf("127.%d.1.%d", config.Net, i+1))
		if err != nil {
			return d, err
		}
		d.stores = append(d.stores, h)
	}
	for i := range config.Fronts {
		h, err := add("front", fmt.Sprintf("127.%d.2.%d", config.Net, i+1))
		if err != nil {
			return d, err
		}
		if h.clients, err = relay.Start(net.JoinHostPort(h.settings.IP, strconv.Itoa(usersplatform.FrontPort))); err != nil {
			return d, err
		}
		d.fronts = append(d.fronts, h)
	}
	return d, d.awaitService(ctx, startTimeout)
}

// hosts returns the fronts and the stores.
func (d *deployment) hosts() []*host { return slices.Concat(d.fronts, d.stores) }

func (d *deployment) newDisk() string {
	d.disks++
	return filepath.Join(d.folder, fmt.Sprintf("disk-%d", d.disks))
}

func (d *deployment) frontAddresses() []string {
	var addresses []string
	for _, h := range d.fronts {
		addresses = append(addresses, h.clients.Address())
	}
	return addresses
}

// awaitService waits until every front is ready.
func (d *deployment) awaitService(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, h := range d.hosts() {
		select {
		case <-h.exited:
			if !h.ending {
				return Error.New("%s ended by itself: %s", h.settings.Name, h.process.ProcessState)
			}
		default:
		}
	}
	for _, h := range d.fronts {
		for !usersplatform.Ready(h.settings.IP) {
			if pause(ctx, pollEvery) != nil {
				return Error.New("%s is not ready %s after the last fault", h.settings.Name, limit)
			}
		}
	}
	return nil
}

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

// end stops every process that the deployment started.
func (d *deployment) end() {
	for _, h := range d.hosts() {
		h.signal(syscall.SIGKILL)
		<-h.exited
		h.platform.Close()
		if h.clients != nil {
			h.clients.Close()
		}
	}
	if d.route != nil {
		d.route.Close()
	}
	for _, server := range d.servers {
		server.CloseClientConnections()
		server.Close()
	}
}

// start runs the role's process, which appends to the host's log.
func (h *host) start(binary string) error {
	path := filepath.Join(h.folder, h.settings.Name+".toml")
	if err := os.WriteFile(path, []byte(h.settings.Settings()), 0o600); err != nil {
		return Error.Wrap(err)
	}
	out, err := os.OpenFile(filepath.Join(h.folder, h.settings.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = out.Close() }() // the process has its own handle
	command := exec.Command(binary, h.role)
	command.Env = append(os.Environ(), usersplatform.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return Error.Wrap(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // its end is all that matters
		close(exited)
	}()
	h.process, h.exited, h.started, h.ending = command, exited, time.Now(), false
	return nil
}

// handlersStand is how long after its start a process is sent no SIGHUP: before
// its handlers stand, that signal ends any process, and the platform would
// start it again. Seed 8 of 10 s did that.
const handlersStand = time.Second

// signal sends a signal unless the process has ended.
func (h *host) signal(s syscall.Signal) {
	if s == syscall.SIGHUP && time.Since(h.started) < handlersStand {
		return
	}
	h.ending = h.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
	select {
	case <-h.exited:
	default:
		_ = h.process.Process.Signal(s) // it may end at this moment
	}
}

// plainCall sends a call that may run once only.
func plainCall(ctx context.Context, front string, request usersplatform.Request) (int, string, error) {
	return usersplatform.Send(ctx, front, usersplatform.SiteHost, "/calls/x", request)
}

// turn sends a turn of a program.
func turn(ctx context.Context, front string, request usersplatform.Request) (int, string, error) {
	request.Turn = true
	return usersplatform.Send(ctx, front, usersplatform.SiteHost, "/turns/x", request)
}
