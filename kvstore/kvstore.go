// Package kvstore defines the interfaces of the platform's services: the
// key-value store, the host list and the store of model weights.
//
// All clients of the platform share the key-value store, which sustains
// several hundred writes and about 2,000 reads a second. Callers therefore
// budget their calls; package budgeted enforces the budget of a node.
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
	// ErrConflict reports that the key does not have the version that the
	// write expects. The write did not take effect.
	ErrConflict = Error.New("version conflict")
	// ErrAmbiguous reports that the response to a write was lost. The write
	// may or may not have taken effect.
	ErrAmbiguous = Error.New("answer lost, write may have taken effect")
	// ErrUnavailable reports that the store refused the call or could not be
	// reached. The call had no effect.
	ErrUnavailable = Error.New("store unavailable")
	// ErrLeaseLost reports that the lease has expired or was revoked.
	ErrLeaseLost = Error.New("lease lost")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = Error.New("value too large")
	// ErrRateLimited reports that the platform refused the call because of
	// its rate limit. The call had no effect.
	ErrRateLimited = Error.New("rate limited")
	// ErrCompacted reports that the store no longer holds every change after
	// the revision of a watch. The caller must list the prefix again and
	// watch from the revision of that listing.
	ErrCompacted = Error.New("revision compacted")
)

// MaxValueBytes is the largest value that the store holds, in bytes.
const MaxValueBytes = 1 << 20

// Version is the store-wide revision at which a key was last written. It keeps
// increasing when a key is deleted and created again.
type Version int64

const (
	// Absent as the expected version means that the key must not exist.
	Absent Version = 0
	// AnyVersion makes a write unconditional.
	AnyVersion Version = -1
)

// LeaseID identifies a lease. The zero value means no lease.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// Event is a change of one key. The event of a deletion has the revision of
// the deletion as its version, and no value.
type Event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's key-value store. Each call of a method counts once
// against the platform's rate limits, including a Watch that waits.
type Store interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Put writes the value if the key has the expected version, and returns
	// the new version. It fails with ErrConflict and the current version, or
	// with ErrAmbiguous, ErrUnavailable, ErrRateLimited, ErrLeaseLost or
	// ErrTooLarge. A key written with a lease is deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, expected Version, lease LeaseID) (Version, error)
	// Delete removes the key if it has the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns all items whose keys have the prefix, sorted by key, and
	// the revision of the store at which they were read.
	List(ctx context.Context, prefix string) ([]Item, Version, error)
	// Watch returns the changes under the prefix after the given revision,
	// and the revision to continue from. If there are none, it waits for a
	// change, but no longer than wait. It returns ErrCompacted if the store
	// no longer holds every change after the revision.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its time to live, or returns ErrLeaseLost.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// StaleLister is implemented by stores that can also list from a replica, which
// costs them less.
type StaleLister interface {
	// ListStale is List, but the items may be some seconds old. A watch from the
	// returned revision delivers all changes since, and may deliver some that the
	// items already have.
	ListStale(ctx context.Context, prefix string) ([]Item, Version, error)
}

// HostState tells whether a host may receive new work.
type HostState string

const (
	// HostLive hosts may receive work.
	HostLive HostState = "live"
	// HostLeaving hosts finish the work they have and receive no new work.
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list. The list lags behind the
// actual state of the hosts.
type Host struct {
	Name    string    `json:"name"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	State   HostState `json:"state"`
}

// HostList is the platform's list of hosts, see Host.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve requests permission to load the weights of a model, which have
	// the given size. It returns how long to wait before the load may start.
	Reserve(ctx context.Context, model string, bytes int64) (time.Duration, error)
}
