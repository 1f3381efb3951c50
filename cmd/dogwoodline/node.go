package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/daemon"
	"dogwoodline.example/settings"
)

type nodeCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file, for example settings/example.toml."`
}

// runner is what this command needs from a node.
type runner interface {
	// Run serves until ctx ends, or until Drain has finished.
	Run(ctx context.Context) error
	// Drain hands over all programs and waits for calls in progress.
	Drain(ctx context.Context) error
}

// newNode assembles a node.
func newNode(s settings.Settings, log *slog.Logger) (runner, error) {
	return daemon.New(s, log)
}

// Run runs a node until a signal drains it.
func (n nodeCommand) Run(c *console) error {
	loaded, err := settings.Load(n.Settings)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	log := newLog(c.errOut, loaded.Log)
	if loaded.Operator.Key == "" {
		log.Warn("node: no operator key is set, everybody may change resources")
	}
	running, err := newNode(loaded, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	return serve(running, signals, time.Duration(loaded.Node.DrainTimeoutMS)*time.Millisecond, log)
}

// serve runs the node. The first signal drains it; a second signal, or the
// end of the drain timeout, ends it at once.
func serve(running runner, signals <-chan os.Signal, drainTimeout time.Duration, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- running.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case received := <-signals:
		log.Info("node: draining", "signal", received.String(), "timeout_ms", drainTimeout.Milliseconds())
	}
	drainContext, stopDraining := context.WithTimeout(ctx, drainTimeout)
	defer stopDraining()
	drained := make(chan error, 1)
	go func() { drained <- running.Drain(drainContext) }()
	select {
	case err := <-drained:
		if err != nil {
			return fmt.Errorf("drain: %w", err)
		}
		cancel()
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
		log.Info("node: drained")
		return nil
	case <-signals:
		log.Warn("node: second signal, ending without draining")
		return errReported
	}
}
