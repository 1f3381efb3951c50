package usersplatform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// StreamService is the service of the StreamBackends.
	StreamService = "streams"
	// StreamPath is the path of their route, whose streams may be resumed.
	StreamPath = "/streams/"
	// StreamEvents is the number of events of a stream.
	StreamEvents = 8
	// streamEventInterval is the time between them.
	streamEventInterval = 15 * time.Millisecond
	// breakOffShare is the share of responses that a StreamBackend breaks off, each
	// in the middle of an event.
	breakOffShare = 0.4
)

// StreamBackend is a backend server whose events hold the version of its software.
// It goes on after any event, whoever sent that.
type StreamBackend struct {
	ID      string
	Version string
}

// Register registers the server under an address.
func (b StreamBackend) Register(ctx context.Context, store *Store, address string) error {
	return store.Put(ctx, "servers/"+b.ID, map[string]any{
		"Service": StreamService, "Version": b.Version, "Address": address, "Zone": "a", "Slots": 8, "State": "ready",
	})
}

// ServeHTTP sends the events after the one that the request names.
func (b StreamBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != b.ID {
		w.Header().Set("X-Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none for a stream from its start
	end := StreamEvents
	if rand.Float64() < breakOffShare {
		end = last + rand.IntN(StreamEvents-last+1)
	}
	for event := last + 1; event <= end; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, b.Version) // the client may have disconnected
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		select {
		case <-time.After(streamEventInterval):
		case <-r.Context().Done():
			return
		}
	}
	if end < StreamEvents {
		_, _ = fmt.Fprintf(w, "id: %d\nda", end+1)
		panic(http.ErrAbortHandler)
	}
}
