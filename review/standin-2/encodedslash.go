package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Routes of two plain services. The second one is added later, below the first one's prefix.
const (
	listsRoute    = `{"Name":"r-lists","Host":"ficu95.example","PathPrefix":"/pule252/","Kind":"unsafe","TimeoutMs":4000,"GoalMs":800,"Priority":2,"Service":"wuno96b"}`
	postingsRoute = `{"Name":"r-postings","Host":"ficu95.example","PathPrefix":"/pule252/post/","Kind":"unsafe","TimeoutMs":4000,"GoalMs":800,"Priority":2,"Service":"kavu31c"}`
	listsService  = `{"Name":"wuno96b","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}`
	postService   = `{"Name":"kavu31c","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}`
)

// plainServer is a sound plain server. It notes the targets of the requests that it runs, by
// their ids.
type plainServer struct {
	id, service string
	log         *record

	mu   sync.Mutex
	runs map[string]string
}

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Instance, s.id)
	if expected := r.Header.Get(names.Expect); expected != "" && expected != s.id {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller has left
	}
	s.mu.Lock()
	s.runs[id] = r.RequestURI
	s.mu.Unlock()
	s.log.line("service %s, server %s runs %s: %s %s", s.service, s.id, id, r.Method, r.RequestURI)
	w.Header().Set(names.Seal, "seal-"+s.id)
	_, _ = io.WriteString(w, "done "+id) // the caller may have left
}

// encodedSlash has callers send calls whose paths have an encoded slash. Without the
// disruption, the paths have a dash there.
func encodedSlash(d *deployment, trouble bool) (verdict, error) {
	var servers []*plainServer
	for i := range 8 {
		s := &plainServer{id: fmt.Sprintf("i-%08x", 0x51c07be2+i), service: []string{"wuno96b", "kavu31c"}[i%2], log: d.log, runs: map[string]string{}}
		address, err := serve(d.ctx, fmt.Sprintf("%s.%d", d.net, 100+i), s)
		if err == nil {
			err = register(d.ctx, d.platform, s.id, s.service, zones[i%len(zones)], address, 6, time.Now().UnixMilli())
		}
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
	}
	if err := d.configure(listsRoute+","+postingsRoute, listsService+","+postService); err != nil {
		return verdict{}, err
	}
	if err := d.startAll(2); err != nil {
		return verdict{}, err
	}
	between := "-"
	if trouble {
		between = "%2F"
	}
	// What the configuration allows for a target; empty for none.
	allowed := map[string]string{
		"/pule252/post" + between: "wuno96b", // begins with the prefix of r-lists only
		"/pule252" + between:      "",        // begins with no prefix
		"/pule252/post/":          "kavu31c",
		"/pule252/list/":          "wuno96b",
	}
	counts := map[string]int{}
	wrong := 0
	for _, front := range d.fronts() {
		client := newClient()
		for i := range 20 {
			for target, service := range allowed {
				id := fmt.Sprintf("%s-%d-%d", front.name, i, counts["sent"])
				status := post(client, front.front(), target+strconv.Itoa(i), id)
				ranAt := ""
				for _, s := range servers {
					s.mu.Lock()
					if s.runs[id] != "" {
						ranAt = s.service
					}
					s.mu.Unlock()
				}
				counts["sent"]++
				counts[fmt.Sprintf("%s: allowed %q, run by %q", target, service, ranAt)]++
				d.log.line("caller: %s POST %s%d: %d; allowed is %q, run by %q", id, target, i, status, service, ranAt)
				if ranAt != "" && ranAt != service {
					wrong++
					d.log.line("ROUTE: %s was run by %s, allowed is %q", id, ranAt, service)
				}
			}
		}
		client.CloseIdleConnections()
	}
	return verdict{broken: wrong > 0, text: fmt.Sprintf("calls run by a service to which no configuration allows them to go: %d; %v", wrong, counts)}, nil
}

// post sends a call and returns the status of its answer; 0 for none.
func post(client *http.Client, front, target, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+target, nil)
	if err != nil {
		return 0
	}
	request.Host = siteHost
	request.Header[names.RequestID] = []string{id}
	request.Header[names.Deadline] = []string{"4000"}
	reply, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = reply.Body.Close() }()
	_, _ = io.Copy(io.Discard, reply.Body) // only the status counts
	return reply.StatusCode
}
