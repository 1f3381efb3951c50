package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// streamServer stands in for a backend server of streams. It is sound: it runs what
// it gets, and says whose request it answers.
type streamServer struct {
	record   *record
	id       string
	version  string
	events   int
	interval time.Duration

	mu   sync.Mutex
	runs map[string]string // bodies by request id
}

func newStreamServer(rec *record, id, version string, events int, interval time.Duration) *streamServer {
	return &streamServer{record: rec, id: id, version: version, events: events, interval: interval, runs: map[string]string{}}
}

// register writes the server's entry.
func (s *streamServer) register(platform *platformStore, service, address string) {
	platform.put("servers/"+s.id, map[string]any{
		"Service": service, "Address": address, "Zone": "ist-a", "Version": s.version, "Slots": 12, "State": "ready",
		"ColdLeftMs": 0, "CallSeq": 0, "born": time.Now().UnixMilli(),
	})
}

// ran returns the body with which a request ran here.
func (s *streamServer) ran(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.runs[id]
	return body, ok
}

func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request_id"])
	w.Header().Set(names["request_id"], id)
	if expected := r.Header.Get(names["expect"]); expected != "" && expected != s.id {
		w.Header().Set(names["instance"], s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left
	}
	s.mu.Lock()
	s.runs[id] = string(body)
	s.mu.Unlock()
	s.record.event("server %s runs %s with a body of %d bytes", s.id, id, len(body))
	w.Header().Set(names["seal"], "seal."+s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(names["last_event"])) // 0 for a stream from its start
	for event := last + 1; event <= s.events; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", event, id, event) // the caller may have left
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

// output returns what the system keeps of a whole answer: the data of its events.
func (s *streamServer) output(id string) string {
	out := ""
	for event := 1; event <= s.events; event++ {
		out += fmt.Sprintf("%s-%d\n", id, event)
	}
	return out
}
