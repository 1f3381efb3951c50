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
	// overheadScenario compares calls through a node with direct calls.
	overheadScenario = "overhead"
	// nodesLength and nodesTimeScale let a run on real nodes take 15 s and the
	// time of its last programs.
	nodesLength    = 60 * time.Second
	nodesTimeScale = 0.25
)

type loadCommand struct {
	connection
	soakFlags
	slopesOptions
	Scenario   string        `default:"steady" enum:"steady,crest,stragglers,slowed,churn,node-loss,overhead" help:"One of ${enum}."`
	Deployment string        `default:"satamavirta" enum:"satamavirta,ortak-tirnak" help:"Fleet and programs: ${enum}."`
	Policy     []string      `default:"program-aware" help:"Names of policies, or all. A running deployment keeps its own."`
	Target     []string      `default:"model" help:"model for the virtual-time model, nodes for real nodes in this process, or base URLs of nodes of a running deployment."`
	Keys       string        `name:"keys" default:"load-tool-" env:"DOGWOODLINE_KEYS" help:"What the keys of the tenants in a running deployment begin with; the tenant's name follows."`
	Duration   time.Duration `help:"How long programs are started, in the time of the scenario; of a run with faults in real time."`
	TimeScale  float64       `help:"Multiplies all times of the scenario: 0.25 runs 60 s in 15 s."`
	Seed       uint64        `default:"1" help:"Seed of the workload."`
	Report     string        `placeholder:"FILE" help:"Also write a report as HTML."`
	Verbose    bool          `help:"Show warnings of the nodes."`
}

// Run runs a scenario until it is finished or interrupted.
func (l loadCommand) Run(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch {
	case l.asked():
		if l.Duration == 0 {
			l.Duration = soakDuration
		}
		return runSoak(ctx, l, c)
	case l.Slopes:
		return runSlopes(ctx, l.slopesOptions, l.JSON, c)
	case l.Scenario == overheadScenario:
		return runOverhead(ctx, l, c)
	}
	return runLoad(ctx, l, c)
}

// runLoad runs a scenario with each policy and reports the figures. What
// finished before a failure is reported too.
func runLoad(ctx context.Context, l loadCommand, c *console) error {
	runs, err := planRuns(l, c)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	var results []load.Result
	var failure error
	for _, run := range runs {
		result, err := run(ctx)
		if err != nil {
			failure = err
			break
		}
		results = append(results, result)
	}
	return errs.Combine(failure, reportRuns(l, c, results))
}

func reportRuns(l loadCommand, c *console, results []load.Result) error {
	if len(results) == 0 {
		return nil
	}
	if !l.json(c, results) {
		_ = load.WriteTable(c.out, results) // a closed output cannot be told
		c.say("\n")
		_ = load.WriteTargets(c.out, results)
	}
	title := fmt.Sprintf("%s on %s, target %s", l.Scenario, l.Deployment, l.Target[0])
	return errs.Combine(
		load.ToFile(l.JSON, func(w io.Writer) error { return load.WriteJSON(w, results) }),
		load.ToFile(l.Report, func(w io.Writer) error { return load.WriteHTML(w, title, results) }),
	)
}

// policies returns the policies to run.
func (l loadCommand) policies() []string {
	if len(l.Policy) == 1 && l.Policy[0] == allPolicies {
		return schedule.Policies()
	}
	return l.Policy
}

// loadLog shows warnings of nodes only when asked, because the scenarios
// cause many.
func loadLog(l loadCommand, c *console) *slog.Logger {
	level := slog.LevelError
	if l.Verbose {
		level = slog.LevelWarn
	}
	return newLog(c.errOut, settings.Log{Level: level.String()})
}

// progressTo returns a function that writes progress lines, or nil when the
// error output is not a terminal.
func progressTo(c *console, name string) func(load.Progress) {
	file, ok := c.errOut.(*os.File)
	if !ok {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(p load.Progress) {
		c.warn(fmt.Sprintf("%s: %3.0f s, %d started, %d completed, %d refused, %d failed, %d calls in flight",
			name, p.Elapsed.Seconds(), p.Started, p.Completed, p.Refused, p.Failed, p.InFlight))
	}
}
