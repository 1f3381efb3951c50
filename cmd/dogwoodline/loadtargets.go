package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"dogwoodline.example/load"
	"dogwoodline.example/load/model"
	"dogwoodline.example/load/nodes"
	"dogwoodline.example/schedule"
)

// scenarioRun runs a scenario once. An error means that the run did not finish.
type scenarioRun func(context.Context) (load.Result, error)

// planRuns returns the runs that the flags ask for, or an error if a flag has
// an invalid value.
func planRuns(l loadCommand, c *console) ([]scenarioRun, error) {
	d, err := load.DeploymentByName(l.Deployment)
	if err != nil {
		return nil, err
	}
	s, err := load.ScenarioByName(l.Scenario)
	if err != nil {
		return nil, err
	}
	realNodes := l.Target[0] != targetModel
	if l.Duration == 0 && realNodes {
		l.Duration = nodesDuration
	}
	if l.Duration > 0 {
		s = s.WithLength(l.Duration)
	}
	if l.TimeScale == 0 {
		l.TimeScale = nodesTimeScale
	}
	if l.Duration < 0 || l.TimeScale < 0 {
		return nil, fmt.Errorf("duration and time scale must not be negative")
	}
	if strings.Contains(l.Target[0], "://") {
		return []scenarioRun{planDeploymentRun(l, d, s, c)}, nil
	}
	if len(l.Target) != 1 || realNodes && l.Target[0] != targetNodes {
		return nil, fmt.Errorf("target %v is not model, nodes or a list of URLs", l.Target)
	}
	var runs []scenarioRun
	for _, policy := range l.policies() {
		if !slices.Contains(schedule.Policies(), policy) {
			return nil, fmt.Errorf("policy %s is not one of %v", policy, schedule.Policies())
		}
		if realNodes {
			config := nodes.Config{
				Deployment: d, Scenario: s, Policy: policy, Seed: l.Seed, Nodes: l.Nodes, TimeScale: l.TimeScale,
				Log: loadLogger(l, c), Progress: progressPrinter(c, policy),
			}
			runs = append(runs, func(ctx context.Context) (load.Result, error) { return nodes.Run(ctx, config) })
			continue
		}
		config := model.Config{Deployment: d, Scenario: s, Policy: policy, Seed: l.Seed}
		runs = append(runs, func(context.Context) (load.Result, error) { return model.Run(config) })
	}
	return runs, nil
}

// planDeploymentRun returns a run that generates load on a running deployment.
// It cannot inject the faults of the scenario there.
func planDeploymentRun(l loadCommand, d load.Deployment, s load.Scenario, c *console) scenarioRun {
	if len(s.Faults) > 0 {
		c.printStderr("dogwoodline: the faults of the scenario are not injected into a running deployment")
	}
	run := load.Run{
		Deployment: d, Scenario: s, Rate: model.ArrivalRate(d, s), Seed: l.Seed, TimeScale: l.TimeScale, StepWork: model.StepWork,
		Target: load.NewHTTPTarget(l.Target, func(tenant string) string { return l.Keys + tenant }),
		Log:    loadLogger(l, c), Progress: progressPrinter(c, "running deployment"),
	}
	return func(ctx context.Context) (load.Result, error) {
		result, err := run.Do(ctx)
		result.Policy = "of the deployment"
		return result, err
	}
}
