// Package schedule decides which waiting call runs next on which backend
// server. It holds decisions only: time and randomness are passed in, it does
// no I/O, and it knows no message encoding.
//
// A Scheduler is owned by one duty and has no locks.
package schedule

import (
	"time"

	"dogwoodline.example/outcome"
)

// CallID names a call on the scheduling node.
type CallID uint64

// BackendID is the name of a backend server's resource.
type BackendID string

// Request is a call that waits for a slot on a backend server.
type Request struct {
	ID      CallID
	Pool    string
	Program string
	Tenant  string
	Class   string
	// Priority is the declared priority of the class, higher first.
	Priority int
	// Attained is the service that the whole program got so far, in budget
	// units. Policies that favour programs with little attained service use
	// it, since the shape of a program is unknown until it runs.
	Attained int64
	// Prefix holds one hash per block of the prompt, each over the prompt up
	// to the end of its block, for matching against cached prefixes.
	Prefix []uint64
	// PromptTokens and MaxTokens bound the work of the call.
	PromptTokens int
	MaxTokens    int
	// Arrived is the time at which the call became runnable.
	Arrived time.Time
	// Deadline is the time after which the call must not be started. It must
	// be set.
	Deadline time.Time
	// Alone asks for a backend server without other running calls and keeps
	// others away until the call ends. It isolates a call that is suspected
	// of crashing backend servers.
	Alone bool
	// Exclude names backend servers that must not be used again.
	Exclude []BackendID
	// Idempotent calls may be hedged.
	Idempotent bool
}

// Backend is a backend server as the resources and the host list declare it.
type Backend struct {
	ID   BackendID
	Pool string
	Zone string
	// Slots is the number of calls that run at the same time.
	Slots int
	// Leaving backend servers get no new work.
	Leaving bool
	// Tags lists the loaded models, adapters and versions.
	Tags []string
}

// Grant is the decision to run a call on a backend server.
type Grant struct {
	ID      CallID
	Backend BackendID
	// Hedge marks a second copy of an idempotent call that already runs.
	Hedge bool
}

// Refusal is the decision not to run a waiting call.
type Refusal struct {
	ID      CallID
	Outcome outcome.Outcome
}

// Report is a backend server's own load report. It lags.
type Report struct {
	Backend BackendID
	Running int
	Waiting int
	// Taken is when the backend server took the report.
	Taken time.Time
}

// CacheEvent tells that a backend server stored or evicted a prefix block.
type CacheEvent struct {
	Backend BackendID
	Hash    uint64
	Evicted bool
}

// Timing is what the node itself measured about a finished or running copy of
// a call. Total runs from sending the request to now or to the end.
type Timing struct {
	FirstToken   time.Duration // from sending the request, zero when none came
	Total        time.Duration
	Tokens       int // generated so far
	PromptTokens int
	CachedTokens int // prompt tokens that the backend server had cached
	Failed       bool
	// Cancelled means that the node stopped this copy, for example because
	// the other copy of a hedged call was faster.
	Cancelled bool
}

// Decisions collects what a step decided. The caller reuses it, so that the
// steady state allocates nothing.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// Reset empties the decisions and keeps their memory.
func (d *Decisions) Reset() {
	d.Grants = d.Grants[:0]
	d.Refusals = d.Refusals[:0]
}

// Scheduler is the interface of all policies. The time passed to it must not
// go backwards.
type Scheduler interface {
	// SetBackends replaces the set of known backend servers. Calls that run
	// on a backend server that is no longer listed stay known until Finish.
	SetBackends(now time.Time, backends []Backend)
	// Submit queues a call or refuses it at once. A call whose id is already
	// waiting or running is ignored. The request's slices must not change
	// until the call ends.
	Submit(now time.Time, request Request, out *Decisions)
	// Adopt notes a call that already runs, sent by its owner when this node
	// becomes the granting node of the pool. It occupies a slot like a grant.
	Adopt(now time.Time, request Request, backend BackendID)
	// Withdraw removes a waiting call. It does nothing for other calls.
	Withdraw(id CallID)
	// Progress notes the node's own measurement of a running copy.
	Progress(now time.Time, id CallID, backend BackendID, timing Timing)
	// Finish frees the slot of a copy of a call on a backend server. Each
	// grant, also a hedge, needs its own Finish. Copies that are not known to
	// run are ignored.
	Finish(now time.Time, id CallID, backend BackendID, timing Timing)
	// Report takes a backend server's load report.
	Report(now time.Time, report Report)
	// Cache takes a cache event.
	Cache(now time.Time, event CacheEvent)
	// Next decides which calls start now, and which waiting calls are
	// refused because their deadline passed. Decisions are appended to out.
	Next(now time.Time, out *Decisions)
	// Wake returns the time at which Next must be called even when no event
	// comes before it, or the zero time when there is none.
	Wake() time.Time
	// Waiting returns the number of queued calls.
	Waiting() int
}
