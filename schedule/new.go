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
	// RandomFCFS assigns each call to a random backend server and serves the
	// queue of each backend server first come, first served.
	RandomFCFS = "random-fcfs"
	// LeastReportedFCFS assigns each call to the backend server with the least
	// load: the load in its last report, which lags, plus the calls that this
	// node has assigned to it since.
	LeastReportedFCFS = "least-reported-load-fcfs"
	// LeastOutstanding keeps one queue per pool and sends each call to the
	// backend server that runs the fewest calls of this node.
	LeastOutstanding = "least-outstanding"
	// ProgramAware is the default policy. It orders calls by the service that
	// their programs have received, and prefers backend servers that have the
	// prompt cached.
	ProgramAware = "program-aware"
)

// Policies returns the names of all policies, the default last.
func Policies() []string {
	return []string{RandomFCFS, LeastReportedFCFS, LeastOutstanding, ProgramAware}
}

// Settings configures a policy. Zero fields take their defaults.
type Settings struct {
	// Seed seeds the random number generator of random-fcfs.
	Seed uint64
	// QueueLimit bounds the waiting calls per pool. The default is 10,000,
	// the queue length up to which the cost of a decision is bounded.
	QueueLimit int
	// TenantWeights holds the fair-share weight of each tenant; the default
	// is 1.
	TenantWeights map[string]float64
	// AgeingBound is the wait after which a call is overdue: some grants are
	// then given in order of arrival, whatever the priority. The default is
	// 10 s.
	AgeingBound time.Duration
	// MaxNewProgramWait is the longest expected wait at which calls of programs
	// that have received no service yet are accepted. The default is 2 s.
	MaxNewProgramWait time.Duration
	// CacheBlocksPerBackend is the number of prompt blocks that a backend
	// server is assumed to cache. The default is 4,096.
	CacheBlocksPerBackend int
}

const (
	defaultQueueLimit            = 10_000
	defaultAgeingBound           = 10 * time.Second
	defaultMaxNewProgramWait     = 2 * time.Second
	defaultCacheBlocksPerBackend = 4096
	// retryAfterNoBackend is the suggested wait while a pool has no usable
	// backend server. The host list lags by seconds.
	retryAfterNoBackend = 2 * time.Second
	// retryAfterFull is the suggested wait when the queue of a policy other
	// than program-aware is full.
	retryAfterFull = time.Second
)

// New returns a scheduler with the named policy; an empty name means the
// default. It returns ErrUnknownPolicy for other names.
func New(policy string, settings Settings) (Scheduler, error) {
	settings.QueueLimit = orDefault(settings.QueueLimit, defaultQueueLimit)
	settings.CacheBlocksPerBackend = orDefault(settings.CacheBlocksPerBackend, defaultCacheBlocksPerBackend)
	settings.AgeingBound = orDefault(settings.AgeingBound, defaultAgeingBound)
	settings.MaxNewProgramWait = orDefault(settings.MaxNewProgramWait, defaultMaxNewProgramWait)
	switch policy {
	case RandomFCFS, LeastReportedFCFS, LeastOutstanding:
		return newPlainPolicy(policy, settings), nil
	case ProgramAware, "":
		return newProgramAware(settings), nil
	default:
		return nil, ErrUnknownPolicy
	}
}

func newRefusal(id CallID, reason outcome.Reason, retryAfter time.Duration) Refusal {
	return Refusal{ID: id, Outcome: outcome.NewNotRun(reason, retryAfter)}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
