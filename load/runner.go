package load

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/duty"
	"dogwoodline.example/ring"
)

// Run configures a run against a target in real time.
type Run struct {
	Deployment  Deployment
	Scenario    Scenario
	Rate        float64 // programs per second at calm demand
	Seed        uint64
	Target      Target
	Environment Environment // nil when the scenario has no faults
	// TimeScale multiplies all times of the scenario: 0.1 runs it in a tenth
	// of the time. Latencies are reported at the scale of the scenario.
	TimeScale float64
	// Callers bounds the calls in flight. The wait for a free caller counts
	// as latency.
	Callers int
	Stream  bool
	// Budget is that of a program, ChildBudget that of a sub-agent, in budget
	// units.
	Budget, ChildBudget int64
	// Work is the part of a backend server's capacity that a step needs, in
	// seconds of it. Goodput is not measured without it.
	Work func(*Step) float64
	Log  *slog.Logger
	// Progress is called about once a second from the driver, if set.
	Progress func(Progress)
}

// Progress is a short report of a run that goes on.
type Progress struct {
	Elapsed                             time.Duration
	Started, Completed, Refused, Failed int
	InFlight                            int
}

const (
	defaultCallers = 512
	callDeadline   = 30 * time.Second
	// patience is how long a call that did not run is sent again.
	patience      = 60 * time.Second
	minRetryAfter = 100 * time.Millisecond
	progressEvery = time.Second
)

// driver owns all state of a run. The callers only carry calls.
type driver struct {
	Run
	began     time.Time
	timers    timerHeap
	sequence  int
	ready     *ring.Ring[*liveCall]
	completed *ring.Ring[*liveCall]
	backlog   []*liveCall // ready calls beyond the ring
	recorder  *Recorder
	result    Result
	progress  Progress
	open      int
	work      float64 // of completed programs in the measured window, in seconds
	faults    *ring.Ring[change]
	classes   map[string]bool // whose system prompt a backend server has read
}

// change begins or ends a fault.
type change struct {
	fault Fault
	begin bool
}

type timer struct {
	at       time.Time
	sequence int
	run      func()
}

type timerHeap []timer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Do runs the scenario until all programs ended or the context ends. It
// returns the context's error together with the figures so far.
func (r Run) Do(ctx context.Context) (Result, error) {
	if r.TimeScale <= 0 {
		r.TimeScale = 1
	}
	if r.Callers <= 0 {
		r.Callers = defaultCallers
	}
	if r.Log == nil {
		r.Log = slog.Default()
	}
	d := &driver{
		Run: r, began: time.Now(), recorder: NewRecorder(),
		ready: ring.New[*liveCall](r.Callers), completed: ring.New[*liveCall](2 * r.Callers),
		faults: ring.New[change](max(1, 2*len(r.Scenario.Faults))), classes: map[string]bool{},
	}
	d.result = Result{
		Scenario: r.Scenario.Name, Deployment: r.Deployment.Name, Seed: r.Seed, TimeScale: r.TimeScale,
	}
	group := duty.NewGroup(ctx, r.Log, metrics.NewSet())
	for i := range r.Callers {
		group.Go(fmt.Sprintf("caller-%d", i), d.carry)
	}
	if r.Environment != nil {
		group.Go("faults", d.inject)
	}
	d.plan()
	err := d.drive(ctx)
	group.Stop()
	d.recorder.Fill(&d.result)
	from, to := r.Scenario.Window()
	if capacity := float64(r.Deployment.ModelWorkers) * (to - from).Seconds(); capacity > 0 {
		d.result.Goodput = d.work / capacity
	}
	return d.result, err
}

func (d *driver) scaled(t time.Duration) time.Duration {
	return time.Duration(float64(t) * d.TimeScale)
}

func (d *driver) at(when time.Time, run func()) {
	d.sequence++
	heap.Push(&d.timers, timer{at: when, sequence: d.sequence, run: run})
}

func (d *driver) after(wait time.Duration, run func()) { d.at(time.Now().Add(wait), run) }

func (d *driver) plan() {
	for _, p := range Generate(d.Deployment, d.Scenario, d.Rate, d.Seed) {
		live := &liveProgram{Program: p}
		live.root = live
		intended := d.began.Add(d.scaled(p.Start))
		measured := p.Start >= d.Scenario.Warmup
		d.open++
		if measured {
			d.result.Programs++
		}
		live.done = func() {
			d.open--
			d.work += live.work
			d.progress.Completed++
			if measured {
				d.result.Completed++
				latency := time.Duration(float64(time.Since(intended)) / d.TimeScale)
				d.recorder.Record(p, d.Scenario.Phase(p.Start), latency)
			}
		}
		d.at(intended, func() { d.progress.Started++; d.start(live) })
	}
	for _, f := range d.Scenario.Faults {
		d.at(d.began.Add(d.scaled(f.Start)), func() { d.fault(f, true) })
		d.at(d.began.Add(d.scaled(f.End)), func() { d.fault(f, false) })
	}
	if d.Progress != nil {
		d.after(progressEvery, d.showProgress)
	}
}

// fault hands a change to the duty that injects faults, since stopping a node
// takes longer than the driver may wait.
func (d *driver) fault(f Fault, begin bool) {
	if d.Environment != nil {
		_ = d.faults.TryPush(change{f, begin}) // the ring holds all of them
	}
}

// inject is the duty that applies faults.
func (d *driver) inject(ctx context.Context) error {
	for {
		c, err := d.faults.Pop(ctx)
		if err != nil {
			return err
		}
		if err := c.fault.apply(ctx, d.Environment, c.begin); err != nil {
			d.Log.Error("load: fault not applied", "kind", c.fault.Kind, "index", c.fault.Index, "error", err)
		}
	}
}

func (d *driver) showProgress() {
	d.progress.Elapsed = time.Since(d.began)
	d.Progress(d.progress)
	d.after(progressEvery, d.showProgress)
}

func (d *driver) drive(ctx context.Context) error {
	clock := time.NewTimer(0)
	defer clock.Stop()
	for {
		for len(d.timers) > 0 && !time.Now().Before(d.timers[0].at) {
			heap.Pop(&d.timers).(timer).run()
		}
		for call, ok := d.completed.TryPop(); ok; call, ok = d.completed.TryPop() {
			d.progress.InFlight--
			d.ended(call)
		}
		for len(d.backlog) > 0 && d.ready.TryPush(d.backlog[0]) == nil {
			d.backlog = d.backlog[1:]
			d.progress.InFlight++
		}
		if d.open == 0 && len(d.backlog) == 0 && d.progress.InFlight == 0 {
			return nil
		}
		wait := time.Hour
		if len(d.timers) > 0 {
			wait = time.Until(d.timers[0].at)
		}
		clock.Reset(wait)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-clock.C:
		case <-d.completed.Ready():
		}
	}
}
