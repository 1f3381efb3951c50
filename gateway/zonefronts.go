package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minZoneFronts is the number of fronts that a zone must have before its clients are
	// sent to them first, so that losing one costs at most a third.
	minZoneFronts = 3
	// otherZonesPart is the number of fronts of other zones in a list, as a part of those of
	// the zone itself. Clients choose at random among all of them. If all fronts of the zone
	// are lost together, the rest of the list serves until it has changed.
	otherZonesPart = 1.0 / 3
)

// preferZone returns the fronts for the clients of an availability zone: those of the zone
// and some of other zones if those of the zone can carry what its clients send, else all of
// them. demand is the number of calls by zone, as far as known; a zone is expected to send
// at least an equal part of all.
func preferZone(fronts []Front, zone string, slots int, demand map[string]float64) []Front {
	var own, others []Front
	zones := map[string]bool{}
	smallest := 0.0
	for _, f := range fronts {
		zones[f.Zone] = true
		if f.Zone != zone {
			others = append(others, f)
			continue
		}
		if len(own) == 0 || f.Cores < smallest {
			smallest = f.Cores
		}
		own = append(own, f)
	}
	if len(own) < minZoneFronts || len(others) == 0 {
		return fronts
	}
	total := 0.0
	for _, calls := range demand {
		total += calls
	}
	part := 1 / float64(len(zones))
	if total > 0 {
		part = max(part, demand[zone]/total)
	}
	// Each of the zone's fronts gets an equal share, whatever its size.
	if smallest*float64(len(own)) < smallFrontHeadroom*coresPerSlot*float64(slots)*part {
		return fronts
	}
	// Each zone takes others first, so that these spread.
	slices.SortFunc(others, func(a, b Front) int {
		return cmp.Compare(xxhash.Sum64String(zone+"\x00"+a.Address), xxhash.Sum64String(zone+"\x00"+b.Address))
	})
	count := max(1, int(otherZonesPart*float64(len(own))))
	return slices.Concat(own, others[:min(len(others), count)])
}
