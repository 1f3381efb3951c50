package node

import (
	"context"

	"dogwoodline.example/kvstore"
)

// hostsInterval is how often the host list is read. It leaves most of the 3 s
// within which a leaving backend server must get no more work.
const hostsInterval = backendsCheckInterval * 5

// hostView is a snapshot of the host list.
type hostView struct {
	state map[string]kvstore.HostState // by address
}

// leaving reports whether the host list says that the server is leaving. A
// host that is not listed may be too new for the lagging list.
func (v *hostView) leaving(address string) bool {
	return v.state[address] == kvstore.HostLeaving
}

func (i *incarnation) watchHosts(ctx context.Context) error {
	if i.node.deps.Hosts == nil {
		return nil
	}
	ticker := i.node.deps.Clock.NewTicker(hostsInterval)
	defer ticker.Stop()
	for {
		if hosts, err := i.node.deps.Hosts.Hosts(ctx); err == nil {
			view := &hostView{state: make(map[string]kvstore.HostState, len(hosts))}
			for _, h := range hosts {
				view.state[h.Address] = h.State
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

// livingView is a snapshot of the programs whose engine memory is needed.
type livingView struct {
	programs map[string]struct{}
	served   map[int]struct{}
	calls    int // in progress
}

// needs reports whether a program's memory must be kept. Only the node that
// serves a shard may call its programs gone.
func (v *livingView) needs(shard int, programID string) bool {
	if _, served := v.served[shard]; !served {
		return true
	}
	_, lives := v.programs[programID]
	return lives
}
