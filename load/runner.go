package load

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/duty"
	"dogwoodline.example/outcome"
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
	Budget  int64
	Log     *slog.Logger
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
}

type liveProgram struct {
	*Program
	root    *liveProgram
	next    int
	history int
	ran     bool // a call of it or of its children ran
	done    func()
}

type liveCall struct {
	program *liveProgram
	step    *Step
	request CallRequest
	since   time.Time
	result  CallResult
	err     error
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
	}
	d.result = Result{
		Scenario: r.Scenario.Name, Deployment: r.Deployment.Name, Seed: r.Seed, TimeScale: r.TimeScale,
	}
	group := duty.NewGroup(ctx, r.Log, metrics.NewSet())
	for i := range r.Callers {
		group.Go(fmt.Sprintf("caller-%d", i), d.carry)
	}
	d.plan(ctx)
	err := d.drive(ctx)
	group.Stop()
	d.recorder.Fill(&d.result)
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

func (d *driver) plan(ctx context.Context) {
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
			d.progress.Completed++
			if measured {
				d.result.Completed++
				latency := time.Duration(float64(time.Since(intended)) / d.TimeScale)
				d.recorder.Record(p, d.Scenario.Phase(p.Start), latency)
			}
		}
		d.at(intended, func() { d.progress.Started++; d.step(live) })
	}
	for _, f := range d.Scenario.Faults {
		d.at(d.began.Add(d.scaled(f.Start)), func() { d.fault(ctx, f, true) })
		d.at(d.began.Add(d.scaled(f.End)), func() { d.fault(ctx, f, false) })
	}
	if d.Progress != nil {
		d.after(progressEvery, d.showProgress)
	}
}

// fault is applied by the driver, since an environment answers at once.
func (d *driver) fault(ctx context.Context, f Fault, begin bool) {
	if d.Environment == nil {
		return
	}
	if err := f.apply(ctx, d.Environment, begin); err != nil {
		d.Log.Error("load: fault not applied", "kind", f.Kind, "index", f.Index, "error", err)
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

// step starts the next step of a program or ends the program.
func (d *driver) step(p *liveProgram) {
	if p.next == len(p.Steps) {
		d.backlog = append(d.backlog, &liveCall{program: p})
		p.done()
		return
	}
	step := &p.Steps[p.next]
	p.next++
	waiting := 1 + len(step.Children)
	arrive := func() {
		waiting--
		if waiting == 0 {
			call := &liveCall{program: p, step: step, since: time.Now(), request: p.request(step)}
			call.request.DeadlineMS = max(d.scaled(callDeadline).Milliseconds(), 1)
			call.request.Stream = d.Stream && step.Kind == Model
			d.backlog = append(d.backlog, call)
		}
	}
	d.after(d.scaled(step.Pause), arrive)
	for _, c := range step.Children {
		child := &liveProgram{Program: c, root: p.root, done: arrive}
		d.step(child)
	}
}

// request builds the call of a step. The target keeps the history, so the
// body holds only what is new.
func (p *liveProgram) request(step *Step) CallRequest {
	if p.history == 0 {
		p.history = p.SystemTokens
	}
	p.history += step.InputTokens
	r := CallRequest{
		Program: p.ID, RequestID: fmt.Sprintf("%s-%d", p.ID, p.next), Order: p.next, Kind: step.Kind,
		Service: step.Service, Operation: step.Operation,
	}
	text := strings.Repeat("word ", max(step.InputTokens, 1))
	r.Body = fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}]}`, text)
	if step.Kind == Model {
		r.MaxTokens, r.PromptTokens = step.OutputTokens, p.history
		p.history += step.OutputTokens
	}
	return r
}

// carry is the duty of a caller: it does one call after the other. A call
// without a step ends its program.
func (d *driver) carry(ctx context.Context) error {
	for {
		call, err := d.ready.Pop(ctx)
		if err != nil {
			return err
		}
		call.err = d.exchange(ctx, call)
		if err := d.completed.Push(ctx, call); err != nil {
			return err
		}
	}
}

func (d *driver) exchange(ctx context.Context, c *liveCall) error {
	p := c.program
	if c.step == nil {
		return d.Target.EndProgram(ctx, p.ID)
	}
	if c.request.Order == 1 {
		start := ProgramStart{ID: p.ID, Tenant: p.Tenant, Class: p.Class, Parent: p.Parent, Budget: d.Budget}
		started, err := d.Target.StartProgram(ctx, start)
		if err != nil || started.Code != outcome.Completed {
			c.result = CallResult{Outcome: started}
			return err
		}
	}
	var err error
	c.result, err = d.Target.Call(ctx, c.request)
	return err
}

// ended takes the result of a call. Calls that did not run, or whose answer
// was lost, are sent again with the same request id.
func (d *driver) ended(c *liveCall) {
	if c.step == nil {
		return
	}
	p, code := c.program, c.result.Outcome.Code
	switch {
	case c.err == nil && code == outcome.Completed:
		p.root.ran = true
		d.step(p)
	case c.err == nil && code == outcome.NotRun && !p.root.ran && p == p.root:
		d.end(p.root, &d.result.Refused, &d.progress.Refused)
	case (c.err != nil || code == outcome.NotRun) && time.Since(c.since) < d.scaled(patience):
		wait := time.Duration(c.result.Outcome.RetryAfterMS) * time.Millisecond
		d.after(max(wait, d.scaled(minRetryAfter)), func() { d.backlog = append(d.backlog, c) })
	default:
		d.end(p.root, &d.result.Failed, &d.progress.Failed)
	}
}

// end gives a program up; late calls of its children change nothing more.
func (d *driver) end(root *liveProgram, result, progress *int) {
	if root.next < 0 {
		return
	}
	root.next, root.done = -1, func() {}
	d.open--
	d.backlog = append(d.backlog, &liveCall{program: root})
	*progress++
	if root.Start >= d.Scenario.Warmup {
		*result++
	}
}
