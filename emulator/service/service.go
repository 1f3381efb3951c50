// Package service is a stand-in for a tool service that operations of a program
// call. It records every effect in a ledger, so that tests detect duplicate and
// lost effects, and injects faults on request.
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

// Names of the request headers.
const (
	HeaderProgram = "X-Program-Id"
	HeaderRequest = "X-Request-Id"
)

// Config holds the settings of a service.
type Config struct {
	// Name identifies the service in log lines.
	Name string
	// Address is the host and port to listen on. When it is empty, a free
	// port of 127.0.0.1 is used.
	Address string
	// Credential is the bearer token that callers must send, empty for none.
	Credential string
	// Lookup enables GET /requests/{id}.
	Lookup bool
	// RestartDelay is the time between a crash and the restart. The ledger
	// survives a crash.
	RestartDelay time.Duration
}

// Switches are the fault settings that POST /admin changes at run time. Nil
// fields leave a setting unchanged.
type Switches struct {
	// Hang holds all requests until it is switched off, and then runs them.
	Hang *bool `json:"hang,omitempty"`
	// SlowMS is the time in milliseconds that each operation takes.
	SlowMS *int64 `json:"slow_ms,omitempty"`
	// CrashBefore makes the next operations, as many as it says, crash the
	// service before their effect.
	CrashBefore *int `json:"crash_before,omitempty"`
	// CrashAfter makes the next operations, as many as it says, crash the
	// service after their effect and before their response.
	CrashAfter *int `json:"crash_after,omitempty"`
	// Leaving makes the service drain: it refuses new operations with reason
	// "leaving".
	Leaving *bool `json:"leaving,omitempty"`
	// Lookup replaces Config.Lookup.
	Lookup *bool `json:"lookup,omitempty"`
}

// Effect is an entry of the ledger. An operation that is sent twice makes two
// entries, so that tests can detect the duplicate.
type Effect struct {
	Sequence  int             `json:"sequence"`
	RequestID string          `json:"request_id"`
	Program   string          `json:"program"`
	Operation string          `json:"operation"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// State is the state of an operation in a Receipt.
type State string

const (
	// Pending means that the effect is not recorded yet.
	Pending State = "pending"
	// Done means that the effect is recorded.
	Done State = "done"
)

// Receipt is the response to an operation and to a lookup.
type Receipt struct {
	RequestID string `json:"request_id"`
	Operation string `json:"operation"`
	State     State  `json:"state"`
	// Sequence is the number of the ledger entry, zero while the operation is
	// pending.
	Sequence int `json:"sequence,omitempty"`
}

// Service is a running stand-in for a tool service.
type Service struct{ server *standin.Server[*ledger] }

// Start starts a service, which runs until ctx is done or Close is called. It
// fails if it cannot listen on the address.
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

// Address returns the host and port on which the service listens.
func (s *Service) Address() string { return s.server.Address() }

// URL returns the base URL of the service.
func (s *Service) URL() string { return s.server.URL() }

// Close stops the service and closes all connections.
func (s *Service) Close() { s.server.Close() }

// ApplySwitches changes switches, as POST /admin does, and waits until they are in effect.
func (s *Service) ApplySwitches(ctx context.Context, switches Switches) error {
	return s.server.Apply(ctx, func(l *ledger, _ time.Time) { l.applySwitches(switches) })
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

// serveDo executes an operation, even if its client disconnects meanwhile.
func (s *Service) serveDo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.BodyLimit))
	effect := Effect{
		RequestID: r.Header.Get(HeaderRequest),
		Program:   r.Header.Get(HeaderProgram),
		Operation: chi.URLParam(r, "operation"),
		Body:      body,
	}
	if err != nil || !json.Valid(body) || effect.RequestID == "" {
		standin.ErrorResponse(http.StatusBadRequest, "malformed").Write(w)
		return
	}
	s.server.Query(w, r, func(l *ledger, now time.Time, reply *ring.Ring[standin.Response]) {
		l.accept(now, effect, reply)
	})
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	s.server.Query(w, r, func(l *ledger, _ time.Time, reply *ring.Ring[standin.Response]) {
		sendAnswer(reply, l.lookUp(id))
	})
}

// serveEffects responds with the recorded effects. It also works while the
// service hangs, so that tests can check that nothing runs.
func (s *Service) serveEffects(w http.ResponseWriter, r *http.Request) {
	var effects []Effect
	read := func(l *ledger, _ time.Time) { effects = slices.Clone(l.effects) }
	if err := s.server.Apply(r.Context(), read); err != nil {
		standin.ErrorResponse(http.StatusServiceUnavailable, err.Error()).Write(w)
		return
	}
	standin.Response{Status: http.StatusOK, Body: map[string]any{"effects": effects}}.Write(w)
}

func (s *Service) serveAdmin(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if !standin.Decode(w, r, &switches) {
		return
	}
	if err := s.ApplySwitches(r.Context(), switches); err != nil {
		standin.ErrorResponse(http.StatusServiceUnavailable, err.Error()).Write(w)
		return
	}
	standin.Response{Status: http.StatusOK, Body: switches}.Write(w)
}
