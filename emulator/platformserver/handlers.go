package platformserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/wire"
)

// maxWait is the longest wait of a watch. It limits excessive wait_ms values.
const maxWait = time.Minute

// errBadRequest reports a malformed parameter or body.
var errBadRequest = kvstore.Error.New("malformed request")

// apiCall handles a call and returns the response body or a platform error. After
// a conflict the error carries the current version of the key.
type apiCall func(r *http.Request) (answer any, err error)

func (s *Server) platform() http.Handler {
	router := chi.NewRouter()
	router.Get("/kv", s.read("list", s.list))
	router.Get("/kv/*", s.read("get", s.get))
	router.Put("/kv/*", s.write("put", s.put))
	router.Delete("/kv/*", s.write("delete", s.remove))
	router.Get("/watch", s.read("watch", s.watch))
	router.Post("/leases", s.write("grant", s.grant))
	router.Post("/leases/{id}/renew", s.write("renew", s.renew))
	router.Delete("/leases/{id}", s.write("revoke", s.revoke))
	router.Get("/hosts", s.read("hosts", func(*http.Request) (any, error) {
		return wire.HostsMessage{Hosts: s.Hosts()}, nil
	}))
	router.Post("/weights/*", s.read("weights", s.weights))
	return router
}

// read wraps a call that counts against the read limit.
func (s *Server) read(kind string, handle apiCall) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, r, kind, s.reads) {
			answer, err := handle(r)
			respond(w, answer, err)
		}
	}
}

// write wraps a call that counts against the write limit and whose response may
// be lost.
func (s *Server) write(kind string, handle apiCall) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, r, kind, s.writes) {
			return
		}
		answer, err := handle(r)
		if err == nil && s.faults.loseAnswer() {
			s.count("answers_lost")
			closeConnection(w)
			return
		}
		respond(w, answer, err)
	}
}

// admit applies outage, rate limit and delay to a call. If it returns false, the
// call was refused or dropped without effect.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, kind string, limiter *rate.Limiter) bool {
	if !s.faults.waitOutage(r.Context()) {
		s.count("dropped")
		closeConnection(w)
		return false
	}
	s.count(kind)
	if !limiter.AllowN(s.clock.Now(), 1) {
		s.count("rate_limited")
		respond(w, nil, kvstore.ErrRateLimited)
		return false
	}
	s.sleep(r.Context(), s.faults.delay())
	// An outage that began during the delay also drops the call.
	if !s.faults.waitOutage(r.Context()) {
		s.count("dropped")
		closeConnection(w)
		return false
	}
	return true
}

func (s *Server) get(r *http.Request) (any, error) {
	return s.store.Get(r.Context(), keyFromPath(r))
}

// conflict is an ErrConflict with the current version of the key.
type conflict struct{ version kvstore.Version }

func (c *conflict) Error() string { return kvstore.ErrConflict.Error() }
func (c *conflict) Unwrap() error { return kvstore.ErrConflict }

func (s *Server) put(r *http.Request) (any, error) {
	expected, err := parseInt[kvstore.Version](r.URL.Query().Get("if_version"), kvstore.AnyVersion)
	if err != nil {
		return nil, err
	}
	lease, err := parseInt[kvstore.LeaseID](r.URL.Query().Get("lease"), 0)
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, kvstore.MaxValueBytes+1))
	if err != nil {
		return nil, errBadRequest
	}
	version, err := s.store.Put(r.Context(), keyFromPath(r), value, expected, lease)
	if errors.Is(err, kvstore.ErrConflict) {
		return nil, &conflict{version: version}
	}
	return wire.WriteResponse{Version: version}, err
}

func (s *Server) remove(r *http.Request) (any, error) {
	expected, err := parseInt[kvstore.Version](r.URL.Query().Get("if_version"), kvstore.AnyVersion)
	if err != nil {
		return nil, err
	}
	return wire.WriteResponse{}, s.store.Delete(r.Context(), keyFromPath(r), expected)
}

