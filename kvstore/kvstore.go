// Package kvstore is the interface to the platform's services: the small
// key-value store, the host list and the weight store.
//
// The store is shared by everybody and takes several hundred writes and about
// 2,000 reads a second, so callers of this package count their calls.
package kvstore

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("platform")

var (
	// ErrNotFound reports that the key has no value.
	ErrNotFound = Error.New("key not found")
	// ErrConflict reports that the compare-and-swap found another version.
	// The write did not take effect.
	ErrConflict = Error.New("version conflict")
	// ErrAmbiguous reports that the answer to a write was lost. The write may
	// or may not have taken effect.
	ErrAmbiguous = Error.New("answer lost, write may have taken effect")
	// ErrUnavailable reports that the store refused the call or could not be
	// reached, and that the call had no effect.
	ErrUnavailable = Error.New("store unavailable")
	// ErrLeaseLost reports that the lease has lapsed or was revoked.
	ErrLeaseLost = Error.New("lease lost")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = Error.New("value too large")
	// ErrRateLimited reports that the platform refused the call because of
	// its rate limit. The call had no effect.
	ErrRateLimited = Error.New("rate limited")
	// ErrCompacted reports that the store no longer holds all changes after
	// the revision of a watch. The caller lists the prefix and watches from
	// the revision of the list.
	ErrCompacted = Error.New("revision compacted")
)

// MaxValueBytes is the largest value that the store holds, in bytes.
const MaxValueBytes = 1 << 20

// Version is the store-wide revision at which a key was last written. It only
// grows, also over deletion and new creation of a key.
type Version int64

const (
	// Absent as the expected version means that the key must not exist.
	Absent Version = 0
	// AnyVersion makes a write unconditional.
	AnyVersion Version = -1
)

// LeaseID names a lease. The zero value means no lease.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// Event is a change of one key. Deleted events carry the revision of the
// deletion and no value.
type Event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's key-value store. Every method counts as one call
// against the platform's rate limits, a waiting Watch as one as well.
type Store interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Put writes the value when the key has the expected version and returns
	// the new version. It returns ErrConflict with the current version,
	// ErrAmbiguous, ErrUnavailable, ErrRateLimited, ErrLeaseLost or
	// ErrTooLarge. A key written with a lease is deleted when
	// the lease ends.
	Put(ctx context.Context, key string, value []byte, expected Version, lease LeaseID) (Version, error)
	// Delete removes the key when it has the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns all items whose keys have the prefix, in key order, and
	// the store's revision at that moment.
	List(ctx context.Context, prefix string) ([]Item, Version, error)
	// Watch returns the changes under the prefix after the given revision,
	// and the revision to continue from. It waits up to wait for a change.
	// It returns ErrCompacted when changes after the revision were dropped.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its time to live, or returns ErrLeaseLost.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// HostState tells whether a host may receive new work.
type HostState string

const (
	// HostLive hosts may receive work.
	HostLive HostState = "live"
	// HostLeaving hosts finish their work and receive no more.
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list. The list lags.
type Host struct {
	Name    string    `json:"name"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	State   HostState `json:"state"`
}

// HostList is the platform's lagging list of hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve asks for permission to load the weights of a model. It returns
	// the wait before the load may start.
	Reserve(ctx context.Context, model string, bytes int64) (time.Duration, error)
}
