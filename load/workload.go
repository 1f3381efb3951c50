package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class describes the shape of the programs of one class. Medians and sigmas
// are those of log-normal distributions, whose tails are heavy.
type Class struct {
	Name         string
	Share        float64 // of all programs
	Priority     int
	Short        bool // the class that must not wait behind long work
	SystemTokens int
	Turns        Spread
	InputTokens  Spread
	OutputTokens Spread
	PauseMS      Spread
	ServiceShare float64 // of the turns that are followed by a service call
	ServiceMS    Spread
	ChildShare   float64 // of the turns that start a sub-agent
}

// Spread is a log-normal distribution.
type Spread struct{ Median, Sigma float64 }

func (s Spread) draw(random *rand.Rand) float64 {
	return s.Median * math.Exp(s.Sigma*random.NormFloat64())
}

// Deployment is one user's fleet and mix of programs.
type Deployment struct {
	Name           string
	ModelWorkers   int
	ServiceWorkers int
	Zones          int
	ZoneDelay      time.Duration // one way between availability zones
	ClientDelay    time.Duration // one way between client and node
	Tenants        int
	Classes        []Class
	Services       []string // operations, the first one is idempotent
}

// Deployments returns the two users' deployments. The fleets, zones and
// delays are those of the design page; the program shapes are estimates.
func Deployments() []Deployment {
	return []Deployment{{
		Name: "satamavirta", ModelWorkers: 15, ServiceWorkers: 25, Zones: 4, Tenants: 8,
		ZoneDelay: 500 * time.Microsecond, ClientDelay: time.Millisecond,
		Services: []string{"ledger_lookup", "invoice_posting", "credit_note"},
		Classes: []Class{{
			Name: "reconciliation", Share: 0.7, Priority: 1, Short: true, SystemTokens: 2000,
			Turns: Spread{5, 0.5}, InputTokens: Spread{500, 0.6}, OutputTokens: Spread{110, 0.6},
			PauseMS: Spread{300, 0.8}, ServiceShare: 0.4, ServiceMS: Spread{80, 0.5},
		}, {
			Name: "dispute", Share: 0.3, SystemTokens: 3000,
			Turns: Spread{6, 0.5}, InputTokens: Spread{800, 0.7}, OutputTokens: Spread{120, 0.7},
			PauseMS: Spread{600, 0.9}, ServiceShare: 0.3, ServiceMS: Spread{80, 0.5}, ChildShare: 0.1,
		}},
	}, {
		Name: "ortak-tirnak", ModelWorkers: 10, ServiceWorkers: 12, Zones: 4, Tenants: 20,
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond,
		Services: []string{"price_lookup", "booking", "deposit"},
		Classes: []Class{{
			Name: "quote", Share: 0.85, Priority: 1, Short: true, SystemTokens: 1500,
			Turns: Spread{3, 0.4}, InputTokens: Spread{200, 0.6}, OutputTokens: Spread{80, 0.5},
			PauseMS: Spread{400, 0.8}, ServiceShare: 0.4, ServiceMS: Spread{60, 0.5},
		}, {
			Name: "price-list", Share: 0.15, SystemTokens: 2500,
			Turns: Spread{5, 0.5}, InputTokens: Spread{1200, 0.7}, OutputTokens: Spread{400, 0.6},
			PauseMS: Spread{500, 0.8}, ServiceShare: 0.2, ServiceMS: Spread{60, 0.5}, ChildShare: 0.1,
		}},
	}}
}

// DeploymentByName returns ErrUnknownName for names of no deployment.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range Deployments() {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, ErrUnknownName
}

// maxTurns is the largest number of turns of a program by the design page.
const maxTurns = 260

// Generate returns the programs of a run in order of their intended start.
// Rate is the number of programs per second outside a crest. The programs of
// one seed are the same in all scenarios, apart from what the scenario adds.
func Generate(d Deployment, s Scenario, rate float64, seed uint64) []*Program {
	arrivals := rand.New(rand.NewPCG(seed, 1))
	shapes := rand.New(rand.NewPCG(seed, 2))
	chosen := rand.New(rand.NewPCG(seed, 3))
	var programs []*Program
	for at := 0.0; ; {
		// Thinning: candidates arrive at the peak rate, of which the share of
		// the present demand is kept.
		at += arrivals.ExpFloat64() / (rate * s.peak())
		start := time.Duration(at * float64(time.Second))
		if start >= s.Length {
			return programs
		}
		if arrivals.Float64() >= s.demand(start)/s.peak() {
			continue
		}
		p := generate(d, shapes, fmt.Sprintf("s%d-%d", seed, len(programs)), start)
		if s.Stragglers > 0 && chosen.Float64() < s.Stragglers {
			p.stretch(s.StragglerFactor)
		}
		programs = append(programs, p)
	}
}

func generate(d Deployment, random *rand.Rand, id string, start time.Duration) *Program {
	pick, i := random.Float64(), 0
	for ; i < len(d.Classes)-1 && pick >= d.Classes[i].Share; i++ {
		pick -= d.Classes[i].Share
	}
	// Tenants differ in size: each next one has less.
	tenant := int(float64(d.Tenants) * math.Pow(random.Float64(), 1.5))
	p := &Program{
		ID: id, Tenant: fmt.Sprintf("tenant-%02d", tenant), Class: d.Classes[i].Name,
		Priority: d.Classes[i].Priority, Start: start, SystemTokens: d.Classes[i].SystemTokens,
	}
	p.fill(d, d.Classes[i], random, true)
	return p
}

func (p *Program) fill(d Deployment, class Class, random *rand.Rand, children bool) {
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
		if children && random.Float64() < class.ChildShare {
			child := *p
			child.ID, child.Parent, child.Steps = fmt.Sprintf("%s.%d", p.ID, turn), p.ID, nil
			child.fill(d, class, random, false)
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

// stretch turns a program into a straggler with many times the turns.
func (p *Program) stretch(factor int) {
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
