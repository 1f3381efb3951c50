// Package service is a small stand-in of a plain service with a ledger. It
// records every effect, so that a doubled or a lost one shows, and has
// switches for faults.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"dogwoodline.example/emulator/internal/standin"
	"dogwoodline.example/ring"
)

// Names of the headers of a request.
const (
	HeaderProgram = "X-Program-Id"
	HeaderRequest = "X-Request-Id"
)

// Config holds the settings of a service.
type Config struct {
	// Name appears in log lines.
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
	// Pending requests are slow and will have their effect.
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
type Service struct{ server *standin.Server[*ledger] }

// Start starts a service. It ends with ctx or Close. The error tells that the
// address is not free.
func Start(ctx context.Context, config Config) (*Service, error) {
	settings := standin.Config{
		Name: config.Name, Address: config.Address,
		Credential: config.Credential, RestartDelay: config.RestartDelay,
	}
	s := &Service{}
	var err error
	s.server, err = standin.Start(ctx, settings, newLedger(config.Lookup), s.routes)
	return s, err
}

// Address returns host and port of the service.
func (s *Service) Address() string { return s.server.Address() }

// URL returns the base URL of the service.
func (s *Service) URL() string { return s.server.URL() }

// Close stops the service and drops all connections.
func (s *Service) Close() { s.server.Close() }

// Set changes switches, as the admin endpoint does, and waits until they are
// in force.
func (s *Service) Set(ctx context.Context, switches Switches) error {
	return s.server.Switch(ctx, func(l *ledger, _ time.Time) { l.set(switches) })
}

func (s *Service) routes(server *standin.Server[*ledger]) standin.Routes {
	s.server = server
	return standin.Routes{
		Client: func(r chi.Router) {
			r.Post("/do/{operation}", s.serveDo)
			r.Get("/requests/{id}", s.serveLookup)
		},
		Admin: func(r chi.Router) {
			r.Post("/admin", s.serveAdmin)
			r.Get("/effects", s.serveEffects)
		},
	}
}

// serveDo carries an operation out. A client that goes away does not stop it.
func (s *Service) serveDo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.BodyLimit))
	effect := Effect{
		RequestID: r.Header.Get(HeaderRequest),
		Program:   r.Header.Get(HeaderProgram),
		Operation: chi.URLParam(r, "operation"),
		Body:      body,
	}
	if err != nil || !json.Valid(body) || effect.RequestID == "" {
		standin.Refusal(http.StatusBadRequest, "malformed").Write(w)
		return
	}
	s.server.Ask(w, r, func(l *ledger, now time.Time, reply *ring.Ring[standin.Answer]) {
		l.accept(now, effect, reply)
	})
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	s.server.Ask(w, r, func(l *ledger, _ time.Time, reply *ring.Ring[standin.Answer]) {
		tell(reply, l.look(id))
	})
}

// serveEffects works while the service hangs, so that tests can check it.
func (s *Service) serveEffects(w http.ResponseWriter, r *http.Request) {
	var effects []Effect
	read := func(l *ledger, _ time.Time) { effects = slices.Clone(l.effects) }
	if err := s.server.Switch(r.Context(), read); err != nil {
		standin.Refusal(http.StatusServiceUnavailable, err.Error()).Write(w)
		return
	}
	standin.Answer{Status: http.StatusOK, Body: map[string]any{"effects": effects}}.Write(w)
}

func (s *Service) serveAdmin(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if !standin.Decode(w, r, &switches) {
		return
	}
	if err := s.Set(r.Context(), switches); err != nil {
		standin.Refusal(http.StatusServiceUnavailable, err.Error()).Write(w)
		return
	}
	standin.Answer{Status: http.StatusOK, Body: switches}.Write(w)
}
