package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"dogwoodline.example/ring"
)

// BodyLimit is the largest accepted request body in bytes. It has room for a
// history of 590,000 tokens.
const BodyLimit = 16 << 20

// Routes registers the routes of a stand-in.
type Routes struct {
	// Client registers the routes that require the credential.
	Client func(chi.Router)
	// Admin registers the routes that control the stand-in and require no
	// credential.
	Admin func(chi.Router)
}

// Response is a response with a JSON body. The zero value closes the connection
// without a response, as a crash does.
type Response struct {
	Status int
	Body   any
}

// ErrorResponse returns an error response that carries the reason.
func ErrorResponse(status int, reason string) Response {
	return Response{Status: status, Body: map[string]any{"error": map[string]any{"reason": reason}}}
}

// Write sends the response as JSON.
func (a Response) Write(w http.ResponseWriter) {
	if a.Status == 0 {
		panic(http.ErrAbortHandler) // closes the connection
	}
	data, err := json.Marshal(a.Body)
	if err != nil {
		panic("standin: encode response: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Status)
	w.Write(data)
}

// Decode reads a JSON body into body. If it returns false, the body was
// malformed and the error response has been sent.
func Decode(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, BodyLimit)).Decode(body)
	if err != nil {
		ErrorResponse(http.StatusBadRequest, err.Error()).Write(w)
	}
	return err == nil
}

// Query runs query on the state and sends the response that query pushes to
// reply. query may push it after it has returned; reply has one slot.
func (s *Server[S]) Query(
	w http.ResponseWriter, r *http.Request, query func(state S, now time.Time, reply *ring.Ring[Response]),
) {
	reply := ring.New[Response](1)
	if s.Submit(func(state S, now time.Time) { query(state, now, reply) }) != nil {
		ErrorResponse(http.StatusServiceUnavailable, "overloaded").Write(w)
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
			ErrorResponse(http.StatusUnauthorized, "unauthorized").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
