package gateway

import (
	"slices"
	"time"
)

const (
	// maxEventGaps is how many gaps of a stream are measured, and minEventGaps how many are
	// needed for a result.
	maxEventGaps, minEventGaps = 64, 3
	// minEventWait and minWaitShare tell whether an event arrived when it was sent: the
	// reader must have waited for it this long, and for this share of the gap before it.
	// Otherwise it was in a buffer because this front, the stores or the client were busy.
	minEventWait = 100 * time.Microsecond
	minWaitShare = 0.1
)

// eventGaps measures the gaps between the events of a stream as the backend server sends
// them.
type eventGaps struct {
	gaps    []time.Duration
	last    time.Time // when the event before arrived; zero if that is not certain
	arrived bool
}

// add takes in an event for which the reader waited from asked to received.
func (g *eventGaps) add(asked, received time.Time) {
	waited := received.Sub(asked)
	onTime := waited >= minEventWait
	if g.arrived && onTime && !g.last.IsZero() && len(g.gaps) < maxEventGaps {
		gap := received.Sub(g.last)
		if onTime = float64(waited) >= minWaitShare*float64(gap); onTime {
			g.gaps = append(g.gaps, gap)
		}
	}
	g.arrived, g.last = true, time.Time{}
	if onTime {
		g.last = received
	}
}

// median returns the median gap; 0 if too few were measured. The prompt of another call
// delays single events, which says little about the speed of the server.
func (g *eventGaps) median() time.Duration {
	if len(g.gaps) < minEventGaps {
		return 0
	}
	slices.Sort(g.gaps)
	return g.gaps[len(g.gaps)/2]
}
