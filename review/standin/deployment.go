package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the roles. Each host has its own loopback address, whose ports were
// found free.
const (
	frontPort     = 8149
	readyPort     = 8141
	directoryPort = 8143
	peerPort      = 7380
	metricsPort   = 9464
)

// host is a front or a store with its process.
type host struct {
	name, role, ip string
	settings       string // path of the settings file
	log            string
	binary         string
	process        *exec.Cmd
	exited         chan struct{}
}

// shape tells how many stores and fronts a deployment has, and the memory of each.
type shape struct{ stores, fronts, memoryMB int }

// smallShape is that of a small deployment.
var smallShape = shape{stores: 4, fronts: 2, memoryMB: 284}

// deployment is the system with its stand-ins.
type deployment struct {
	record   *record
	platform *platformStore
	address  string // of the platform's store
	folder   string
	net      string // first three bytes of the loopback addresses
	size     shape
	fronts   []*host
	stores   []*host
}

// serve starts an HTTP server on a free port and returns its address.
func serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the server
	return listener.Addr().String(), nil
}

// freeNet returns the first three bytes of loopback addresses whose needed ports
// are free.
func freeNet(hosts int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := 1; i <= hosts && free; i++ {
			for _, port := range []int{frontPort, readyPort, directoryPort, peerPort, peerPort + 15, metricsPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, i, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// deploy starts the platform's store, stores and fronts.
func deploy(rec *record, binary string, size shape) (*deployment, error) {
	d := &deployment{record: rec, platform: newPlatformStore(), size: size}
	go d.platform.run()
	var err error
	if d.address, err = serve(d.platform.handler()); err != nil {
		return d, err
	}
	if d.folder, err = os.MkdirTemp("", "review"); err != nil {
		return d, err
	}
	if d.net, err = freeNet(size.stores + size.fronts); err != nil {
		return d, err
	}
	add := func(role string, number, last int) (*host, error) {
		h := &host{name: fmt.Sprintf("%s-%d", role, number), role: role, ip: fmt.Sprintf("%s.%d", d.net, last), binary: binary}
		h.settings, h.log = filepath.Join(d.folder, h.name+".toml"), filepath.Join(d.folder, h.name+".log")
		if err := os.WriteFile(h.settings, []byte(d.settingsOf(h, number)), 0o600); err != nil {
			return nil, err
		}
		return h, h.start()
	}
	for i := range size.stores {
		h, err := add("store", i+1, i+1)
		if err != nil {
			return d, err
		}
		d.stores = append(d.stores, h)
	}
	for i := range size.fronts {
		h, err := add("front", i+1, size.stores+i+1)
		if err != nil {
			return d, err
		}
		d.fronts = append(d.fronts, h)
	}
	return d, nil
}

// settingsOf returns the settings file of a host, with the values of a small
// deployment.
func (d *deployment) settingsOf(h *host, number int) string {
	zones := []string{"ist-a", "ist-b", "izm-a", "bur-a"}
	var text strings.Builder
	fmt.Fprintf(&text, "NodeName = %q\nRole = %q\nMachineClass = %q\nIp = %q\nZone = %q\nRegion = \"tr-bati\"\nPortRange = [%d,%d]\nFirstStart = true\nLossCounts = %v\nHeartbeatMs = 1200\n",
		h.name, h.role, h.role, h.ip, zones[(number-1)%len(zones)], peerPort, peerPort+15, h.role == "store")
	if h.role == "store" {
		fmt.Fprintf(&text, "DataDir = %q\n", filepath.Join(d.folder, h.name+"-disk"))
	} else {
		fmt.Fprintf(&text, "[Listen]\nFront = \"%s:%d\"\nReady = \"%s:%d\"\nDirectory = \"%s:%d\"\n", h.ip, frontPort, h.ip, readyPort, h.ip, directoryPort)
	}
	fmt.Fprintf(&text, "[Limits]\nCpuShare = 0.4\nCores = 1\nMemoryMb = %d\nMaxFds = 4100\n[FaultTolerance]\nMachines = 1\n"+
		"[Bounds]\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4.6\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\n"+
		"RollbackSlackMs = 250\nRecoveryS = 12\nttl_max_s = 5\n[Platform]\nAddress = %q\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nTtlMinMs = 1000\n", d.size.memoryMB, d.address)
	return text.String()
}

// start starts the process of a host with the command of the deploy file.
func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has a descriptor of its own
	command := exec.Command(h.binary, h.role)
	command.Env = append(os.Environ(), names["boot"]+"="+h.settings)
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // the exit status does not matter
		close(exited)
	}()
	h.process, h.exited = command, exited
	return nil
}

// signal sends a signal to the process of a host.
func (h *host) signal(s syscall.Signal) { _ = h.process.Process.Signal(s) } // fails only if it has exited

// awaitExit waits until the process has exited. The platform kills it after the
// grace period.
func (h *host) awaitExit() {
	select {
	case <-h.exited:
	case <-time.After(8 * time.Second):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
}

// restart sends a signal that ends the process, and starts it again after a pause.
func (d *deployment) restart(h *host, s syscall.Signal, pause time.Duration) error {
	d.record.event("disruption: %s gets %s", h.name, s)
	h.signal(s)
	h.awaitExit()
	time.Sleep(pause)
	d.record.event("disruption: %s starts again", h.name)
	return h.start()
}

// front returns the address at which clients reach a front.
func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

// ready reports whether a front says that it is ready.
func (h *host) ready() bool {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, readyPort))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startLimit is how long the fronts may take to be ready.
const startLimit = 20 * time.Second

// awaitReady waits until all fronts are ready.
func (d *deployment) awaitReady() error {
	for end := time.Now().Add(startLimit); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range d.fronts {
			all = all && h.ready()
		}
		switch {
		case all:
			return nil
		case time.Now().After(end):
			return fmt.Errorf("the fronts were not ready after %s", startLimit)
		}
	}
}

// stop kills all processes and removes the temporary folder.
func (d *deployment) stop() {
	var ended sync.WaitGroup
	for _, h := range append(append([]*host{}, d.fronts...), d.stores...) {
		ended.Go(func() {
			h.signal(syscall.SIGKILL)
			<-h.exited
		})
	}
	ended.Wait()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(d.folder, keep) // for a look at the logs by hand
		return
	}
	_ = os.RemoveAll(d.folder)
}
