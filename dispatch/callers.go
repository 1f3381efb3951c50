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
		c.finish(ctx, job, c.call(ctx, job))
		timer.Observe(started)
	}
}

// call runs a job to its end.
func (c *Callers) call(ctx context.Context, job Job) Result {
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
	parts := partSender{events: c.events, job: job}
	var result Result
	switch job.Kind {
	case Model:
		result = c.model.Call(jobContext, job, parts.send)
	case Service:
		result = c.service.Call(jobContext, job, parts.send)
	default:
		return ended(job, outcome.Refuse(outcome.Malformed, "unknown kind of job"), false)
	}
	return result
}

func (c *Callers) finish(ctx context.Context, job Job, result Result) {
	event := eventOf(job)
	event.Final, event.Result, event.Timing = true, result, result.Timing
	err := c.events.TryPush(event)
	if errors.Is(err, ring.ErrFull) {
		err = c.events.Push(ctx, event)
	}
	if err != nil {
		c.log.Error("dispatch: result was dropped", "request", job.RequestID, "outcome", result.Outcome.Code, "error", err)
	}
}

// partSender pushes parts of a streamed answer. It joins parts while the ring
// is half full, so that a slow consumer delays parts and blocks nothing. What
// is left at the end is in the result's answer.
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
	event := eventOf(p.job)
	event.Text, event.Offset, event.Timing = p.held, p.offset, timing
	if p.events.TryPush(event) == nil {
		p.held = ""
	}
}

func eventOf(job Job) Event {
	return Event{
		ID: job.ID, Program: job.Program, RequestID: job.RequestID,
		Attempt: job.Attempt, Backend: job.Endpoint.Name,
	}
}
