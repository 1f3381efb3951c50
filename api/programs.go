package api

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

const eventStream = "text/event-stream"

// addressRetry is the suggested wait while a node has no view of the others.
const addressRetry = 250 * time.Millisecond

// bodyReadTimeout ends requests whose body does not arrive.
const bodyReadTimeout = 10 * time.Second

func (s *Server) address(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("program")
	if problem := badID(id); problem != "" {
		s.refuse(w, outcome.Malformed, "program: "+problem)
		return
	}
	address := s.cfg.Service.Address(id)
	if address.Address == "" { // this node knows no live node yet
		ending := outcome.NewNotRun(outcome.NoOwner, addressRetry)
		writeOutcome(w, ending, CallReply{Outcome: ending})
		return
	}
	writeJSON(w, http.StatusOK, address)
}

func (s *Server) start(w http.ResponseWriter, r *http.Request, tenant string) {
	data, ok := s.body(w, r)
	if !ok {
		return
	}
	request, problems := DecodeStart(data)
	if len(problems) > 0 {
		s.refuse(w, outcome.Malformed, problems.String())
		return
	}
	ctx, cancel := waitFor(r.Context(), request.DeadlineMS)
	defer cancel()
	reply := s.cfg.Service.Start(ctx, tenant, request)
	s.calls.ended(reply.Outcome)
	writeOutcome(w, reply.Outcome, programReply(reply))
}

func (s *Server) call(w http.ResponseWriter, r *http.Request, tenant string) {
	id, ok := s.programID(w, r)
	if !ok {
		return
	}
	data, ok := s.body(w, r)
	if !ok {
		return
	}
	body, problems := DecodeCall(data)
	if len(problems) > 0 {
		s.refuse(w, outcome.Malformed, problems.String())
		return
	}
	ctx, cancel := waitFor(r.Context(), body.DeadlineMS)
	defer cancel()
	begin := time.Now()
	var reply program.Reply
	if body.Stream || strings.Contains(r.Header.Get("Accept"), eventStream) {
		stream := newEventWriter(w, body.CallRequest)
		reply = s.cfg.Service.Call(ctx, tenant, id, body.CallRequest, stream.chunk)
		stream.finish(reply)
	} else {
		reply = s.cfg.Service.Call(ctx, tenant, id, body.CallRequest, nil)
		writeOutcome(w, reply.Outcome, callReply(body.Kind, reply))
	}
	s.calls.called(tenant, reply.Class, begin, reply.Outcome)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, tenant string) {
	id, ok := s.programID(w, r)
	if !ok {
		return
	}
	ctx, cancel := waitFor(r.Context(), 0)
	defer cancel()
	reply := s.cfg.Service.History(ctx, tenant, id)
	writeOutcome(w, reply.Outcome, programReply(reply))
}

func (s *Server) end(w http.ResponseWriter, r *http.Request, tenant string) {
	id, ok := s.programID(w, r)
	if !ok {
		return
	}
	ctx, cancel := waitFor(r.Context(), 0)
	defer cancel()
	reply := s.cfg.Service.End(ctx, tenant, id)
	writeOutcome(w, reply.Outcome, programReply(reply))
}

func (s *Server) programID(w http.ResponseWriter, r *http.Request) (string, bool) {
	id := chi.URLParam(r, "id")
	if problem := badID(id); problem != "" {
		s.refuse(w, outcome.Malformed, "program: "+problem)
		return "", false
	}
	return id, true
}

// body reads the request body, or answers why it cannot.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not all readers have deadlines
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		s.refuse(w, TooLarge, "body: exceeds 196608 bytes")
	case err != nil:
		s.refuse(w, outcome.Malformed, "body: connection broke while it was read")
	default:
		// A deadline that stayed would cancel the request while its call runs.
		// After a failure it stays: the server reads on to the body's end.
		_ = control.SetReadDeadline(time.Time{})
		return data, true
	}
	return nil, false
}
