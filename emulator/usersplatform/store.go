// Package usersplatform is a stand-in for the users' platform, on which the front
// and store roles run: its metadata store and the backend servers that are
// registered there. It implements the platform's published protocol, so that
// the roles run against it as they do on the platform.
package usersplatform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
)

// Store is the platform's metadata store, kept in memory.
type Store struct{ store *memstore.Store }

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store { return &Store{store: memstore.New(clock)} }

// Put writes the JSON encoding of value, as the operator or a backend server
// does.
func (s *Store) Put(ctx context.Context, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = s.store.Put(ctx, key, encoded, kvstore.AnyVersion, 0)
	return err
}

// Get reads a key.
func (s *Store) Get(ctx context.Context, key string) (kvstore.Item, error) {
	return s.store.Get(ctx, key)
}

// Delete removes a key.
func (s *Store) Delete(ctx context.Context, key string) error {
	return s.store.Delete(ctx, key, kvstore.AnyVersion)
}

// Handler returns the HTTP handler of the platform's protocol.
func (s *Store) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/kv-key", s.get)
	router.Get("/kv-range", s.list)
	router.Get("/kv-watch", s.watch)
	router.Post("/kv-txn", s.transact)
	router.Post("/kv-lease", s.grant)
	router.Post("/kv-keep/{id}", s.renew)
	router.Delete("/kv-lease-end/{id}", s.revoke)
	return router
}

// item is a key-value pair in the platform's JSON format.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Rev       int64
	Lease     int64 `json:",omitempty"`
	Tombstone bool  `json:",omitempty"`
}

// toItem converts an item of the store to the platform's format.
func toItem(i kvstore.Item) item {
	return item{Key: i.Key, Value: i.Value, Rev: int64(i.Version), Lease: int64(i.Lease)}
}

// writeJSON sends a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

// writeError sends the status that the protocol defines for an error.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, kvstore.ErrNotFound), errors.Is(err, kvstore.ErrLeaseLost):
		status = http.StatusNotFound
	case errors.Is(err, kvstore.ErrCompacted):
		status = http.StatusGone
	}
	w.WriteHeader(status)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	found, err := s.store.Get(r.Context(), r.URL.Query().Get("Key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, toItem(found))
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	found, revision, err := s.store.List(r.Context(), r.URL.Query().Get("PathPrefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	items := []item{}
	for _, entry := range found {
		items = append(items, toItem(entry))
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "StoreRevision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	if err := errors.Join(afterErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	found, revision, err := s.store.Watch(r.Context(), query.Get("PathPrefix"), kvstore.Version(after), time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	events := []item{}
	for _, change := range found {
		event := toItem(change.Item)
		event.Tombstone = change.Deleted
		events = append(events, event)
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
}

// transact serves transactions that write or delete one key, the only ones that
// the front and store roles send.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []item
		SetKeys     []item
		Remove      []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.SetKeys)+len(in.Remove) != 1 {
		http.Error(w, "a transaction of one key was expected", http.StatusBadRequest)
		return
	}
	expected := kvstore.AnyVersion
	if len(in.ExpectedRev) > 0 {
		expected = kvstore.Version(in.ExpectedRev[0].Rev)
	}
	var version kvstore.Version
	var err error
	if len(in.SetKeys) > 0 {
		set := in.SetKeys[0]
		version, err = s.store.Put(r.Context(), set.Key, set.Value, expected, kvstore.LeaseID(set.Lease))
	} else {
		err = s.store.Delete(r.Context(), in.Remove[0], expected)
	}
	switch {
	case errors.Is(err, kvstore.ErrConflict):
		current := item{Key: in.ExpectedRev[0].Key, Rev: int64(version)}
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []item{current}})
	case err != nil:
		writeError(w, err)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"Rev": version})
	}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 } //nolint:revive // the platform's JSON name
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := s.store.Grant(r.Context(), time.Duration(in.TtlMs)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": in.TtlMs})
}

// leaseIDFromPath returns the lease id in the request path, zero if it is
// malformed.
func leaseIDFromPath(r *http.Request) kvstore.LeaseID {
	id, err := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	if err != nil {
		return 0 // no lease has this id
	}
	return kvstore.LeaseID(id)
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	if err := s.store.Renew(r.Context(), leaseIDFromPath(r)); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	if err := s.store.Revoke(r.Context(), leaseIDFromPath(r)); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}
