// Command policybench runs every combination of the given scenarios, scheduling
// policies and seeds in the virtual-time simulation of package model. It prints
// the measurements that docs/measurements.md records.
package main

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"

	"dogwoodline.example/load"
	"dogwoodline.example/load/model"
	"dogwoodline.example/schedule"
)

func main() {
	deployment := flag.String("deployment", "satamavirta", "deployment whose fleet and programs are simulated")
	scenarios := flag.String("scenarios", "steady,crest,stragglers,slowed,churn,node-loss", "comma-separated scenarios")
	policies := flag.String("policies", strings.Join(schedule.Policies(), ","), "comma-separated scheduling policies")
	seeds := flag.String("seeds", "1,2,3", "comma-separated seeds")
	nodes := flag.Int("nodes", 1, "number of scheduling nodes; a single one schedules the whole fleet")
	split := flag.Bool("split", false, "divide the slots of the backend servers between the nodes")
	jsonFile := flag.String("json", "", "write the results as JSON to this file")
	htmlFile := flag.String("html", "", "write the report as HTML to this file")
	flag.Parse()
	configs, err := newConfigs(*deployment, *scenarios, *policies, *seeds)
	if err != nil {
		slog.Error("policybench: invalid flag value", "error", err)
		os.Exit(1)
	}
	for i := range configs {
		configs[i].Nodes, configs[i].SplitSlots = *nodes, *split
	}
	results, err := runAll(configs)
	if err == nil {
		err = writeResults(results, *jsonFile, *htmlFile)
	}
	if err != nil {
		slog.Error("policybench: run failed", "error", err)
		os.Exit(1)
	}
}

// newConfigs returns one configuration per scenario, policy and seed.
func newConfigs(deployment, scenarios, policies, seeds string) ([]model.Config, error) {
	d, err := load.DeploymentByName(deployment)
	if err != nil {
		return nil, err
	}
	var configs []model.Config
	for _, name := range strings.Split(scenarios, ",") {
		s, err := load.ScenarioByName(name)
		if err != nil {
			return nil, err
		}
		for _, policy := range strings.Split(policies, ",") {
			for _, seedText := range strings.Split(seeds, ",") {
				seed, err := strconv.ParseUint(seedText, 10, 64)
				if err != nil {
					return nil, load.Error.Wrap(err)
				}
				configs = append(configs, model.Config{Deployment: d, Scenario: s, Policy: policy, Seed: seed})
			}
		}
	}
	return configs, nil
}

// runAll runs the configurations in parallel on up to half of the cores.
func runAll(configs []model.Config) ([]load.Result, error) {
	results := make([]load.Result, len(configs))
	failures := make([]error, len(configs))
	running := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var workers sync.WaitGroup
	for i := range configs {
		running <- struct{}{}
		workers.Go(func() {
			results[i], failures[i] = model.Run(configs[i])
			<-running
		})
	}
	workers.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// writeResults prints the table and the comparison with the performance targets
// and writes the files whose names are not empty.
func writeResults(results []load.Result, jsonFile, htmlFile string) error {
	if err := load.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	fmt.Println()
	if err := load.WriteObjectives(os.Stdout, results); err != nil {
		return err
	}
	if err := load.WriteFile(jsonFile, func(w io.Writer) error { return load.WriteJSON(w, results) }); err != nil {
		return err
	}
	return load.WriteFile(htmlFile, func(w io.Writer) error {
		return load.WriteHTML(w, "Scheduling policies on the virtual-time model", results)
	})
}
