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
	// pollSlots is the number of polls that wait for a poller. Polls that find
	// no slot are due again at the next interval.
	pollSlots = 256
	// maxSkip is the largest number of polls left out after failures in a row,
	// so that backend servers that hang do not keep all pollers busy.
	maxSkip = 8
)

// ReportsConfig holds the settings of the reports duty.
type ReportsConfig struct {
	// Interval is the time between two polls of one backend server.
	Interval time.Duration
	// Timeout bounds one poll.
	Timeout time.Duration
	// SweepInterval is the time between two memory sweeps of one backend
	// server. It must be longer than Living lags. Zero sweeps at each poll.
	SweepInterval time.Duration
	// Living reports whether a program's memory must be kept, see Sweep. It is
	// called by the reports duty. Nil turns the memory sweep off.
	Living func(program string) bool
	// Scheduled reports whether this node decides about calls for a backend
	// server now. The others are polled for the memory sweep only, so that the
	// polls of one backend server do not grow with the number of nodes. Nil
	// means all.
	Scheduled func(schedule.BackendID) bool
	// Clock is the real clock but in tests.
	Clock clockwork.Clock
}

// Reports polls the load reports and cache events of engines and sweeps their
// memory. One duty owns what is known of each backend server; poller duties do
// the blocking requests.
type Reports struct {
	config  ReportsConfig
	control *Control
	targets func() []Endpoint
	out     *ring.Ring[Observation]
	log     *slog.Logger

	polls    *ring.Ring[poll]
	answers  *ring.Ring[pollAnswer] // has room for every poll in flight
	backends map[schedule.BackendID]*backendState
}

// poll is a request to a poller duty.
type poll struct {
	endpoint Endpoint
	after    uint64
	cache    bool
	held     bool
	release  []string // programs to release; nothing is read then
}

// pollAnswer is the answer of a poller duty.
type pollAnswer struct {
	backend schedule.BackendID
	load    LoadReport
	cache   CacheLog
	held    *HeldMemory
	err     error
}

// NewReports returns the duties' state. targets returns the engines to poll;
// it is called at each interval and must not block.
func NewReports(
	transport *Transport, config ReportsConfig, targets func() []Endpoint,
	out *ring.Ring[Observation], log *slog.Logger,
) *Reports {
	return &Reports{
		config:   config,
		control:  NewControl(transport),
		targets:  targets,
		out:      out,
		log:      log,
		polls:    ring.New[poll](pollSlots),
		backends: make(map[schedule.BackendID]*backendState),
	}
}

// Start starts the reports duty and its poller duties.
func (r *Reports) Start(group *duty.Group, pollers int) {
	r.answers = ring.New[pollAnswer](pollSlots + pollers)
	group.Depth("reports", "answers", r.answers.Len)
	group.Depth("poller", "polls", r.polls.Len)
	group.Go("reports", r.run)
	for i := range pollers {
		group.Go(fmt.Sprintf("poller-%d", i), r.runPoller)
	}
}

func (r *Reports) run(ctx context.Context) error {
	ticker := r.config.Clock.NewTicker(r.config.Interval)
	defer ticker.Stop()
	r.schedulePolls()
	for {
		select {
		case <-ticker.Chan():
			r.schedulePolls()
		case <-r.answers.Ready():
			r.takeAnswers()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// schedulePolls queues a poll for each backend server that has none in flight.
func (r *Reports) schedulePolls() {
	now := r.config.Clock.Now()
	current := make(map[schedule.BackendID]*backendState)
	for _, endpoint := range r.targets() {
		state, ok := r.backends[endpoint.Name]
		if !ok {
			state = &backendState{swept: now}
		}
		state.endpoint = endpoint
		current[endpoint.Name] = state
		r.schedulePoll(now, state)
	}
	r.backends = current
}

func (r *Reports) schedulePoll(now time.Time, state *backendState) {
	if state.inFlight {
		return
	}
	if state.skip > 0 {
		state.skip--
		return
	}
	due := r.config.Living != nil && now.Sub(state.swept) >= r.config.SweepInterval
	scheduled := r.config.Scheduled == nil || r.config.Scheduled(state.endpoint.Name)
	if !scheduled && !due {
		return
	}
	if r.polls.TryPush(poll{endpoint: state.endpoint, after: state.sequence, cache: scheduled, held: due}) != nil {
		return
	}
	state.inFlight = true
	if due {
		state.swept = now
	}
}

func (r *Reports) takeAnswers() {
	for {
		answer, ok := r.answers.TryPop()
		if !ok {
			return
		}
		state, known := r.backends[answer.backend]
		if !known {
			continue // no longer declared
		}
		state.inFlight = false
		if answer.err == nil {
			state.failures, state.skip = 0, 0
		} else {
			state.failures++
			state.skip = min(state.failures-1, maxSkip)
		}
		state.observe(answer, r.emit)
		if answer.held != nil && answer.held.StartID == state.startID {
			r.sweep(state, answer.held.Programs)
		}
	}
}

func (r *Reports) sweep(state *backendState, held map[string]int64) {
	release, next := Sweep(held, r.config.Living, state.gone)
	state.gone = next
	if len(release) > 0 {
		// A full ring leaves them to the next sweep, which sees them again.
		_ = r.polls.TryPush(poll{endpoint: state.endpoint, release: release})
	}
}

// emit passes an observation on and reports whether it was taken.
func (r *Reports) emit(o Observation) bool { return r.out.TryPush(o) == nil }

// runPoller is a duty that does the blocking requests.
func (r *Reports) runPoller(ctx context.Context) error {
	for {
		p, err := r.polls.Pop(ctx)
		if err != nil {
			return err
		}
		if len(p.release) > 0 {
			r.release(ctx, p)
			continue
		}
		if err := r.answers.Push(ctx, r.read(ctx, p)); err != nil {
			return err
		}
	}
}

func (r *Reports) read(ctx context.Context, p poll) pollAnswer {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	answer := pollAnswer{backend: p.endpoint.Name}
	answer.load, answer.err = r.control.Load(ctx, p.endpoint)
	if answer.err == nil && p.cache {
		answer.cache, answer.err = r.control.CacheEvents(ctx, p.endpoint, p.after)
	}
	if answer.err == nil && p.held {
		held, err := r.control.Held(ctx, p.endpoint)
		answer.held, answer.err = &held, err
	}
	if answer.err != nil {
		answer.held = nil
	}
	return answer
}

func (r *Reports) release(ctx context.Context, p poll) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	for _, program := range p.release {
		if _, err := r.control.Release(ctx, p.endpoint, program); err != nil {
			r.log.Warn("dispatch: memory release failed, the next sweep repeats it",
				"backend", p.endpoint.Name, "program", program, "error", err)
			return
		}
	}
}
