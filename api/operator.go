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
	// storeTimeout bounds a request for resources, which may wait for the
	// platform store. It does not apply to watches.
	storeTimeout = 5 * time.Second
	// defaultWatchWait and maxWatchWait are the default and the maximum of
	// wait_ms, the time that a long poll waits for a change.
	defaultWatchWait = 10 * time.Second
	maxWatchWait     = time.Minute
	// noVersion means that a request has no If-Match header.
	noVersion = -1
)

// ResourceEvent is the type of the server-sent events of a watch. Their data
// is a Resource.
const ResourceEvent = "resource"

// ResourceBody is the JSON body of a request that writes a resource.
type ResourceBody struct {
	Spec json.RawMessage `json:"spec"`
	// Version is the expected current version. The If-Match header overrides
	// it. If both are missing, the resource must not exist.
	Version int64 `json:"version,omitempty"`
}

// ResourceErrorReply is the JSON response to a resource request that failed.
type ResourceErrorReply struct {
	Outcome outcome.Outcome `json:"outcome"`
	// CurrentVersion is the current version of the resource if the request failed
	// with a version conflict.
	CurrentVersion int64         `json:"current_version,omitempty"`
	Problems       FieldProblems `json:"problems,omitempty"`
}

// DecodeResource decodes and validates the body of a request that writes a
// resource.
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
	kind, name, ok := resourceParams(w, r)
	if !ok {
		return
	}
	found, err := s.cfg.Resources.Get(ctx, kind, name)
	writeResource(w, found, err)
}

func (s *Server) putResource(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := resourceParams(w, r)
	if !ok {
		return
	}
	data, ok := s.readBody(w, r)
	if !ok {
		return
	}
	body, problems := DecodeResource(data)
	expected := parseIfMatch(r, &problems)
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
	kind, name, ok := resourceParams(w, r)
	if !ok {
		return
	}
	var problems FieldProblems
	expected := parseIfMatch(r, &problems)
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
		problems.checkID("kind", kind)
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
	case strings.Contains(r.Header.Get("Accept"), eventStreamType):
		s.streamResources(w, r, kind, after)
	default:
		ctx, cancel := s.watchContext(r)
		defer cancel()
		list, err := s.cfg.Resources.Watch(ctx, kind, after, wait)
		writeList(w, list, err)
	}
}

// streamResources sends changes as server-sent events until the client
// disconnects, the node shuts down or the watch fails. To resume, a client sets
// the after parameter to the last revision that it received.
func (s *Server) streamResources(w http.ResponseWriter, r *http.Request, kind string, after int64) {
	ctx, cancel := s.watchContext(r)
	defer cancel()
	control := http.NewResponseController(w)
	startEventStream(w)
	for ctx.Err() == nil {
		list, err := s.cfg.Resources.Watch(ctx, kind, after, defaultWatchWait)
		if err != nil {
			return
		}
		after = list.Revision
		_ = control.SetWriteDeadline(time.Now().Add(chunkWriteTimeout)) // not every ResponseWriter supports deadlines
		for _, changed := range list.Resources {
			if writeEvent(w, ResourceEvent, changed) != nil {
				return
			}
		}
		// This SSE comment tells the client the revision and, if nothing has
		// changed, that the connection is alive.
		if _, err := w.Write([]byte(": revision " + strconv.FormatInt(after, 10) + "\n\n")); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

// watchContext returns a context that ends with the request or when the node
// shuts down.
func (s *Server) watchContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	if s.cfg.ShutdownContext == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(s.cfg.ShutdownContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// resourceParams returns the kind and the name from the path. If they are
// invalid it writes an error response and returns false.
func resourceParams(w http.ResponseWriter, r *http.Request) (kind, name string, ok bool) {
	kind, name = chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	var problems FieldProblems
	problems.checkID("kind", kind)
	problems.checkID("name", name)
	if len(problems) > 0 {
		writeResourceError(w, &InvalidError{Problems: problems})
		return "", "", false
	}
	return kind, name, true
}

// parseIfMatch returns the version in the If-Match header, or noVersion if
// there is no such header.
func parseIfMatch(r *http.Request, problems *FieldProblems) int64 {
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

// queryNumber returns a non-negative integer from the query, or defaultValue if
// the field is missing or invalid.
func queryNumber(r *http.Request, field string, defaultValue int64, problems *FieldProblems) int64 {
	value := r.URL.Query().Get(field)
	if value == "" {
		return defaultValue
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < 0 {
		problems.add(field, "must be a number and not negative")
		return defaultValue
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

// writeResourceError maps the errors of Resources to responses. An error of
// another type leaves it open whether a write took effect.
func writeResourceError(w http.ResponseWriter, err error) {
	reply := ResourceErrorReply{Outcome: outcome.NewInvalid(outcome.Malformed, err.Error())}
	var conflict *ConflictError
	var invalid *InvalidError
	switch {
	case errors.As(err, &conflict):
		reply.Outcome.Reason = outcome.Conflict
		reply.CurrentVersion = conflict.CurrentVersion
	case errors.Is(err, ErrConflict):
		reply.Outcome.Reason = outcome.Conflict
	case errors.As(err, &invalid):
		reply.Problems = invalid.Problems
	case errors.Is(err, ErrInvalid):
	case errors.Is(err, ErrNotFound):
		reply.Outcome.Reason = UnknownResource
	default:
		reply.Outcome = outcome.Outcome{Code: outcome.Unknown, Reason: StoreUnavailable, Detail: err.Error()}
	}
	writeOutcome(w, reply.Outcome, reply)
}
