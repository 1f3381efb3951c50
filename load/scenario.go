package load

import "time"

// Scenario is an experiment: the demand over time and the faults to inject.
type Scenario struct {
	Name string
	// Load is the demand outside the crest as a share of the fleet's capacity.
	Load float64
	// Length is the period in which programs start. Programs that start before
	// Warmup are not measured.
	Length, Warmup time.Duration
	// A crest is a load spike: from CrestStart the demand rises linearly within
	// CrestRise to CrestFactor times the normal demand, stays there for CrestHold
	// and drops back. A CrestFactor of 0 means no crest.
	CrestFactor                      float64
	CrestStart, CrestRise, CrestHold time.Duration
	// StragglerShare is the share of programs that have StragglerFactor times the
	// turns.
	StragglerShare  float64
	StragglerFactor int
	Faults          []Fault
}

// FaultKind is the kind of a fault.
type FaultKind string

const (
	// SlowBackend multiplies the processing times of a backend server by the
	// factor of the fault.
	SlowBackend FaultKind = "slow_backend"
	// LeaveBackend makes a backend server leave the fleet. It returns with an
	// empty cache when the fault ends.
	LeaveBackend FaultKind = "leave_backend"
	// StopNode stops a node without a graceful shutdown. The node is replaced
	// when the fault ends.
	StopNode FaultKind = "stop_node"
)

// Fault is a disturbance of the system from Start to End, both counted from the
// beginning of the run.
type Fault struct {
	Kind       FaultKind
	Index      int     // of the backend server or node
	Factor     float64 // only for SlowBackend
	Start, End time.Duration
}

// Scenarios returns the scenarios of the design page.
func Scenarios() []Scenario {
	steady := Scenario{Name: "steady", Load: 0.8, Length: 120 * time.Second, Warmup: 30 * time.Second}
	crest, stragglers, slowed, churn, nodeLoss := steady, steady, steady, steady, steady
	crest.Name, crest.CrestFactor, crest.CrestStart = "crest", 4, 70*time.Second
	crest.CrestRise, crest.CrestHold = 2*time.Second, 10*time.Second
	stragglers.Name, stragglers.StragglerShare, stragglers.StragglerFactor = "stragglers", 0.02, 50
	slowed.Name = "slowed"
	for i := range 2 {
		slowed.Faults = append(slowed.Faults, Fault{
			Kind: SlowBackend, Index: i, Factor: 5, Start: 70 * time.Second, End: 80 * time.Second,
		})
	}
	// Two backend servers are away most of the time, hence the lower load.
	churn.Name, churn.Load = "churn", 0.7
	for i := range 8 {
		start := 40*time.Second + time.Duration(i)*8*time.Second
		churn.Faults = append(churn.Faults, Fault{
			Kind: LeaveBackend, Index: i, Start: start, End: start + 16*time.Second,
		})
	}
	nodeLoss.Name = "node-loss"
	nodeLoss.Faults = []Fault{{Kind: StopNode, Index: 0, Start: 70 * time.Second, End: 78 * time.Second}}
	return []Scenario{steady, crest, stragglers, slowed, churn, nodeLoss}
}

// ScenarioByName returns the scenario with the given name, or ErrUnknownName.
func ScenarioByName(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, ErrUnknownName
}

// Phases of a run, before, in and after the crest. A program belongs to the
// phase of its intended start.
const (
	PhaseCalm  = "calm"
	PhaseCrest = "crest"
	PhaseAfter = "after"
)

// Phase returns the phase at the time start after the beginning of the run. A
// scenario without a crest is calm throughout.
func (s Scenario) Phase(start time.Duration) string {
	switch {
	case s.CrestFactor == 0 || start < s.CrestStart:
		return PhaseCalm
	case start < s.CrestEnd():
		return PhaseCrest
	}
	return PhaseAfter
}

// CrestEnd returns the end of the crest.
func (s Scenario) CrestEnd() time.Duration { return s.CrestStart + s.CrestRise + s.CrestHold }

// Window returns the period in which goodput is measured: the crest, or all but
// the warm-up if there is no crest. The rise of the crest is left out, because
// the demand is still below the capacity then.
func (s Scenario) Window() (from, to time.Duration) {
	if s.CrestFactor > 0 {
		return s.CrestStart + s.CrestRise, s.CrestEnd()
	}
	return s.Warmup, s.Length
}

// WithLength returns the scenario with another length. The start times of the crest
// and of the faults and the warm-up scale with the length. The crest and the
// slowdowns keep their duration, so that results stay comparable with the
// performance targets for them.
func (s Scenario) WithLength(length time.Duration) Scenario {
	factor := float64(length) / float64(s.Length)
	scale := func(t time.Duration) time.Duration { return time.Duration(float64(t) * factor) }
	s.Length, s.Warmup, s.CrestStart = length, scale(s.Warmup), scale(s.CrestStart)
	faults := make([]Fault, len(s.Faults))
	for i, f := range s.Faults {
		duration := f.End - f.Start
		// Absences scale too; otherwise more backend servers would be away at the
		// same time.
		if f.Kind == LeaveBackend {
			duration = scale(duration)
		}
		f.Start = scale(f.Start)
		f.End = f.Start + duration
		faults[i] = f
	}
	s.Faults = faults
	return s
}

// peakDemand returns the highest demand as a multiple of the demand outside the
// crest.
func (s Scenario) peakDemand() float64 { return max(1, s.CrestFactor) }

// demand returns the demand at a time as a multiple of the demand outside the
// crest.
func (s Scenario) demand(at time.Duration) float64 {
	if s.Phase(at) != PhaseCrest {
		return 1
	}
	ramp := min(1, float64(at-s.CrestStart)/float64(s.CrestRise))
	return 1 + (s.CrestFactor-1)*ramp
}
