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

// node is a node of the deployment: its settings, its relays and the process that
// runs it. The relays outlive the process; a restart starts a new one.
type node struct {
	id, zone      string
	folder        string
	binary        string
	log           *slog.Logger
	settings      settings.Settings
	callerRelay   *relay.Relay // callers to the node
	peerRelay     *relay.Relay // other nodes to the node
	platformRelay *relay.Relay // the node to the platform
	process       *process
	// address is the base URL of the node. It is atomic, because callers read it
	// while a fault may give the node new addresses.
	address atomic.Pointer[string]
}

// process is a node process that was started here. A goroutine waits for its
// exit, so that it does not remain as a zombie.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	code    int // exit code, valid after exited is closed; -1 if a signal ended the process
}

func (n *node) url() string { return *n.address.Load() }

// start writes the settings file of the node and starts its process. Standard
// output and error are appended to the log file of the node.
func (n *node) start() error {
	path := filepath.Join(n.folder, n.id+".toml")
	data, err := toml.Marshal(n.settings)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return Error.Wrap(err)
	}
	logFile, err := os.OpenFile(filepath.Join(n.folder, n.id+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = logFile.Close() }() // the process has its own descriptor
	command := exec.Command(n.binary, "node", "--settings", path)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return Error.Wrap(err)
	}
	p := &process{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait() // the exit code holds the same information
		p.code = command.ProcessState.ExitCode()
		close(p.exited)
	}()
	n.process = p
	n.log.Info("soak: node started", "node", n.id, "process", command.Process.Pid, "http", n.settings.Listen.HTTP)
	return nil
}

// signal sends a signal unless the process has exited.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s) // fails if the process exits at this moment
	}
}

// wait waits until the process exits and returns its exit code. It returns false
// if the process is still running after the timeout or at the end of ctx.
func (p *process) wait(ctx context.Context, timeout time.Duration) (int, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return p.code, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0, false
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// restart starts a node that has exited, under the same or under new addresses.
func (n *node) restart(newAddress bool) error {
	if newAddress {
		if err := n.assignAddresses(); err != nil {
			return err
		}
	}
	return n.start()
}

// assignAddresses gives the node new ports and replaces the relays in front of
// them. A restart after that looks like a replacement of the host.
func (n *node) assignAddresses() error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	n.settings.Listen.HTTP, n.settings.Listen.GRPC = ports[0], ports[1]
	for _, old := range []*relay.Relay{n.callerRelay, n.peerRelay} {
		if old != nil {
			old.Close()
		}
	}
	if n.callerRelay, err = relay.Start(ports[0]); err != nil {
		return err
	}
	if n.peerRelay, err = relay.Start(ports[1]); err != nil {
		return err
	}
	n.settings.Listen.HTTPAdvertised, n.settings.Listen.GRPCAdvertised = n.callerRelay.Address(), n.peerRelay.Address()
	url := "http://" + n.callerRelay.Address()
	n.address.Store(&url)
	return nil
}
