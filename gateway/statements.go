package gateway

import (
	"context"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/fleet"
)

// passStatement tells the scheduler what a backend server says of itself in the
// head of a response. It does so before the response is forwarded, because a
// stream may last for seconds. What is the usual case is not passed on.
func (c *callWorker) passStatement(ctx context.Context, a attempt, response call.Response) {
	if !response.RateLimited && !a.limited && !response.Leaving {
		return
	}
	said := fleet.Statement{
		BackendID: a.backend.ID, Sent: a.started, Limited: response.RateLimited, CallsPerSecond: response.RateLimit, Leaving: response.Leaving,
	}
	_ = c.messages.Push(ctx, schedulerMessage{said: &said}) // fails only when the process stops
}

// noteStatement takes note of what a backend server says of itself.
func (s *Scheduler) noteStatement(said fleet.Statement, now time.Time) {
	heard := s.fleet.Heard(said, now)
	if heard.Limit {
		limit, share := s.fleet.Limit(said.BackendID)
		s.log.Info("gateway: limit of backend server changed", "backend", said.BackendID, "per_second", limit, "own_share", share,
			"fronts", s.listedFronts.Load())
	}
	if heard.Leaving {
		leaving, _ := s.fleet.Get(said.BackendID)
		s.log.Info("gateway: backend server says that it is leaving, it gets no further calls", "backend", leaving.ID, "address", leaving.Address)
		s.dropConnections(leaving.Address)
	}
}
