// Package soak runs programs on a deployment of separate node processes while
// it injects faults, and checks the observed history.
//
// The emulators of the platform, the engines and the ledger service run in the
// process that calls Run. Each node is a child process, which is signalled by
// its process id. Nodes are connected to each other, to the emulators and to
// their callers through TCP relays, so that links can be cut. The workers (see
// package duty) are the callers, which run programs; the repeaters, which send
// copies of requests and requests with wrong order numbers directly to nodes;
// the operators, which write a resource; the observer, which reads it back; the
// fault injector; and the recorder, which alone owns the history.
package soak

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"dogwoodline.example/duty"
	"dogwoodline.example/ring"
	"dogwoodline.example/soak/check"
)

// Error is the class of all errors of this package.
var Error = errs.Class("soak")

const (
	// repeaterRingSize is the number of requests that can wait for one repeater.
	// Further ones are dropped.
	repeaterRingSize = 256
	// repeaterCount is the number of workers that send requests directly to
	// nodes.
	repeaterCount = 8
	// deploymentTimeout bounds writing the resources of a deployment, and then
	// the wait until all nodes are ready and programs can be started.
	deploymentTimeout = 30 * time.Second
)

// Config holds the settings of a run. Zero values take the defaults.
type Config struct {
	// Binary is the path of the dogwoodline binary. The default is
	// os.Executable().
	Binary string
	// Folder receives the settings files and logs of the nodes. The default is a
	// new temporary folder, which is removed unless there are violations.
	Folder string
	// Nodes is the number of node processes, default 7, in 4 availability
	// zones.
	Nodes int
	// Engines is the number of engine emulators, default 4.
	Engines int
	// Programs is the number of programs that run concurrently, default 24.
	Programs int
	// Duration is the time during which new programs are started, default 30 s.
	Duration time.Duration
	// Lease is the lease duration of the nodes, default 3 s.
	Lease time.Duration
	// LedgerDelay is the time that a posting to the ledger takes, default 30 ms.
	LedgerDelay time.Duration
	// Faults lists the kinds of faults to choose from at random. Empty means no
	// random faults.
	Faults []FaultKind
	// ScriptedSteps lists steps of faults. The faults of a step are injected together,
	// the steps one after the other, before the random faults. Programs are
	// started until all steps have ended, also beyond Duration.
	ScriptedSteps [][]FaultKind
	// MaxFaultsPerStep is the largest number of random faults in one step, default 2.
	MaxFaultsPerStep int
	// Seed determines the random choices of the workload and of the faults.
	Seed uint64
	// Log receives the log of the run. Without it nothing is logged.
	Log *slog.Logger
}

func (c Config) withDefaults() (Config, error) {
	if c.Binary == "" {
		path, err := os.Executable()
		if err != nil {
			return c, Error.Wrap(err)
		}
		c.Binary = path
	}
	c.Nodes = orDefault(c.Nodes, 7)
	c.Engines = orDefault(c.Engines, 4)
	c.Programs = orDefault(c.Programs, 24)
	c.MaxFaultsPerStep = orDefault(c.MaxFaultsPerStep, 2)
	c.Duration = orDefault(c.Duration, 30*time.Second)
	c.Lease = orDefault(c.Lease, 3*time.Second)
	c.LedgerDelay = orDefault(c.LedgerDelay, 30*time.Millisecond)
	if c.Log == nil {
		c.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return c, validateKinds(append(slices.Concat(c.ScriptedSteps...), c.Faults...))
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// run is the state that the workers of a run share. Its fields are set before
// the workers start. State that changes later is owned by one worker or reached
// through rings.
type run struct {
	config        Config
	started       time.Time
	deployment    *deployment
	recorder      *recorder
	repeaterRings []*ring.Ring[directRequest] // one for each repeater
}

// since returns the time since the start of the workload.
func (r *run) since() check.Offset { return time.Since(r.started) }

// newRand returns a random number generator whose sequence depends only on the
// seed of the run and the stream number.
func (r *run) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.config.Seed, stream)) }

// Run starts a deployment, runs programs on it while it injects faults, stops
// the deployment and checks the history. It returns an error only if the run
// could not be carried out. Violations are in the report.
func Run(ctx context.Context, config Config) (Report, error) {
	config, err := config.withDefaults()
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{config: config, started: time.Now()}
	for range repeaterCount {
		r.repeaterRings = append(r.repeaterRings, ring.New[directRequest](repeaterRingSize))
	}
	r.recorder = newRecorder()
	r.deployment, err = startDeployment(ctx, config)
	if err != nil {
		return Report{}, err
	}
	defer r.deployment.close()
	if err := r.deployment.waitUntilServing(ctx); err != nil {
		return Report{}, err
	}
	config.Log.Info("soak: deployment is serving", "nodes", config.Nodes, "seed", config.Seed)
	r.started = time.Now()
	recorderGroup := duty.NewGroup(ctx, config.Log, metrics.NewSet())
	recorderGroup.Go("recorder", r.recorder.run)
	recorderGroup.Go("members", r.watchMembers)
	r.runWorkload(ctx)
	if err := ctx.Err(); err != nil {
		recorderGroup.Stop()
		return Report{}, Error.Wrap(err)
	}
	r.restartExitedNodes(ctx)
	final := r.collectFinalState(ctx)
	recorderGroup.Stop()
	history := r.recorder.drain()
	final.addTo(&history)
	for _, n := range r.deployment.nodes {
		history.Nodes = append(history.Nodes, n.id)
	}
	report := newReport(config, history, r.since())
	r.deployment.keepFolder = len(report.Violations) > 0
	report.Folder = r.deployment.keptFolder()
	return report, nil
}

// runWorkload runs the callers, repeaters, operators and faults for the
// configured duration, and longer until the last step of faults and the last
// program of each caller have ended. startCtx ends when callers start no further
// program, and stops the operators and the observer.
func (r *run) runWorkload(ctx context.Context) {
	startCtx, stopWorkload := context.WithCancel(ctx)
	defer stopWorkload()
	durationCtx, cancel := context.WithTimeout(ctx, r.config.Duration)
	defer cancel()
	repeaterGroup := duty.NewGroup(ctx, r.config.Log, metrics.NewSet())
	for _, jobs := range r.repeaterRings {
		repeaterGroup.Go("repeater", func(ctx context.Context) error { return r.repeater(ctx, jobs) })
	}
	operatorGroup := duty.NewGroup(startCtx, r.config.Log, metrics.NewSet())
	operatorGroup.Go("operator", r.runOperator)
	operatorGroup.Go("observer", r.observeNodes)
	faultGroup := duty.NewGroup(ctx, r.config.Log, metrics.NewSet())
	faultsDone := make(chan struct{})
	faultGroup.Go("faults", func(ctx context.Context) error {
		defer close(faultsDone)
		return r.injectFaults(ctx, durationCtx)
	})
	callerGroup := duty.NewGroup(ctx, r.config.Log, metrics.NewSet())
	callersDone := make(chan struct{}, r.config.Programs)
	for i := range r.config.Programs {
		callerGroup.Go("caller", func(ctx context.Context) error {
			defer func() { callersDone <- struct{}{} }()
			return newCaller(r, i).runPrograms(ctx, startCtx)
		})
	}
	<-durationCtx.Done()
	<-faultsDone
	stopWorkload()
	for range r.config.Programs {
		<-callersDone
	}
	operatorGroup.Stop()
	repeaterGroup.Stop()
	callerGroup.Stop()
	faultGroup.Stop()
}
