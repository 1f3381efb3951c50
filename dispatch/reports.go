package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/duty"
	"dogwoodline.example/ring"
	"dogwoodline.example/schedule"
)

const (
	// taskQueueSize is the number of tasks that can wait for a poller. Polls that
	// find the queue full are tried again at the next interval.
	taskQueueSize = 256
	// maxSkippedPolls is the largest number of polls skipped after consecutive
	// failures, so that hanging backend servers do not occupy all pollers.
	maxSkippedPolls = 8
)

// PollerConfig holds the settings of the reports duty.
type PollerConfig struct {
	// Interval is the time between polls of one backend server.
	Interval time.Duration
	// Timeout bounds one poll.
	Timeout time.Duration
	// SweepInterval is the time between memory sweeps of one backend server. It
	// must be longer than the delay with which IsLive learns of new programs.
	// Zero sweeps at each poll.
	SweepInterval time.Duration
	// IsLive reports whether a program's memory must be kept, see ProgramsToRelease. The
	// reports duty calls it. Nil turns memory sweeps off.
	IsLive func(program string) bool
	// SchedulesBackend reports whether this node currently schedules the calls of a
	// backend server. The others are polled for memory sweeps only, so that the
	// number of polls of one backend server does not grow with the number of
	// nodes. Nil means all.
	SchedulesBackend func(schedule.BackendID) bool
	// Clock is replaced in tests.
	Clock clockwork.Clock
}

// Poller polls the load reports and cache events of engines, and releases the
// memory that ended programs still hold on them. One duty owns the state of all
// backend servers; poller duties make the blocking requests.
type Poller struct {
	config       PollerConfig
	control      *ControlClient
	targets      func() []Endpoint
	observations *ring.Ring[Observation]
	log          *slog.Logger

	tasks    *ring.Ring[pollerTask]
	results  *ring.Ring[pollResult] // has room for every poll in flight
	backends map[schedule.BackendID]*backendState
}

// pollerTask is a poll or a memory release for a poller duty.
type pollerTask struct {
	endpoint         Endpoint
	cacheEventsAfter uint64
	readCacheEvents  bool
	readHeld         bool
	release          []string // programs to release; if set, nothing is read
}

// pollResult is what a poller duty read in one poll.
type pollResult struct {
	backend schedule.BackendID
	load    LoadReport
	cache   CacheLog
	held    *HeldMemory
	err     error
}

// NewPoller returns a Poller that pushes what it learns onto observations.
// targets returns the engines to poll; it is called at each interval and must
// not block.
func NewPoller(
	transport *Transport, config PollerConfig, targets func() []Endpoint,
	observations *ring.Ring[Observation], log *slog.Logger,
) *Poller {
	return &Poller{
		config:       config,
		control:      NewControlClient(transport),
		targets:      targets,
		observations: observations,
		log:          log,
		tasks:        ring.New[pollerTask](taskQueueSize),
		backends:     make(map[schedule.BackendID]*backendState),
	}
}

// Start starts the reports duty and the given number of poller duties.
func (r *Poller) Start(group *duty.Group, pollers int) {
	r.results = ring.New[pollResult](taskQueueSize + pollers)
	group.RegisterRingDepth("reports", "answers", r.results.Len)
	group.RegisterRingDepth("poller", "polls", r.tasks.Len)
	group.Go("reports", r.run)
	for i := range pollers {
		group.Go(fmt.Sprintf("poller-%d", i), r.runPoller)
	}
}

