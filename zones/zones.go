// Package zones decides what share of the calls that begin in one availability zone goes
// to servers of other zones. It does no I/O and reads no clock.
//
// The load that it handles: demand that exceeds a zone's own servers for seconds, in one
// zone or in several at different times, while traffic between zones takes time and money.
//
// The shares follow from the demand of each zone, counted where it begins, and not from
// the calls that run in each zone now. What runs depends on the shares that all fronts use
// and is known late, so that shares derived from it would swing; the demand does not.
package zones

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Zone is what is known of one availability zone and service.
type Zone struct {
	Name string
	// Demand is the number of calls of this zone's fronts that run or wait, wherever they
	// run.
	Demand float64
	// Capacity is the number of calls that the zone's usable servers run at once.
	Capacity float64
	// Slots is the number of calls that one of its servers runs at once.
	Slots float64
	// Slowness is the factor by which its servers are slower than the median server.
	Slowness float64
}

// Call describes the calls that may go to another zone.
type Call struct {
	// Time is how long one takes at the median server.
	Time time.Duration
	// Transit is how much longer it takes if its server is in another zone.
	Transit time.Duration
	// Bytes is its size with its history and its answer.
	Bytes int
}

// Share is the part of a zone's calls that goes to another zone.
type Share struct {
	Zone string
	Part float64
}

const (
	// batchSlowdown is the part by which a full batch slows a call.
	batchSlowdown = 0.25
	// maxUtilization is the utilization up to which the time in queues is that of a system
	// with random arrivals; it goes on in a straight line.
	maxUtilization = 0.97
	// acceptedDelayPerKB is the delay of a call that is accepted to save one KB of traffic
	// between zones, which is billed.
	acceptedDelayPerKB = 500 * time.Microsecond
	// minGain is the part of a call's time that sending it to another zone must save.
	// Less may be chance.
	minGain = 0.1
	// steps is the number of parts into which the demand is divided.
	steps = 100
)

// delay returns the expected time of a call in a zone in which load calls run or wait, in
// units of its time at the idle median server.
func (z Zone) delay(load float64) float64 {
	if z.Capacity <= 0 {
		return math.Inf(1)
	}
	utilization := load / z.Capacity
	return max(z.Slowness, 0.1) * (1 + batchSlowdown*min(1, utilization) + queueing(utilization, z.Slots))
}

// queueing returns the expected time in the queue of a server with the given number of
// slots, in units of the time of a call: the approximation of Sakasegawa for M/M/c.
func queueing(utilization, slots float64) float64 {
	slots = max(1, slots)
	exponent := math.Sqrt(2*(slots+1)) - 1
	calm := min(utilization, maxUtilization)
	wait := math.Pow(calm, exponent) / (slots * (1 - calm))
	if utilization <= maxUtilization {
		return wait
	}
	return wait + (utilization-maxUtilization)*slots
}

// Shares returns what part of the calls that begin in a zone should go to which other
// zones: the parts that make the delay equal, but for the cost of the way. The rest stays.
// No zone both sends and receives.
func Shares(own string, all []Zone, call Call) []Share {
	zones := slices.Clone(all)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	at := slices.IndexFunc(zones, func(z Zone) bool { return z.Name == own })
	if at < 0 || len(zones) < 2 || call.Time <= 0 || zones[at].Demand <= 0 {
		return nil
	}
	crossing := float64(call.Transit+time.Duration(float64(call.Bytes)/1024*float64(acceptedDelayPerKB)))/float64(call.Time) + minGain
	flow := equalize(zones, crossing)
	var shares []Share
	for to, sent := range flow[at] {
		if to != at && sent > 0 {
			shares = append(shares, Share{Zone: zones[to].Name, Part: min(1, sent/zones[at].Demand)})
		}
	}
	return shares
}

// equalize moves the demand of zones to other zones, in small parts, each from where it
// saves most, until none saves anything.
func equalize(zones []Zone, crossing float64) [][]float64 {
	total := 0.0
	load := make([]float64, len(zones))
	flow := make([][]float64, len(zones))
	for i, z := range zones {
		load[i], flow[i] = z.Demand, make([]float64, len(zones))
		flow[i][i] = z.Demand
		total += z.Demand
	}
	part := total / steps
	for range 2 * steps {
		from, to, gain := -1, -1, 0.0
		for i, z := range zones {
			if flow[i][i] <= 0 {
				continue
			}
			here := z.delay(load[i])
			for j := range zones {
				// Two zones without any usable server have nothing to give each other.
				if saved := here - zones[j].delay(load[j]+part) - crossing; j != i && zones[j].Capacity > 0 && saved > gain {
					from, to, gain = i, j, saved
				}
			}
		}
		if from < 0 {
			break
		}
		moved := min(part, flow[from][from])
		flow[from][from] -= moved
		flow[from][to] += moved
		load[from] -= moved
		load[to] += moved
	}
	return flow
}
