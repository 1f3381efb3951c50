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

// Run is the configuration of a run against a target in real time.
type Run struct {
	Deployment  Deployment
	Scenario    Scenario
	Rate        float64 // programs per second outside the crest
	Seed        uint64
	Target      Target
	Environment Environment // nil when the scenario has no faults
	// TimeScale multiplies all times of the scenario: 0.1 runs it in a tenth of
	// the time. Latencies are reported in scenario time.
	TimeScale float64
	// Callers is the number of goroutines that send requests, and thereby the
	// limit on requests in flight. The wait for a free caller counts as latency.
	Callers int
	Stream  bool // whether model calls ask for streamed answers
	// Budget is the budget of a root program and ChildBudget that of a
	// sub-agent, in budget units.
	Budget, ChildBudget int64
	// StepWork returns the work of a step, in seconds of the full capacity of one
	// backend server. Goodput is not measured if it is nil.
	StepWork func(*Step) float64
	Log      *slog.Logger
	// Progress, if set, is called about once a second. The run waits for it.
	Progress func(Progress)
}

// Progress is a report on an unfinished run. Elapsed is real time; the numbers
// of programs include those of the warm-up.
type Progress struct {
	Elapsed                             time.Duration
	Started, Completed, Refused, Failed int
	InFlight                            int // requests handed to the callers
}

const (
	defaultCallers = 512
	callDeadline   = 30 * time.Second
	// retryPeriod is how long a request that did not run is retried, counted
	// from its creation.
	retryPeriod      = 60 * time.Second
	minRetryDelay    = 100 * time.Millisecond
	progressInterval = time.Second
)

// driver holds the state of a run, which only the goroutine of the event loop
// changes. The callers send requests and hand them back with their results.
type driver struct {
	Run
	began        time.Time
	timers       timerHeap
	sequence     int                         // of the last timer
	ready        *ring.Ring[*pendingRequest] // to the callers
	completed    *ring.Ring[*pendingRequest] // from the callers, with results
	backlog      []*pendingRequest           // requests that wait for a place in the ready ring
	recorder     *Recorder
	result       Result
	progress     Progress
	openPrograms int     // root programs that have neither completed nor been given up
	work         float64 // of completed programs in Scenario.Window, in seconds
	faultChanges *ring.Ring[faultChange]
	seenClasses  map[string]bool // whose system prompt some backend server has read
}

// faultChange is the beginning or the end of a fault.
type faultChange struct {
	fault Fault
	begin bool
}

type timer struct {
	at       time.Time
	sequence int // orders timers of the same time
	run      func()
}

// timerHeap implements heap.Interface, earliest timer first.
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

// Do runs the scenario until all programs have ended or ctx ends. In the latter
// case it returns the error of ctx and the results so far.
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
		ready: ring.New[*pendingRequest](r.Callers), completed: ring.New[*pendingRequest](2 * r.Callers),
		faultChanges: ring.New[faultChange](max(1, 2*len(r.Scenario.Faults))), seenClasses: map[string]bool{},
	}
	d.result = Result{
		Scenario: r.Scenario.Name, Deployment: r.Deployment.Name, Seed: r.Seed, TimeScale: r.TimeScale,
	}
	group := duty.NewGroup(ctx, r.Log, metrics.NewSet())
	for i := range r.Callers {
		group.Go(fmt.Sprintf("caller-%d", i), d.runCaller)
	}
	if r.Environment != nil {
		group.Go("faults", d.injectFaults)
	}
	d.scheduleTimers()
	err := d.eventLoop(ctx)
	group.Stop()
	d.recorder.SetQuantiles(&d.result)
	from, to := r.Scenario.Window()
	if capacity := float64(r.Deployment.ModelWorkers) * (to - from).Seconds(); capacity > 0 {
		d.result.Goodput = d.work / capacity
	}
	return d.result, err
}

// scaled converts scenario time to real time.
func (d *driver) scaled(t time.Duration) time.Duration {
	return time.Duration(float64(t) * d.TimeScale)
}

// at makes the event loop call run at the given time.
func (d *driver) at(when time.Time, run func()) {
	d.sequence++
	heap.Push(&d.timers, timer{at: when, sequence: d.sequence, run: run})
}

func (d *driver) after(wait time.Duration, run func()) { d.at(time.Now().Add(wait), run) }

// scheduleTimers sets the timers of all program starts, of the faults and of the
// first progress report.
func (d *driver) scheduleTimers() {
	for _, p := range Generate(d.Deployment, d.Scenario, d.Rate, d.Seed) {
		state := &programState{Program: p}
		state.root = state
		intended := d.began.Add(d.scaled(p.Start))
		measured := p.Start >= d.Scenario.Warmup
		d.openPrograms++
		if measured {
			d.result.Programs++
		}
		state.done = func() {
			d.openPrograms--
			d.work += state.work
			d.progress.Completed++
			if measured {
				d.result.Completed++
				latency := time.Duration(float64(time.Since(intended)) / d.TimeScale)
				d.recorder.Record(p, d.Scenario.Phase(p.Start), latency)
			}
		}
		d.at(intended, func() { d.progress.Started++; d.startProgram(state) })
	}
	for _, f := range d.Scenario.Faults {
		d.at(d.began.Add(d.scaled(f.Start)), func() { d.queueFault(f, true) })
		d.at(d.began.Add(d.scaled(f.End)), func() { d.queueFault(f, false) })
	}
	if d.Progress != nil {
		d.after(progressInterval, d.reportProgress)
	}
}

// queueFault passes the beginning or end of a fault to the goroutine that injects
// faults, because stopping a node takes longer than the event loop may block.
func (d *driver) queueFault(f Fault, begin bool) {
	if d.Environment != nil {
		_ = d.faultChanges.TryPush(faultChange{f, begin}) // never full: it has room for all of them
	}
}

// injectFaults begins and ends faults until ctx ends.
func (d *driver) injectFaults(ctx context.Context) error {
	for {
		c, err := d.faultChanges.Pop(ctx)
		if err != nil {
			return err
		}
		if err := c.fault.apply(ctx, d.Environment, c.begin); err != nil {
			d.Log.Error("load: fault not applied", "kind", c.fault.Kind, "index", c.fault.Index, "error", err)
		}
	}
}

// reportProgress calls Progress and sets the timer for the next report.
func (d *driver) reportProgress() {
	d.progress.Elapsed = time.Since(d.began)
	d.Progress(d.progress)
	d.after(progressInterval, d.reportProgress)
}

// eventLoop runs due timers, handles results and hands out requests until all
// programs have ended or ctx ends.
func (d *driver) eventLoop(ctx context.Context) error {
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for {
		for len(d.timers) > 0 && !time.Now().Before(d.timers[0].at) {
			heap.Pop(&d.timers).(timer).run()
		}
		for request, ok := d.completed.TryPop(); ok; request, ok = d.completed.TryPop() {
			d.progress.InFlight--
			d.handleResult(request)
		}
		for len(d.backlog) > 0 && d.ready.TryPush(d.backlog[0]) == nil {
			d.backlog = d.backlog[1:]
			d.progress.InFlight++
		}
		if d.openPrograms == 0 && len(d.backlog) == 0 && d.progress.InFlight == 0 {
			return nil
		}
		wait := time.Hour
		if len(d.timers) > 0 {
			wait = time.Until(d.timers[0].at)
		}
		wakeup.Reset(wait)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wakeup.C:
		case <-d.completed.Ready():
		}
	}
}
