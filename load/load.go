// Package load is a load generator and benchmark tool. It generates programs,
// which are chains of dependent calls, sends them to a target in an open loop,
// injects faults, and reports latency, goodput and recomputed work.
//
// All randomness comes from a seed, so that targets and scheduling policies can
// be compared on the same programs. Latency counts from the intended start of a
// program, so that a slow target cannot hide its delays by slowing arrivals.
package load

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("load")

// ErrUnknownName is returned for the name of an unknown deployment or scenario.
var ErrUnknownName = Error.New("unknown deployment or scenario")

// Kind is the kind of worker that serves a step.
type Kind string

const (
	// Model steps are served by a model worker, which runs an inference engine.
	Model Kind = "model"
	// Service steps are served by a service worker, which runs no model.
	Service Kind = "service"
)

// Step is one call of a program and the pause before it.
type Step struct {
	Kind  Kind
	Pause time.Duration // time that a tool or the user takes before the call
	// InputTokens is the number of new tokens in the prompt, which also holds
	// all earlier turns.
	InputTokens  int
	OutputTokens int
	// Service, Operation and Duration, the run time, describe a service call.
	Service    string
	Operation  string
	Duration   time.Duration
	Idempotent bool
	// Children are sub-agents that start before this call. The call is sent
	// after they have completed.
	Children []*Program
}

// Program is a chain of dependent calls. The target does not know the steps in
// advance; it receives each call after the previous one has completed.
type Program struct {
	ID        string
	Parent    string // id of the parent program, set only for sub-agents
	Tenant    string
	Class     string
	Priority  int
	Straggler bool // has many times the usual number of turns
	// Start is the intended start, counted from the beginning of the run.
	Start time.Duration
	// SystemTokens is the length of the system prompt, with which every prompt
	// of the class begins.
	SystemTokens int
	Steps        []Step
}

// Quantiles holds the reported quantiles of the latency, in milliseconds.
type Quantiles struct {
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
}
