package schedule

import (
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/outcome"
)

// Error is the class of all errors of this package.
var Error = errs.Class("schedule")

// ErrUnknownPolicy reports a policy name that New does not know.
var ErrUnknownPolicy = Error.New("unknown policy")

// Names of the policies.
const (
	// RandomFCFS sends each call to a random backend server and serves each
	// backend server's queue first come, first served.
	RandomFCFS = "random-fcfs"
	// LeastReportedFCFS sends each call to the backend server whose lagged
	// report, plus what this node sent since, shows the least load.
	LeastReportedFCFS = "least-reported-load-fcfs"
	// LeastOutstanding keeps one queue per pool and uses the backend server
	// with the fewest calls of this node.
	LeastOutstanding = "least-outstanding"
	// ProgramAware is the default policy.
	ProgramAware = "program-aware"
)

// Policies returns the names of all policies, the default last.
func Policies() []string {
	return []string{RandomFCFS, LeastReportedFCFS, LeastOutstanding, ProgramAware}
}

// Settings configures a policy. Zero fields take their defaults.
type Settings struct {
	// Seed starts the random numbers of random-fcfs.
	Seed uint64
	// QueueLimit bounds the waiting calls per pool. The default is 10,000,
	// the queue length for which the cost of a decision is bounded.
	QueueLimit int
	// TenantWeights holds the fair share of tenants; the default is 1.
	TenantWeights map[string]float64
}

const (
	defaultQueueLimit = 10_000
	// retryAfterNoBackend is the suggested wait while a pool has no usable
	// backend server. The host list lags by seconds.
	retryAfterNoBackend = 2 * time.Second
	// retryAfterFull is the suggested wait of the plain policies when their
	// queue is full.
	retryAfterFull = time.Second
)

// New returns the named policy; an empty name means the default. It returns
// ErrUnknownPolicy for other names.
func New(policy string, settings Settings) (Scheduler, error) {
	if settings.QueueLimit <= 0 {
		settings.QueueLimit = defaultQueueLimit
	}
	switch policy {
	case RandomFCFS, LeastReportedFCFS, LeastOutstanding:
		return newPlain(policy, settings), nil
	default:
		return nil, ErrUnknownPolicy
	}
}

func refusal(id CallID, reason outcome.Reason, retryAfter time.Duration) Refusal {
	return Refusal{ID: id, Outcome: outcome.DidNotRun(reason, retryAfter)}
}
