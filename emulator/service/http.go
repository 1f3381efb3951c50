package service

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"

	"dogwoodline.example/ring"
)

// Names of the headers of a request.
const (
	HeaderProgram = "X-Program-Id"
	HeaderRequest = "X-Request-Id"
)

// Reasons of refusals.
const (
	reasonLeaving     = "leaving"
	reasonOverloaded  = "overloaded"
	reasonNotFound    = "not_found"
	reasonUnsupported = "lookup_unsupported"
)

// bodyLimit is the largest request body in bytes.
const bodyLimit = 1 << 20

func (s *Service) handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/admin", s.serveAdmin)
	router.Get("/effects", func(w http.ResponseWriter, r *http.Request) {
		reply := ring.New[answer](1)
		// Effects are readable while the service hangs, for checks.
		s.exchange(w, r, s.admin, effectsMessage{reply: reply}, reply)
	})
	router.Group(func(group chi.Router) {
		group.Use(s.authorize)
		group.Post("/do/{operation}", s.serveDo)
		group.Get("/requests/{id}", func(w http.ResponseWriter, r *http.Request) {
			reply := ring.New[answer](1)
			s.exchange(w, r, s.inbox, lookupMessage{id: chi.URLParam(r, "id"), reply: reply}, reply)
		})
	})
	return router
}

func (s *Service) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.config.Credential != "" && r.Header.Get("Authorization") != "Bearer "+s.config.Credential {
			writeRefusal(w, http.StatusUnauthorized, "unauthorized")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Service) serveDo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil || !json.Valid(body) {
		writeRefusal(w, http.StatusBadRequest, "malformed")
		return
	}
	effect := Effect{
		RequestID: r.Header.Get(HeaderRequest),
		Program:   r.Header.Get(HeaderProgram),
		Operation: chi.URLParam(r, "operation"),
		Body:      body,
	}
	if effect.RequestID == "" {
		writeRefusal(w, http.StatusBadRequest, "request id is missing")
		return
	}
	w.Header().Set(HeaderRequest, effect.RequestID)
	reply := ring.New[answer](1)
	s.exchange(w, r, s.inbox, doMessage{effect: effect, reply: reply}, reply)
}

// exchange passes a message to the ledger duty and writes its answer. A client
// that goes away does not stop its operation.
func (s *Service) exchange(
	w http.ResponseWriter, r *http.Request,
	to *ring.Ring[message], m message, reply *ring.Ring[answer],
) {
	if to.TryPush(m) != nil {
		writeRefusal(w, http.StatusServiceUnavailable, reasonOverloaded)
		return
	}
	a, err := reply.Pop(r.Context())
	if err != nil {
		return
	}
	switch {
	case a.crashed:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case a.refused == reasonNotFound:
		writeRefusal(w, http.StatusNotFound, a.refused)
	case a.refused == reasonUnsupported:
		writeRefusal(w, http.StatusNotImplemented, a.refused)
	case a.refused != "":
		writeRefusal(w, http.StatusServiceUnavailable, a.refused)
	case a.receipt.RequestID != "":
		writeJSON(w, http.StatusOK, a.receipt)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"effects": a.effects})
	}
}

func (s *Service) serveAdmin(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if err := json.NewDecoder(r.Body).Decode(&switches); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := s.Set(r.Context(), switches); err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeRefusal(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"reason": reason}})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("service: answer cannot be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
