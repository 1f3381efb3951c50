package nodes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"dogwoodline.example/deployment"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/load"
)

// environment injects the faults of a scenario into a deployment. It is not safe
// for concurrent use: a single goroutine of the run calls it.
type environment struct {
	running *deployment.Deployment
	leaving map[string]bool    // names of the engines that have left
	nodes   []*deployment.Node // by index; nil for a stopped node
}

var _ load.Environment = (*environment)(nil)

func newEnvironment(running *deployment.Deployment) *environment {
	return &environment{running: running, leaving: map[string]bool{}, nodes: running.Nodes()}
}

// SetBackendSlowdown implements load.Environment.
func (e *environment) SetBackendSlowdown(ctx context.Context, index int, factor float64) error {
	return e.running.Engines[index].ApplySwitches(ctx, engine.Switches{SlowFactor: &factor})
}

// SetBackendLeaving implements load.Environment. An engine that returns is restarted,
// which empties its cache.
func (e *environment) SetBackendLeaving(ctx context.Context, index int, leaving bool) error {
	backend := e.running.Engines[index]
	name := fmt.Sprintf("engine-%d", index+1)
	if leaving {
		e.leaving[name] = true
		e.running.SetHosts(e.leaving)
		return backend.ApplySwitches(ctx, engine.Switches{Leaving: &leaving})
	}
	if err := backend.ApplySwitches(ctx, engine.Switches{Leaving: &leaving, CrashNow: true}); err != nil {
		return err
	}
	delete(e.leaving, name)
	e.running.SetHosts(e.leaving)
	return nil
}

// StopNode implements load.Environment.
func (e *environment) StopNode(_ context.Context, index int) error {
	stopped := e.nodes[index]
	e.nodes[index] = nil
	if stopped == nil {
		return load.Error.New("node %d is already stopped", index)
	}
	return e.running.Kill(stopped)
}

// StartNode implements load.Environment.
func (e *environment) StartNode(_ context.Context, index int) error {
	started, err := e.running.AddNode()
	e.nodes[index] = started
	return err
}

// cachedTokens returns the number of prompt tokens that the engines have found
// in their prefix caches since they last started.
func cachedTokens(ctx context.Context, running *deployment.Deployment) (int64, error) {
	total := int64(0)
	for _, e := range running.Engines {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL()+"/load", http.NoBody)
		if err != nil {
			return 0, load.Error.Wrap(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, load.Error.Wrap(err)
		}
		var report engine.LoadReport
		err = json.NewDecoder(response.Body).Decode(&report)
		response.Body.Close()
		if err != nil {
			return 0, load.Error.Wrap(err)
		}
		total += report.Totals.CachedTokens
	}
	return total, nil
}
