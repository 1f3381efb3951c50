package role

import (
	"context"
	"sync/atomic"

	"dogwoodline.example/coordination"
	"dogwoodline.example/gateway"
	"dogwoodline.example/membership"
)

// frontList holds the fronts that the platform's store lists, draining ones included.
// The goroutine that follows the store replaces it, and the coordination duty reads it.
type frontList struct {
	fronts atomic.Pointer[[]coordination.Front]
}

func (l *frontList) set(members map[string]membership.Member) {
	var fronts []coordination.Front
	for _, m := range members {
		if m.HTTP != "" {
			fronts = append(fronts, coordination.Front{Address: m.HTTP, PeerAddress: m.GRPC, Draining: m.Draining})
		}
	}
	l.fronts.Store(&fronts)
}

// marked returns the fronts with those marked that clients are sent to.
func (l *frontList) marked(listed map[string]bool) []coordination.Front {
	known := l.fronts.Load()
	if known == nil {
		return nil
	}
	fronts := make([]coordination.Front, 0, len(*known))
	for _, f := range *known {
		f.Listed = listed[f.Address]
		fronts = append(fronts, f)
	}
	return fronts
}

// coordinate starts the exchange with the other fronts.
func (p *process) coordinate(g *gateway.Gateway, list *frontList, topics ...coordination.Topic) *coordination.Exchange {
	return coordination.New(p.group, p.log, coordination.Settings{
		Self: p.host.FrontAddress, Incarnation: p.member.Incarnation, Topics: topics, Connect: connect,
		Fronts: func() []coordination.Front { return list.marked(g.ListedFronts()) },
	})
}

// followFronts passes the members of the platform's store on to those who need to know
// the fronts.
func (l *frontList) followFronts(ctx context.Context, g *gateway.Gateway, members map[string]membership.Member) {
	l.set(members)
	_ = g.SetFronts(ctx, activeFronts(members)) // fails only when the process stops
}
