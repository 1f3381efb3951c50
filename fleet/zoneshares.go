package fleet

import (
	"maps"
	"slices"
	"time"

	"dogwoodline.example/zones"
)

// failingRate is the failure rate from which a backend server does not count towards the
// capacity of its zone.
const failingRate = 0.5

// ZoneCapacities returns what the usable backend servers of a service can run in each
// availability zone; callsInMemory is as for Places. The demand is left open.
func (f *Fleet) ZoneCapacities(service string, callsInMemory float64, now time.Time) []zones.Zone {
	byName := map[string]*zones.Zone{}
	for _, s := range f.byService[service] {
		z := byName[s.AvailabilityZone]
		if z == nil {
			z = &zones.Zone{Name: s.AvailabilityZone}
			byName[s.AvailabilityZone] = z
		}
		if now.Before(s.suspectUntil) || f.failureRate(s, now) >= failingRate {
			continue
		}
		capacity := s.capacity(callsInMemory)
		z.Slots = max(z.Slots, capacity)
		z.Slowness = (z.Slowness*z.Capacity + f.slowness(s, now)*capacity) / (z.Capacity + capacity)
		z.Capacity += capacity
	}
	var all []zones.Zone
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		all = append(all, *byName[name])
	}
	return all
}

// failureRate returns the fraction of recent calls at a server that failed, by what this
// front or the others have seen, whichever is worse.
func (f *Fleet) failureRate(s *backendState, now time.Time) float64 {
	return max(s.failures.currentRate(now), s.others.failureRate(now))
}

// SetZoneShares sets the part of the calls to a service that goes to other availability
// zones although their conversations have no server there.
func (f *Fleet) SetZoneShares(service string, shares []zones.Share) {
	if len(shares) == 0 {
		delete(f.zoneShares, service)
		return
	}
	f.zoneShares[service] = shares
}

// TypicalTime returns how long a call to a service takes at the median server; 0 if that is
// not known.
func (f *Fleet) TypicalTime(service string) time.Duration {
	return time.Duration(f.medianLatency(service) * float64(time.Millisecond))
}
