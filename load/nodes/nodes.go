// Package nodes runs scenarios against real nodes: a whole deployment in this
// process over loopback, whose engine stand-ins have the speeds of load/model
// and run faster or slower by the time scale.
package nodes

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"dogwoodline.example/deployment"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/load"
	"dogwoodline.example/load/model"
	"dogwoodline.example/settings"
)

// Config describes one run.
type Config struct {
	Deployment load.Deployment
	Scenario   load.Scenario
	Policy     string
	Seed       uint64
	// Nodes is the number of nodes, spread over the deployment's zones.
	Nodes int
	// TimeScale multiplies all times of the scenario, see load.Run.
	TimeScale float64
	// Stream asks for streamed answers.
	Stream   bool
	Log      *slog.Logger
	Progress func(load.Progress)

	// engine changes the settings of the engines, if set.
	engine func(*engine.Config)
}

const (
	// reportLag and eventLag are in scenario time and, like eventLoss, the
	// same as in load/model.
	reportLag = 2 * time.Second
	eventLag  = time.Second
	eventLoss = 0.1
	// chunkTokens is above the default, because every chunk costs the machine
	// that all nodes and engines share.
	chunkTokens = 32
	// maxWaiting is what an engine queues beyond its slots. Policies that
	// send more than the slots are held back by the engine, not by refusals.
	maxWaiting = 256
	// engineRestart is the time until an engine that left is back, in real
	// time.
	engineRestart = 20 * time.Millisecond
	// callWorkers let one node carry the calls of a whole pool.
	callWorkers = 1024
	operatorKey = "load-tool-operator"
)

// Run starts the deployment, runs the scenario and stops the deployment. An
// error tells that the deployment did not start or that the run was cut short.
func Run(ctx context.Context, config Config) (load.Result, error) {
	running, err := start(ctx, config)
	if err != nil {
		return load.Result{}, err
	}
	defer running.Close()
	var entries []string
	for _, n := range running.Nodes() {
		entries = append(entries, "http://"+n.Address())
	}
	run := load.Run{
		Deployment: config.Deployment, Scenario: config.Scenario, Seed: config.Seed, TimeScale: config.TimeScale,
		Rate: model.Rate(config.Deployment, config.Scenario), Target: load.NewHTTPTarget(entries, KeyOf),
		Environment: newEnvironment(running), Stream: config.Stream, ChildBudget: childBudget,
		Work: model.Work, Log: config.Log, Progress: config.Progress,
	}
	result, err := run.Do(ctx)
	result.Policy, result.Nodes = config.Policy, config.Nodes
	if err != nil {
		return result, err
	}
	// The load report of an engine is as old as its lag.
	select {
	case <-ctx.Done():
		return result, ctx.Err()
	case <-time.After(scaled(config, 2*reportLag)):
	}
	cached, err := cachedTokens(ctx, running)
	result.RecomputedTokens = max(0, result.ReusableTokens-cached)
	return result, err
}

func scaled(config Config, t time.Duration) time.Duration {
	return time.Duration(float64(t) * config.TimeScale)
}

func start(ctx context.Context, config Config) (*deployment.Deployment, error) {
	d := deployment.Config{
		Nodes: config.Nodes, Settings: settings.Default(), Seed: config.Seed, Log: config.Log,
	}
	d.Settings.Schedule.Policy = config.Policy
	d.Settings.Schedule.CallWorkers = callWorkers
	d.Settings.Operator.Key = operatorKey
	for i := range config.Deployment.Zones {
		d.Zones = append(d.Zones, fmt.Sprintf("az-%d", i+1))
	}
	for i := range config.Deployment.ModelWorkers {
		d.Engines = append(d.Engines, engineConfig(config, i))
	}
	for _, name := range config.Deployment.Services {
		d.Services = append(d.Services, service.Config{Name: name, Lookup: true})
	}
	running, err := deployment.Start(ctx, d)
	if err != nil {
		return nil, err
	}
	if err := prepare(ctx, running, config); err != nil {
		running.Close()
		return nil, err
	}
	return running, nil
}

// prepare sets the times of the services and declares the resources.
func prepare(ctx context.Context, running *deployment.Deployment, config Config) error {
	slow := scaled(config, serviceTime(config.Deployment)).Milliseconds()
	for _, s := range running.Services {
		if err := s.Set(ctx, service.Switches{SlowMS: &slow}); err != nil {
			return load.Error.Wrap(err)
		}
	}
	return declare(ctx, running, resources(running, config))
}

// serviceTime is the median of the first class. A stand-in takes the same
// time for each operation.
func serviceTime(d load.Deployment) time.Duration {
	return time.Duration(d.Classes[0].ServiceMS.Median * float64(time.Millisecond))
}

// engineConfig returns an engine with the speeds of load/model.
func engineConfig(config Config, i int) engine.Config {
	e := engine.DefaultConfig()
	e.Name, e.Seed, e.TimeScale = fmt.Sprintf("engine-%d", i+1), config.Seed*1000+uint64(i), 1/config.TimeScale
	e.Slots, e.MaxWaiting = model.SlotsPerWorker, maxWaiting
	alone := model.TokenBase + model.TokenPerSequence
	e.DecodeTokensPerS, e.BatchSlowdown = 1/alone, model.TokenPerSequence/alone
	e.PrefillTokensPerS = model.PrefillPerSecond
	e.CacheBlocks = model.CacheTokens / e.BlockTokens
	e.ChunkTokens = chunkTokens
	e.ReportLag, e.EventLag, e.EventLoss = reportLag, eventLag, eventLoss
	e.RestartDelay = engineRestart
	if config.engine != nil {
		config.engine(&e)
	}
	return e
}
