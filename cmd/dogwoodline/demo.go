package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/deployment"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/settings"
)

// demoTimeout bounds the run time of the whole demo.
const demoTimeout = 60 * time.Second

type demoCommand struct {
	Nodes    int  `default:"3" help:"Number of nodes, at least 3."`
	Engines  int  `default:"4" help:"Number of emulated engines."`
	Programs int  `default:"24" help:"Number of programs of each example deployment."`
	Verbose  bool `help:"Show the logs of the nodes."`
}

// Run runs the demo until it finishes or is interrupted.
func (d demoCommand) Run(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	return runDemo(ctx, d, c)
}

// runDemo runs the programs of both example deployments on several nodes while
// it kills one node and drains another. It fails if a program does not finish
// or a posting does not take effect exactly once.
func runDemo(ctx context.Context, options demoCommand, c *console) error {
	dep, err := startDemo(ctx, options, c)
	if err != nil {
		return err
	}
	defer dep.Close()
	if err := applyDemoResources(ctx, dep); err != nil {
		return err
	}
	c.printf("started %d nodes, %d engines and a ledger on loopback\n", options.Nodes, options.Engines)

	programs := startPrograms(ctx, dep, options.Programs)
	if err := injectFaults(ctx, dep, programs, c); err != nil {
		return err
	}
	summary := programs.wait()
	effects, err := ledgerEffectCounts(ctx, dep.Services[0])
	if err != nil {
		return err
	}
	return reportDemo(c, summary, effects)
}

func startDemo(ctx context.Context, options demoCommand, c *console) (*deployment.Deployment, error) {
	log := io.Discard
	if options.Verbose {
		log = c.stderr
	}
	config := deployment.Config{
		Nodes:    max(options.Nodes, 3),
		Zones:    []string{"az-1", "az-2", "az-3", "az-4"},
		Services: []service.Config{{Name: "ledger", Lookup: true}},
		Settings: settings.Default(),
		Log:      newLogger(log, settings.Log{Level: slog.LevelInfo.String()}),
	}
	config.Settings.Operator.Key = "demo-operator"
	for i := range options.Engines {
		e := engine.DefaultConfig()
		e.Name, e.TimeScale = fmt.Sprintf("engine-%d", i+1), 4
		config.Engines = append(config.Engines, e)
	}
	return deployment.Start(ctx, config)
}

// injectFaults kills and replaces one node and drains another one while
// programs run.
func injectFaults(ctx context.Context, dep *deployment.Deployment, programs *demoPrograms, c *console) error {
	nodes := dep.Nodes()
	if err := programs.waitForShare(ctx, 0.25); err != nil {
		return err
	}
	c.printf("killing %s after %d calls\n", nodes[1].ID, programs.callCount())
	if err := dep.Kill(nodes[1]); err != nil {
		return err
	}
	if _, err := dep.AddNode(); err != nil {
		return err
	}
	if err := programs.waitForShare(ctx, 0.6); err != nil {
		return err
	}
	c.printf("planned stop of %s after %d calls\n", nodes[0].ID, programs.callCount())
	if err := dep.Drain(ctx, nodes[0]); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}

// ledgerEffectCounts returns how many times each request took effect in the
// ledger service, by request id.
func ledgerEffectCounts(ctx context.Context, ledger *service.Service) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, ledger.URL()+"/effects", http.NoBody)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var list struct {
		Effects []service.Effect `json:"effects"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&list); err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, e := range list.Effects {
		counts[e.RequestID]++
	}
	return counts, nil
}

// reportDemo prints the summary. It fails if a program did not finish, or if an
// effect is missing, duplicated or unexpected.
func reportDemo(c *console, summary demoSummary, effects map[string]int) error {
	for _, line := range summary.failures {
		c.printStderr("failed: " + line)
	}
	exactlyOnce, mismatched := 0, 0
	for id := range summary.postings {
		if effects[id] == 1 {
			exactlyOnce++
		} else {
			mismatched++
			c.printStderr(fmt.Sprintf("request %s took effect %d times", id, effects[id]))
		}
	}
	printTable(c, []string{"PROGRAMS", "FINISHED", "CALLS", "P50 MS", "P95 MS", "EFFECTS", "EXACTLY ONCE"}, []string{
		fmt.Sprint(summary.programs), fmt.Sprint(summary.finished), fmt.Sprint(summary.calls),
		fmt.Sprint(summary.percentile(0.50)), fmt.Sprint(summary.percentile(0.95)),
		fmt.Sprint(len(summary.postings)), fmt.Sprint(exactlyOnce),
	})
	if mismatched > 0 || summary.finished != summary.programs || len(effects) != len(summary.postings) {
		return errReported
	}
	return nil
}

// applyDemoResources creates the resources of both example deployments and
// waits until every node uses them.
func applyDemoResources(ctx context.Context, dep *deployment.Deployment) error {
	resources := dep.Client("").Resources()
	put := func(kind, name string, spec any) error {
		data, err := json.Marshal(spec)
		if err == nil {
			_, err = resources.Put(ctx, kind, name, data, 0)
		}
		return err
	}
	for _, r := range demoResources(dep) {
		if err := put(r.kind, r.name, r.spec); err != nil {
			return fmt.Errorf("%s %s: %w", r.kind, r.name, err)
		}
	}
	return waitForResources(ctx, dep)
}

// waitForResources waits until all resources are in force on every node.
func waitForResources(ctx context.Context, dep *deployment.Deployment) error {
	for _, n := range dep.Nodes() {
		for n.ResourceCount() < len(demoResources(dep)) {
			select {
			case <-ctx.Done():
				return api.ErrUnavailable
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}
