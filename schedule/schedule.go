// Package schedule decides which waiting call runs next on which backend
// server. It is a pure state machine: the caller passes in the time and the
// seed of random numbers, and the package does no I/O and knows no message
// encoding.
//
// A Scheduler has no locks; only one goroutine may use it.
package schedule

import (
	"time"

	"dogwoodline.example/outcome"
)

// CallID identifies a call on the node that schedules it.
type CallID uint64

// BackendID is the name of the resource that declares a backend server.
type BackendID string

// Request is a call that waits for a slot on a backend server.
type Request struct {
	ID      CallID
	Pool    string // the group of backend servers that may run the call
	Program string // the agent program that makes the call
	Tenant  string // the tenant that sent the call
	Class   string // generated tokens and durations are predicted per class
	// Priority is the declared priority of the class, higher first.
	Priority int
	// Attained is the service that the whole program has received so far, in
	// budget units. Policies that favour programs with little attained service
	// use it, since the calls of a program are unknown until it runs.
	Attained int64
	// Prefix holds one hash per block of the prompt, for matching against
	// cached prefixes. Each hash covers the prompt from its start to the end
	// of the block.
	Prefix []uint64
	// PromptTokens and MaxTokens bound the work of the call. MaxTokens is
	// zero for calls that generate no tokens.
	PromptTokens int
	MaxTokens    int
	// Arrived is the time at which the call became runnable.
	Arrived time.Time
	// Deadline is the time after which the call must not be started. It must
	// be set.
	Deadline time.Time
	// Isolated isolates a call that is suspected of crashing backend servers:
	// it starts only on a backend server that runs no other calls, and no
	// other call starts there until it ends.
	Isolated bool
	// Exclude lists backend servers that must not run the call again, because
	// they refused it or were lost while they ran it.
	Exclude []BackendID
	// Idempotent allows a second copy of the call to run as a hedge.
	Idempotent bool
}

// Backend is a backend server as the resources and the host list declare it.
type Backend struct {
	ID   BackendID
	Pool string
	Zone string
	// Slots is the largest number of calls that may run at the same time.
	Slots int
	// Leaving means that the backend server must get no new calls.
	Leaving bool
	// Tags lists the loaded models, adapters and versions.
	Tags []string
}

// Grant is the decision to run a call on a backend server.
type Grant struct {
	ID      CallID
	Backend BackendID
	// Hedge marks a second copy of an idempotent call that is already running.
	Hedge bool
}

// Refusal is the decision not to run a waiting call.
type Refusal struct {
	ID      CallID
	Outcome outcome.Outcome
}

// LoadReport is the load that a backend server reports. It lags behind the
// actual load.
type LoadReport struct {
	Backend BackendID
	Running int
	Waiting int
	// TakenAt is the time at which the backend server measured the load.
	TakenAt time.Time
}

// CacheEvent reports that a backend server cached or evicted a prefix block.
type CacheEvent struct {
	Backend BackendID
	Hash    uint64
	Evicted bool
}

// Timing holds the node's own measurements of a finished or running copy of a
// call.
type Timing struct {
	FirstToken   time.Duration // from sending the request; zero before the first token
	Total        time.Duration // from sending the request to now or to the end
	Tokens       int           // generated so far
	PromptTokens int
	CachedTokens int // prompt tokens that the backend server had cached
	Failed       bool
	// Cancelled means that the node stopped this copy, for example because
	// the other copy of a hedged call was faster.
	Cancelled bool
}

// Decisions collects grants and refusals. The caller reuses it, so that the
// steady state allocates nothing.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// Reset empties the decisions and keeps the allocated memory.
func (d *Decisions) Reset() {
	d.Grants = d.Grants[:0]
	d.Refusals = d.Refusals[:0]
}

// Scheduler is implemented by every policy. The time passed to its methods
// must not go backwards.
type Scheduler interface {
	// SetBackends replaces the set of known backend servers. Calls that run
	// on a backend server that is no longer listed stay known until Finish is
	// called for them.
	SetBackends(now time.Time, backends []Backend)
	// Submit queues a call or refuses it immediately. A call whose id is
	// already waiting or running is ignored. The request's slices must not
	// change until the call ends.
	Submit(now time.Time, request Request, out *Decisions)
	// Adopt records a call that is already running. The node that owns the
	// call reports it when this node starts to grant the pool's slots. The
	// call occupies a slot like a granted one.
	Adopt(now time.Time, request Request, backend BackendID)
	// Withdraw removes a waiting call. It does nothing for other calls.
	Withdraw(id CallID)
	// Progress records the node's own measurement of a running copy.
	Progress(now time.Time, id CallID, backend BackendID, timing Timing)
	// Finish frees the slot of a copy of a call on a backend server. Every
	// grant, including that of a hedge, needs its own Finish. Copies that are
	// not known to run are ignored.
	Finish(now time.Time, id CallID, backend BackendID, timing Timing)
	// ApplyLoadReport records the load that a backend server reports.
	ApplyLoadReport(now time.Time, report LoadReport)
	// ApplyCacheEvent records that a backend server cached or evicted a prefix
	// block.
	ApplyCacheEvent(now time.Time, event CacheEvent)
	// Next decides which calls start now, and which waiting calls are
	// refused because their deadline passed. Decisions are appended to out.
	Next(now time.Time, out *Decisions)
	// NextWake returns the time at which Next must be called even if no other
	// method is called before, or the zero time when there is none.
	NextWake() time.Time
	// Waiting returns the number of queued calls.
	Waiting() int
}
