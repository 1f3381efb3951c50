package usersplatform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// WorkService is the service of the WorkBackends.
	WorkService = "work"
	// WorkPath is the path of its route, whose calls may not be repeated and have a
	// long timeout.
	WorkPath = "/work/"
	// workSlots and workQueue are how many requests a WorkBackend runs at a time and
	// how many more wait there.
	workSlots = 6
	workQueue = 24
	// shortWork and longWork bound how long requests run. longWorkShare of them run
	// longer than shortWork.
	shortWork     = 150 * time.Millisecond
	longWork      = 1500 * time.Millisecond
	leastWork     = 40 * time.Millisecond
	longWorkShare = 0.1
)

// WorkBackend is a backend server of a plain service. Its requests take time, and it
// refuses those for which it has no room.
type WorkBackend struct {
	ID string

	mu       sync.Mutex
	admitted int
	stall    time.Duration  // that is added to the work of long requests
	runs     map[string]int // by request id
	slots    chan struct{}
}

// NewWorkBackend returns a backend server with the given id.
func NewWorkBackend(id string) *WorkBackend {
	return &WorkBackend{ID: id, runs: map[string]int{}, slots: make(chan struct{}, workSlots)}
}

// Register registers the server under an address.
func (b *WorkBackend) Register(ctx context.Context, store *Store, address string) error {
	return store.Put(ctx, "servers/"+b.ID, map[string]any{
		"Service": WorkService, "Version": "v1", "Address": address, "Zone": "a", "Slots": workSlots, "State": "ready",
	})
}

// SetStall makes each further long request take longer by the given time.
func (b *WorkBackend) SetStall(stall time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stall = stall
}

// Runs returns how often each request ran, by id.
func (b *WorkBackend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := map[string]int{}
	for id, count := range b.runs {
		runs[id] = count
	}
	return runs
}

// admit reports whether there is room for one more request.
func (b *WorkBackend) admit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.admitted >= workSlots+workQueue {
		return false
	}
	b.admitted++
	return true
}

// begin records that a request runs and returns how long it takes.
func (b *WorkBackend) begin(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	if rand.Float64() < longWorkShare {
		return shortWork + rand.N(longWork-shortWork) + b.stall
	}
	return leastWork + rand.N(shortWork-leastWork)
}

func (b *WorkBackend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitted--
}

// ServeHTTP runs a request, unless it expects another server or there is no room.
func (b *WorkBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.ID {
		w.Header().Set("X-Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller has left
	}
	if !b.admit() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.leave()
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	select {
	case <-time.After(b.begin(id)):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	_, _ = fmt.Fprint(w, "done ", id) // the caller may have left
}
