// Package nodes runs load scenarios against real nodes. It starts a whole
// deployment in this process, connected over the loopback interface. The
// emulated engines have the speeds of package model, scaled like all times of
// the scenario.
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
	// Nodes is the number of nodes, spread over the deployment's availability
	// zones.
	Nodes int
	// TimeScale is the real time per scenario time, see load.Run.
	TimeScale float64
	// Stream requests streamed answers.
	Stream   bool
	Log      *slog.Logger
	Progress func(load.Progress)

	// engine adjusts the configuration of each engine, if set.
	engine func(*engine.Config)
}

const (
	// reportLag and eventLag are in scenario time. They and eventLoss have the
	// same values as in package model.
	reportLag = 2 * time.Second
	eventLag  = time.Second
	eventLoss = 0.1
	// chunkTokens is larger than the default, because each chunk costs CPU time
	// on the machine that all nodes and engines share.
	chunkTokens = 32
	// maxWaiting is the number of requests that an engine queues beyond its
	// slots. A policy that sends more requests than there are slots is thus
	// slowed down by queueing and not by refusals.
	maxWaiting = 256
	// engineRestartDelay is the real time that an engine takes to restart.
	engineRestartDelay = 20 * time.Millisecond
	// callWorkers is large enough for one node to run all calls of a pool.
	callWorkers = 1024
	operatorKey = "load-tool-operator"
)

// Run starts the deployment, runs the scenario and stops the deployment. It
// returns an error if the deployment does not start or the run is interrupted.
func Run(ctx context.Context, config Config) (load.Result, error) {
	running, err := startDeployment(ctx, config)
	if err != nil {
		return load.Result{}, err
	}
	defer running.Close()
	var addresses []string
	for _, n := range running.Nodes() {
		addresses = append(addresses, "http://"+n.Address())
	}
	run := load.Run{
		Deployment: config.Deployment, Scenario: config.Scenario, Seed: config.Seed, TimeScale: config.TimeScale,
		Rate: model.ArrivalRate(config.Deployment, config.Scenario), Target: load.NewHTTPTarget(addresses, TenantKey),
		Environment: newEnvironment(running), Stream: config.Stream, ChildBudget: childBudget,
		StepWork: model.StepWork, Log: config.Log, Progress: config.Progress,
	}
	result, err := run.Do(ctx)
	result.Policy, result.Nodes = config.Policy, config.Nodes
	if err != nil {
		return result, err
	}
	// The load reports lag behind, so the totals are complete only after
	// reportLag.
	select {
	case <-ctx.Done():
		return result, ctx.Err()
	case <-time.After(realTime(config, 2*reportLag)):
	}
	cached, err := cachedTokens(ctx, running)
	result.RecomputedTokens = max(0, result.ReusableTokens-cached)
	return result, err
}

// realTime converts a duration of scenario time to real time.
func realTime(config Config, t time.Duration) time.Duration {
	return time.Duration(float64(t) * config.TimeScale)
}

// startDeployment starts the deployment and declares the resources that the
// programs of the scenario need.
func startDeployment(ctx context.Context, config Config) (*deployment.Deployment, error) {
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
	if err := configure(ctx, running, config); err != nil {
		running.Close()
		return nil, err
	}
	return running, nil
}

// configure sets the duration of the service operations and declares the
// resources.
func configure(ctx context.Context, running *deployment.Deployment, config Config) error {
	slowMS := realTime(config, serviceTime(config.Deployment)).Milliseconds()
	for _, s := range running.Services {
		if err := s.ApplySwitches(ctx, service.Switches{SlowMS: &slowMS}); err != nil {
			return load.Error.Wrap(err)
		}
	}
	return declare(ctx, running, resources(running, config))
}

// serviceTime returns the median duration of the service calls of the first
// class. An emulated service takes the same time for each operation.
func serviceTime(d load.Deployment) time.Duration {
	return time.Duration(d.Classes[0].ServiceMS.Median * float64(time.Millisecond))
}

// engineConfig returns the configuration of an engine with the speeds of package
// model.
func engineConfig(config Config, i int) engine.Config {
	e := engine.DefaultConfig()
	e.Name, e.Seed, e.TimeScale = fmt.Sprintf("engine-%d", i+1), config.Seed*1000+uint64(i), 1/config.TimeScale
	e.Slots, e.MaxWaiting = model.SlotsPerEngine, maxWaiting
	alone := model.TokenTimeBase + model.TokenTimePerSequence
	e.DecodeTokensPerS, e.BatchSlowdown = 1/alone, model.TokenTimePerSequence/alone
	e.PrefillTokensPerS = model.PrefillTokensPerSecond
	e.CacheBlocks = model.PrefixCacheTokens / e.BlockTokens
	e.ChunkTokens = chunkTokens
	e.ReportLag, e.EventLag, e.EventLoss = reportLag, eventLag, eventLoss
	e.RestartDelay = engineRestartDelay
	if config.engine != nil {
		config.engine(&e)
	}
	return e
}
