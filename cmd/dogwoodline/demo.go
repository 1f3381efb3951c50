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

// demoTimeout bounds the demo.
const demoTimeout = 60 * time.Second

type demoCommand struct {
	Nodes    int  `default:"3" help:"Nodes to run, at least 3."`
	Engines  int  `default:"4" help:"Engine stand-ins to run."`
	Programs int  `default:"24" help:"Programs of each example deployment."`
	Verbose  bool `help:"Show the log of the nodes."`
}

// Run runs the demo until it is finished or interrupted.
func (d demoCommand) Run(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	return runDemo(ctx, d, c)
}

// runDemo runs the programs of both example deployments through several nodes
// while one node is killed and another is stopped as planned.
func runDemo(ctx context.Context, options demoCommand, c *console) error {
	running, err := startDemo(ctx, options, c)
	if err != nil {
		return err
	}
	defer running.Close()
	if err := declareDemo(ctx, running); err != nil {
		return err
	}
	c.say("started %d nodes, %d engines and a ledger on loopback\n", options.Nodes, options.Engines)

	runs := startPrograms(ctx, running, options.Programs)
	if err := disturb(ctx, running, runs, c); err != nil {
		return err
	}
	summary := runs.wait()
	effects, err := ledgerEffects(ctx, running.Services[0])
	if err != nil {
		return err
	}
	return reportDemo(c, summary, effects)
}

func startDemo(ctx context.Context, options demoCommand, c *console) (*deployment.Deployment, error) {
	log := io.Discard
	if options.Verbose {
		log = c.errOut
	}
	config := deployment.Config{
		Nodes:    max(options.Nodes, 3),
		Zones:    []string{"az-1", "az-2", "az-3", "az-4"},
		Services: []service.Config{{Name: "ledger", Lookup: true}},
		Settings: settings.Default(),
		Log:      newLog(log, settings.Log{Level: slog.LevelInfo.String()}),
	}
	config.Settings.Operator.Key = "demo-operator"
	for i := range options.Engines {
		e := engine.DefaultConfig()
		e.Name, e.TimeScale = fmt.Sprintf("engine-%d", i+1), 4
		config.Engines = append(config.Engines, e)
	}
	return deployment.Start(ctx, config)
}

// disturb kills one node and stops another as planned while programs run.
func disturb(ctx context.Context, running *deployment.Deployment, runs *demoRuns, c *console) error {
	nodes := running.Nodes()
	if err := runs.progress(ctx, 0.25); err != nil {
		return err
	}
	c.say("killing %s after %d calls\n", nodes[1].ID, runs.calls())
	if err := running.Kill(nodes[1]); err != nil {
		return err
	}
	if _, err := running.AddNode(); err != nil {
		return err
	}
	if err := runs.progress(ctx, 0.6); err != nil {
		return err
	}
	c.say("planned stop of %s after %d calls\n", nodes[0].ID, runs.calls())
	if err := running.Drain(ctx, nodes[0]); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}

// ledgerEffects returns how often each request took effect.
func ledgerEffects(ctx context.Context, ledger *service.Service) (map[string]int, error) {
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

// reportDemo shows the summary and fails when an effect is missing or doubled.
func reportDemo(c *console, summary demoSummary, effects map[string]int) error {
	for _, line := range summary.failures {
		c.warn("failed: " + line)
	}
	once, wrong := 0, 0
	for id := range summary.postings {
		if effects[id] == 1 {
			once++
		} else {
			wrong++
			c.warn(fmt.Sprintf("request %s took effect %d times", id, effects[id]))
		}
	}
	table(c, []string{"PROGRAMS", "FINISHED", "CALLS", "P50 MS", "P95 MS", "EFFECTS", "EXACTLY ONCE"}, []string{
		fmt.Sprint(summary.programs), fmt.Sprint(summary.finished), fmt.Sprint(summary.calls),
		fmt.Sprint(summary.percentile(0.50)), fmt.Sprint(summary.percentile(0.95)),
		fmt.Sprint(len(summary.postings)), fmt.Sprint(once),
	})
	if wrong > 0 || summary.finished != summary.programs || len(effects) != len(summary.postings) {
		return errReported
	}
	return nil
}

// declareDemo writes the resources of both example deployments.
func declareDemo(ctx context.Context, running *deployment.Deployment) error {
	resources := running.Client("").Resources()
	put := func(kind, name string, spec any) error {
		data, err := json.Marshal(spec)
		if err == nil {
			_, err = resources.Put(ctx, kind, name, data, 0)
		}
		return err
	}
	for _, r := range demoResources(running) {
		if err := put(r.kind, r.name, r.spec); err != nil {
			return fmt.Errorf("%s %s: %w", r.kind, r.name, err)
		}
	}
	return awaitResources(ctx, running)
}

// awaitResources waits until the last resource is in force at every node.
func awaitResources(ctx context.Context, running *deployment.Deployment) error {
	for _, n := range running.Nodes() {
		for n.Declared() < len(demoResources(running)) {
			select {
			case <-ctx.Done():
				return api.ErrUnavailable
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}
