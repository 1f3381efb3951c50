package model_test

import (
	"testing"
	"time"

	"dogwoodline.example/load"
	"dogwoodline.example/load/model"
	"dogwoodline.example/schedule"
)

// run simulates a shortened scenario.
func run(t *testing.T, scenario, policy string, nodes int) load.Result {
	t.Helper()
	s, err := load.ScenarioByName(scenario)
	if err != nil {
		t.Fatal(err)
	}
	s.Warmup, s.Length = 10*time.Second, 85*time.Second // long enough for the faults and the crest
	s.StragglerFactor = min(s.StragglerFactor, 10)      // keeps the test short
	r, err := model.Run(model.Config{
		Deployment: load.Deployments()[0], Scenario: s, Policy: policy, Seed: 1, Nodes: nodes, SplitSlots: nodes > 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.TimeScale = 0 // depends on the speed of the machine
	return r
}

// Guards against programs that never end after a fault, in each scenario, with
// one and with several scheduling nodes. Also checks that hedging stays within
// 5% of the work.
func TestEveryProgramEnds(t *testing.T) {
	for _, s := range load.Scenarios() {
		for _, nodes := range []int{1, 3} {
			r := run(t, s.Name, schedule.ProgramAware, nodes)
			if r.Completed+r.Refused+r.Failed != r.Programs || r.Completed == 0 {
				t.Errorf("%s with %d nodes: %d completed, %d refused, %d failed of %d",
					s.Name, nodes, r.Completed, r.Refused, r.Failed, r.Programs)
			}
			if r.HedgeShare > 0.05 {
				t.Errorf("%s with %d nodes: hedged copies took %.3f of the job time, want at most 0.05", s.Name, nodes, r.HedgeShare)
			}
		}
	}
}

// Guards against results that depend on the iteration order of a map or on the
// wall clock.
func TestSameSeedSameResult(t *testing.T) {
	for _, policy := range schedule.Policies() {
		a, b := run(t, "slowed", policy, 1), run(t, "slowed", policy, 1)
		if a.Quantiles != b.Quantiles || a.RecomputedTokens != b.RecomputedTokens || a.Hedges != b.Hedges {
			t.Errorf("%s: %+v differs from %+v", policy, a, b)
		}
	}
}

// Guards against a run that ignores an unknown policy.
func TestUnknownPolicy(t *testing.T) {
	_, err := model.Run(model.Config{Deployment: load.Deployments()[0], Scenario: load.Scenario{Length: time.Second, Load: 1}, Policy: "none"})
	if err == nil {
		t.Fatal("Run returned no error for an unknown policy")
	}
}
