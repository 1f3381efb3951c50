package node

import (
	"context"

	"dogwoodline.example/kvstore"
)

// hostListInterval is how often the host list is read. It is well below the 3 s
// after which a leaving backend server must get no more work.
const hostListInterval = backendsCheckInterval * 5

// hostView is a snapshot of the platform's host list.
type hostView struct {
	stateByAddress map[string]kvstore.HostState
}

// leaving reports whether the host list marks the server at an address as
// leaving. A host that is not listed does not count as leaving, because the list
// lags and may not have a new host yet.
func (v *hostView) leaving(address string) bool {
	return v.stateByAddress[address] == kvstore.HostLeaving
}

// watchHosts reads the host list periodically. If it cannot be read, the last
// snapshot stays in use.
func (i *incarnation) watchHosts(ctx context.Context) error {
	if i.node.deps.Hosts == nil {
		return nil
	}
	ticker := i.node.deps.Clock.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		if hosts, err := i.node.deps.Hosts.Hosts(ctx); err == nil {
			view := &hostView{stateByAddress: make(map[string]kvstore.HostState, len(hosts))}
			for _, h := range hosts {
				view.stateByAddress[h.Address] = h.State
			}
			i.hosts.Store(view)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

// livePrograms is a snapshot of the programs whose engine memory must be kept,
// and of the shards that this node serves.
type livePrograms struct {
	programs        map[string]struct{}
	servedShards    map[int]struct{}
	callsInProgress int
}

// needsMemory reports whether a program's engine memory must be kept. Only the
// node that serves a shard can tell that a program of it has ended.
func (v *livePrograms) needsMemory(shard int, programID string) bool {
	if _, served := v.servedShards[shard]; !served {
		return true
	}
	_, lives := v.programs[programID]
	return lives
}
