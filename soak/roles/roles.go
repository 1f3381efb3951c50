// Package roles runs fronts and stores as processes before stand-ins of the
// users' platform, injects faults from outside them, and checks what clients
// and backend servers saw.
package roles

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"dogwoodline.example/duty"
)

// Error is the class of all errors of this package.
var Error = errs.Class("soak roles")

// Config describes a run.
type Config struct {
	// Binary is the program of both roles.
	Binary string
	// Fronts, Stores and Programs are how many run side by side.
	Fronts, Stores, Programs int
	// Duration is how long faults are injected.
	Duration time.Duration
	// Seed decides the faults and the programs.
	Seed uint64
	// Net is the second number of the loopback addresses, so that runs beside
	// each other do not meet; 0 stands for 64.
	Net int
	Log *slog.Logger
}

const (
	startTimeout = 20 * time.Second
	// recoveryLimit is how long after the last fault service must be back: the
	// users' bound.
	recoveryLimit = 12 * time.Second
	defaultNet    = 64
)

// Result is the result of a run.
type Result struct {
	Seed       uint64
	Faults     []string
	Answered   int
	Refused    int
	Broken     int
	Violations []string
	// Folder has the logs of the processes; it is kept after a violation.
	Folder string
}

// Write prints the report for people.
func (r Result) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "seed %d: %d answered, %d refused, %d broken off, %d faults, %d violations\n",
		r.Seed, r.Answered, r.Refused, r.Broken, len(r.Faults), len(r.Violations))
	for _, line := range append(r.Violations, r.Faults...) {
		if err == nil && len(r.Violations) > 0 {
			_, err = fmt.Fprintln(w, " ", line)
		}
	}
	if err == nil && len(r.Violations) > 0 {
		_, err = fmt.Fprintln(w, "  logs:", r.Folder)
	}
	return err
}

// Run starts a deployment, injects faults for the configured time, waits for
// the recovery and checks everything that was seen.
func Run(ctx context.Context, config Config) (Result, error) {
	if config.Net == 0 {
		config.Net = defaultNet
	}
	folder, err := os.MkdirTemp("", "dogwoodline-roles-")
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	d, err := deploy(ctx, config, folder)
	end := sync.OnceFunc(d.end)
	defer end()
	if err != nil {
		return Result{Folder: folder}, err
	}
	group := duty.NewGroup(ctx, config.Log, metrics.NewSet())
	recorder := newRecorder()
	group.Go("recorder", recorder.run)
	clients := duty.NewGroup(ctx, config.Log, metrics.NewSet())
	for i := range config.Programs {
		c := &client{fronts: d.frontAddresses(), recorder: recorder, name: fmt.Sprintf("s%d-c%d", config.Seed, i),
			random: rand.New(rand.NewPCG(config.Seed, uint64(i)+1))}
		clients.Go("client", c.run)
	}
	disturber := &disturber{deployment: d, random: rand.New(rand.NewPCG(config.Seed, 0)), log: config.Log}
	faults, failed := disturber.run(ctx, config.Duration)
	if failed == nil {
		failed = d.awaitService(ctx, recoveryLimit)
	}
	clients.Stop()
	group.Stop()
	end() // the folder can be removed only when no process writes to it
	report := recorder.take().check(d.backend.Runs())
	report.Seed, report.Faults, report.Folder = config.Seed, faults, folder
	if failed != nil {
		report.Violations = append(report.Violations, failed.Error())
	}
	if len(report.Violations) == 0 {
		err = os.RemoveAll(folder)
	}
	return report, Error.Wrap(err)
}
