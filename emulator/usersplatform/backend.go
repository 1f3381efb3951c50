package usersplatform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that a backend server ran.
type Run struct {
	RequestID string
	Body      string
	At        time.Time
	// Organisation is the one that the system named; empty for none.
	Organisation string
	// HasKey says that the request still had the client's credentials.
	HasKey bool
}

// Backend is a backend server that answers requests of streaming routes with a
// few events, or those after the one that the request names, and all others with a
// short body. It records the requests it ran.
type Backend struct {
	// ID is the name of the server in the metadata store.
	ID string
	// Events is the number of events in a stream.
	Events int

	mu            sync.Mutex
	runs          []Run
	eventInterval time.Duration // between the events of a stream
	limit         float64       // that it names; 0 for none
}

// SetLimit sets the number of requests per second that the server says it takes
// from all fronts together; 0 for none.
func (b *Backend) SetLimit(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = perSecond
}

// SetPause sets the time between the events of a stream.
func (b *Backend) SetPause(interval time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.eventInterval = interval
}

// Runs returns the requests that the backend server has run so far.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// ServeHTTP records a request and answers it. A request that expects another
// server is answered with status 421 and does not run.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.ID {
		w.Header().Set("X-Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client disconnected
	}
	b.mu.Lock()
	b.runs = append(b.runs, Run{
		RequestID: id, Body: string(body), At: time.Now(), Organisation: r.Header.Get("X-Tenant"), HasKey: r.Header.Get("Authorization") != "",
	})
	pause, limit := b.eventInterval, b.limit
	b.mu.Unlock()
	if limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	if r.Header.Get("X-Token-Count") == "" {
		_, _ = fmt.Fprint(w, "done ", id) // the client may have disconnected
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none for a stream from its start
	for i := last; i < b.Events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i+1, id, i+1)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}
