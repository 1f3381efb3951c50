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

const eventStreamType = "text/event-stream"

// addressRetryDelay is the suggested wait while a node knows no live node.
const addressRetryDelay = 250 * time.Millisecond

// bodyReadTimeout bounds the time for reading a request body.
const bodyReadTimeout = 10 * time.Second

func (s *Server) getAddress(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("program")
	if problem := idProblem(id); problem != "" {
		s.reject(w, outcome.Malformed, "program: "+problem)
		return
	}
	address := s.cfg.Service.Address(id)
	if address.Address == "" { // this node knows no live node yet
		notRun := outcome.NewNotRun(outcome.NoOwner, addressRetryDelay)
		writeOutcome(w, notRun, CallReply{Outcome: notRun})
		return
	}
	writeJSON(w, http.StatusOK, address)
}

func (s *Server) startProgram(w http.ResponseWriter, r *http.Request, tenant string) {
	data, ok := s.readBody(w, r)
	if !ok {
		return
	}
	request, problems := DecodeStart(data)
	if len(problems) > 0 {
		s.reject(w, outcome.Malformed, problems.String())
		return
	}
	ctx, cancel := withDeadline(r.Context(), request.DeadlineMS)
	defer cancel()
	reply := s.cfg.Service.Start(ctx, tenant, request)
	s.callMetrics.countOutcome(reply.Outcome)
	writeOutcome(w, reply.Outcome, programReply(reply))
}

func (s *Server) callProgram(w http.ResponseWriter, r *http.Request, tenant string) {
	id, ok := s.programIDParam(w, r)
	if !ok {
		return
	}
	data, ok := s.readBody(w, r)
	if !ok {
		return
	}
	body, problems := DecodeCall(data)
	if len(problems) > 0 {
		s.reject(w, outcome.Malformed, problems.String())
		return
	}
	ctx, cancel := withDeadline(r.Context(), body.DeadlineMS)
	defer cancel()
	startTime := time.Now()
	var reply program.Reply
	if body.Stream || strings.Contains(r.Header.Get("Accept"), eventStreamType) {
		stream := newEventWriter(w, body.CallRequest)
		reply = s.cfg.Service.Call(ctx, tenant, id, body.CallRequest, stream.writeChunk)
		stream.finish(reply)
	} else {
		reply = s.cfg.Service.Call(ctx, tenant, id, body.CallRequest, nil)
		writeOutcome(w, reply.Outcome, callReply(body.Kind, reply))
	}
	s.callMetrics.observeCall(tenant, reply.Class, startTime, reply.Outcome)
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request, tenant string) {
	id, ok := s.programIDParam(w, r)
	if !ok {
		return
	}
	ctx, cancel := withDeadline(r.Context(), 0)
	defer cancel()
	reply := s.cfg.Service.History(ctx, tenant, id)
	writeOutcome(w, reply.Outcome, programReply(reply))
}

func (s *Server) endProgram(w http.ResponseWriter, r *http.Request, tenant string) {
	id, ok := s.programIDParam(w, r)
	if !ok {
		return
	}
	ctx, cancel := withDeadline(r.Context(), 0)
	defer cancel()
	reply := s.cfg.Service.End(ctx, tenant, id)
	writeOutcome(w, reply.Outcome, programReply(reply))
}

// programIDParam returns the program id from the path. If it is invalid it
// writes an error response and returns false.
func (s *Server) programIDParam(w http.ResponseWriter, r *http.Request) (string, bool) {
	id := chi.URLParam(r, "id")
	if problem := idProblem(id); problem != "" {
		s.reject(w, outcome.Malformed, "program: "+problem)
		return "", false
	}
	return id, true
}

// readBody reads the request body. If that fails, it writes an error response
// and returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not every ResponseWriter supports deadlines
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		s.reject(w, TooLarge, "body: exceeds 196608 bytes")
	case err != nil:
		s.reject(w, outcome.Malformed, "body: connection broke while it was read")
	default:
		// Clear the deadline, because it would cancel the request while its
		// call runs. After an error it stays, because the server then reads the
		// rest of the body.
		_ = control.SetReadDeadline(time.Time{})
		return data, true
	}
	return nil, false
}
