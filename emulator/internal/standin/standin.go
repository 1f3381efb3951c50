// Package standin is the server framework of the stand-ins for external
// systems. One worker goroutine owns the state of a stand-in and another one
// owns its listener, so that a simulated crash can drop all connections. HTTP
// handlers reach the state through rings, which are bounded queues.
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
	// clientQueueSize is the maximum number of decoded client requests that
	// wait for the state worker.
	clientQueueSize = 4096
	// adminQueueSize is the maximum number of admin steps that wait for the
	// state worker.
	adminQueueSize = 64
)

// State is the state machine of a stand-in. It gets the time as an argument
// and does no I/O.
type State interface {
	// Advance applies everything that is due until now.
	Advance(now time.Time)
	// NextWake returns the time from now until Advance must be called again.
	NextWake(now time.Time) time.Duration
	// Hung reports whether the stand-in simulates a hang. Client steps stay
	// in their queue while it does.
	Hung() bool
	// Crashes returns the ring to which the state pushes each crash. After a
	// crash the state does not crash again before Start.
	Crashes() *ring.Ring[struct{}]
	// Restart resets the state to that of a process restarted after a crash.
	Restart(now time.Time)
}

// Step is a function that the worker that owns the state runs on it.
type Step[S State] func(state S, now time.Time)

// Server is a running stand-in.
type Server[S State] struct {
	state        S
	clientSteps  *ring.Ring[Step[S]] // from clients, not consumed while the state hangs
	adminSteps   *ring.Ring[Step[S]] // from Apply and the listener worker
	restartDelay time.Duration
	credential   string
	listener     *listener
	duties       *duty.Group
}

// Config holds the settings of a Server.
type Config struct {
	// Name identifies the stand-in in log lines.
	Name string
	// Address is the host and port to listen on. When it is empty, a free
	// port of 127.0.0.1 is used.
	Address string
	// Credential is the bearer token that clients must send, empty for none.
	Credential string
	// RestartDelay is the time between a crash and the restart.
	RestartDelay time.Duration
}

// Start serves the routes and starts the workers, which run until ctx is done
// or Close is called. It fails if it cannot listen on the address.
func Start[S State](ctx context.Context, config Config, state S, routes func(*Server[S]) Routes) (*Server[S], error) {
	s := &Server[S]{
		state:        state,
		clientSteps:  ring.New[Step[S]](clientQueueSize),
		adminSteps:   ring.New[Step[S]](adminQueueSize),
		restartDelay: config.RestartDelay,
		credential:   config.Credential,
		duties:       duty.NewGroup(ctx, slog.Default().With("standin", config.Name), metrics.NewSet()),
	}
	var err error
	if s.listener, err = listen(config.Address, s.handler(routes(s))); err != nil {
		return nil, err
	}
	s.duties.Go("state", s.runState)
	s.duties.Go("listener", s.runListener)
	return s, nil
}

// Address returns the host and port on which the stand-in listens.
func (s *Server[S]) Address() string { return s.listener.address }

// URL returns the base URL of the stand-in.
func (s *Server[S]) URL() string { return "http://" + s.Address() }

// Close stops the workers and closes all connections.
func (s *Server[S]) Close() {
	s.duties.Stop()
	s.listener.close()
}

// Submit queues a client's step for the state worker. It fails if the queue is
// full.
func (s *Server[S]) Submit(step Step[S]) error { return s.clientSteps.TryPush(step) }

// Apply runs change on the state and waits until it has returned. Unlike
// client steps, it also runs while the state hangs.
func (s *Server[S]) Apply(ctx context.Context, change Step[S]) error {
	reply := ring.New[struct{}](1)
	step := func(state S, now time.Time) {
		change(state, now)
		_ = reply.TryPush(struct{}{}) // never full: one slot for the one reply
	}
	if err := s.adminSteps.TryPush(step); err != nil {
		return Error.Wrap(err)
	}
	_, err := reply.Pop(ctx)
	return Error.Wrap(err)
}

// runState is the worker that owns the state.
func (s *Server[S]) runState(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		s.state.Advance(now)
		s.runSteps(s.adminSteps, now)
		clientReady := s.clientSteps.Ready()
		if s.state.Hung() {
			clientReady = nil
		} else {
			s.runSteps(s.clientSteps, now)
			s.state.Advance(now)
		}
		timer.Reset(s.state.NextWake(now))
		select {
		case <-timer.C:
		case <-clientReady:
		case <-s.adminSteps.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server[S]) runSteps(steps *ring.Ring[Step[S]], now time.Time) {
	for {
		step, ok := steps.TryPop()
		if !ok {
			return
		}
		step(s.state, now)
	}
}

// runListener is the worker that owns the listener. After each crash of the
// state it restarts the listener and then the state.
func (s *Server[S]) runListener(ctx context.Context) error {
	crashes := s.state.Crashes()
	for {
		if _, err := crashes.Pop(ctx); err != nil {
			return err
		}
		if err := s.listener.restart(ctx, s.restartDelay); err != nil {
			return err
		}
		start := func(state S, now time.Time) { state.Restart(now) }
		if err := s.adminSteps.Push(ctx, start); err != nil {
			return err
		}
	}
}
