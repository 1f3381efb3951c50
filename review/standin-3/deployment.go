package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	peerPort = 7380
	// startTimeout bounds the start of the whole deployment.
	startTimeout = 15 * time.Second
	// frontMemoryMB and frontDescriptors are the machine of a front in the deployment
	// satamavirta-prod.
	frontMemoryMB, frontDescriptors = 134, 4100
	// ordinaryTimeout is the time that an ordinary caller has for a call.
	ordinaryTimeout = 1200 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// stopTimeout is the time for a planned stop before SIGKILL.
	stopTimeout = 9 * time.Second
)

// role is one process of the system.
type role struct {
	name, ip string
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	mu       sync.Mutex
	stopping bool
}

// deployment is the system as processes, and the stand-in of the platform's store in
// this process.
type deployment struct {
	binary, folder string
	store          *usersplatform.Store
	storeAddress   string
	network        int // third part of the loopback addresses
	reservation    net.Listener
	host           usersplatform.Host
	roles          map[string]*role
	order          []string
	record         *record
}

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// serve serves the handler on a free port until the process ends, and returns its address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// newDeployment starts the stand-in of the platform's store and picks loopback addresses
// that nobody uses.
func newDeployment(binary, folder string, host usersplatform.Host, r *record) (*deployment, error) {
	d := &deployment{binary: binary, folder: folder, host: host, roles: map[string]*role{}, record: r, store: usersplatform.NewStore(clockwork.NewRealClock())}
	var err error
	if d.storeAddress, err = serve(d.store.Handler()); err != nil {
		return nil, err
	}
	for d.network = 40 + os.Getpid()%150; ; d.network++ {
		if d.network > 250 {
			return nil, fmt.Errorf("no free loopback addresses")
		}
		if d.reserve() && d.free() {
			go d.stopOnSignal()
			return d, nil
		}
	}
}

// reserve keeps other cases from the loopback addresses until this program ends.
func (d *deployment) reserve() bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.254:%d", d.network, peerPort))
	d.reservation = listener
	return err == nil
}

// stopOnSignal ends all roles when this program is told to end.
func (d *deployment) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	for _, name := range d.order {
		d.signal(name, syscall.SIGKILL)
	}
	os.Exit(2)
}

// free reports whether the ports of the system are free on its loopback addresses.
func (d *deployment) free() bool {
	for i := 1; i < 20; i++ {
		for _, port := range []int{usersplatform.FrontPort, usersplatform.ReadyPort, usersplatform.DirectoryPort, peerPort, 9464} {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", d.network, i, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// start starts a role, "store" or "front", on a host of its own.
func (d *deployment) start(name string) error {
	r := d.roles[name]
	if r == nil {
		r = &role{name: name, ip: fmt.Sprintf("127.0.%d.%d", d.network, 1+len(d.roles))}
		d.roles[name] = r
		d.order = append(d.order, name)
	}
	kind, _, _ := strings.Cut(name, "-")
	host := d.host
	host.Name, host.IP, host.PeerPort, host.Store = name, r.ip, peerPort, d.storeAddress
	if kind == "store" {
		host.DataDir = filepath.Join(d.folder, name)
	}
	settings := filepath.Join(d.folder, name+".toml")
	if err := os.WriteFile(settings, []byte(host.Settings()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.CommandContext(context.Background(), d.binary, kind)
	cmd.Env = append(os.Environ(), usersplatform.SettingsVariable+"="+settings)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.cmd, r.done, r.stopping = cmd, make(chan struct{}), false
	done := r.done
	r.mu.Unlock()
	d.record.line("%s started, process %d", name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		stopping := r.stopping
		r.mu.Unlock()
		d.record.line("%s ended: %v, asked for: %t", name, err, stopping)
		close(done)
	}()
	return nil
}

// signal sends a signal to a role.
func (d *deployment) signal(name string, s syscall.Signal) {
	r := d.roles[name]
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		r.mu.Lock()
		r.stopping = true
		r.mu.Unlock()
	}
	d.record.line("%s gets signal %v", name, s)
	_ = r.cmd.Process.Signal(s)
}

// kill ends a role at once and waits for its end.
func (d *deployment) kill(name string) {
	d.signal(name, syscall.SIGKILL)
	<-d.roles[name].done
}

// alive reports whether a role still runs.
func (d *deployment) alive(name string) bool {
	select {
	case <-d.roles[name].done:
		return false
	default:
		return true
	}
}

// awaitReady waits until the fronts are ready.
func (d *deployment) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, name := range d.order {
		for strings.HasPrefix(name, "front") && !usersplatform.Ready(d.roles[name].ip) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, name := range d.order {
		if d.alive(name) {
			d.signal(name, syscall.SIGCONT)
			d.signal(name, syscall.SIGTERM)
		}
	}
	end := time.After(stopTimeout)
	for _, name := range d.order {
		select {
		case <-d.roles[name].done:
		case <-end:
			for _, left := range d.order {
				if d.alive(left) {
					d.kill(left)
				}
			}
			return
		}
	}
}

// front returns the address of a front for clients.
func (d *deployment) front(name string) string {
	return d.roles[name].ip + ":" + strconv.Itoa(usersplatform.FrontPort)
}

// memoryMB returns the resident memory of a role without files in MB, 0 if it has ended.
func (d *deployment) memoryMB(name string) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.roles[name].cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1000
		}
	}
	return 0
}

// metric returns the lines of a role's metrics that contain a text.
func (d *deployment) metric(name, text string) []string {
	reply, err := http.Get(fmt.Sprintf("http://%s:9464/metrics", d.roles[name].ip))
	if err != nil {
		return nil
	}
	defer func() { _ = reply.Body.Close() }()
	content, _ := io.ReadAll(reply.Body)
	var lines []string
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// enforceMemory does what the machine does: it kills a role that uses more memory than it
// may, and starts it again. It returns the memory in MB, and whether it was too much.
func (d *deployment) enforceMemory(name string, limit float64) (used float64, killed bool) {
	used = d.memoryMB(name)
	if used <= limit {
		return used, false
	}
	d.record.line("%s uses %.1f MB, more than the %.0f MB of its machine, and is killed", name, used, limit)
	d.kill(name)
	time.Sleep(restartDelay)
	if err := d.start(name); err != nil {
		d.record.line("%s not started again: %v", name, err)
	}
	return used, true
}

// ordinaryCall sends one call on a new connection, and once more if it fails.
func ordinaryCall(ctx context.Context, front, id string) error {
	ctx, cancel := context.WithTimeout(ctx, ordinaryTimeout)
	defer cancel()
	var last error
	for try := range 2 {
		request, err := usersplatform.Request{ID: fmt.Sprintf("%s-%d", id, try), Method: http.MethodGet}.HTTP(ctx, front, usersplatform.SiteHost, "/reads/x")
		if err != nil {
			return err
		}
		transport := &http.Transport{DisableKeepAlives: true}
		reply, err := transport.RoundTrip(request)
		if err != nil {
			last = err
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_, err = io.Copy(io.Discard, reply.Body)
		_ = reply.Body.Close()
		if err == nil && reply.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d, %w", reply.StatusCode, err)
	}
	return last
}
