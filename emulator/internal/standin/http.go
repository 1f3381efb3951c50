package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"dogwoodline.example/ring"
)

// BodyLimit is the largest request body in bytes. It has room for 590,000
// tokens of history.
const BodyLimit = 16 << 20

// Routes adds the routes of a stand-in: those of clients, which need the
// credential, and those of whoever runs the stand-in.
type Routes struct {
	Client func(chi.Router)
	Admin  func(chi.Router)
}

// Answer is the answer to a request. Its zero value closes the connection
// without an answer, as a crash does.
type Answer struct {
	Status int
	Body   any
}

// Refusal returns an error answer with a reason.
func Refusal(status int, reason string) Answer {
	return Answer{Status: status, Body: map[string]any{"error": map[string]any{"reason": reason}}}
}

// Write writes the answer as JSON.
func (a Answer) Write(w http.ResponseWriter) {
	if a.Status == 0 {
		panic(http.ErrAbortHandler) // closes the connection
	}
	data, err := json.Marshal(a.Body)
	if err != nil {
		panic("standin: answer cannot be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Status)
	w.Write(data)
}

// Decode reads a JSON body. It reports whether the request is still to be
// answered.
func Decode(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, BodyLimit)).Decode(body)
	if err != nil {
		Refusal(http.StatusBadRequest, err.Error()).Write(w)
	}
	return err == nil
}

// Ask passes a question to the state and writes the answer that it gives. The
// ring takes one answer, at once or later.
func (s *Server[S]) Ask(
	w http.ResponseWriter, r *http.Request, question func(state S, now time.Time, reply *ring.Ring[Answer]),
) {
	reply := ring.New[Answer](1)
	if s.Push(func(state S, now time.Time) { question(state, now, reply) }) != nil {
		Refusal(http.StatusServiceUnavailable, "overloaded").Write(w)
		return
	}
	if answer, err := reply.Pop(r.Context()); err == nil {
		answer.Write(w)
	}
}

func (s *Server[S]) handler(routes Routes) http.Handler {
	router := chi.NewRouter()
	router.Group(routes.Admin)
	router.Group(func(group chi.Router) {
		group.Use(s.authorize)
		routes.Client(group)
	})
	return router
}

func (s *Server[S]) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.credential != "" && r.Header.Get("Authorization") != "Bearer "+s.credential {
			Refusal(http.StatusUnauthorized, "unauthorized").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
