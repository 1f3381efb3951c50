package daemon

import (
	"log/slog"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/clientlimits"
)

const (
	// callerMemory and peerMemory bound the memory of connections of callers and of other
	// nodes, because the settings of a node do not say how much memory it has. They allow
	// 16,384 and 4,096 connections.
	callerMemory = 256 << 20
	peerMemory   = 64 << 20
	// callerDescriptors and peerDescriptors are fractions of the descriptors that the
	// operating system allows. The rest is for connections to the platform, to other
	// nodes and to backend servers.
	callerDescriptors = 0.5
	peerDescriptors   = 0.15
)

// newClientBudgets returns the budgets for connections of callers and of other nodes.
func newClientBudgets(log *slog.Logger, set *metrics.Set) (callers, peers *clientlimits.Budget) {
	descriptors := syscall.Rlimit{Cur: 1024} // the usual limit, if it cannot be read
	_ = syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors)
	most := float64(min(descriptors.Cur, 1<<30))
	return clientlimits.NewBudget("callers", int(callerDescriptors*most), callerMemory, log, set),
		clientlimits.NewBudget("peers", int(peerDescriptors*most), peerMemory, log, set)
}
