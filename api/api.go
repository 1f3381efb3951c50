// Package api is the HTTP interface for callers and operators.
//
// Handlers decode a request, call Service or Resources, and encode the answer.
// They decide nothing else, so another front end can use the same interfaces.
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
	// MaxBodyBytes is the largest request body. It leaves room for the other
	// fields of an intent record, which is at most 256 KB.
	MaxBodyBytes = 192 << 10
	// MaxDeadline is the longest wait that a caller can ask for.
	MaxDeadline = time.Hour
	// deadlineGrace lets the node answer with its own outcome before the
	// handler gives up.
	deadlineGrace = time.Second
	// unreadyRetry is the suggested wait after a refusal by a node that is not
	// ready. The first view of the resources takes one read of the store.
	unreadyRetry = 250 * time.Millisecond
	// readHeaderTimeout frees connections that send no request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes kept connections that carry no request.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the memory of a request's header.
	maxHeaderBytes = 16 << 10
)

// Tenants finds the tenant that a key belongs to.
type Tenants interface {
	// Authenticate returns the tenant of a key. The time that it takes must
	// not help to guess a key.
	Authenticate(key string) (tenant string, ok bool)
}

// Config holds what a Server needs. Service, Tenants, Resources, Metrics and
// Log are required.
type Config struct {
	Service   Service
	Tenants   Tenants
	Resources Resources
	// OperatorKey protects /v1/resources when it is not empty.
	OperatorKey string
	// Metrics is shown at /metrics together with the process metrics.
	Metrics *metrics.Set
	Log     *slog.Logger
	// Stopping ends waiting watches when it is done. It may be nil.
	Stopping context.Context
}

// Server is the HTTP handler of a node.
type Server struct {
	cfg    Config
	router chi.Router
	calls  *callMetrics
}

// New returns the HTTP handler of a node.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, router: chi.NewRouter(), calls: newCallMetrics(cfg.Metrics)}
	s.router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.router.Get("/readyz", s.ready)
	s.router.Get("/metrics", s.metrics)
	s.router.Get("/v1/address", s.address)
	s.router.Post("/v1/programs", s.tenant(s.start))
	s.router.Post("/v1/programs/{id}/calls", s.tenant(s.call))
	s.router.Get("/v1/programs/{id}/history", s.tenant(s.history))
	s.router.Delete("/v1/programs/{id}", s.tenant(s.end))
	s.router.Route("/v1/resources", func(r chi.Router) {
		r.Use(s.operator)
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

// HTTPServer returns a server with this handler and with limits for clients
// that stall. Answers have no write timeout here, because streams are long;
// each part of a stream has its own.
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

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.cfg.Service.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.cfg.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// tenant authenticates a caller and passes the tenant on.
func (s *Server) tenant(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tenant, ok := s.cfg.Tenants.Authenticate(bearer(r))
		if !ok && s.cfg.Service.Ready() != nil {
			// A node that has just started knows no tenants yet. Its refusal
			// would be final, although the key may be good.
			ending := outcome.NewNotRun(outcome.NoOwner, unreadyRetry)
			s.calls.ended(ending)
			writeOutcome(w, ending, CallReply{Outcome: ending})
			return
		}
		if !ok {
			s.refuse(w, Unauthorized, "authorization: key is missing or unknown")
			return
		}
		next(w, r, tenant)
	}
}

// operator checks the operator key when one is set.
func (s *Server) operator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		want := s.cfg.OperatorKey
		if want != "" && subtle.ConstantTimeCompare([]byte(want), []byte(bearer(r))) != 1 {
			s.refuse(w, Unauthorized, "authorization: operator key is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func bearer(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// refuse answers with an Invalid outcome.
func (s *Server) refuse(w http.ResponseWriter, reason outcome.Reason, detail string) {
	ending := outcome.NewInvalid(reason, detail)
	s.calls.ended(ending)
	writeOutcome(w, ending, CallReply{Outcome: ending})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // a caller that has gone cannot be told
}

// waitFor bounds a request by the deadline that its caller asked for.
func waitFor(ctx context.Context, deadlineMS int64) (context.Context, context.CancelFunc) {
	wait := MaxDeadline
	if deadlineMS > 0 {
		wait = time.Duration(deadlineMS) * time.Millisecond
	}
	return context.WithTimeout(ctx, wait+deadlineGrace)
}
