// Package standin holds what the stand-ins of outside systems share: a state
// that one duty owns, a listener that another duty owns, so that a crash can
// drop all connections, and the rings between handlers and the state.
package standin

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"dogwoodline.example/duty"
	"dogwoodline.example/ring"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin")

const (
	// inboxSlots is the number of decoded requests that wait for the state.
	inboxSlots = 4096
	// adminSlots is the number of switch changes that wait for the state.
	adminSlots = 64
)

// State is the state of a stand-in. Time is passed in and it does no I/O.
type State interface {
	// Advance moves the state to now.
	Advance(now time.Time)
	// Wake returns the time from now until Advance has something to do.
	Wake(now time.Time) time.Duration
	// Hung states are not asked by clients.
	Hung() bool
	// Crashes returns the ring onto which the state pushes each crash. It
	// crashes again only after Start.
	Crashes() *ring.Ring[struct{}]
	// Start gives the state of a new process after a crash.
	Start(now time.Time)
}

// Step is a message to the duty that owns the state.
type Step[S State] func(state S, now time.Time)

// Server is a running stand-in.
type Server[S State] struct {
	state      S
	inbox      *ring.Ring[Step[S]] // from clients, not read while the state hangs
	admin      *ring.Ring[Step[S]] // from switches and the listener duty
	delay      time.Duration
	credential string
	listener   *listener
	duties     *duty.Group
}

// Config holds the settings of a Server.
type Config struct {
	// Name appears in log lines.
	Name string
	// Address is the loopback address, empty for a free port.
	Address string
	// Credential is the bearer token that clients must send, empty for none.
	Credential string
	// RestartDelay is the time between a crash and the next start.
	RestartDelay time.Duration
}

// Start serves the routes and starts the duties. They end with ctx or Close.
// The error tells that the address is not free.
func Start[S State](ctx context.Context, config Config, state S, routes func(*Server[S]) Routes) (*Server[S], error) {
	s := &Server[S]{
		state:      state,
		inbox:      ring.New[Step[S]](inboxSlots),
		admin:      ring.New[Step[S]](adminSlots),
		delay:      config.RestartDelay,
		credential: config.Credential,
		duties:     duty.NewGroup(ctx, slog.Default().With("standin", config.Name), metrics.NewSet()),
	}
	var err error
	if s.listener, err = listen(config.Address, s.handler(routes(s))); err != nil {
		return nil, err
	}
	s.duties.Go("state", s.runState)
	s.duties.Go("listener", s.runListener)
	return s, nil
}

// Address returns host and port.
func (s *Server[S]) Address() string { return s.listener.address }

// URL returns the base URL.
func (s *Server[S]) URL() string { return "http://" + s.Address() }

// Close stops the duties and drops all connections.
func (s *Server[S]) Close() {
	s.duties.Stop()
	s.listener.close()
}

// Push passes a client's step to the state. The error tells that too many
// wait.
func (s *Server[S]) Push(step Step[S]) error { return s.inbox.TryPush(step) }

// Switch changes the state and waits until the change is in force, also while
// the state hangs.
func (s *Server[S]) Switch(ctx context.Context, change Step[S]) error {
	reply := ring.New[struct{}](1)
	step := func(state S, now time.Time) {
		change(state, now)
		_ = reply.TryPush(struct{}{}) // one slot for one answer
	}
	if err := s.admin.TryPush(step); err != nil {
		return Error.Wrap(err)
	}
	_, err := reply.Pop(ctx)
	return Error.Wrap(err)
}

// runState is the duty that owns the state.
func (s *Server[S]) runState(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		s.state.Advance(now)
		s.drain(s.admin, now)
		inbox := s.inbox.Ready()
		if s.state.Hung() {
			inbox = nil
		} else {
			s.drain(s.inbox, now)
			s.state.Advance(now)
		}
		timer.Reset(s.state.Wake(now))
		select {
		case <-timer.C:
		case <-inbox:
		case <-s.admin.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server[S]) drain(from *ring.Ring[Step[S]], now time.Time) {
	for {
		step, ok := from.TryPop()
		if !ok {
			return
		}
		step(s.state, now)
	}
}

// runListener is the duty that drops and renews the listener after a crash.
func (s *Server[S]) runListener(ctx context.Context) error {
	crashes := s.state.Crashes()
	for {
		if _, err := crashes.Pop(ctx); err != nil {
			return err
		}
		if err := s.listener.crash(ctx, s.delay); err != nil {
			return err
		}
		start := func(state S, now time.Time) { state.Start(now) }
		if err := s.admin.Push(ctx, start); err != nil {
			return err
		}
	}
}
