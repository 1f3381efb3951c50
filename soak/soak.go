// Package soak runs programs on a deployment of separate node processes while
// it injects faults, and checks the observed history.
//
// The stand-ins of the platform, the engines and the ledger service run in the
// process of the tool; the nodes are processes that it starts and ends by id.
// A TCP relay stands in each path, so that links can be cut. The duties of the
// tool are the callers, the repeaters, the operators, the faults and the
// recorder, which alone owns the history.
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
	// repeatSlots bounds the repeats that wait for a repeater; further ones
	// are left out.
	repeatSlots = 256
	// repeaters is the number of duties that send repeats.
	repeaters = 8
	// settleTimeout bounds the wait until a deployment serves all programs.
	settleTimeout = 30 * time.Second
)

// Config holds the settings of a run. Zero values take the defaults.
type Config struct {
	// Binary is the dogwoodline binary. Default os.Executable().
	Binary string
	// Folder takes settings files and logs of the nodes. Default a new
	// temporary folder, which is removed unless there are violations.
	Folder string
	// Nodes is the number of node processes, default 7, in 4 availability
	// zones.
	Nodes int
	// Engines is the number of engine stand-ins, default 4.
	Engines int
	// Programs is the number of programs side by side, default 24.
	Programs int
	// Duration is how long programs are started, default 30 s.
	Duration time.Duration
	// Lease is the lease of the nodes, default 3 s.
	Lease time.Duration
	// LedgerDelay is the time that a posting takes, default 30 ms.
	LedgerDelay time.Duration
	// Faults names the kinds of faults, see Kinds. Empty means none.
	Faults []Kind
	// Scripted steps of faults are injected one after the other before random
	// ones of Faults. Programs are started until they have ended.
	Scripted [][]Kind
	// Together is the largest number of faults at once, default 2.
	Together int
	// Seed decides the workload and the faults.
	Seed uint64
	// Log gets what the run does. Default none.
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
	c.Together = orDefault(c.Together, 2)
	c.Duration = orDefault(c.Duration, 30*time.Second)
	c.Lease = orDefault(c.Lease, 3*time.Second)
	c.LedgerDelay = orDefault(c.LedgerDelay, 30*time.Millisecond)
	if c.Log == nil {
		c.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return c, knownKinds(append(slices.Concat(c.Scripted...), c.Faults...))
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// run is the state that the duties of a run share. Every field is set before
// the duties start; what changes is behind rings or owned by one duty.
type run struct {
	config  Config
	begun   time.Time
	deploy  *deployment
	record  *recorder
	repeats []*ring.Ring[repeat] // one for each repeater
}

// since returns the time since the start of the run.
func (r *run) since() check.At { return time.Since(r.begun) }

// random returns the random numbers of one duty, a function of the seed.
func (r *run) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.config.Seed, stream)) }

// Run starts a deployment, runs programs under faults on it, ends it and
// checks the history. The error tells that the run could not be made;
// violations are in the report.
func Run(ctx context.Context, config Config) (Report, error) {
	config, err := config.withDefaults()
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{config: config, begun: time.Now()}
	for range repeaters {
		r.repeats = append(r.repeats, ring.New[repeat](repeatSlots))
	}
	r.record = newRecorder()
	r.deploy, err = deploy(ctx, config)
	if err != nil {
		return Report{}, err
	}
	defer r.deploy.close()
	if err := r.deploy.settle(ctx); err != nil {
		return Report{}, err
	}
	config.Log.Info("soak: deployment serves", "nodes", config.Nodes, "seed", config.Seed)
	r.begun = time.Now()
	collecting := duty.NewGroup(ctx, config.Log, metrics.NewSet())
	collecting.Go("recorder", r.record.run)
	collecting.Go("members", r.watchMembers)
	r.load(ctx)
	if err := ctx.Err(); err != nil {
		collecting.Stop()
		return Report{}, Error.Wrap(err)
	}
	r.heal(ctx)
	ended := r.collect(ctx)
	collecting.Stop()
	history := r.record.take()
	ended.into(&history)
	for _, n := range r.deploy.nodes {
		history.Nodes = append(history.Nodes, n.id)
	}
	report := newReport(config, history, r.since())
	r.deploy.keep = len(report.Violations) > 0
	report.Folder = r.deploy.keptFolder()
	return report, nil
}

// load runs the callers and all that disturbs them for the duration.
func (r *run) load(ctx context.Context) {
	until, stop := context.WithCancel(ctx)
	defer stop()
	timed, cancel := context.WithTimeout(ctx, r.config.Duration)
	defer cancel()
	helpers := duty.NewGroup(ctx, r.config.Log, metrics.NewSet())
	for _, jobs := range r.repeats {
		helpers.Go("repeater", func(ctx context.Context) error { return r.repeater(ctx, jobs) })
	}
	disturbing := duty.NewGroup(until, r.config.Log, metrics.NewSet())
	disturbing.Go("operator", r.operate)
	disturbing.Go("observer", r.observe)
	faults := duty.NewGroup(ctx, r.config.Log, metrics.NewSet())
	faultsEnded := make(chan struct{})
	faults.Go("faults", func(ctx context.Context) error {
		defer close(faultsEnded)
		return r.injectFaults(ctx, timed)
	})
	callers := duty.NewGroup(ctx, r.config.Log, metrics.NewSet())
	callersEnded := make(chan struct{}, r.config.Programs)
	for i := range r.config.Programs {
		callers.Go("caller", func(ctx context.Context) error {
			defer func() { callersEnded <- struct{}{} }()
			return newCaller(r, i).work(ctx, until)
		})
	}
	<-timed.Done()
	<-faultsEnded
	stop()
	for range r.config.Programs {
		<-callersEnded
	}
	disturbing.Stop()
	helpers.Stop()
	callers.Stop()
	faults.Stop()
}
