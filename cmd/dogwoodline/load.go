package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"
)

type loadCommand struct {
	connection
	soakFlags
	slopesOptions
	Key             string        `env:"DOGWOODLINE_KEY" help:"Key of the tenant."`
	Scenario        string        `default:"steady" enum:"steady,slowed,crest,stragglers" help:"One of ${enum}."`
	Duration        time.Duration `default:"10s" help:"How long programs are started."`
	ProgramsASecond float64       `default:"10" help:"Programs started in a second."`
	Seed            uint64        `default:"1" help:"Seed of the workload."`
}

// runLoad runs a scenario and writes its report to the console.
func runLoad(context.Context, loadCommand, *console) error {
	// TODO(lead): return load.Run(ctx, scenario, client.New(...), report to console).
	return errNotBuilt
}

// Run runs a scenario until it is finished or interrupted.
func (l loadCommand) Run(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if l.asked() {
		return runSoak(ctx, l, c)
	}
	if l.Slopes {
		return runSlopes(ctx, l.slopesOptions, l.JSON, c)
	}
	return runLoad(ctx, l, c)
}
