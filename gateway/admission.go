package gateway

import (
	"dogwoodline.example/fleet"
	"dogwoodline.example/route"
)

const (
	// crowdedAt is the pressure at which programs of the least urgent routes
	// must wait before they begin: all room of the model servers is taken.
	crowdedAt = 1.0
	// urgentRoom is by how much the pressure may be higher for the most urgent
	// routes; half of it for the next ones, and so on.
	urgentRoom = 0.2
	// sizeWeight is the part of a new observation in the typical size of a
	// call; some twenty calls replace an old belief.
	sizeWeight = 0.05
)

// admission decides whether a program that has not begun may begin. Programs
// count as a whole, so that when model servers are full, those under way go
// first: more of them at once would only drive each other's prompts out of
// memory. It belongs to the scheduler duty.
type admission struct {
	sizes map[string]float64 // typical tokens of a call by service
}

// learn observes the tokens that a call keeps in memory by itself.
func (a *admission) learn(service string, tokens int) {
	if known := a.sizes[service]; known > 0 {
		a.sizes[service] = known + sizeWeight*(float64(tokens)-known)
	} else {
		a.sizes[service] = float64(tokens)
	}
}

// pressure is the part of the model servers' room that running calls take, as
// far as one of several fronts can tell: clients choose fronts at random, so
// each sees its share.
func (a *admission) pressure(f *fleet.Fleet, service route.Service, fronts int) float64 {
	perServer := 0.0 // calls that fit into memory; 0 if unknown
	if size := a.sizes[service.Name]; size > 0 {
		perServer = float64(service.Engine.MemoryTokens) / size
	}
	running, room := f.Use(service.Name, perServer)
	if room == 0 {
		return 0
	}
	return float64(running*max(1, fronts)) / room
}

// admits reports whether a program of a route may begin.
func admits(pressure float64, priority int) bool {
	return pressure < crowdedAt+urgentRoom/float64(1+max(0, priority))
}
