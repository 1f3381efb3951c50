// Package service is a small stand-in of a plain service with a ledger. It
// records every effect, so that a doubled or a lost one shows, and has
// switches for faults.
//
// One duty owns the ledger. Handlers decode a request, push a message onto a
// ring and wait for the answer on a ring of their own. A second duty owns the
// listener, so that a crash can drop all connections.
package service

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/internal/restart"
	"dogwoodline.example/ring"
)

// Error is the class of all errors of this package.
var Error = errs.Class("service")

const (
	// inboxSlots is the number of decoded requests that wait for the ledger.
	inboxSlots = 1024
	// adminSlots is the number of switch changes that wait for the ledger.
	adminSlots = 64
)

// Config holds the settings of a service.
type Config struct {
	Name string
	// Address is the loopback address, empty for a free port.
	Address string
	// Credential is the bearer token that callers must send, empty for none.
	Credential string
	// Lookup offers GET /requests/{id}.
	Lookup bool
	// RestartDelay is the time between a crash and the next start. The ledger
	// survives a crash.
	RestartDelay time.Duration
}

// Switches are the settings that the admin endpoint changes at run time. Nil
// fields stay as they are.
type Switches struct {
	// Hang holds all requests until it is switched off. They run then.
	Hang *bool `json:"hang,omitempty"`
	// SlowMS is the time in milliseconds that each operation takes.
	SlowMS *int64 `json:"slow_ms,omitempty"`
	// CrashBefore is the number of next operations that crash the service
	// before they have an effect.
	CrashBefore *int `json:"crash_before,omitempty"`
	// CrashAfter is the number of next operations that crash the service
	// after their effect and before their answer.
	CrashAfter *int `json:"crash_after,omitempty"`
	// Leaving makes the service refuse new work with reason "leaving".
	Leaving *bool `json:"leaving,omitempty"`
	// Lookup replaces Config.Lookup.
	Lookup *bool `json:"lookup,omitempty"`
}

// Effect is an entry of the ledger. An operation that is sent twice makes two.
type Effect struct {
	Sequence  int             `json:"sequence"`
	RequestID string          `json:"request_id"`
	Program   string          `json:"program"`
	Operation string          `json:"operation"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// State tells what the service knows of a request id.
type State string

const (
	// Pending requests are held or slow and will have their effect.
	Pending State = "pending"
	// Done requests have had their effect.
	Done State = "done"
)

// Receipt is the answer to an operation and to a lookup.
type Receipt struct {
	RequestID string `json:"request_id"`
	Operation string `json:"operation"`
	State     State  `json:"state"`
	// Sequence is the ledger entry, zero while the request is pending.
	Sequence int `json:"sequence,omitempty"`
}

// Service is a running stand-in service.
type Service struct {
	config Config
	ledger *ledger
	inbox  *ring.Ring[message] // from clients, not read while the service hangs
	admin  *ring.Ring[message] // from the admin endpoint and the listener duty
	server *restart.Server
	duties *duty.Group
}

// Start starts a service. It ends with ctx or Close. The error tells that the
// address is not free.
func Start(ctx context.Context, config Config) (*Service, error) {
	s := &Service{
		config: config,
		ledger: newLedger(config),
		inbox:  ring.New[message](inboxSlots),
		admin:  ring.New[message](adminSlots),
		duties: duty.NewGroup(ctx, slog.Default(), metrics.NewSet()),
	}
	server, err := restart.Listen(config.Address, s.handler())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s.server = server
	s.duties.Go("ledger", s.runLedger)
	s.duties.Go("listener", s.runListener)
	return s, nil
}

// Address returns host and port of the service.
func (s *Service) Address() string { return s.server.Address() }

// URL returns the base URL of the service.
func (s *Service) URL() string { return "http://" + s.Address() }

// Set changes switches, as the admin endpoint does, and waits until they are
// in force.
func (s *Service) Set(ctx context.Context, switches Switches) error {
	reply := ring.New[answer](1)
	if err := s.admin.TryPush(setMessage{switches: switches, reply: reply}); err != nil {
		return Error.Wrap(err)
	}
	_, err := reply.Pop(ctx)
	return Error.Wrap(err)
}

// Close stops the service and drops all connections.
func (s *Service) Close() {
	s.duties.Stop()
	s.server.Close()
}

// runLedger is the duty that owns the ledger.
func (s *Service) runLedger(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		drain(s.ledger, s.admin, now)
		inbox := s.inbox.Ready()
		if s.ledger.hung {
			inbox = nil
		} else {
			drain(s.ledger, s.inbox, now)
			s.ledger.advance(now)
		}
		timer.Reset(s.ledger.wake(now))
		select {
		case <-timer.C:
		case <-inbox:
		case <-s.admin.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func drain(l *ledger, from *ring.Ring[message], now time.Time) {
	for {
		m, ok := from.TryPop()
		if !ok {
			return
		}
		m.apply(l, now)
	}
}

// runListener is the duty that drops and renews the listener after a crash.
func (s *Service) runListener(ctx context.Context) error {
	for {
		if _, err := s.ledger.crashes.Pop(ctx); err != nil {
			return err
		}
		if err := s.server.Crash(ctx, s.config.RestartDelay); err != nil {
			return err
		}
		if err := s.admin.Push(ctx, startMessage{}); err != nil {
			return err
		}
	}
}
