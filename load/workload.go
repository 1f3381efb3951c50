package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class describes the programs of one class. Their sizes and times follow
// log-normal distributions, which have heavy tails.
type Class struct {
	Name         string
	Share        float64 // of all programs
	Priority     int
	Short        bool // programs are short and must not queue behind long ones
	SystemTokens int
	Turns        LogNormal
	InputTokens  LogNormal
	OutputTokens LogNormal
	PauseMS      LogNormal
	ServiceShare float64 // share of turns that are followed by a service call
	ServiceMS    LogNormal
	ChildShare   float64 // share of turns that start a sub-agent
}

// LogNormal is a log-normal distribution. Sigma is the standard deviation of the
// logarithm.
type LogNormal struct{ Median, Sigma float64 }

func (s LogNormal) draw(random *rand.Rand) float64 {
	return s.Median * math.Exp(s.Sigma*random.NormFloat64())
}

// Deployment describes the fleet of one user of the system and its mix of
// programs.
type Deployment struct {
	Name           string
	ModelWorkers   int
	ServiceWorkers int
	Zones          int
	ZoneDelay      time.Duration // one-way delay between availability zones
	ClientDelay    time.Duration // one-way delay between client and node
	Tenants        int
	Classes        []Class
	Services       []string // each with one operation of the same name; only the first is idempotent
}

// Deployments returns the deployments of the two users of the system. The
// fleets, zones and delays are those of the design page; the classes of programs
// are estimates.
func Deployments() []Deployment {
	return []Deployment{{
		Name: "satamavirta", ModelWorkers: 15, ServiceWorkers: 25, Zones: 4, Tenants: 8,
		ZoneDelay: 500 * time.Microsecond, ClientDelay: time.Millisecond,
		Services: []string{"ledger_lookup", "invoice_posting", "credit_note"},
		Classes: []Class{{
			Name: "reconciliation", Share: 0.7, Priority: 1, Short: true, SystemTokens: 2000,
			Turns: LogNormal{5, 0.5}, InputTokens: LogNormal{500, 0.6}, OutputTokens: LogNormal{110, 0.6},
			PauseMS: LogNormal{300, 0.8}, ServiceShare: 0.4, ServiceMS: LogNormal{80, 0.5},
		}, {
			Name: "dispute", Share: 0.3, SystemTokens: 3000,
			Turns: LogNormal{6, 0.5}, InputTokens: LogNormal{800, 0.7}, OutputTokens: LogNormal{120, 0.7},
			PauseMS: LogNormal{600, 0.9}, ServiceShare: 0.3, ServiceMS: LogNormal{80, 0.5}, ChildShare: 0.1,
		}},
	}, {
		Name: "ortak-tirnak", ModelWorkers: 10, ServiceWorkers: 12, Zones: 4, Tenants: 20,
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond,
		Services: []string{"price_lookup", "booking", "deposit"},
		Classes: []Class{{
			Name: "quote", Share: 0.85, Priority: 1, Short: true, SystemTokens: 1500,
			Turns: LogNormal{3, 0.4}, InputTokens: LogNormal{200, 0.6}, OutputTokens: LogNormal{80, 0.5},
			PauseMS: LogNormal{400, 0.8}, ServiceShare: 0.4, ServiceMS: LogNormal{60, 0.5},
		}, {
			Name: "price-list", Share: 0.15, SystemTokens: 2500,
			Turns: LogNormal{5, 0.5}, InputTokens: LogNormal{1200, 0.7}, OutputTokens: LogNormal{400, 0.6},
			PauseMS: LogNormal{500, 0.8}, ServiceShare: 0.2, ServiceMS: LogNormal{60, 0.5}, ChildShare: 0.1,
		}},
	}}
}

// DeploymentByName returns the deployment with the given name, or
// ErrUnknownName.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range Deployments() {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, ErrUnknownName
}