func (r *Poller) run(ctx context.Context) error {
	ticker := r.config.Clock.NewTicker(r.config.Interval)
	defer ticker.Stop()
	r.queuePolls()
	for {
		select {
		case <-ticker.Chan():
			r.queuePolls()
		case <-r.results.Ready():
			r.handleResults()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// queuePolls queues a poll for each backend server that has none in flight.
func (r *Poller) queuePolls() {
	now := r.config.Clock.Now()
	current := make(map[schedule.BackendID]*backendState)
	for _, endpoint := range r.targets() {
		state, ok := r.backends[endpoint.Name]
		if !ok {
			state = &backendState{lastSweep: now}
		}
		state.endpoint = endpoint
		current[endpoint.Name] = state
		r.queuePoll(now, state)
	}
	r.backends = current
}

// queuePoll queues a poll of one backend server, unless one is in flight, polls
// are being skipped after failures, or there is nothing to read.
func (r *Poller) queuePoll(now time.Time, state *backendState) {
	if state.inFlight {
		return
	}
	if state.pollsToSkip > 0 {
		state.pollsToSkip--
		return
	}
	sweepDue := r.config.IsLive != nil && now.Sub(state.lastSweep) >= r.config.SweepInterval
	scheduled := r.config.SchedulesBackend == nil || r.config.SchedulesBackend(state.endpoint.Name)
	if !scheduled && !sweepDue {
		return
	}
	if r.tasks.TryPush(pollerTask{
		endpoint: state.endpoint, cacheEventsAfter: state.lastSequence, readCacheEvents: scheduled, readHeld: sweepDue,
	}) != nil {
		return
	}
	state.inFlight = true
	if sweepDue {
		state.lastSweep = now
	}
}

// handleResults handles all poll results that are waiting.
func (r *Poller) handleResults() {
	for {
		result, ok := r.results.TryPop()
		if !ok {
			return
		}
		state, known := r.backends[result.backend]
		if !known {
			continue // no longer a target
		}
		state.inFlight = false
		if result.err == nil {
			state.failures, state.pollsToSkip = 0, 0
		} else {
			state.failures++
			state.pollsToSkip = min(state.failures-1, maxSkippedPolls)
		}
		state.observe(result, r.emit)
		if result.held != nil && result.held.StartID == state.startID {
			r.sweep(state, result.held.Programs)
		}
	}
}

// sweep queues the release of the memory that ended programs hold.
func (r *Poller) sweep(state *backendState, held map[string]int64) {
	release, next := ProgramsToRelease(held, r.config.IsLive, state.releaseCandidates)
	state.releaseCandidates = next
	if len(release) > 0 {
		// If the queue is full, the next sweep finds the same programs again.
		_ = r.tasks.TryPush(pollerTask{endpoint: state.endpoint, release: release})
	}
}

// emit pushes an observation and reports whether the ring had room for it.
func (r *Poller) emit(o Observation) bool { return r.observations.TryPush(o) == nil }

// runPoller is the duty that makes the blocking requests.
func (r *Poller) runPoller(ctx context.Context) error {
	for {
		task, err := r.tasks.Pop(ctx)
		if err != nil {
			return err
		}
		if len(task.release) > 0 {
			r.release(ctx, task)
			continue
		}
		if err := r.results.Push(ctx, r.poll(ctx, task)); err != nil {
			return err
		}
	}
}

// poll reads what a task asks for. The first error ends it.
func (r *Poller) poll(ctx context.Context, task pollerTask) pollResult {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	result := pollResult{backend: task.endpoint.Name}
	result.load, result.err = r.control.Load(ctx, task.endpoint)
	if result.err == nil && task.readCacheEvents {
		result.cache, result.err = r.control.CacheEvents(ctx, task.endpoint, task.cacheEventsAfter)
	}
	if result.err == nil && task.readHeld {
		held, err := r.control.Held(ctx, task.endpoint)
		result.held, result.err = &held, err
	}
	if result.err != nil {
		result.held = nil
	}
	return result
}

// release releases the memory of the programs of a task.
func (r *Poller) release(ctx context.Context, task pollerTask) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	for _, program := range task.release {
		if _, err := r.control.Release(ctx, task.endpoint, program); err != nil {
			r.log.Warn("dispatch: memory release failed, retrying at the next sweep",
				"backend", task.endpoint.Name, "program", program, "error", err)
			return
		}
	}
}
