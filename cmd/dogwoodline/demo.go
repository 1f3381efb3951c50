package main

import (
	"context"
	"os/signal"
	"syscall"
)

type demoCommand struct {
	Nodes   int `default:"3" help:"Nodes to run."`
	Engines int `default:"4" help:"Engine stand-ins to run."`
}

// runDemo runs the demo and writes what happens to the console.
func runDemo(context.Context, demoCommand, *console) error {
	// TODO(lead): run platformserver, engine and service stand-ins and node.New in this process, then runCommand.
	return errNotBuilt
}

// Run runs the demo until it is finished or interrupted.
func (d demoCommand) Run(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return runDemo(ctx, d, c)
}