// maxTurns is the largest number of turns of a program, from the design page.
const maxTurns = 260

// Generate returns the programs of a run in order of their intended start. Rate
// is the number of programs per second outside the crest. For one seed, the n-th
// program has the same steps in all scenarios, except that stragglers have more.
// The start times are the same where the rate and the demand are.
func Generate(d Deployment, s Scenario, rate float64, seed uint64) []*Program {
	arrivals := rand.New(rand.NewPCG(seed, 1))
	shapes := rand.New(rand.NewPCG(seed, 2))
	stragglers := rand.New(rand.NewPCG(seed, 3))
	var programs []*Program
	for at := 0.0; ; {
		// Thinning of a Poisson process: candidates arrive at the peak rate, and
		// each is kept with a probability of current demand / peak demand.
		at += arrivals.ExpFloat64() / (rate * s.peakDemand())
		start := time.Duration(at * float64(time.Second))
		if start >= s.Length {
			return programs
		}
		if arrivals.Float64() >= s.demand(start)/s.peakDemand() {
			continue
		}
		p := newProgram(d, shapes, fmt.Sprintf("s%d-%d", seed, len(programs)), start)
		if s.StragglerShare > 0 && stragglers.Float64() < s.StragglerShare {
			p.makeStraggler(s.StragglerFactor)
		}
		programs = append(programs, p)
	}
}

// newProgram draws the class, the tenant and the steps of a program.
func newProgram(d Deployment, random *rand.Rand, id string, start time.Duration) *Program {
	pick, i := random.Float64(), 0
	for ; i < len(d.Classes)-1 && pick >= d.Classes[i].Share; i++ {
		pick -= d.Classes[i].Share
	}
	// Tenants differ in size: the higher the number, the fewer programs.
	tenant := int(float64(d.Tenants) * math.Pow(random.Float64(), 1.5))
	p := &Program{
		ID: id, Tenant: fmt.Sprintf("tenant-%02d", tenant), Class: d.Classes[i].Name,
		Priority: d.Classes[i].Priority, Start: start, SystemTokens: d.Classes[i].SystemTokens,
	}
	p.addSteps(d, d.Classes[i], random, true)
	return p
}

// addSteps appends the steps of a random number of turns. Sub-agents get the
// class of their parent and start no sub-agents themselves.
func (p *Program) addSteps(d Deployment, class Class, random *rand.Rand, withChildren bool) {
	turns := min(max(1, int(class.Turns.draw(random)+0.5)), maxTurns)
	for turn := range turns {
		step := Step{
			Kind: Model, Idempotent: true, Pause: milliseconds(class.PauseMS.draw(random)),
			InputTokens:  max(1, int(class.InputTokens.draw(random))),
			OutputTokens: max(1, int(class.OutputTokens.draw(random))),
		}
		if turn == 0 {
			step.Pause = 0
		}
		if withChildren && random.Float64() < class.ChildShare {
			child := *p
			child.ID, child.Parent, child.Steps = fmt.Sprintf("%s.%d", p.ID, turn), p.ID, nil
			child.addSteps(d, class, random, false)
			step.Children = append(step.Children, &child)
		}
		p.Steps = append(p.Steps, step)
		if random.Float64() < class.ServiceShare {
			operation := random.IntN(len(d.Services))
			p.Steps = append(p.Steps, Step{
				Kind: Service, Service: d.Services[operation], Operation: d.Services[operation],
				Duration: milliseconds(class.ServiceMS.draw(random)), Idempotent: operation == 0,
			})
		}
	}
}

// makeStraggler turns a program into a straggler by repeating its steps, without
// their sub-agents.
func (p *Program) makeStraggler(factor int) {
	p.Straggler = true
	steps := p.Steps
	for len(p.Steps) < min(len(steps)*factor, maxTurns) {
		for _, step := range steps {
			step.Children = nil
			p.Steps = append(p.Steps, step)
		}
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
