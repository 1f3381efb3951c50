package fleet

import (
	"math"
	"slices"
	"time"
)

const (
	// minUnevenServers is how many servers must have been measured, and minUnevenShare
	// the share of a service's servers, before their speeds are compared.
	minUnevenServers = 4
	minUnevenShare   = 0.3
	// minUnevenStreams is how many streams of a server must have been measured. One of many
	// fronts sees a server about every second or two.
	minUnevenStreams = 2
	// unevenMemory is how long a server's measurement counts without further streams.
	unevenMemory = time.Minute
	// unevenFrom is the ratio of a slow server's gaps to those of a fast one from which
	// servers count as uneven, and unevenUntil the ratio below which they no longer do. A
	// full batch alone slows a server by a quarter, and two streams of equal servers may
	// differ by half.
	unevenFrom, unevenUntil = 1.75, 1.25
	// unevenAfter and evenAfter are how long the ratio must stay beyond these bounds. Until
	// a service counts as uneven, its slow servers get as many calls as the fast ones and
	// fall behind within seconds.
	unevenAfter, evenAfter = 2 * time.Second, 30 * time.Second
	// slowQuantile is the share of servers that are left out at each end. Faults that pass
	// slow down fewer servers than that, and do not make a service uneven.
	slowQuantile = 0.25
)

// unevenness tells with hysteresis whether the servers of a service differ lastingly in
// speed.
type unevenness struct {
	holds bool
	since time.Time // since when the ratio says otherwise; zero if it does not
}

// update takes in the ratio of the speeds of a service's servers; 0 if it is not known,
// which changes nothing.
func (u *unevenness) update(ratio float64, now time.Time) {
	disagrees, wait := ratio >= unevenFrom, unevenAfter
	if u.holds {
		disagrees, wait = ratio > 0 && ratio < unevenUntil, evenAfter
	}
	switch {
	case !disagrees:
		u.since = time.Time{}
	case u.since.IsZero():
		u.since = now
	case now.Sub(u.since) >= wait:
		u.holds, u.since = !u.holds, time.Time{}
	}
}

// Uneven reports whether the backend servers of a service differ lastingly in speed, as
// of the last call to Expire.
func (f *Fleet) Uneven(service string) bool {
	known := f.speeds[service]
	return known != nil && known.uneven.holds
}

// spread returns the ratio of the gaps of a slow server of a service to those of a fast
// one; 0 if too few are known.
func (f *Fleet) spread(service string, now time.Time) float64 {
	var gaps []float64
	for _, s := range f.byService[service] {
		if s.speed.streams >= minUnevenStreams && now.Sub(s.speed.observedAt) < unevenMemory {
			gaps = append(gaps, s.speed.lasting)
		}
	}
	if len(gaps) < minUnevenServers || float64(len(gaps)) < minUnevenShare*float64(len(f.byService[service])) {
		return 0
	}
	slices.Sort(gaps)
	out := int(slowQuantile * float64(len(gaps)))
	if out == 0 && len(gaps) > minUnevenServers {
		out = 1
	}
	return math.Exp(gaps[len(gaps)-1-out] - gaps[out])
}
