package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"dogwoodline.example/outcome"
)

const (
	// storeTimeout bounds a request of an operator.
	storeTimeout = 5 * time.Second
	// defaultWatchWait and maxWatchWait bound a long poll.
	defaultWatchWait = 10 * time.Second
	maxWatchWait     = time.Minute
	// noVersion tells that a request names no version.
	noVersion = -1
)

// ResourceEvent names the event that carries a Resource in a watch.
const ResourceEvent = "resource"

// ResourceBody is the JSON body that writes a resource.
type ResourceBody struct {
	Spec json.RawMessage `json:"spec"`
	// Version is the expected version. The If-Match header replaces it. When
	// both are missing, the resource must not exist.
	Version int64 `json:"version,omitempty"`
}

// ResourceRefusal answers a request about resources that failed.
type ResourceRefusal struct {
	Outcome outcome.Outcome `json:"outcome"`
	// Current is the present version after a conflict.
	Current  int64         `json:"current_version,omitempty"`
	Problems FieldProblems `json:"problems,omitempty"`
}

// DecodeResource decodes and checks the body that writes a resource.
func DecodeResource(data []byte) (ResourceBody, FieldProblems) {
	var body ResourceBody
	problems := decodeStrict(data, &body)
	if problems != nil {
		return ResourceBody{}, problems
	}
	if !strings.HasPrefix(string(body.Spec), "{") {
		problems.add("spec", "must be an object")
	}
	if body.Version < 0 {
		problems.add("version", "must not be negative")
	}
	return body, problems
}

func (s *Server) getResource(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	kind, name, ok := resourceName(w, r)
	if !ok {
		return
	}
	found, err := s.cfg.Resources.Get(ctx, kind, name)
	writeResource(w, found, err)
}

func (s *Server) putResource(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := resourceName(w, r)
	if !ok {
		return
	}
	data, ok := s.body(w, r)
	if !ok {
		return
	}
	body, problems := DecodeResource(data)
	expected := ifMatch(r, &problems)
	if len(problems) > 0 {
		writeResourceError(w, &InvalidError{Problems: problems})
		return
	}
	if expected == noVersion {
		expected = body.Version
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	written, err := s.cfg.Resources.Put(ctx, kind, name, body.Spec, expected)
	writeResource(w, written, err)
}

func (s *Server) deleteResource(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := resourceName(w, r)
	if !ok {
		return
	}
	var problems FieldProblems
	expected := ifMatch(r, &problems)
	if expected == noVersion {
		problems.add("If-Match", "must name the version to delete")
	}
	if len(problems) > 0 {
		writeResourceError(w, &InvalidError{Problems: problems})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	if err := s.cfg.Resources.Delete(ctx, kind, name, expected); err != nil {
		writeResourceError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listResources(w http.ResponseWriter, r *http.Request) {
	kind := chi.URLParam(r, "kind")
	var problems FieldProblems
	if kind != "" {
		problems.id("kind", kind)
	}
	after := queryNumber(r, "after", 0, &problems)
	wait := time.Duration(queryNumber(r, "wait_ms", defaultWatchWait.Milliseconds(), &problems)) * time.Millisecond
	if wait > maxWatchWait || wait < 0 {
		problems.add("wait_ms", "must be at most %d", maxWatchWait.Milliseconds())
	}
	watch := false
	switch r.URL.Query().Get("watch") {
	case "", "false":
	case "true":
		watch = true
	default:
		problems.add("watch", "must be true or false")
	}
	switch {
	case len(problems) > 0:
		writeResourceError(w, &InvalidError{Problems: problems})
	case !watch:
		ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
		defer cancel()
		list, err := s.cfg.Resources.List(ctx, kind)
		writeList(w, list, err)
	case strings.Contains(r.Header.Get("Accept"), eventStream):
		s.streamResources(w, r, kind, after)
	default:
		ctx, cancel := s.watchContext(r)
		defer cancel()
		list, err := s.cfg.Resources.Watch(ctx, kind, after, wait)
		writeList(w, list, err)
	}
}

// streamResources sends changes until the operator leaves, the node stops or
// the watch fails. The operator continues from the last event id.
func (s *Server) streamResources(w http.ResponseWriter, r *http.Request, kind string, after int64) {
	ctx, cancel := s.watchContext(r)
	defer cancel()
	control := http.NewResponseController(w)
	beginEvents(w)
	for ctx.Err() == nil {
		list, err := s.cfg.Resources.Watch(ctx, kind, after, defaultWatchWait)
		if err != nil {
			return
		}
		after = list.Revision
		_ = control.SetWriteDeadline(time.Now().Add(chunkWriteTimeout)) // not all writers have deadlines
		for _, changed := range list.Resources {
			if writeEvent(w, ResourceEvent, changed) != nil {
				return
			}
		}
		// The comment shows a reader of a quiet watch that the link is alive.
		if _, err := w.Write([]byte(": revision " + strconv.FormatInt(after, 10) + "\n\n")); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

// watchContext ends with the request or when the node stops.
func (s *Server) watchContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	if s.cfg.Stopping == nil {
		return ctx, cancel
	}
	release := context.AfterFunc(s.cfg.Stopping, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

func resourceName(w http.ResponseWriter, r *http.Request) (kind, name string, ok bool) {
	kind, name = chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	var problems FieldProblems
	problems.id("kind", kind)
	problems.id("name", name)
	if len(problems) > 0 {
		writeResourceError(w, &InvalidError{Problems: problems})
		return "", "", false
	}
	return kind, name, true
}

// ifMatch returns the version in the If-Match header, or noVersion.
func ifMatch(r *http.Request, problems *FieldProblems) int64 {
	value := r.Header.Get("If-Match")
	if value == "" {
		return noVersion
	}
	version, err := strconv.ParseInt(strings.Trim(value, `"`), 10, 64)
	if err != nil || version < 0 {
		problems.add("If-Match", "must be a version number")
	}
	return version
}

func queryNumber(r *http.Request, field string, missing int64, problems *FieldProblems) int64 {
	value := r.URL.Query().Get(field)
	if value == "" {
		return missing
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < 0 {
		problems.add(field, "must be a number and not negative")
		return missing
	}
	return number
}

func writeResource(w http.ResponseWriter, found Resource, err error) {
	if err != nil {
		writeResourceError(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(found.Version, 10)))
	writeJSON(w, http.StatusOK, found)
}

func writeList(w http.ResponseWriter, list ResourceList, err error) {
	if err != nil {
		writeResourceError(w, err)
		return
	}
	if list.Resources == nil {
		list.Resources = []Resource{}
	}
	writeJSON(w, http.StatusOK, list)
}

func writeResourceError(w http.ResponseWriter, err error) {
	refusal := ResourceRefusal{Outcome: outcome.NewInvalid(outcome.Malformed, err.Error())}
	var conflict *ConflictError
	var invalid *InvalidError
	switch {
	case errors.As(err, &conflict):
		refusal.Outcome.Reason = outcome.Conflict
		refusal.Current = conflict.Current
	case errors.Is(err, ErrConflict):
		refusal.Outcome.Reason = outcome.Conflict
	case errors.As(err, &invalid):
		refusal.Problems = invalid.Problems
	case errors.Is(err, ErrInvalid):
	case errors.Is(err, ErrNotFound):
		refusal.Outcome.Reason = UnknownResource
	default:
		refusal.Outcome = outcome.Outcome{Code: outcome.Unknown, Reason: StoreUnavailable, Detail: err.Error()}
	}
	writeOutcome(w, refusal.Outcome, refusal)
}
