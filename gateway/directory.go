package gateway

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minListedFronts is the minimum number of fronts listed, even if fewer
	// could carry the load, so that losing one costs little capacity. It equals
	// the number of entry hosts in the smallest planned deployment.
	minListedFronts = 6
	// coresPerSlot is the fraction of a CPU core that the fronts need for each
	// slot (concurrent call) of the backend servers. A front serves 680 requests
	// per second and core; a slot serves about 10 requests per second, of which
	// a load peak uses a quarter.
	coresPerSlot = 0.004
	// smallFrontRatio is the fraction of the largest front's CPU below which a
	// front is listed only if its capacity is needed, because clients pick a
	// listed front at random, whatever its size.
	smallFrontRatio = 0.5
	// largeFrontHeadroom is how many times the cores that are needed a list of
	// large fronts has at the most. More fronts would each see a smaller part of
	// the calls at a backend server, and balance them worse.
	largeFrontHeadroom = 3
	// maxListedShare is the largest share of the large fronts that are listed if not
	// all are.
	maxListedShare = 0.67
	// fewFrontsHeadroom is how many times the cores that are needed the large
	// fronts must have if fewer than minListedFronts of them are listed alone.
	fewFrontsHeadroom = 1.5
	// smallFrontHeadroom is how many times the cores that are needed a list with
	// small fronts has, counted at the size of the smallest: a small front has no
	// room for a load peak or for clients that keep an older list.
	smallFrontHeadroom = 2
)

// Front is a process that accepts client requests.
type Front struct {
	Address string
	Zone    string
	// Cores is the number of CPU cores that it may use; may be fractional.
	Cores float64
	// PeerAddress is where it opens connections for other fronts; empty if it does not.
	PeerAddress string
}

// selectFronts returns the fronts that clients are sent to, largest first. It
// lists as many as the slots of the backend servers need: with fewer fronts, each
// sees a larger share of the calls and fewer connections to backend servers are
// opened. Small fronts are left out if the larger ones suffice. Otherwise so many
// are listed that an equal share of the load fits the smallest of them, because
// every listed front gets one.
func selectFronts(fronts []Front, slots int) []Front {
	ordered := orderFronts(fronts)
	needed := coresPerSlot * float64(slots)
	large := 0
	largeCores := 0.0
	for large < len(ordered) && ordered[large].Cores >= smallFrontRatio*ordered[0].Cores {
		largeCores += ordered[large].Cores
		large++
	}
	if large >= minListedFronts && largeCores >= needed {
		if enough := fitting(ordered[:large], largeFrontHeadroom*needed); enough <= int(maxListedShare*float64(large)) {
			return ordered[:enough]
		}
		return ordered[:large] // leaving out a few would change little
	}
	count := fitting(ordered, smallFrontHeadroom*needed)
	if count > minListedFronts && largeCores >= fewFrontsHeadroom*needed {
		return ordered[:large] // small ones could carry no equal share of this load
	}
	return ordered[:max(large, count)]
}

// fitting returns how many fronts, of those ordered by size, are enough for the
// cores if each gets an equal share, but at least minListedFronts.
func fitting(ordered []Front, cores float64) int {
	for count := minListedFronts; count < len(ordered); count++ {
		if float64(count)*ordered[count-1].Cores >= cores {
			return count
		}
	}
	return len(ordered)
}

// orderFronts returns the fronts with the largest first. Fronts of the same size
// alternate between availability zones, so that a list of the first ones covers
// many zones.
func orderFronts(fronts []Front) []Front {
	ordered := slices.Clone(fronts)
	slices.SortFunc(ordered, func(a, b Front) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Address, b.Address))
	})
	type group struct {
		cores float64
		zone  string
	}
	rank := map[string]int{} // by address: the number of fronts of its size and zone before it
	size := map[group]int{}
	for _, f := range ordered {
		rank[f.Address] = size[group{f.Cores, f.Zone}]
		size[group{f.Cores, f.Zone}]++
	}
	slices.SortFunc(ordered, func(a, b Front) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rank[a.Address], rank[b.Address]), cmp.Compare(a.Address, b.Address))
	})
	return ordered
}

// Addresses returns the addresses of the fronts that a client should use, those
// in its availability zone first, and how long it may keep the list.
func (g *Gateway) Addresses(zone string) ([]string, time.Duration) {
	var sameZone, otherZones []string
	fronts := selectFronts(g.servingFronts(), g.scheduler.slots())
	if demand := g.scheduler.zoneDemand.Load(); demand != nil && demand.contended {
		fronts = preferZone(fronts, zone, g.scheduler.slots(), demand.calls)
	}
	for _, f := range fronts {
		switch {
		case f.Address == g.settings.Address && !g.Ready(): // not listed
		case f.Zone == zone:
			sameZone = append(sameZone, f.Address)
		default:
			otherZones = append(otherZones, f.Address)
		}
	}
	all := slices.Concat(sameZone, otherZones)
	if len(all) == 0 && !g.draining.Load() && g.table.Load() != nil {
		all = []string{g.settings.Address} // calls on routes that store no turns are still served
	}
	return slices.Clip(all[:min(len(all), g.settings.MaxAddresses)]), g.settings.AddressTTL
}

// ListedFronts returns the addresses of the fronts that clients are sent to.
func (g *Gateway) ListedFronts() map[string]bool {
	listed := map[string]bool{}
	for _, f := range selectFronts(g.servingFronts(), g.scheduler.slots()) {
		listed[f.Address] = true
	}
	return listed
}
