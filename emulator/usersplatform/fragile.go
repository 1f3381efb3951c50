package usersplatform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dogwoodline.example/ring"
)

// CrashPath marks the paths of requests that end a FragileBackend.
const CrashPath = "/crash"

const (
	// fragileRestartDelay is the time from the end of a FragileBackend to its next
	// start.
	fragileRestartDelay = 800 * time.Millisecond
	// fragileLapse is the time from its end to the removal of its registration.
	fragileLapse = 500 * time.Millisecond
)

// End is the end of a backend server.
type End struct {
	// Path is that of the request under which the server ended.
	Path string
	At   time.Time
}

// FragileBackend is a backend server that ends when it begins to run a request
// whose path contains CrashPath. It starts again after a while at the same
// address, with another id. It refuses all other requests, as a full server does.
type FragileBackend struct {
	name   string
	silent bool
	store  *Store
	ended  *ring.Ring[End] // the end of the current start; capacity 1

	mu   sync.Mutex
	runs []End // requests that it began to run
}

// NewFragileBackend returns a backend server that is registered in the store while
// Run runs. A silent one does not close its connections when it ends: they stay
// open without an answer until it starts again.
func NewFragileBackend(name string, silent bool, store *Store) *FragileBackend {
	return &FragileBackend{name: name, silent: silent, store: store, ended: ring.New[End](1)}
}

// Runs returns the requests that the server began to run, each of which ended it.
func (b *FragileBackend) Runs() []End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]End(nil), b.runs...)
}

// Run starts the server again after each of its ends, until ctx ends.
func (b *FragileBackend) Run(ctx context.Context) error {
	address := "127.0.0.1:0"
	for start := 1; ctx.Err() == nil; start++ {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		address = listener.Addr().String() // it keeps its address
		if err := b.runOnce(ctx, listener, fmt.Sprintf("%s-%d", b.name, start)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// runOnce serves until the server ends and its next start is due.
func (b *FragileBackend) runOnce(ctx context.Context, listener net.Listener, id string) error {
	down := make(chan struct{})
	server := &http.Server{Handler: b.handler(id, down), ReadHeaderTimeout: time.Minute}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener) // ends with the server
	}()
	stop := sync.OnceFunc(func() {
		_ = server.Close()
		<-served
	})
	defer stop()
	defer close(down)
	if err := b.store.Put(ctx, "servers/"+id, map[string]any{
		"Service": FragileService, "Version": "v1", "Address": listener.Addr().String(), "Zone": "a", "Slots": 8, "State": "ready", "born": time.Now().UnixMilli(),
	}); err != nil {
		return err
	}
	if _, err := b.ended.Pop(ctx); err != nil {
		return err
	}
	if !b.silent {
		stop()
	}
	for _, step := range []struct {
		wait time.Duration
		do   func() error
	}{
		{fragileLapse, func() error { return b.store.Delete(ctx, "servers/"+id) }},
		{fragileRestartDelay - fragileLapse, func() error { return nil }},
	} {
		select {
		case <-time.After(step.wait):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := step.do(); err != nil {
			return err
		}
	}
	return nil
}

func (b *FragileBackend) handler(id string, down chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		expected := r.Header.Get("X-Expect-Instance")
		switch {
		case expected != "" && expected != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		case !strings.Contains(r.URL.Path, CrashPath):
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		run := End{Path: r.URL.Path, At: time.Now()}
		if b.ended.TryPush(run) == nil { // else the server is ending under another request
			b.mu.Lock()
			b.runs = append(b.runs, run)
			b.mu.Unlock()
		}
		<-down
		panic(http.ErrAbortHandler) // no answer
	}
}
