package role

import (
	"time"

	"dogwoodline.example/clientlimits"
	"dogwoodline.example/route"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes are the limits of net/http. They are
	// looser than the limits in the operator's configuration, which is not known yet when
	// a server starts; clientlimits applies those.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// maxPeerHeaderBytes bounds the metadata of a gRPC call, of which the processes send
	// a few hundred bytes.
	maxPeerHeaderBytes = 64 << 10
)

// The shares add up to less than one: the rest of the descriptors is for connections to
// the platform, stores and backend servers and for files, and the rest of the memory for
// the bodies of requests and responses and for what the process knows.
var sharesOfRoles = map[string]map[string]clientlimits.Shares{
	"front": {
		callers:   {Descriptors: 0.45, Memory: 0.25},
		directory: {Descriptors: 0.08, Memory: 0.05},
		operators: {Descriptors: 0.04, Memory: 0.02},
		peers:     {Descriptors: 0.13, Memory: 0.08},
	},
	"store": {
		operators: {Descriptors: 0.04, Memory: 0.02},
		peers:     {Descriptors: 0.5, Memory: 0.2},
	},
}

// The kinds of clients, as in logs and metrics.
const (
	callers   = "callers"
	directory = "directory"
	operators = "operators"
	peers     = "peers"
)

// clientBudgets bounds the connections of each kind of clients, so that none takes the
// room of another.
type clientBudgets struct {
	callers, directory, operators, peers *clientlimits.Budget
}

// newClientBudgets returns the budgets of the process and starts their duties. A store
// has no callers and no directory.
func (p *process) newClientBudgets(role string) clientBudgets {
	descriptors := clientlimits.DescriptorLimit(int64(p.host.MaxDescriptors))
	start := func(name string) *clientlimits.Budget {
		shares, ok := sharesOfRoles[role][name]
		if !ok {
			return nil
		}
		budget := shares.Budget(name, descriptors, p.host.MemoryBytes, p.log, p.metricSet)
		p.group.Go("client-limits", budget.Run)
		return budget
	}
	return clientBudgets{callers: start(callers), directory: start(directory), operators: start(operators), peers: start(peers)}
}

// setLimits applies the limits of the operator's configuration to callers and to clients
// of the directory.
func (b clientBudgets) setLimits(l route.Limits) {
	limits := clientlimits.Defaults.Operator(l.MaxHeaderBytes, l.HeaderTimeout, l.IdleTimeout)
	b.callers.SetLimits(limits)
	b.directory.SetLimits(limits)
}
