package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// otherServerCost is the fraction of its slots by which the first choice for
	// an affinity must be busier than another backend server before a call goes
	// to that one. Elsewhere a prompt of some thousand tokens has to be processed
	// again, which takes as long as a whole turn, whereas a full batch slows a
	// turn by a quarter.
	otherServerCost = 0.7
	// secondChoiceCost is the same fraction for the second choice. It is lower,
	// so that calls with the same affinity go to one server when their first
	// choice is busy.
	secondChoiceCost = 0.6
	// slownessCost is the cost of each multiple of the median latency above
	// toleratedSlowness, even if no call runs at the server: a turn at a server
	// that is three times as slow takes longer than processing its prompt
	// elsewhere. Up to toleratedSlowness, the lengths of prompts alone may
	// explain the difference.
	slownessCost      = 0.5
	toleratedSlowness = 1.5
	// otherZoneCost is the fraction of its slots by which a backend server in
	// another availability zone must be less busy to be chosen: its answers take
	// longer, traffic between zones is billed, and it needs one more connection.
	// It does not apply to calls with an affinity, because the turns of a
	// conversation may come through fronts of several zones and all of them have
	// to choose the same server.
	otherZoneCost = 0.3
	// connectCost is the fraction of its slots by which a backend server without
	// an idle connection must be less busy to be chosen: opening a connection
	// takes a slot for a moment.
	connectCost = 0.15
	// limitedCost is the fraction of its slots by which a backend server that has
	// named a limit must be less busy to be chosen: it is in need.
	limitedCost = 0.3
	// suspectCost and fullCost keep a backend server from being chosen while any
	// other is left.
	suspectCost = 100
	fullCost    = 10
	// tieBreakRange bounds the random cost that decides between equal servers. It
	// is far below the cost of one running call.
	tieBreakRange = 0.01
)

// Cost is the estimated cost of a call at a backend server by its causes. Its unit is the
// time that a full batch takes, or for contended calls the time that the call takes at the
// idle median server.
type Cost struct {
	// Load is the cost of the calls that run there and of the speed of the server.
	Load float64 `json:"load"`
	// Crowding is that of other calls near the capacity.
	Crowding float64 `json:"crowding,omitempty"`
	// Wait is the time until a slot is free.
	Wait float64 `json:"wait,omitempty"`
	// Slowness is that of a server which is slow even if no call runs there.
	Slowness float64 `json:"slowness,omitempty"`
	Failures float64 `json:"failures,omitempty"`
	// OtherServer is the cost of a server without the prompt of the conversation.
	OtherServer float64 `json:"other_server,omitempty"`
	OtherZone   float64 `json:"other_zone,omitempty"`
	Connect     float64 `json:"connect,omitempty"`
	Limited     float64 `json:"limited,omitempty"`
	// Suspect and Full are those of a server that was lately unreachable, or refused a call.
	Suspect  float64 `json:"suspect,omitempty"`
	Full     float64 `json:"full,omitempty"`
	TieBreak float64 `json:"tie_break,omitempty"`
}

// Sum returns the whole cost.
func (c *Cost) Sum() float64 {
	return c.Load + c.Crowding + c.Wait + c.Slowness + c.Failures + c.OtherServer + c.OtherZone + c.Connect + c.Limited + c.Suspect + c.Full + c.TieBreak
}

// setState sets the costs that do not depend on the load.
func (c *Cost) setState(s *backendState, request *Request, now time.Time) {
	if request.Connected != nil && !request.Connected(s.Address) {
		c.Connect = connectCost
	}
	if s.limit.perSecond > 0 {
		c.Limited = limitedCost
	}
	if now.Before(s.suspectUntil) {
		c.Suspect = suspectCost
	}
	if now.Before(s.fullUntil) {
		c.Full = fullCost
	}
}

// cost estimates the expected delay at a backend server in units of the time
// that a full batch takes.
func (f *Fleet) cost(s *backendState, request *Request, now time.Time) Cost {
	load := float64(s.running) / float64(s.Slots)
	slowness := s.latency.slowness(now)
	cost := Cost{
		Load: load * slowness, Slowness: slownessCost * max(0, slowness-toleratedSlowness), Failures: failureCost * s.failures.currentRate(now),
		TieBreak: tieBreakRange * float64(xxhash.Sum64String(s.ID)^request.TieBreak) / (1 << 64),
	}
	if load >= 1 {
		cost.Wait = load // no slot is free, so the call has to wait
	}
	cost.setState(s, request, now)
	return cost
}
