package gateway

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fewestFronts is how many fronts are listed although fewer could carry
	// the load, so that the loss of one is small. It is the number of entry
	// hosts of the smallest planned deployment.
	fewestFronts = 6
	// coresPerSlot is the part of a core that a front needs for each call that
	// the backend servers can run at once: 680 requests a second a core, about
	// ten a second a slot, of which a crest takes a quarter.
	coresPerSlot = 0.004
	// muchLess is the part of the largest front's capacity below which a front
	// is listed only if it is needed: clients pick one of the list at random.
	muchLess = 0.5
)

// Front is a front that clients may connect to.
type Front struct {
	Address string
	Zone    string
	// Cores is the part of a core that it may use.
	Cores float64
}

// listed returns the fronts that clients are sent to. Where hosts differ much,
// these are the large ones, as far as they suffice for the slots of the backend
// servers: fewer fronts see more of the calls each, and open fewer connections.
func listed(fronts []Front, slots int) []Front {
	ordered := slices.Clone(fronts)
	slices.SortFunc(ordered, func(a, b Front) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
	})
	cores := 0.0
	for i, f := range ordered {
		if i >= fewestFronts && cores >= coresPerSlot*float64(slots) && f.Cores < muchLess*ordered[0].Cores {
			return ordered[:i]
		}
		cores += f.Cores
	}
	return ordered
}

// Addresses returns the fronts that a client should use, those in its
// availability zone first, and for how long.
func (g *Gateway) Addresses(zone string) ([]string, time.Duration) {
	var near, far []string
	for _, f := range listed(*g.fronts.Load(), g.scheduler.slots()) {
		switch {
		case f.Address == g.settings.Address && !g.Ready():
		case f.Zone == zone:
			near = append(near, f.Address)
		default:
			far = append(far, f.Address)
		}
	}
	all := slices.Concat(near, far)
	if len(all) == 0 && !g.draining.Load() && g.table.Load() != nil {
		all = []string{g.settings.Address} // calls that keep no turn are still served
	}
	return slices.Clip(all[:min(len(all), g.settings.MostAddresses)]), g.settings.AddressTTL
}
