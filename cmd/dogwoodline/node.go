package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/daemon"
	"dogwoodline.example/settings"
)

// memoryLimitShare is the fraction of the stated memory that is set as the soft limit of
// the Go runtime, above which the garbage collector runs more often. The rest is left for
// stacks and unread bytes.
const memoryLimitShare = 0.7

type nodeCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file, for example settings/example.toml."`
}

// runner is the part of a node that this command uses. Tests replace it.
type runner interface {
	// Run serves until ctx is done or Drain has finished.
	Run(ctx context.Context) error
	// Drain hands over all programs to other nodes and waits for the calls in
	// progress.
	Drain(ctx context.Context) error
}

// newNode creates a node from its settings.
func newNode(s settings.Settings, log *slog.Logger) (runner, error) {
	return daemon.New(s, log)
}

// Run runs a node until a signal makes it drain.
func (n nodeCommand) Run(c *console) error {
	loaded, err := settings.Load(n.Settings)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	if limit := loaded.Limits.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit<<20)))
	}
	log := newLogger(c.stderr, loaded.Log)
	if loaded.Operator.Key == "" {
		log.Warn("node: no operator key is set, anyone can change resources")
	}
	node, err := newNode(loaded, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	return serve(node, signals, time.Duration(loaded.Node.DrainTimeoutMS)*time.Millisecond, log)
}

// serve runs the node. The first signal drains it. A second signal or the drain
// timeout stops it without waiting any longer.
func serve(node runner, signals <-chan os.Signal, drainTimeout time.Duration, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runErr := make(chan error, 1)
	go func() { runErr <- node.Run(ctx) }()
	select {
	case err := <-runErr:
		return err
	case received := <-signals:
		log.Info("node: draining", "signal", received.String(), "timeout_ms", drainTimeout.Milliseconds())
	}
	drainContext, stopDraining := context.WithTimeout(ctx, drainTimeout)
	defer stopDraining()
	drainErr := make(chan error, 1)
	go func() { drainErr <- node.Drain(drainContext) }()
	select {
	case err := <-drainErr:
		if err != nil {
			return fmt.Errorf("drain: %w", err)
		}
		cancel()
		if err := <-runErr; err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
		log.Info("node: drained")
		return nil
	case <-signals:
		log.Warn("node: second signal received, stopping without draining")
		return errReported
	}
}
