package load

import "time"

// Scenario is an experiment: demand over time and faults.
type Scenario struct {
	Name string
	// Load is the calm demand as a part of the fleet's capacity.
	Load float64
	// Length is the time in which programs start. Programs that start before
	// Warmup are not measured.
	Length, Warmup time.Duration
	// The demand rises to CrestFactor times the calm one from CrestStart on
	// within CrestRise and stays there for CrestHold.
	CrestFactor                      float64
	CrestStart, CrestRise, CrestHold time.Duration
	// Stragglers is the part of the programs with StragglerFactor times the
	// turns.
	Stragglers      float64
	StragglerFactor int
	Faults          []Fault
}

// FaultKind names a fault.
type FaultKind string

const (
	// SlowBackend slows a backend server down by the factor.
	SlowBackend FaultKind = "slow_backend"
	// LeaveBackend lets a backend server leave; it returns with an empty
	// cache when the fault ends.
	LeaveBackend FaultKind = "leave_backend"
	// StopNode ends a node without warning.
	StopNode FaultKind = "stop_node"
)

// Fault is a disturbance from Start to End after the beginning of the run.
type Fault struct {
	Kind       FaultKind
	Index      int // of the backend server or node
	Factor     float64
	Start, End time.Duration
}

// Scenarios returns the experiments of the design page.
func Scenarios() []Scenario {
	calm := Scenario{Name: "steady", Load: 0.8, Length: 120 * time.Second, Warmup: 30 * time.Second}
	crest, stragglers, slowed, churn, loss := calm, calm, calm, calm, calm
	crest.Name, crest.CrestFactor, crest.CrestStart = "crest", 4, 70*time.Second
	crest.CrestRise, crest.CrestHold = 2*time.Second, 10*time.Second
	stragglers.Name, stragglers.Stragglers, stragglers.StragglerFactor = "stragglers", 0.02, 50
	slowed.Name = "slowed"
	for i := range 2 {
		slowed.Faults = append(slowed.Faults, Fault{
			Kind: SlowBackend, Index: i, Factor: 5, Start: 70 * time.Second, End: 80 * time.Second,
		})
	}
	churn.Name, churn.Load = "churn", 0.7 // two backend servers are away at most times
	for i := range 8 {
		start := 40*time.Second + time.Duration(i)*8*time.Second
		churn.Faults = append(churn.Faults, Fault{
			Kind: LeaveBackend, Index: i, Start: start, End: start + 16*time.Second,
		})
	}
	loss.Name = "node-loss"
	loss.Faults = []Fault{{Kind: StopNode, Index: 0, Start: 70 * time.Second, End: 78 * time.Second}}
	return []Scenario{calm, crest, stragglers, slowed, churn, loss}
}

// ScenarioByName returns ErrUnknownName for names of no scenario.
func ScenarioByName(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, ErrUnknownName
}

// Phases of a run by the intended start of a program.
const (
	PhaseCalm  = "calm"
	PhaseCrest = "crest"
	PhaseAfter = "after"
)

// Phase returns the phase of an intended start.
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

// Window returns the time in which goodput is measured. The rise of a crest
// is left out, because its demand is still below the capacity.
func (s Scenario) Window() (from, to time.Duration) {
	if s.CrestFactor > 0 {
		return s.CrestStart + s.CrestRise, s.CrestEnd()
	}
	return s.Warmup, s.Length
}

// Within returns the scenario with another length. Warm-up, crest and faults
// keep their place in it; the crest and slow times keep their duration, so
// that targets about them stay comparable.
func (s Scenario) Within(length time.Duration) Scenario {
	factor := float64(length) / float64(s.Length)
	scale := func(t time.Duration) time.Duration { return time.Duration(float64(t) * factor) }
	s.Length, s.Warmup, s.CrestStart = length, scale(s.Warmup), scale(s.CrestStart)
	faults := make([]Fault, len(s.Faults))
	for i, f := range s.Faults {
		duration := f.End - f.Start
		if f.Kind == LeaveBackend { // else more of them would be away at the same time
			duration = scale(duration)
		}
		f.Start = scale(f.Start)
		f.End = f.Start + duration
		faults[i] = f
	}
	s.Faults = faults
	return s
}

func (s Scenario) peak() float64 { return max(1, s.CrestFactor) }

// demand returns the demand at a time as a multiple of the calm one.
func (s Scenario) demand(at time.Duration) float64 {
	if s.Phase(at) != PhaseCrest {
		return 1
	}
	risen := min(1, float64(at-s.CrestStart)/float64(s.CrestRise))
	return 1 + (s.CrestFactor-1)*risen
}
