// Package model runs the scheduling policies against a deterministic
// discrete-event model of backend servers in virtual time, to compare them on
// the same seed within seconds. It models backend servers only, neither the
// network nor the platform store.
package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dogwoodline.example/load"
	"dogwoodline.example/schedule"
)

// Config describes one run.
type Config struct {
	Deployment load.Deployment
	Scenario   load.Scenario
	Policy     string
	Settings   schedule.Settings
	Seed       uint64
	// Nodes is the number of scheduling nodes: one grants for the whole
	// fleet, or several decide by their own view for their programs.
	Nodes int
	// SplitSlots divides the slots between the nodes.
	SplitSlots bool
}

// Delays of what the nodes learn from the platform, in seconds.
const (
	reportPeriod   = 1.0
	reportLag      = 2.0
	cacheEventLag  = 1.0
	cacheEventGaps = 0.1 // part of the events that is lost
	progressPeriod = 0.25
	callDeadline   = 30 * time.Second
	// patience is how long a program sends a refused call again.
	patience = 60.0
	minRetry = 0.1
)

// epoch is the zero point of virtual time.
var epoch = time.Unix(1_000_000_000, 0)

type sim struct {
	config   Config
	now      float64
	events   eventHeap
	sequence int
	random   *rand.Rand
	engines  []*engine
	byID     map[schedule.BackendID]*engine
	nodes    []*node
	nextID   schedule.CallID
	open     int // programs that run
	recorder *load.Recorder
	result   load.Result
	work     float64 // useful work in the measured window
	hedged   float64
	spent    float64
}

type node struct {
	scheduler schedule.Scheduler
	stopped   bool
	calls     map[schedule.CallID]*call // waiting and running
	order     []schedule.CallID         // by submission, may hold ended calls
	wakeAt    float64
	out       schedule.Decisions
}

// program is a running program.
type program struct {
	*load.Program
	node     *node
	root     *program
	attained int64
	prefix   []uint64
	history  int // tokens
	next     int // step
	done     func()
	work     float64 // of its calls in the measured window
}

// call is a step that was submitted.
type call struct {
	program *program
	step    *load.Step
	request schedule.Request
	prefix  []uint64
	prompt  int
	ready   float64 // when it became runnable
	jobs    []*job
}

type event struct {
	at       float64
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Run simulates the scenario until all programs ended. It returns
// schedule.ErrUnknownPolicy for unknown policies.
func Run(config Config) (load.Result, error) {
	began := time.Now()
	s := &sim{
		config: config, recorder: load.NewRecorder(), byID: map[schedule.BackendID]*engine{},
		random: rand.New(rand.NewPCG(config.Seed, 4)),
	}
	s.result = load.Result{
		Scenario: config.Scenario.Name, Deployment: config.Deployment.Name, Policy: config.Policy,
		Nodes: max(1, config.Nodes), Seed: config.Seed,
	}
	s.addEngines()
	for range s.result.Nodes {
		n := &node{calls: map[schedule.CallID]*call{}}
		s.nodes = append(s.nodes, n)
		if err := s.restart(n); err != nil {
			return load.Result{}, err
		}
	}
	s.startPrograms()
	for _, f := range config.Scenario.Faults {
		s.addFault(f)
	}
	s.every(reportPeriod, s.report)
	s.every(progressPeriod, s.progress)
	for s.open > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.finishResult(began)
	return s.result, nil
}

func (s *sim) finishResult(began time.Time) {
	s.recorder.Fill(&s.result)
	from, to := s.config.Scenario.Window()
	s.result.Goodput = s.work / float64(s.config.Deployment.ModelWorkers) / (to - from).Seconds()
	if s.spent > 0 {
		s.result.HedgeShare = s.hedged / s.spent
	}
	s.result.TimeScale = time.Since(began).Seconds() / s.now
}

func (s *sim) time() time.Time {
	return epoch.Add(time.Duration(s.now * float64(time.Second)))
}

func (s *sim) at(when float64, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: max(when, s.now), sequence: s.sequence, run: run})
}

func (s *sim) every(period float64, run func()) {
	s.at(s.now+period, func() {
		run()
		s.every(period, run)
	})
}

func (s *sim) addEngines() {
	d := s.config.Deployment
	for i := range d.ModelWorkers + d.ServiceWorkers {
		b := schedule.Backend{ID: schedule.BackendID(fmt.Sprintf("model-%02d", i)), Pool: "model", Slots: SlotsPerWorker}
		if i >= d.ModelWorkers {
			b = schedule.Backend{ID: schedule.BackendID(fmt.Sprintf("service-%02d", i)), Pool: "service", Slots: slotsPerServiceJob}
		}
		e := newEngine(b, i, i >= d.ModelWorkers)
		s.engines = append(s.engines, e)
		s.byID[b.ID] = e
	}
}

// Rate returns the programs per second of scenario time that use the calm
// part of the fleet's capacity.
func Rate(d load.Deployment, sample load.Scenario) float64 {
	sample.CrestFactor, sample.Stragglers, sample.Length = 0, 0, 3000*time.Second
	work := 0.0
	programs := load.Generate(d, sample, 1, 0)
	for _, p := range programs {
		work += programWork(p)
	}
	return sample.Load * float64(d.ModelWorkers) * float64(len(programs)) / work
}

func (s *sim) startPrograms() {
	programs := load.Generate(s.config.Deployment, s.config.Scenario, Rate(s.config.Deployment, s.config.Scenario), s.config.Seed)
	for i, p := range programs {
		run := &program{Program: p, node: s.nodes[i%len(s.nodes)]}
		run.root = run
		s.open++
		measured := p.Start >= s.config.Scenario.Warmup
		if measured {
			s.result.Programs++
		}
		run.done = func() {
			s.open--
			s.work += run.work
			if measured {
				s.result.Completed++
				latency := time.Duration(s.now*float64(time.Second)) - p.Start
				s.recorder.Record(p, s.config.Scenario.Phase(p.Start), latency)
			}
		}
		s.at(p.Start.Seconds(), func() { s.step(run) })
	}
}
