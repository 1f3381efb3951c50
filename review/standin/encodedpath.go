package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainServer stands in for a backend server of plain requests. It is sound.
type plainServer struct {
	record      *record
	id, service string

	mu   sync.Mutex
	runs map[string]string // targets by request id
}

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request_id"])
	w.Header().Set(names["request_id"], id)
	if expected := r.Header.Get(names["expect"]); expected != "" && expected != s.id {
		w.Header().Set(names["instance"], s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller has left
	}
	s.mu.Lock()
	s.runs[id] = r.RequestURI
	s.mu.Unlock()
	s.record.event("server %s of service %s runs %s: %s %s", s.id, s.service, id, r.Method, r.RequestURI)
	w.Header().Set(names["seal"], "seal."+s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s of %s", r.RequestURI, s.service) // the caller may have left
}

// priceConfig is a configuration with a route of price lists. The second version
// adds a route below it, of another service.
func priceConfig(version int) map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": siteHost, names["prefix"]: prefix, "Kind": "safe", "TimeoutMs": 1500, "GoalMs": 250, "Priority": 2,
			"Service": service, "Attempts": 2,
		}
	}
	routes := []any{route("lists", "/lists/", "salon-app")}
	if version > 1 {
		routes = append(routes, route("chains", "/lists/chains/", "office-app"))
	}
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": "salon-app", "HealthPath": "/health", "MaxConns": 100},
			map[string]any{"Name": "office-app", "HealthPath": "/health", "MaxConns": 100},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	}
}

// playEncodedPath adds a route while clients go on asking for paths that contain an
// encoded slash.
func playEncodedPath(rec *record, binary string, trouble bool) (bool, error) {
	d, err := deploy(rec, binary, smallShape)
	defer d.stop()
	if err != nil {
		return false, err
	}
	var servers []*plainServer
	for i, service := range []string{"salon-app", "salon-app", "office-app"} {
		s := &plainServer{record: rec, id: fmt.Sprintf("i-%d", i+1), service: service, runs: map[string]string{}}
		address, err := serve(s)
		if err != nil {
			return false, err
		}
		d.platform.put("servers/"+s.id, map[string]any{
			"Service": service, "Address": address, "Zone": "ist-a", "Version": "v1", "Slots": 6, "State": "ready",
			"ColdLeftMs": 0, "CallSeq": 0, "born": time.Now().UnixMilli(),
		})
		servers = append(servers, s)
	}
	d.platform.put("op/config", priceConfig(1))
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	wrong, served, sent := 0, 0, 0
	ask := func(path, wanted string) {
		for _, front := range d.fronts {
			sent++
			id := fmt.Sprintf("r%04d", sent)
			answer := send(front.front(), clientRequest{id: id, method: http.MethodGet, path: path, deadline: 1500 * time.Millisecond})
			rec.event("client: %s asks %s for %s: %s", id, front.name, path, answer)
			if answer.ok() {
				served++
			}
			for _, s := range servers {
				s.mu.Lock()
				target, ran := s.runs[id]
				s.mu.Unlock()
				if ran && (s.service != wanted || target != path) {
					wrong++
					rec.event("ROUTE: %s for %s ran at service %s, the configuration names %s", id, target, s.service, wanted)
				}
			}
		}
	}
	round := func(chains string) {
		for i := range 5 {
			ask(fmt.Sprintf("/lists/%d", i), "salon-app")
			ask(fmt.Sprintf("/lists/chains%%2F%d", i), "salon-app")
			ask(fmt.Sprintf("/lists/chains/%d", i), chains)
		}
	}
	round("salon-app")
	chains := "salon-app"
	if trouble {
		rec.event("disruption: the operator adds a route for /lists/chains/ of service office-app")
		d.platform.put("op/config", priceConfig(2))
		chains = "office-app"
	}
	time.Sleep(2*time.Second + contact) // the bound for configurations, and more
	round(chains)
	rec.event("result: %d requests, %d served, %d ran at a service to which no configuration sends them", sent, served, wrong)
	if served*10 < sent*9 {
		return false, fmt.Errorf("too few requests were served to judge: %s", strings.TrimSpace(fmt.Sprint(served)))
	}
	return wrong == 0, nil
}
