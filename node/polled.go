package node

import (
	"dogwoodline.example/membership"
	"dogwoodline.example/resource"
	"dogwoodline.example/schedule"
)

// busyPools is a snapshot of the pools for which this node holds calls that
// wait or run. The scheduler duty publishes it.
type busyPools map[string]struct{}

// busy returns the pools with calls.
func (g *slotGranter) busy() busyPools {
	pools := busyPools{}
	for _, call := range g.calls {
		pools[call.pool] = struct{}{}
	}
	return pools
}

// polled tells which backend servers this node polls for load and cache: those
// of the pools that are its own to grant, and those for which it holds calls
// anyway, because the other node was lost or sees other members. It belongs to
// the reports duty.
type polled struct {
	self string
	set  func() *resource.Set
	view func() *membership.View
	busy func() busyPools

	known *membership.View
	own   map[string]bool // by pool, in the known view
}

func (p *polled) scheduled(name schedule.BackendID) bool {
	backend, ok := p.set().Backend(string(name))
	if !ok {
		return false
	}
	if _, busy := p.busy()[backend.Pool]; busy {
		return true
	}
	if view := p.view(); view != p.known {
		p.known, p.own = view, map[string]bool{}
	}
	own, ok := p.own[backend.Pool]
	if !ok {
		own = granterIn(p.known, backend.Pool) == p.self
		p.own[backend.Pool] = own
	}
	return own
}
