// Package model runs the scheduling policies against a deterministic
// discrete-event simulation of backend servers. The simulation runs in virtual
// time, so that policies can be compared on the same seed within seconds. It
// models the backend servers only: network latency is a fixed delay between the
// calls of a program, and the platform store is left out.
package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dogwoodline.example/load"
	"dogwoodline.example/schedule"
)

// Config describes one simulation run.
type Config struct {
	Deployment load.Deployment
	Scenario   load.Scenario
	Policy     string
	Settings   schedule.Settings
	Seed       uint64
	// Nodes is the number of nodes with a scheduler. One node schedules the
	// calls of all programs; several nodes each schedule the calls of their
	// own programs on the same backend servers, without knowing the calls of
	// the other nodes. Less than one means one.
	Nodes int
	// SplitSlots gives each node an equal part of the slots of each backend
	// server, at least one. Otherwise every node schedules on all slots.
	SplitSlots bool
}

// Periods and delays, in seconds unless typed otherwise.
const (
	// reportPeriod is the time between two load reports and between two
	// batches of cache events of an engine. reportLag and cacheEventLag are the
	// delays until the schedulers receive them.
	reportPeriod   = 1.0
	reportLag      = 2.0
	cacheEventLag  = 1.0
	cacheEventLoss = 0.1 // share of the cache events that are lost
	// progressPeriod is the time between two progress updates of the running
	// calls.
	progressPeriod = 0.25
	callDeadline   = 30 * time.Second
	// maxRetryTime is how long after a call became ready its program still
	// submits it again when it is refused.
	maxRetryTime  = 60.0
	minRetryDelay = 0.1
)

// epoch is the zero point of virtual time.
var epoch = time.Unix(1_000_000_000, 0)

// sim is the state of one simulation run. Times are in seconds of virtual time.
type sim struct {
	config       Config
	now          float64
	events       eventHeap
	sequence     int
	random       *rand.Rand
	engines      []*engine
	byID         map[schedule.BackendID]*engine
	nodes        []*node
	nextID       schedule.CallID
	openPrograms int // root programs that have not ended
	recorder     *load.Recorder
	result       load.Result
	usefulWork   float64 // worker-seconds of completed programs in the measured window
	hedgeSeconds float64 // part of jobSeconds: losing copies of calls with several copies
	jobSeconds   float64 // time from grant to end, of all copies of completed calls
}

// node is a node that schedules the calls of its programs.
type node struct {
	scheduler schedule.Scheduler
	stopped   bool
	calls     map[schedule.CallID]*call // queued and running
	submitted []schedule.CallID         // in the order of submission; may contain ended calls
	wakeAt    float64
	decisions schedule.Decisions
}

// program is a program or sub-agent that has not ended.
type program struct {
	*load.Program
	node          *node
	root          *program
	attained      int64 // tokens of completed model calls, plus 1 per service call; of the root only
	prefix        []uint64
	historyTokens int // length of the conversation
	nextStep      int // index into Steps
	done          func()
	work          float64 // worker-seconds in the measured window; of the root only
}

// call is the model or service call of one step.
type call struct {
	program      *program
	step         *load.Step
	request      schedule.Request
	prefix       []uint64
	promptTokens int
	readyAt      float64 // when it was first submitted
	jobs         []*job
}

// event is a function that runs at a virtual time. Events at the same time run
// in the order of their sequence numbers.
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

// Run simulates the scenario until all programs have ended. It returns
// schedule.ErrUnknownPolicy for an unknown policy.
func Run(config Config) (load.Result, error) {
	startedAt := time.Now()
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
		if err := s.restartScheduler(n); err != nil {
			return load.Result{}, err
		}
	}
	s.schedulePrograms()
	for _, f := range config.Scenario.Faults {
		s.scheduleFault(f)
	}
	s.every(reportPeriod, s.sendReports)
	s.every(progressPeriod, s.sendProgress)
	for s.openPrograms > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.finishResult(startedAt)
	return s.result, nil
}

func (s *sim) finishResult(startedAt time.Time) {
	s.recorder.SetQuantiles(&s.result)
	from, to := s.config.Scenario.Window()
	s.result.Goodput = s.usefulWork / float64(s.config.Deployment.ModelWorkers) / (to - from).Seconds()
	if s.jobSeconds > 0 {
		s.result.HedgeShare = s.hedgeSeconds / s.jobSeconds
	}
	s.result.TimeScale = time.Since(startedAt).Seconds() / s.now
}

// time returns the virtual time as the schedulers see it.
func (s *sim) time() time.Time {
	return epoch.Add(time.Duration(s.now * float64(time.Second)))
}

// at adds an event at the given time, or now if that has passed.
func (s *sim) at(when float64, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: max(when, s.now), sequence: s.sequence, run: run})
}

// every runs the function once per period, for the first time after one period.
func (s *sim) every(period float64, run func()) {
	s.at(s.now+period, func() {
		run()
		s.every(period, run)
	})
}

func (s *sim) addEngines() {
	d := s.config.Deployment
	for i := range d.ModelWorkers + d.ServiceWorkers {
		b := schedule.Backend{ID: schedule.BackendID(fmt.Sprintf("model-%02d", i)), Pool: "model", Slots: SlotsPerEngine}
		if i >= d.ModelWorkers {
			b = schedule.Backend{ID: schedule.BackendID(fmt.Sprintf("service-%02d", i)), Pool: "service", Slots: slotsPerServiceWorker}
		}
		e := newEngine(b, i, i >= d.ModelWorkers)
		s.engines = append(s.engines, e)
		s.byID[b.ID] = e
	}
}

// ArrivalRate returns the arrival rate, in programs per second of scenario time, that
// uses the share Scenario.Load of the fleet's model capacity outside the crest.
func ArrivalRate(d load.Deployment, sample load.Scenario) float64 {
	sample.CrestFactor, sample.StragglerShare, sample.Length = 0, 0, 3000*time.Second
	work := 0.0
	programs := load.Generate(d, sample, 1, 0)
	for _, p := range programs {
		work += programWork(p)
	}
	return sample.Load * float64(d.ModelWorkers) * float64(len(programs)) / work
}

// schedulePrograms generates the programs of the scenario and schedules their
// starts.
func (s *sim) schedulePrograms() {
	programs := load.Generate(s.config.Deployment, s.config.Scenario, ArrivalRate(s.config.Deployment, s.config.Scenario), s.config.Seed)
	for i, p := range programs {
		run := &program{Program: p, node: s.nodes[i%len(s.nodes)]}
		run.root = run
		s.openPrograms++
		measured := p.Start >= s.config.Scenario.Warmup
		if measured {
			s.result.Programs++
		}
		run.done = func() {
			s.openPrograms--
			s.usefulWork += run.work
			if measured {
				s.result.Completed++
				latency := time.Duration(s.now*float64(time.Second)) - p.Start
				s.recorder.Record(p, s.config.Scenario.Phase(p.Start), latency)
			}
		}
		s.at(p.Start.Seconds(), func() { s.startNextStep(run) })
	}
}
