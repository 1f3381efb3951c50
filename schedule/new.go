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
	// AgeingBound is the wait after which a call is served in order of
	// arrival whatever its rank. The default is 10 s.
	AgeingBound time.Duration
	// StartWait is the expected wait above which calls of new programs are
	// refused. The default is 2 s.
	StartWait time.Duration
	// CacheBlocks is the number of prompt blocks that a backend server is
	// believed to keep. The default is 4,096.
	CacheBlocks int
}

const (
	defaultQueueLimit  = 10_000
	defaultAgeingBound = 10 * time.Second
	defaultStartWait   = 2 * time.Second
	defaultCacheBlocks = 4096
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
	settings.QueueLimit = orDefault(settings.QueueLimit, defaultQueueLimit)
	settings.CacheBlocks = orDefault(settings.CacheBlocks, defaultCacheBlocks)
	settings.AgeingBound = orDefault(settings.AgeingBound, defaultAgeingBound)
	settings.StartWait = orDefault(settings.StartWait, defaultStartWait)
	switch policy {
	case RandomFCFS, LeastReportedFCFS, LeastOutstanding:
		return newPlain(policy, settings), nil
	case ProgramAware, "":
		return newAware(settings), nil
	default:
		return nil, ErrUnknownPolicy
	}
}

func refusal(id CallID, reason outcome.Reason, retryAfter time.Duration) Refusal {
	return Refusal{ID: id, Outcome: outcome.DidNotRun(reason, retryAfter)}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