func (s *Server) list(r *http.Request) (any, error) {
	items, revision, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	return wire.ListResponse{Items: items, Revision: revision}, err
}

func (s *Server) watch(r *http.Request) (any, error) {
	query := r.URL.Query()
	after, err := parseInt[kvstore.Version](query.Get("after"), 0)
	if err != nil {
		return nil, err
	}
	waitMS, err := parseInt[int64](query.Get("wait_ms"), 0)
	if err != nil || waitMS < 0 {
		return nil, errBadRequest
	}
	wait := maxWait
	if waitMS < maxWait.Milliseconds() {
		wait = time.Duration(waitMS) * time.Millisecond
	}
	ctx, cancel := s.faults.untilOutage(r.Context())
	defer cancel()
	events, revision, err := s.store.Watch(ctx, query.Get("prefix"), after, wait)
	return wire.WatchResponse{Events: events, Revision: revision}, err
}

func (s *Server) grant(r *http.Request) (any, error) {
	var request wire.GrantRequest
	if err := decode(r, &request); err != nil || request.TTLMS <= 0 {
		return nil, errBadRequest
	}
	lease, err := s.store.Grant(r.Context(), time.Duration(request.TTLMS)*time.Millisecond)
	return wire.GrantResponse{Lease: lease}, err
}

func (s *Server) renew(r *http.Request) (any, error) {
	lease, err := parseInt[kvstore.LeaseID](chi.URLParam(r, "id"), 0)
	if err != nil {
		return nil, err
	}
	return wire.WriteResponse{}, s.store.Renew(r.Context(), lease)
}

func (s *Server) revoke(r *http.Request) (any, error) {
	lease, err := parseInt[kvstore.LeaseID](chi.URLParam(r, "id"), 0)
	if err != nil {
		return nil, err
	}
	return wire.WriteResponse{}, s.store.Revoke(r.Context(), lease)
}

func (s *Server) weights(r *http.Request) (any, error) {
	var request wire.WeightRequest
	if err := decode(r, &request); err != nil || request.Bytes < 0 {
		return nil, errBadRequest
	}
	return wire.WeightResponse{WaitMS: s.reserveWeights(request.Bytes).Milliseconds()}, nil
}

func (s *Server) admin() http.Handler {
	router := chi.NewRouter()
	router.Get("/counters", func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Counters(), nil) })
	router.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Faults(), nil) })
	router.Put("/faults", adminSet(s.SetFaults))
	router.Put("/limits", adminSet(func(limits Limits) error { s.SetLimits(limits); return nil }))
	router.Put("/hosts", adminSet(func(list wire.HostsMessage) error { s.SetHosts(list.Hosts); return nil }))
	return router
}

func adminSet[T any](set func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := decode(r, &value); err != nil {
			respond(w, nil, errBadRequest)
			return
		}
		respond(w, value, set(value))
	}
}

// keyFromPath returns the decoded path after /kv/, since keys may contain
// slashes.
func keyFromPath(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/kv/") }

// parseInt parses a parameter. An empty text stands for defaultValue.
func parseInt[T ~int64](text string, defaultValue T) (T, error) {
	if text == "" {
		return defaultValue, nil
	}
	parsed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errBadRequest
	}
	return T(parsed), nil
}

func decode(r *http.Request, target any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, kvstore.MaxValueBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

func respond(w http.ResponseWriter, answer any, err error) {
	status := http.StatusOK
	if err != nil {
		body := wire.Error{Detail: err.Error()}
		body.Code, status = wire.CodeForError(err)
		var found *conflict
		if errors.As(err, &found) {
			body.Version = found.version
		}
		answer = body
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status line has been sent, so an error cannot be reported to the
	// client.
	_ = json.NewEncoder(w).Encode(answer)
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	connection, _, err := hijacker.Hijack()
	if err == nil {
		_ = connection.Close()
	}
}
