package main

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	takenUpPrograms = 6
	takenUpEvents   = 17
	takenUpInterval = 70 * time.Millisecond
	killAfter       = 500 * time.Millisecond // a third of a stream
)

// resumableServer stands in for a model server whose streams may be resumed. It is
// sound: what it writes follows from the body alone, and it goes on after any event.
type resumableServer struct {
	record *record
	id     string

	mu   sync.Mutex
	runs map[string]string // bodies by request id
}

func (s *resumableServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	last, _ := strconv.Atoi(r.Header.Get(names["last_event"])) // 0 for a stream from its start
	s.record.event("server %s runs %s after event %d with the body %q", s.id, id, last, body)
	w.Header().Set(names["seal"], "seal."+s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= takenUpEvents; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %08x-%d\n\n", event, crc32.ChecksumIEEE(body), event) // the caller may have left
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		select {
		case <-time.After(takenUpInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// eventsOf returns the ids and the data of the whole events of an answer.
func eventsOf(body string) (lastID, output string) {
	for {
		event, rest, whole := strings.Cut(body, "\n\n")
		if !whole {
			return lastID, output
		}
		head, data, _ := strings.Cut(event, "\ndata: ")
		lastID, output, body = strings.TrimPrefix(head, "id: "), output+data+"\n", rest
	}
}

// takenUpConfig is a configuration with one route, whose turns are kept and whose
// streams may be resumed.
func takenUpConfig() map[string]any {
	config := turnsConfig()
	for _, route := range config["Routes"].([]any) {
		route.(map[string]any)["Resumable"] = true
	}
	return config
}

// resumedTurn is a turn that a client takes up at another front if its channel
// breaks.
type resumedTurn struct {
	id     string // of the attempt whose answer ended
	output string // the data of all events
	whole  bool
}

// takeTurn sends a turn and takes it up once.
func takeTurn(d *deployment, name, input, previous string, fronts []*host) resumedTurn {
	turn := resumedTurn{}
	first, lastID, started := "", "", time.Now()
	for try, front := range fronts {
		turn.id = fmt.Sprintf("%s-%d", name, try+1)
		request := clientRequest{
			id: turn.id, method: http.MethodPost, path: "/turns/4b", body: input, deadline: turnDeadline - time.Since(started),
			header: map[string]string{"program": name[:3], "session": name[:3], "finish": "20000", "budget": "1088", "tokens": "1840,68"},
		}
		if previous != "" {
			request.header["previous"] = previous
		}
		if lastID != "" {
			request.header["last_event"], request.header["resumes"] = lastID, first
		}
		answer := send(front.front(), request)
		if answer.status == http.StatusOK {
			last, output := eventsOf(answer.body)
			if output != "" {
				lastID, turn.output = last, turn.output+output
				if first == "" {
					first = turn.id
				}
			}
		}
		d.record.event("client: %s at %s after event %q, previous turn %q: %s; last event now %q", turn.id, front.name, request.header["last_event"],
			previous, answer, lastID)
		if answer.ok() {
			turn.whole = true
			return turn
		}
	}
	return turn
}

// playTakenUp kills a front while it passes on streams that are taken up elsewhere,
// and looks at what the next turns consist of.
func playTakenUp(rec *record, binary string, trouble bool) (bool, error) {
	d, err := deploy(rec, binary, smallShape)
	defer d.stop()
	if err != nil {
		return false, err
	}
	var servers []*resumableServer
	for i := range 3 {
		s := &resumableServer{record: rec, id: fmt.Sprintf("i-%d", i+1), runs: map[string]string{}}
		address, err := serve(s)
		if err != nil {
			return false, err
		}
		d.platform.put("servers/"+s.id, map[string]any{
			"Service": "llm", "Address": address, "Zone": "ist-a", "Version": "v1", "Slots": 12, "State": "ready",
			"ColdLeftMs": 0, "CallSeq": 0, "born": time.Now().UnixMilli(),
		})
		servers = append(servers, s)
	}
	d.platform.put("op/config", takenUpConfig())
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	lost, other := d.fronts[0], d.fronts[1]
	firsts := make([]resumedTurn, takenUpPrograms)
	var running sync.WaitGroup
	for i := range firsts {
		running.Go(func() {
			firsts[i] = takeTurn(d, fmt.Sprintf("p%02d-first", i), fmt.Sprintf("question %d\n", i), "", []*host{lost, other, other})
		})
	}
	time.Sleep(killAfter)
	if trouble {
		if err := d.restart(lost, syscall.SIGKILL, time.Second); err != nil {
			return false, err
		}
	}
	running.Wait()
	wrong, checked := 0, 0
	for i, first := range firsts {
		if !first.whole {
			continue
		}
		input := fmt.Sprintf("next question %d\n", i)
		wanted := fmt.Sprintf("question %d\n", i) + first.output + input
		second := takeTurn(d, fmt.Sprintf("p%02d-second", i), input, first.id, []*host{other, other})
		for _, s := range servers {
			s.mu.Lock()
			got, ran := s.runs[second.id]
			s.mu.Unlock()
			if !ran {
				continue
			}
			checked++
			if got != wanted {
				wrong++
				rec.event("UNASKED: %s ran with %q, the inputs and outputs so far are %q", second.id, got, wanted)
			}
		}
	}
	rec.event("result: %d first turns, %d next turns ran, %d of them with a body that is not the chain's inputs and outputs", len(firsts), checked, wrong)
	if checked == 0 {
		return false, fmt.Errorf("no next turn ran")
	}
	return wrong == 0, nil
}
