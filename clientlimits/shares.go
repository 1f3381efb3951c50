package clientlimits

import (
	"log/slog"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

// Shares are the fractions of a process's descriptors and memory that the clients of one
// kind may take.
type Shares struct{ Descriptors, Memory float64 }

// Budget returns a budget of the shares of a process with the given numbers of descriptors
// and bytes. Its name stands in logs and metrics.
func (s Shares) Budget(name string, descriptors, memory int64, log *slog.Logger, set *metrics.Set) *Budget {
	return NewBudget(name, int(s.Descriptors*float64(descriptors)), int64(s.Memory*float64(memory)), log, set)
}

const (
	// maxDescriptors bounds the limit of the operating system, which may be unlimited.
	maxDescriptors = 1 << 30
	// usualDescriptors is taken for a limit that is not stated and cannot be read.
	usualDescriptors = 1024
)

// DescriptorLimit returns the smaller of the limit that settings state, if they do, and
// that of the operating system. A stated limit of 0 means none.
func DescriptorLimit(stated int64) int64 {
	var system syscall.Rlimit
	limit := int64(usualDescriptors)
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err == nil {
		limit = int64(min(system.Cur, maxDescriptors))
	} else if stated > 0 {
		return stated
	}
	if stated > 0 {
		return min(limit, stated)
	}
	return limit
}
