// Package load is the load and experiment tool: it generates programs with a
// realistic shape, sends them in an open loop to a target, injects faults and
// reports latency, goodput and waste.
//
// All randomness comes from a seed, so two targets or policies can be
// compared on the same programs. Latency counts from the intended start of a
// program, so that a slow target cannot hide its delays by slowing arrivals.
package load

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("load")

// ErrUnknownName reports an unknown deployment or scenario.
var ErrUnknownName = Error.New("unknown deployment or scenario")

// Kind tells what serves a step.
type Kind string

const (
	// Model steps are served by a model worker.
	Model Kind = "model"
	// Service steps are served by a plain service worker.
	Service Kind = "service"
)

// Step is one call of a program and the pause before it.
type Step struct {
	Kind  Kind
	Pause time.Duration // of the tool or the user before the call
	// InputTokens are new in the prompt, which also holds all earlier turns.
	InputTokens  int
	OutputTokens int
	// Service and Operation name the service call; Duration is its run time.
	Service    string
	Operation  string
	Duration   time.Duration
	Idempotent bool
	// Children are sub-agents that start before this call. The call waits
	// for their end.
	Children []*Program
}

// Program is a chain of dependent calls. A scheduler learns its shape only
// as the calls come.
type Program struct {
	ID        string
	Parent    string // id of the parent program of a sub-agent
	Tenant    string
	Class     string
	Priority  int
	Straggler bool
	// Start is the intended start after the beginning of the run.
	Start time.Duration
	// SystemTokens begin every prompt of the class and are the same in all.
	SystemTokens int
	Steps        []Step
}

// Quantile names the latencies that are reported, in milliseconds.
type Quantile struct {
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
}
