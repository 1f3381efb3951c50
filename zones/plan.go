package zones

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// planMemory is the time in which most of a change of the shares takes effect. Demand
	// swings within ten seconds, and its measurement is some seconds old.
	planMemory = 2 * time.Second
	// leastPart is the share below which no call is sent: each such zone needs open
	// connections.
	leastPart = 0.01
)

// Plan follows the shares of one zone and service without jumps.
type Plan struct {
	parts   map[string]float64 // by zone
	updated time.Time
}

// Update moves the plan towards the shares.
func (p *Plan) Update(shares []Share, now time.Time) {
	weight := 1.0
	if !p.updated.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(p.updated))/float64(planMemory))
	}
	next := map[string]float64{}
	for zone, part := range p.parts {
		next[zone] = part * (1 - weight)
	}
	for _, share := range shares {
		next[share.Zone] += weight * share.Part
	}
	p.parts, p.updated = next, now
}

// Shares returns the shares in force, ordered by zone.
func (p *Plan) Shares() []Share {
	var shares []Share
	for _, zone := range slices.Sorted(maps.Keys(p.parts)) {
		if part := p.parts[zone]; part >= leastPart {
			shares = append(shares, Share{Zone: zone, Part: part})
		}
	}
	return shares
}

// Pick returns the zone for a call, by a random number from 0 to 1.
func Pick(own string, shares []Share, draw float64) string {
	for _, share := range shares {
		if draw -= share.Part; draw < 0 {
			return share.Zone
		}
	}
	return own
}
