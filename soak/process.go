package soak

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"dogwoodline.example/settings"
	"dogwoodline.example/soak/relay"
)

// node is a place of the deployment that a node process fills. Its relays
// outlive the process.
type node struct {
	id, zone string
	folder   string
	binary   string
	log      *slog.Logger
	settings settings.Settings
	front    *relay.Relay // callers to the node
	peers    *relay.Relay // other nodes to the node
	platform *relay.Relay // the node to the platform
	current  *process
	// address is published by whoever moves the node, because callers read it.
	address atomic.Pointer[string]
}

// process is a node process that this tool started. Its exit is always
// collected.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	code    int // valid after exited is closed, -1 after a signal
}

func (n *node) url() string { return *n.address.Load() }

// start runs the binary with the settings of the node.
func (n *node) start() error {
	path := filepath.Join(n.folder, n.id+".toml")
	data, err := toml.Marshal(n.settings)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return Error.Wrap(err)
	}
	out, err := os.OpenFile(filepath.Join(n.folder, n.id+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = out.Close() }() // the process has its own handle
	command := exec.Command(n.binary, "node", "--settings", path)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return Error.Wrap(err)
	}
	p := &process{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait() // the exit code tells what the error would
		p.code = command.ProcessState.ExitCode()
		close(p.exited)
	}()
	n.current = p
	n.log.Info("soak: node started", "node", n.id, "process", command.Process.Pid, "http", n.settings.Listen.HTTP)
	return nil
}

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s) // it may end at this moment
	}
}

// wait returns the exit code, or false when the process runs on.
func (p *process) wait(ctx context.Context, most time.Duration) (int, bool) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-p.exited:
		return p.code, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0, false
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// restart starts a node that has ended, under the same or new addresses.
func (n *node) restart(elsewhere bool) error {
	if elsewhere {
		if err := n.move(); err != nil {
			return err
		}
	}
	return n.start()
}

// move gives the node new addresses, as a replaced host has.
func (n *node) move() error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	n.settings.Listen.HTTP, n.settings.Listen.GRPC = ports[0], ports[1]
	for _, old := range []*relay.Relay{n.front, n.peers} {
		if old != nil {
			old.Close()
		}
	}
	if n.front, err = relay.Start(ports[0]); err != nil {
		return err
	}
	if n.peers, err = relay.Start(ports[1]); err != nil {
		return err
	}
	n.settings.Listen.HTTPAdvertised, n.settings.Listen.GRPCAdvertised = n.front.Address(), n.peers.Address()
	url := "http://" + n.front.Address()
	n.address.Store(&url)
	return nil
}
