package dispatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"dogwoodline.example/duty"
	"dogwoodline.example/outcome"
	"dogwoodline.example/ring"
	"dogwoodline.example/schedule"
)

// Callers is a fixed pool of caller duties. Each runs one job at a time.
type Callers struct {
	model   Caller
	service Caller
	control *Control
	jobs    *ring.Ring[Job]
	events  *ring.Ring[Event]
	log     *slog.Logger
}

// NewCallers returns a pool that takes jobs from one ring and pushes events
// onto the other. The ring of events must have at least two slots for each job
// that can be outstanding: parts of streams use no more than half of it, so
// that a final event always finds room.
func NewCallers(
	transport *Transport, jobs *ring.Ring[Job], events *ring.Ring[Event], log *slog.Logger,
) *Callers {
	return &Callers{
		model:   NewModelCaller(transport),
		service: NewServiceCaller(transport),
		control: NewControl(transport),
		jobs:    jobs,
		events:  events,
		log:     log,
	}
}

// Start starts the caller duties. They end when the group stops, which cancels
// their jobs, or when the ring of jobs is closed and drained.
func (c *Callers) Start(group *duty.Group, count int) {
	group.Depth("caller", "jobs", c.jobs.Len)
	timer := group.Timer("caller")
	for i := range count {
		group.Go(fmt.Sprintf("caller-%d", i), func(ctx context.Context) error {
			return c.run(ctx, timer)
		})
	}
}

func (c *Callers) run(ctx context.Context, timer duty.Timer) error {
	for {
		job, err := c.jobs.Pop(ctx)
		if errors.Is(err, ring.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		started := time.Now()
		parts := partSender{events: c.events, job: job}
		result := c.call(ctx, job, parts.send)
		result.Crashed = c.crashed(ctx, job, result)
		c.finish(ctx, parts.last(result))
		timer.Observe(started)
	}
}

// call runs a job to its end.
func (c *Callers) call(ctx context.Context, job Job, part func(string, int64, schedule.Timing)) Result {
	parent := job.Context
	if parent == nil {
		parent = context.Background()
	}
	jobContext, cancel := context.WithCancel(parent)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	if !job.Deadline.IsZero() {
		var stop context.CancelFunc
		jobContext, stop = context.WithDeadline(jobContext, job.Deadline)
		defer stop()
	}
	if err := jobContext.Err(); err != nil {
		return ended(job, broken(jobContext, job, false, err), false)
	}
	switch job.Kind {
	case Model:
		return c.model.Call(jobContext, job, part)
	case Service:
		return c.service.Call(jobContext, job, part)
	}
	return ended(job, outcome.NewInvalid(outcome.Malformed, "unknown kind of job"), false)
}

// crashProbe bounds the question whether a backend server still runs.
const crashProbe = 500 * time.Millisecond

// crashed looks for evidence that a backend server crashed under a job: it does
// not answer, or its start id changed. A connection that broke while the
// backend server runs on is no crash.
func (c *Callers) crashed(ctx context.Context, job Job, result Result) bool {
	if job.Kind != Model || result.Outcome.Reason != outcome.ConnectionLost {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbe)
	defer cancel()
	load, err := c.control.Load(ctx, job.Endpoint)
	return err != nil || job.StartID != "" && load.StartID != job.StartID
}

func (c *Callers) finish(ctx context.Context, event Event) {
	err := c.events.TryPush(event)
	if errors.Is(err, ring.ErrFull) {
		err = c.events.Push(ctx, event)
	}
	if err != nil {
		c.log.Error("dispatch: result was dropped",
			"request", event.RequestID, "outcome", event.Result.Outcome.Code, "error", err)
	}
}

// partSender pushes parts of a streamed answer. It joins parts while the ring
// is half full, so that a slow consumer delays parts and blocks nothing. The
// final event carries what is left.
type partSender struct {
	events *ring.Ring[Event]
	job    Job
	held   string
	offset int64 // of the held text
}

func (p *partSender) send(text string, offset int64, timing schedule.Timing) {
	if p.held == "" {
		p.offset = offset
	}
	p.held += text
	if p.events.Len() >= p.events.Cap()/2 {
		return
	}
	if p.events.TryPush(p.event(timing)) == nil {
		p.held = ""
	}
}

// last returns the final event.
func (p *partSender) last(result Result) Event {
	event := p.event(result.Timing)
	event.Final, event.Result = true, result
	return event
}

func (p *partSender) event(timing schedule.Timing) Event {
	return Event{
		ID: p.job.ID, Program: p.job.Program, RequestID: p.job.RequestID,
		Attempt: p.job.Attempt, Backend: p.job.Endpoint.Name,
		Text: p.held, Offset: p.offset, Timing: timing,
	}
}
