package daemon

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/clientlimits"
	"dogwoodline.example/settings"
)

// The rest of the descriptors is for connections to the platform, to other nodes and to
// backend servers, and the rest of the memory for requests and for what the node knows.
var (
	callerShares = clientlimits.Shares{Descriptors: 0.5, Memory: 0.25}
	peerShares   = clientlimits.Shares{Descriptors: 0.15, Memory: 0.0625}
)

// newClientBudgets returns the budgets for connections of callers and of other nodes.
func newClientBudgets(limits settings.Limits, log *slog.Logger, set *metrics.Set) (callers, peers *clientlimits.Budget) {
	descriptors, memory := clientlimits.DescriptorLimit(limits.Descriptors), limits.ClientMemoryBytes()
	return callerShares.Budget("callers", descriptors, memory, log, set), peerShares.Budget("peers", descriptors, memory, log, set)
}
