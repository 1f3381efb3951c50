package nodes_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"dogwoodline.example/load"
	"dogwoodline.example/load/nodes"
	"dogwoodline.example/schedule"
)

// Guards against programs that never end when a node stops, an engine leaves and
// another slows down, and against generated resources or calls that the nodes
// refuse.
func TestProgramsEndOnRealNodes(t *testing.T) {
	d, err := load.DeploymentByName("ortak-tirnak")
	if err != nil {
		t.Fatal(err)
	}
	s := load.Scenario{
		Name: "test", Load: 0.1, Length: 20 * time.Second,
		Faults: []load.Fault{
			{Kind: load.SlowBackend, Index: 0, Factor: 5, Start: 2 * time.Second, End: 6 * time.Second},
			{Kind: load.LeaveBackend, Index: 1, Start: 2 * time.Second, End: 6 * time.Second},
			{Kind: load.StopNode, Index: 0, Start: 5 * time.Second, End: 10 * time.Second},
		},
	}
	result, err := nodes.Run(context.Background(), nodes.Config{
		Deployment: d, Scenario: s, Policy: schedule.ProgramAware, Seed: 1, Nodes: 3, TimeScale: 0.25,
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Programs == 0 || result.Completed+result.Refused+result.Failed != result.Programs {
		t.Errorf("%d completed, %d refused, %d failed of %d programs", result.Completed, result.Refused, result.Failed, result.Programs)
	}
	if 10*result.Completed < 9*result.Programs {
		t.Errorf("only %d of %d programs completed at 10%% load", result.Completed, result.Programs)
	}
	if result.PromptTokens == 0 || result.RecomputedTokens > result.ReusableTokens || result.Goodput <= 0 {
		t.Errorf("measurements are missing or inconsistent: %+v", result)
	}
}

// Guards against an overhead measurement whose calls a node refuses: refusals are
// fast and would count as low latencies.
func TestOverheadCallsComplete(t *testing.T) {
	result, err := nodes.MeasureOverhead(context.Background(), nodes.OverheadConfig{
		Rate: 200, Length: time.Second, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, a := range map[string]nodes.LatencyComparison{"first part": result.FirstPart, "recorded": result.Recorded} {
		if a.Failed != 0 || a.Calls != 200 || a.Direct.P50MS <= 0 || a.Node.P50MS <= 0 {
			t.Errorf("%s: %+v", name, a)
		}
	}
}
