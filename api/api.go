// Package api serves the HTTP API of a node for callers and operators.
//
// Handlers decode a request, call Service or Resources, and encode the
// response. They contain no other logic, so another frontend can use the same
// interfaces.
package api

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"dogwoodline.example/outcome"
)

const (
	// MaxBodyBytes is the largest accepted request body. It leaves room for the
	// other fields of an intent record, which is at most 256 KB.
	MaxBodyBytes = 192 << 10
	// MaxDeadline is the longest deadline that a caller can request. It also
	// bounds requests without a deadline.
	MaxDeadline = time.Hour
	// deadlineGrace is added to the deadline of the caller, so that the node
	// can respond with its own outcome before the handler's context ends.
	deadlineGrace = time.Second
	// notReadyRetryDelay is the suggested wait after a rejection by a node that
	// is not ready. Such a node needs one read of the platform store to load
	// the resources.
	notReadyRetryDelay = 250 * time.Millisecond
	// readHeaderTimeout closes connections that do not send a complete request
	// header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes keep-alive connections without requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the memory for the header of a request.
	maxHeaderBytes = 16 << 10
)

// Authenticator authenticates callers by their keys.
type Authenticator interface {
	// Authenticate returns the tenant of a key. Its running time must not
	// reveal anything about the valid keys.
	Authenticate(key string) (tenant string, ok bool)
}

// Config configures a Server. Service, Authenticator, Resources, Metrics and Log are
// required.
type Config struct {
	Service       Service
	Authenticator Authenticator
	Resources     Resources
	// OperatorKey is the bearer token that /v1/resources requires. If it is
	// empty, /v1/resources requires none.
	OperatorKey string
	// Metrics is served at /metrics together with the process metrics.
	Metrics *metrics.Set
	Log     *slog.Logger
	// ShutdownContext is done when the node starts to shut down. This ends pending
	// watches. It may be nil.
	ShutdownContext context.Context
}

// Server is the HTTP handler of a node.
type Server struct {
	cfg         Config
	router      chi.Router
	callMetrics *callMetrics
}

// New returns the HTTP handler of a node.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, router: chi.NewRouter(), callMetrics: newCallMetrics(cfg.Metrics)}
	s.router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.router.Get("/readyz", s.getReadiness)
	s.router.Get("/metrics", s.getMetrics)
	s.router.Get("/v1/address", s.getAddress)
	s.router.Post("/v1/programs", s.requireTenant(s.startProgram))
	s.router.Post("/v1/programs/{id}/calls", s.requireTenant(s.callProgram))
	s.router.Get("/v1/programs/{id}/history", s.requireTenant(s.getHistory))
	s.router.Delete("/v1/programs/{id}", s.requireTenant(s.endProgram))
	s.router.Route("/v1/resources", func(r chi.Router) {
		r.Use(s.requireOperator)
		r.Get("/", s.listResources)
		r.Get("/{kind}", s.listResources)
		r.Get("/{kind}/{name}", s.getResource)
		r.Put("/{kind}/{name}", s.putResource)
		r.Delete("/{kind}/{name}", s.deleteResource)
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// HTTPServer returns an http.Server with this handler and with timeouts for
// clients that stall. It sets no write timeout, because streamed responses can
// take long; each write to a stream has its own deadline.
func (s *Server) HTTPServer(address string) *http.Server {
	return &http.Server{
		Addr:              address,
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.cfg.Log.Handler(), slog.LevelDebug),
	}
}

func (s *Server) getReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := s.cfg.Service.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.cfg.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// requireTenant authenticates the caller and passes its tenant to next.
func (s *Server) requireTenant(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tenant, ok := s.cfg.Authenticator.Authenticate(bearerToken(r))
		if !ok && s.cfg.Service.Ready() != nil {
			// A node that has just started has not loaded the tenants yet.
			// Unauthorized is final, so it must not be returned for a key that
			// may be valid.
			notRun := outcome.NewNotRun(outcome.NoOwner, notReadyRetryDelay)
			s.callMetrics.countOutcome(notRun)
			writeOutcome(w, notRun, CallReply{Outcome: notRun})
			return
		}
		if !ok {
			s.reject(w, Unauthorized, "authorization: key is missing or unknown")
			return
		}
		next(w, r, tenant)
	}
}

// requireOperator checks the operator key if one is configured.
func (s *Server) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operatorKey := s.cfg.OperatorKey
		if operatorKey != "" && subtle.ConstantTimeCompare([]byte(operatorKey), []byte(bearerToken(r))) != 1 {
			s.reject(w, Unauthorized, "authorization: operator key is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func bearerToken(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// reject writes an Invalid outcome and counts it.
func (s *Server) reject(w http.ResponseWriter, reason outcome.Reason, detail string) {
	invalid := outcome.NewInvalid(reason, detail)
	s.callMetrics.countOutcome(invalid)
	writeOutcome(w, invalid, CallReply{Outcome: invalid})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // nothing to do if the caller has disconnected
}

// withDeadline bounds ctx by the deadline of a request, MaxDeadline if it has
// none, plus deadlineGrace.
func withDeadline(ctx context.Context, deadlineMS int64) (context.Context, context.CancelFunc) {
	wait := MaxDeadline
	if deadlineMS > 0 {
		wait = time.Duration(deadlineMS) * time.Millisecond
	}
	return context.WithTimeout(ctx, wait+deadlineGrace)
}
