// Package usersplatform is a stand-in for the users' platform: its metadata
// store, and backend servers that register there. It speaks the published
// protocol, so that the roles run on it as they do on the platform.
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

// Store is the metadata store.
type Store struct{ content *memstore.Store }

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store { return &Store{content: memstore.New(clock)} }

// Put writes a key as the operator or a backend server does.
func (s *Store) Put(ctx context.Context, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = s.content.Put(ctx, key, encoded, kvstore.AnyVersion, 0)
	return err
}

// Get reads a key.
func (s *Store) Get(ctx context.Context, key string) (kvstore.Item, error) {
	return s.content.Get(ctx, key)
}

// Delete removes a key.
func (s *Store) Delete(ctx context.Context, key string) error {
	return s.content.Delete(ctx, key, kvstore.AnyVersion)
}

// Handler serves the protocol.
func (s *Store) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/kv-key", s.get)
	router.Get("/kv-range", s.list)
	router.Get("/kv-watch", s.watch)
	router.Post("/kv-txn", s.transact)
	router.Post("/kv-lease", s.grant)
	router.Post("/kv-keep/{id}", s.keep)
	router.Delete("/kv-lease-end/{id}", s.end)
	return router
}

type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Rev       int64
	Lease     int64 `json:",omitempty"`
	Tombstone bool  `json:",omitempty"`
}

func encode(i kvstore.Item) item {
	return item{Key: i.Key, Value: i.Value, Rev: int64(i.Version), Lease: int64(i.Lease)}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may be gone
}

// refuse maps an error to the status that the protocol gives it.
func refuse(w http.ResponseWriter, err error) {
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
	found, err := s.content.Get(r.Context(), r.URL.Query().Get("Key"))
	if err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusOK, encode(found))
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	found, revision, err := s.content.List(r.Context(), r.URL.Query().Get("PathPrefix"))
	if err != nil {
		refuse(w, err)
		return
	}
	items := []item{}
	for _, one := range found {
		items = append(items, encode(one))
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "StoreRevision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	if err := errors.Join(afterErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	found, revision, err := s.content.Watch(r.Context(), query.Get("PathPrefix"), kvstore.Version(after), time.Duration(wait)*time.Millisecond)
	if err != nil {
		refuse(w, err)
		return
	}
	events := []item{}
	for _, one := range found {
		event := encode(one.Item)
		event.Tombstone = one.Deleted
		events = append(events, event)
	}
	answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
}

// transact serves transactions of one key, the only ones that the product
// sends.
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
		version, err = s.content.Put(r.Context(), set.Key, set.Value, expected, kvstore.LeaseID(set.Lease))
	} else {
		err = s.content.Delete(r.Context(), in.Remove[0], expected)
	}
	switch {
	case errors.Is(err, kvstore.ErrConflict):
		current := item{Key: in.ExpectedRev[0].Key, Rev: int64(version)}
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{current}})
	case err != nil:
		refuse(w, err)
	default:
		answer(w, http.StatusOK, map[string]any{"Rev": version})
	}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := s.content.Grant(r.Context(), time.Duration(in.TtlMs)*time.Millisecond)
	if err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": in.TtlMs})
}

func leaseOf(r *http.Request) kvstore.LeaseID {
	id, err := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	if err != nil {
		return 0 // no lease has this id
	}
	return kvstore.LeaseID(id)
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	if err := s.content.Renew(r.Context(), leaseOf(r)); err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	if err := s.content.Revoke(r.Context(), leaseOf(r)); err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}
