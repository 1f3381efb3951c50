package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/emulator/usersplatform"
)

// Limits of the processes, as on the site satamavirta-prod.
const (
	frontMemoryMB = 134
	storeMemoryMB = 144
	frontFDs      = 4100
	storeFDs      = 8200
	storeDiskMB   = 330
)

// deployment is a small deployment: four stores and some fronts as processes of their own,
// and stand-ins of the platform's store and of backend servers in this process.
type deployment struct {
	ctx      context.Context
	cancel   context.CancelFunc
	log      *record
	program  string // path of the built binary
	folder   string // temporary
	net      string // first three bytes of the loopback addresses
	platform *usersplatform.Store
	address  string // of the platform's store
	contract string // further entry of the contracts; empty for none
	nodes    []*node
}

// node is one process of the system.
type node struct {
	name, role, ip string
	memoryMB       int
	settings       string // path
	output         *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	asked   bool // this program has ended it
	ownEnds int  // how often it has ended by itself
}

// newDeployment prepares a deployment on loopback addresses that no other process uses.
func newDeployment(log *record, program string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{ctx: ctx, cancel: cancel, log: log, program: program, folder: folder, platform: usersplatform.NewStore(clockwork.NewRealClock())}
	pid := os.Getpid()
	d.net = fmt.Sprintf("127.%d.%d", 64+pid%128, 1+pid/128%250)
	if d.address, err = serve(ctx, d.net+".200", d.platform.Handler()); err != nil {
		return nil, err
	}
	return d, nil
}

// zones of the deployment.
var zones = []string{"fi-south-a", "fi-south-b", "fi-south-c", "fi-south-d"}

// add writes the settings file of a node.
func (d *deployment) add(role string, number int) (*node, error) {
	n := &node{name: fmt.Sprintf("%s-%d", role, number), role: role}
	zone := zones[(number-1)%len(zones)]
	listen, data, memory, fds, disk, counts := "", "", frontMemoryMB, frontFDs, 0, false
	if role == "store" {
		n.ip = fmt.Sprintf("%s.%d", d.net, 10+number)
		data = fmt.Sprintf("DataDir = %q\n", filepath.Join(d.folder, n.name))
		memory, fds, disk, counts = storeMemoryMB, storeFDs, storeDiskMB, true
	} else {
		n.ip = fmt.Sprintf("%s.%d", d.net, 30+number)
		listen = fmt.Sprintf("Front = \"%[1]s:8149\"\nReady = \"%[1]s:8141\"\nDirectory = \"%[1]s:8143\"\n", n.ip)
	}
	n.memoryMB = memory
	contracts := `["base","drain","config","cost","recover","agent","stream","engine","platform"`
	if d.contract != "" {
		contracts += `,"` + d.contract + `"`
	}
	text := fmt.Sprintf("NodeName = %q\nRole = %q\nMachineClass = %q\nServes = [%q]\nIp = %q\nZone = %q\nRegion = \"fi-south\"\nPortRange = [7380,7395]\n"+
		"Seeds = []\nFirstStart = true\nLossCounts = %t\nDiscovery = \"platform\"\nEntry = \"directory\"\nHeartbeatMs = 1200\nContracts = %s]\n%s"+
		"[Listen]\n%s[Limits]\nCpuShare = 0.4\nCores = 1\nMemoryMb = %d\nMaxFds = %d\nLinkMbps = 1000.0\nDiskMb = %d\n"+
		"[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n"+
		"[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4.3\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\n"+
		"ConfigMs = 2000\nRollbackSlackMs = 250\nStretchMaxMs = 5000\nRecoveryS = 12\nPassMs = 120\nAgainS = 0\nFinishS = 10\nSettleMs = 1000\nttl_max_s = 5\n"+
		"[Platform]\nAddress = %q\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
		n.name, role, role, role, n.ip, zone, counts, contracts, data, listen, memory, fds, disk, d.address)
	n.settings = filepath.Join(d.folder, n.name+".toml")
	d.nodes = append(d.nodes, n)
	return n, os.WriteFile(n.settings, []byte(text), 0o644)
}

