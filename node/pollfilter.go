package node

import (
	"dogwoodline.example/membership"
	"dogwoodline.example/resource"
	"dogwoodline.example/schedule"
)

// busyPools is a snapshot of the pools for which this node, as the granting
// node, has waiting or running calls. The scheduler duty publishes it.
type busyPools map[string]struct{}

// busyPools returns the pools that have waiting or running calls.
func (g *slotGranter) busyPools() busyPools {
	pools := busyPools{}
	for _, call := range g.calls {
		pools[call.pool] = struct{}{}
	}
	return pools
}

// pollFilter decides which backend servers this node polls for load reports and
// cache events: those of the pools whose slots it grants according to the member
// view, and those of pools for which it has calls in any case, because the
// granting node is unreachable or has a different view. Only the reports duty
// uses it.
type pollFilter struct {
	self      string
	resources func() *resource.Set
	view      func() *membership.View
	busy      func() busyPools

	knownView   *membership.View
	grantedHere map[string]bool // whether this node grants the pool in knownView
}

// shouldPoll reports whether this node polls the backend server.
func (p *pollFilter) shouldPoll(id schedule.BackendID) bool {
	backend, ok := p.resources().Backend(string(id))
	if !ok {
		return false
	}
	if _, busy := p.busy()[backend.Pool]; busy {
		return true
	}
	if view := p.view(); view != p.knownView {
		p.knownView, p.grantedHere = view, map[string]bool{}
	}
	grants, ok := p.grantedHere[backend.Pool]
	if !ok {
		grants = granterIn(p.knownView, backend.Pool) == p.self
		p.grantedHere[backend.Pool] = grants
	}
	return grants
}
