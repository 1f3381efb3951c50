package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/load"
	"dogwoodline.example/schedule"
	"dogwoodline.example/settings"
)

const (
	targetModel = "model"
	targetNodes = "nodes"
	allPolicies = "all"
	// overheadScenario compares the latency of calls through a node with that of
	// direct calls.
	overheadScenario = "overhead"
	// nodesDuration and nodesTimeScale are the defaults for runs on real nodes.
	// Such a run starts programs for 15 s of real time and then waits for the
	// last ones.
	nodesDuration  = 60 * time.Second
	nodesTimeScale = 0.25
)

type loadCommand struct {
	nodeFlags
	soakFlags
	slopesOptions
	Scenario   string        `default:"steady" enum:"steady,crest,stragglers,slowed,churn,node-loss,overhead" help:"One of ${enum}."`
	Deployment string        `default:"satamavirta" enum:"satamavirta,ortak-tirnak" help:"Example deployment that defines the backend servers and the programs: ${enum}."`
	Policy     []string      `default:"program-aware" help:"Names of scheduling policies, or all. A running deployment uses its own policy."`
	Target     []string      `default:"model" help:"model for a simulation in virtual time, nodes for real nodes in this process, or the base URLs of nodes of a running deployment."`
	Keys       string        `name:"keys" default:"load-tool-" env:"DOGWOODLINE_KEYS" help:"Prefix of the tenants' API keys in a running deployment; the name of the tenant follows it."`
	Duration   time.Duration `help:"How long programs are started, in scenario time; in real time for a run with faults."`
	TimeScale  float64       `help:"Factor for all times of the scenario: 0.25 runs 60 s in 15 s."`
	Seed       uint64        `default:"1" help:"Seed of the workload."`
	Report     string        `placeholder:"FILE" help:"Also write a report as HTML to this file."`
	Verbose    bool          `help:"Show the warnings that the nodes log."`
}

// Run runs the selected measurement or scenario until it finishes or is
// interrupted.
func (l loadCommand) Run(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch {
	case l.requested():
		if l.Duration == 0 {
			l.Duration = defaultSoakDuration
		}
		return runSoak(ctx, l, c)
	case l.Slopes:
		return runSlopes(ctx, l.slopesOptions, l.JSON, c)
	case l.Scenario == overheadScenario:
		return runOverhead(ctx, l, c)
	}
	return runLoad(ctx, l, c)
}

// runLoad runs a scenario with each policy and reports the results. If a run
// fails, it still reports the runs that finished before.
func runLoad(ctx context.Context, l loadCommand, c *console) error {
	runs, err := planRuns(l, c)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	var results []load.Result
	var runErr error
	for _, run := range runs {
		result, err := run(ctx)
		if err != nil {
			runErr = err
			break
		}
		results = append(results, result)
	}
	return errs.Combine(runErr, reportRuns(l, c, results))
}

func reportRuns(l loadCommand, c *console, results []load.Result) error {
	if len(results) == 0 {
		return nil
	}
	if !l.printJSON(c, results) {
		_ = load.WriteTable(c.stdout, results) // nowhere to report a closed output
		c.printf("\n")
		_ = load.WriteObjectives(c.stdout, results)
	}
	title := fmt.Sprintf("%s on %s, target %s", l.Scenario, l.Deployment, l.Target[0])
	return errs.Combine(
		load.WriteFile(l.JSON, func(w io.Writer) error { return load.WriteJSON(w, results) }),
		load.WriteFile(l.Report, func(w io.Writer) error { return load.WriteHTML(w, title, results) }),
	)
}

// policies returns the names of the policies to run.
func (l loadCommand) policies() []string {
	if len(l.Policy) == 1 && l.Policy[0] == allPolicies {
		return schedule.Policies()
	}
	return l.Policy
}

// loadLogger returns a logger for errors, and for warnings with --verbose only,
// because the scenarios cause many warnings.
func loadLogger(l loadCommand, c *console) *slog.Logger {
	level := slog.LevelError
	if l.Verbose {
		level = slog.LevelWarn
	}
	return newLogger(c.stderr, settings.Log{Level: level.String()})
}

// progressPrinter returns a function that writes progress lines, or nil if the
// standard error output is not a terminal.
func progressPrinter(c *console, name string) func(load.Progress) {
	file, ok := c.stderr.(*os.File)
	if !ok {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(p load.Progress) {
		c.printStderr(fmt.Sprintf("%s: %3.0f s, %d started, %d completed, %d refused, %d failed, %d calls in flight",
			name, p.Elapsed.Seconds(), p.Started, p.Completed, p.Refused, p.Failed, p.InFlight))
	}
}
