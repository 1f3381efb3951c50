package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

// modelServer is a sound model server: it answers with a stream of events, or with those
// after the one that the request names.
type modelServer struct {
	id       string
	events   int           // of an answer; 0 for as many as the request's most tokens allow
	interval time.Duration // between events
	log      *record
	quiet    bool  // leaves the runs out of the record
	born     int64 // Unix time of its start, in ms

	mu   sync.Mutex
	runs map[string]int // by request id
}

func newModelServer(id string, events int, interval time.Duration, log *record) *modelServer {
	return &modelServer{id: id, events: events, interval: interval, log: log, born: time.Now().UnixMilli(), runs: map[string]int{}}
}

// ran returns how often a request has run.
func (s *modelServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// total returns how many requests have run.
func (s *modelServer) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Instance, s.id)
	if expected := r.Header.Get(names.Expect); expected != "" && expected != s.id {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"CallSeq":0,"Queued":0,"Running":0,`+
			`"KvUsed":0,"KvTotal":164954,"Handles":0,"born":%d}`, s.born) // the caller may have left
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // the caller has left
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	if !s.quiet {
		s.log.line("server %s runs %s, body of %d bytes", s.id, shorten(id), size)
	}
	w.Header().Set(names.Seal, "seal-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(names.LastEvent)) // none for a stream from its start
	events := s.events
	if events == 0 {
		events = mostEvents(r)
	}
	for i := first; i < events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i+1, i+1) // the caller may have left
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		select {
		case <-time.After(s.interval):
		case <-r.Context().Done():
			return
		}
	}
}

// tokensPerEvent is that of the service of the model servers.
const tokensPerEvent = 5

// mostEvents returns how many events the most tokens of a request make.
func mostEvents(r *http.Request) int {
	_, most, _ := strings.Cut(r.Header.Get(names.Tokens), ",")
	tokens, _ := strconv.Atoi(most) // without it there is no event
	return tokens / tokensPerEvent
}

// shorten returns a readable form of an id for the record.
func shorten(id string) string {
	if len(id) > 40 {
		return fmt.Sprintf("%q... (%d bytes)", id[:24], len(id))
	}
	return fmt.Sprintf("%q", id)
}

// serve serves a handler on a free port of an address until ctx ends, and returns the
// address with the port.
func serve(ctx context.Context, ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// register writes the registration of a server into the platform's store.
func register(ctx context.Context, store *usersplatform.Store, id, service, zone, address string, slots int, born int64) error {
	return store.Put(ctx, "servers/"+id, map[string]any{
		"Service": service, "Version": "v1", "Address": address, "Zone": zone, "Slots": slots, "State": "ready", "ColdLeftMs": 0, "CallSeq": 0,
		"born": born,
	})
}
