// Command policybench runs scenarios, policies and seeds on the virtual-time
// model and prints the figures that docs/measurements.md records.
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
	deployment := flag.String("deployment", "satamavirta", "deployment whose fleet and programs are modelled")
	scenarios := flag.String("scenarios", "steady,crest,stragglers,slowed,churn,node-loss", "scenarios")
	policies := flag.String("policies", strings.Join(schedule.Policies(), ","), "policies")
	seeds := flag.String("seeds", "1,2,3", "seeds")
	nodes := flag.Int("nodes", 1, "scheduling nodes; 1 is a granting node")
	split := flag.Bool("split", false, "divide the slots between the nodes")
	jsonFile := flag.String("json", "", "file for the results as JSON")
	htmlFile := flag.String("html", "", "file for the report")
	flag.Parse()
	configs, err := plan(*deployment, *scenarios, *policies, *seeds)
	if err != nil {
		slog.Error("policybench: cannot plan", "error", err)
		os.Exit(1)
	}
	for i := range configs {
		configs[i].Nodes, configs[i].SplitSlots = *nodes, *split
	}
	results, err := runAll(configs)
	if err == nil {
		err = write(results, *jsonFile, *htmlFile)
	}
	if err != nil {
		slog.Error("policybench: run failed", "error", err)
		os.Exit(1)
	}
}

func plan(deployment, scenarios, policies, seeds string) ([]model.Config, error) {
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
			for _, text := range strings.Split(seeds, ",") {
				seed, err := strconv.ParseUint(text, 10, 64)
				if err != nil {
					return nil, load.Error.Wrap(err)
				}
				configs = append(configs, model.Config{Deployment: d, Scenario: s, Policy: policy, Seed: seed})
			}
		}
	}
	return configs, nil
}

// runAll runs the configurations in parallel on half of the cores.
func runAll(configs []model.Config) ([]load.Result, error) {
	results := make([]load.Result, len(configs))
	failures := make([]error, len(configs))
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var wait sync.WaitGroup
	for i := range configs {
		slots <- struct{}{}
		wait.Go(func() {
			results[i], failures[i] = model.Run(configs[i])
			<-slots
		})
	}
	wait.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

func write(results []load.Result, jsonFile, htmlFile string) error {
	if err := load.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	fmt.Println()
	if err := load.WriteTargets(os.Stdout, results); err != nil {
		return err
	}
	if err := load.ToFile(jsonFile, func(w io.Writer) error { return load.WriteJSON(w, results) }); err != nil {
		return err
	}
	return load.ToFile(htmlFile, func(w io.Writer) error {
		return load.WriteHTML(w, "Scheduling policies on the virtual-time model", results)
	})
}
