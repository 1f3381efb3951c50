package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store, or a change of it.
type item struct {
	Key            string
	Value          []byte `json:",omitempty"`
	Rev            int64
	CreateRevision int64 `json:",omitempty"`
	Lease          int64 `json:",omitempty"`
	Tombstone      bool  `json:",omitempty"`
}

// lease holds the time at which a lease ends unless it is renewed.
type lease struct {
	length time.Duration
	ends   time.Time
}

// platformStore stands in for the platform's metadata store. It keeps its whole
// history, and answers at once.
type platformStore struct {
	mu       sync.Mutex
	changed  chan struct{} // closed at the next change
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	last     int64 // lease number given out last
}

func newPlatformStore() *platformStore {
	return &platformStore{changed: make(chan struct{}), items: map[string]item{}, leases: map[int64]*lease{}, revision: 1}
}

// run ends leases until the process exits.
func (s *platformStore) run() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *platformStore) endLease(id int64) {
	delete(s.leases, id)
	for key, held := range s.items {
		if held.Lease == id {
			s.write(key, nil, 0, true)
		}
	}
}

// write changes a key. The caller holds the lock.
func (s *platformStore) write(key string, value []byte, leaseID int64, remove bool) {
	s.revision++
	change := item{Key: key, Value: value, Rev: s.revision, Lease: leaseID, Tombstone: remove, CreateRevision: s.revision}
	if remove {
		change.Value = nil
		delete(s.items, key)
	} else {
		if known, ok := s.items[key]; ok {
			change.CreateRevision = known.CreateRevision
		}
		s.items[key] = change
	}
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the JSON encoding of a value, as the operator and backend servers do.
func (s *platformStore) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, encoded, 0, false)
}

func (s *platformStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(names["get"], s.serveGet)
	mux.HandleFunc(names["list"], s.serveList)
	mux.HandleFunc(names["watch"], s.serveWatch)
	mux.HandleFunc(names["transact"], s.serveTransact)
	mux.HandleFunc(names["grant"], s.serveGrant)
	mux.HandleFunc(names["renew"], s.serveRenew)
	mux.HandleFunc(names["revoke"], s.serveRevoke)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

func (s *platformStore) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("Key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *platformStore) serveList(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get(names["prefix"])
	s.mu.Lock()
	found := []item{}
	for key, held := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, held)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": found, "HasMore": false, names["revision"]: revision})
}

func (s *platformStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get(names["prefix"])
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64) // 0 if missing
	wait, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64) // 0 if missing
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events, revision, changed := s.since(prefix, after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, names["revision"]: revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision. The caller holds the lock.
func (s *platformStore) since(prefix string, after int64) []item {
	events := []item{}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
	for _, change := range s.history[start:] {
		if strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events
}

func (s *platformStore) serveTransact(w http.ResponseWriter, r *http.Request) {
	fields := map[string]json.RawMessage{}
	var conditions, sets []item
	var removes []string
	err := json.NewDecoder(r.Body).Decode(&fields)
	for name, into := range map[string]any{"conditions": &conditions, "sets": &sets, "removes": &removes} {
		if raw, ok := fields[names[name]]; ok && err == nil {
			err = json.Unmarshal(raw, into)
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []item{}, true
	for _, c := range conditions {
		held := s.items[c.Key] // revision 0 if there is none
		held.Key = c.Key
		current = append(current, held)
		met = met && held.Rev == c.Rev
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, set := range sets {
		if _, ok := s.leases[set.Lease]; set.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, set := range sets {
		s.write(set.Key, set.Value, set.Lease, false)
	}
	for _, key := range removes {
		s.write(key, nil, 0, true)
	}
	reply(w, http.StatusOK, map[string]any{"Rev": s.revision})
}

func (s *platformStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	in := map[string]int64{}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	length := time.Duration(in["TtlMs"]) * time.Millisecond
	s.mu.Lock()
	s.last++
	id := s.last
	s.leases[id] = &lease{length: length, ends: time.Now().Add(length)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{"Lease": id, "TtlMs": in["TtlMs"]})
}

func (s *platformStore) serveRenew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // no lease has number 0
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.ends = time.Now().Add(l.length)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *platformStore) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64) // no lease has number 0
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}

// remove removes a key.
func (s *platformStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, nil, 0, true)
}
