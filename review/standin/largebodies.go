package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case.
const (
	maxBodyBytes   = 4194304 // the operator's limit
	bodyBytes      = 4000000 // what clients send
	usualClients   = 22
	burstClients   = 50                     // 2.27 times as many
	bodyWork       = 312 * time.Millisecond // the mean work of a posting
	bodyDeadline   = 6 * time.Second
	memoryLimitMB  = 134 // of a front
	memoryInterval = 10 * time.Millisecond
	bodyServers    = 8
)

// postServer stands in for a backend server of postings. It is sound.
type postServer struct {
	record *record
	id     string
	quiet  bool // what it runs is not written to the record

	mu   sync.Mutex
	runs map[string]int // bytes by request id
}

func (s *postServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request_id"])
	w.Header().Set(names["request_id"], id)
	if expected := r.Header.Get(names["expect"]); expected != "" && expected != s.id {
		w.Header().Set(names["instance"], s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	count, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // the caller has left
	}
	s.mu.Lock()
	s.runs[id] = int(count)
	s.mu.Unlock()
	if !s.quiet {
		s.record.event("server %s runs %s with a body of %d bytes", s.id, id, count)
	}
	time.Sleep(bodyWork)
	w.Header().Set(names["seal"], "seal."+s.id+"."+id)
	_, _ = fmt.Fprintf(w, "posted %s", id) // the caller may have left
}

// residentMB returns the memory that a process has for itself, in MB: without the pages of
// its program file.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // it has ended
	}
	_, after, _ := strings.Cut(string(status), "RssAnon:")
	text, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	kilobytes, _ := strconv.Atoi(text) // 0 if it has ended
	return kilobytes / 1024
}

// enforceMemory kills a front that uses more than its memory, as the platform does,
// and starts it again after a short delay.
func enforceMemory(d *deployment, h *host, stop *atomic.Bool, peak, kills *atomic.Int64) error {
	for !stop.Load() {
		used := residentMB(h.process.Process.Pid)
		peak.Store(max(peak.Load(), int64(used)))
		if used <= memoryLimitMB {
			time.Sleep(memoryInterval)
			continue
		}
		kills.Add(1)
		d.record.event("platform: %s uses %d MB of %d MB and is killed", h.name, used, memoryLimitMB)
		if err := d.restart(h, syscall.SIGKILL, 500*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// postConfig is a configuration with one route of postings.
func postConfig() map[string]any {
	return map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "posts", "Host": siteHost, names["prefix"]: "/posts/", "Kind": "unsafe", "TimeoutMs": 6000, "GoalMs": 1200, "Priority": 2,
			"Service": "billing-app", "Attempts": 1,
		}},
		"Services": []any{map[string]any{"Name": "billing-app", "HealthPath": "/health", "MaxConns": 96}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	}
}

// playLargeBodies lets many clients send long bodies at once, all within the limits
// that the operator has set.
func playLargeBodies(rec *record, binary string, trouble bool) (bool, error) {
	d, err := deploy(rec, binary, shape{stores: 4, fronts: 2, memoryMB: memoryLimitMB})
	defer d.stop()
	if err != nil {
		return false, err
	}
	var servers []*postServer
	for i := range bodyServers {
		s := &postServer{record: rec, id: fmt.Sprintf("i-%d", i+1), runs: map[string]int{}}
		address, err := serve(s)
		if err != nil {
			return false, err
		}
		d.platform.put("servers/"+s.id, map[string]any{
			"Service": "billing-app", "Address": address, "Zone": "ist-a", "Version": "v1", "Slots": 6, "State": "ready",
			"ColdLeftMs": 0, "CallSeq": 0, "born": time.Now().UnixMilli(),
		})
		servers = append(servers, s)
	}
	d.platform.put("op/config", postConfig())
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	var stop atomic.Bool
	var peak, kills, sent, answered, lost atomic.Int64
	var watching, posting sync.WaitGroup
	for _, h := range d.fronts {
		watching.Go(func() {
			if err := enforceMemory(d, h, &stop, &peak, &kills); err != nil {
				rec.event("%s could not be started again: %v", h.name, err)
			}
		})
	}
	post := func(client, number, length int) {
		body := strings.Repeat("tank 7 pumped over 12.5 t; ", length/27)
		id := fmt.Sprintf("c%02d-%d", client, number)
		front := d.fronts[(client+number)%len(d.fronts)]
		sent.Add(1)
		answer := send(front.front(), clientRequest{id: id, method: http.MethodPost, path: "/posts/4b", body: body, deadline: bodyDeadline})
		rec.event("client: %s with %d bytes at %s: %s", id, len(body), front.name, answer)
		if answer.ok() {
			answered.Add(1)
			return
		}
		ran := false
		for _, s := range servers {
			s.mu.Lock()
			_, here := s.runs[id]
			s.mu.Unlock()
			ran = ran || here
		}
		if ran && answer.status == 0 && answer.kept {
			lost.Add(1)
			rec.event("LOST: %s came on a kept channel and was passed on to a server, and the channel ended without an answer", id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	clientCount := usualClients
	if trouble {
		rec.event("disruption: many clients come at once")
		clientCount = burstClients
	}
	for client := range clientCount {
		posting.Go(func() {
			post(client, 0, 600) // short ones first, which open the channels
			post(client, 1, 600)
			for number := 2; number < 8; number++ {
				post(client, number, bodyBytes)
			}
		})
	}
	posting.Wait()
	stop.Store(true)
	watching.Wait()
	rec.event("result: %d sent, %d answered, %d passed on and never answered; fronts were killed %d times, at most %d MB of %d MB were seen",
		sent.Load(), answered.Load(), lost.Load(), kills.Load(), peak.Load(), memoryLimitMB)
	return lost.Load() <= 3, nil
}
