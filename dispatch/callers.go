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

// CallerPool is a fixed pool of caller duties, each of which runs one job at a time.
type CallerPool struct {
	model   Caller
	service Caller
	control *ControlClient
	jobs    *ring.Ring[Job]
	events  *ring.Ring[Event]
	log     *slog.Logger
}

// NewCallerPool returns a pool that takes jobs from jobs and pushes their events
// onto events. The events ring must have at least two slots for each job that
// can be outstanding: stream chunks use at most half of it, so there is always
// room for a final event.
func NewCallerPool(
	transport *Transport, jobs *ring.Ring[Job], events *ring.Ring[Event], log *slog.Logger,
) *CallerPool {
	return &CallerPool{
		model:   NewModelCaller(transport),
		service: NewServiceCaller(transport),
		control: NewControlClient(transport),
		jobs:    jobs,
		events:  events,
		log:     log,
	}
}

// Start starts count caller duties. They end when the group stops, which
// cancels their jobs, or when the jobs ring is closed and empty.
func (c *CallerPool) Start(group *duty.Group, count int) {
	group.RegisterRingDepth("caller", "jobs", c.jobs.Len)
	timer := group.Timer("caller")
	for i := range count {
		group.Go(fmt.Sprintf("caller-%d", i), func(ctx context.Context) error {
			return c.run(ctx, timer)
		})
	}
}

func (c *CallerPool) run(ctx context.Context, timer duty.Timer) error {
	for {
		job, err := c.jobs.Pop(ctx)
		if errors.Is(err, ring.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		started := time.Now()
		sender := chunkSender{events: c.events, job: job}
		result := c.call(ctx, job, sender.send)
		result.Crashed = c.probeCrash(ctx, job, result)
		c.pushFinal(ctx, sender.finalEvent(result))
		timer.Observe(started)
	}
}

// call runs a job to its end. The job is cancelled by its own context, by its
// deadline and when ctx ends.
func (c *CallerPool) call(ctx context.Context, job Job, chunk func(string, int64, schedule.Timing)) Result {
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
		return resultWithoutAnswer(job, incompleteOutcome(jobContext, job, false, err), false)
	}
	switch job.Kind {
	case Model:
		return c.model.Call(jobContext, job, chunk)
	case Service:
		return c.service.Call(jobContext, job, chunk)
	}
	return resultWithoutAnswer(job, outcome.NewInvalid(outcome.Malformed, "unknown kind of job"), false)
}

// crashProbeTimeout bounds the request that checks whether a backend server
// still runs.
const crashProbeTimeout = 500 * time.Millisecond

// probeCrash reports whether a backend server crashed while it ran a job, that
// is, whether it no longer responds or its start ID has changed. It probes only
// after a model call lost its connection. A lost connection to a backend server
// that still runs is not a crash.
func (c *CallerPool) probeCrash(ctx context.Context, job Job, result Result) bool {
	if job.Kind != Model || result.Outcome.Reason != outcome.ConnectionLost {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	load, err := c.control.Load(ctx, job.Endpoint)
	return err != nil || job.StartID != "" && load.StartID != job.StartID
}

// pushFinal pushes the final event of a job. It waits if the ring is full, and
// logs the event as dropped if the duty stops meanwhile.
func (c *CallerPool) pushFinal(ctx context.Context, event Event) {
	err := c.events.TryPush(event)
	if errors.Is(err, ring.ErrFull) {
		err = c.events.Push(ctx, event)
	}
	if err != nil {
		c.log.Error("dispatch: result dropped",
			"request", event.RequestID, "outcome", event.Result.Outcome.Code, "error", err)
	}
}

// chunkSender pushes the chunks of a streamed answer. While the ring is at least
// half full it merges chunks instead of pushing them, so a slow consumer delays
// chunks but never blocks the stream. The final event carries the remaining text.
type chunkSender struct {
	events        *ring.Ring[Event]
	job           Job
	pending       string
	pendingOffset int64 // offset of pending in the answer
}

// send adds a chunk to the pending text and pushes it if the ring has room.
func (s *chunkSender) send(text string, offset int64, timing schedule.Timing) {
	if s.pending == "" {
		s.pendingOffset = offset
	}
	s.pending += text
	if s.events.Len() >= s.events.Cap()/2 {
		return
	}
	if s.events.TryPush(s.pendingEvent(timing)) == nil {
		s.pending = ""
	}
}

// finalEvent returns the job's final event with the remaining text.
func (s *chunkSender) finalEvent(result Result) Event {
	event := s.pendingEvent(result.Timing)
	event.Final, event.Result = true, result
	return event
}

// pendingEvent returns an event with the text that has not been pushed yet.
func (s *chunkSender) pendingEvent(timing schedule.Timing) Event {
	return Event{
		ID: s.job.ID, Program: s.job.Program, RequestID: s.job.RequestID,
		Attempt: s.job.Attempt, Backend: s.job.Endpoint.Name,
		Text: s.pending, Offset: s.pendingOffset, Timing: timing,
	}
}
