package usersplatform

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Run is one request that a backend server ran.
type Run struct {
	RequestID string
	Body      string
}

// Backend is a backend server that answers streaming routes with a few events
// and all others with a short body. It remembers what it ran.
type Backend struct {
	// ID is its name in the metadata store.
	ID string
	// Events is the number of events of a stream.
	Events int

	mu    sync.Mutex
	runs  []Run
	pause time.Duration // between events
}

// SetPause sets the time between events.
func (b *Backend) SetPause(pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause = pause
}

// Runs returns what the backend server ran so far.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// ServeHTTP runs a request.
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
		return // the caller broke off
	}
	b.mu.Lock()
	b.runs = append(b.runs, Run{RequestID: id, Body: string(body)})
	pause := b.pause
	b.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal-"+id)
	if r.Header.Get("X-Token-Count") == "" {
		_, _ = fmt.Fprint(w, "done ", id) // the caller may be gone
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range b.Events {
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