// start starts a node with the command of the deploy file.
func (d *deployment) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.asked {
		return errors.New("it was ended")
	}
	if n.output == nil {
		output, err := os.Create(filepath.Join(d.folder, n.name+".log"))
		if err != nil {
			return err
		}
		n.output = output
	}
	command := exec.Command(d.program, n.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.Boot + "=" + n.settings}
	command.Stdout, command.Stderr = n.output, n.output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.command, n.ended = command, ended
	d.log.line("%s started as process %d", n.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		close(ended)
		n.mu.Lock()
		asked := n.asked
		if !asked {
			n.ownEnds++
		}
		n.mu.Unlock()
		if asked {
			return
		}
		d.log.line("%s ENDED BY ITSELF: %v", n.name, err)
		sleep(d.ctx, restartDelay)
		if d.ctx.Err() == nil {
			if err := d.start(n); err != nil {
				d.log.line("%s not started again: %v", n.name, err)
			}
		}
	}()
	return nil
}

// restartDelay is the pause after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// endsOfItsOwn returns how often the process has ended by itself.
func (n *node) endsOfItsOwn() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownEnds
}

// signal sends a signal to the process, which this program has started.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		n.asked = true
	}
	if n.command != nil {
		_ = n.command.Process.Signal(sig) // it may have ended
	}
}

// anonymousMB returns the resident memory of the process that no file backs, and its
// whole resident memory, in MB of 1,048,576 bytes; 0 if it does not run.
func (n *node) anonymousMB() (anonymous, resident float64) {
	n.mu.Lock()
	pid := 0
	if n.command != nil {
		pid = n.command.Process.Pid
	}
	n.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64) // other lines have no number
		switch fields[0] {
		case "RssAnon:":
			anonymous = kilobytes / 1024
		case "VmRSS:":
			resident = kilobytes / 1024
		}
	}
	return anonymous, resident
}

// startAll starts four stores and some fronts, and waits until the fronts are ready.
func (d *deployment) startAll(fronts int) error {
	for i := range 4 {
		n, err := d.add("store", i+1)
		if err == nil {
			err = d.start(n)
		}
		if err != nil {
			return err
		}
	}
	for i := range fronts {
		n, err := d.add("front", i+1)
		if err == nil {
			err = d.start(n)
		}
		if err != nil {
			return err
		}
	}
	for _, n := range d.fronts() {
		if !d.awaitReady(n, 20*time.Second) {
			return errors.New(n.name + " is not ready")
		}
	}
	time.Sleep(time.Second) // all four stores have joined
	d.log.line("all fronts are ready")
	return nil
}

func (d *deployment) awaitReady(n *node, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if ready(n.ip) {
			return true
		}
	}
	return false
}

func ready(ip string) bool {
	client := http.Client{Timeout: time.Second}
	reply, err := client.Get("http://" + ip + ":8141/ready")
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

func (d *deployment) fronts() []*node {
	var found []*node
	for _, n := range d.nodes {
		if n.role == "front" {
			found = append(found, n)
		}
	}
	return found
}

// front returns the address at which clients reach a front.
func (n *node) front() string { return net.JoinHostPort(n.ip, "8149") }

// configVersion is the version of the only configuration.
const configVersion = 7

// configure writes the operator's configuration.
func (d *deployment) configure(routes, services string) error {
	var config bytes.Buffer
	fmt.Fprintf(&config, `{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`,
		configVersion, routes, services)
	return d.platform.Put(d.ctx, "op/config", json.RawMessage(config.Bytes()))
}

// panicLines returns the first lines of a node's output that are no structured log lines and
// name no file: those of a panic.
func (n *node) panicLines() []string {
	content, err := os.ReadFile(n.output.Name())
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "{") && len(lines) < 12 && !strings.Contains(line, "/") {
			lines = append(lines, line)
		}
	}
	return lines
}

// stop ends all processes that were started and removes the temporary folder.
func (d *deployment) stop() {
	d.cancel()
	for _, n := range d.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.mu.Lock()
		ended := n.ended
		n.mu.Unlock()
		if ended != nil {
			<-ended
		}
		if n.output != nil {
			_ = n.output.Close() // it is removed below
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder) // what is left is in the folder for temporary files
	}
}
