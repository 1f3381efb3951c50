package waitqueue

import (
	"math"
	"time"
)

const (
	// drainMemory is the time over which the rate is averaged at which calls are sent.
	// Loads swing within about ten seconds; a call takes some hundred ms.
	drainMemory = 2 * time.Second
	// waitMemory is the time over which the waits of calls are averaged that were sent. A
	// longer one keeps programs from starting when the queue is empty again.
	waitMemory = 500 * time.Millisecond
	// minDrainTime is how long calls must have waited for the rate to be known.
	minDrainTime = 100 * time.Millisecond
	// expectedSent is added to the calls that were sent: a front that sends ten calls per
	// second often sends none in 100 ms, and would refuse all calls if it took that for
	// the rate.
	expectedSent = 1
)

// maxLevels is the number of priorities that are told apart; further ones count as the
// least urgent of them.
const maxLevels = 16

// minShare is the least share of the rate that a priority is taken to get.
const minShare = 0.02

// drainRate measures how many calls per second are sent while others wait, and how many
// of each priority arrive.
type drainRate struct {
	count, seconds float64            // of the time in which calls waited, older ones with less weight
	arrived        [maxLevels]float64 // calls that were put into the queue, older ones with less weight
	waits, waited  [maxLevels]float64 // calls that were sent, and the seconds that they had waited; older ones with less weight
	since          time.Time
	busySince      time.Time
	last           time.Time
}

// observe notes how many calls wait from now on. The time since the last observation
// counts if calls waited in it.
func (d *drainRate) observe(now time.Time, waiting int) {
	if d.since.IsZero() {
		d.since, d.last = now, now
	}
	if passed := now.Sub(d.last); passed > 0 {
		factor := math.Exp(-float64(passed) / float64(drainMemory))
		forWaits := math.Exp(-float64(passed) / float64(waitMemory))
		for l := range d.arrived {
			d.arrived[l], d.waits[l], d.waited[l] = factor*d.arrived[l], forWaits*d.waits[l], forWaits*d.waited[l]
		}
		if !d.busySince.IsZero() {
			d.count *= factor
			d.seconds = d.seconds*factor + drainMemory.Seconds()*(1-factor)
		}
		d.last = now
	}
	switch {
	case waiting == 0:
		d.busySince = time.Time{}
	case d.busySince.IsZero():
		d.busySince = now
	}
}

// recentWait returns how long calls of a priority waited that were sent lately.
func (d *drainRate) recentWait(level int) time.Duration {
	level = min(max(0, level), maxLevels-1)
	return time.Duration(d.waited[level] / (d.waits[level] + expectedSent) * float64(time.Second))
}

// sent counts a call that was sent. Those that did not make others wait do not tell the
// rate.
func (d *drainRate) sent(level int, waited time.Duration, now time.Time) {
	level = min(max(0, level), maxLevels-1)
	d.waits[level]++
	d.waited[level] += max(0, waited.Seconds())
	if !d.busySince.IsZero() && d.busySince.Before(now) {
		d.count++
	}
}

// perSecond returns the rate that is left for a priority by the more urgent ones, or
// false if it is not known.
func (d *drainRate) perSecond(level int) (float64, bool) {
	rate := (d.count + expectedSent) / max(d.seconds, minDrainTime.Seconds())
	known := 1 - math.Exp(-float64(d.last.Sub(d.since))/float64(drainMemory)) // part of the memory that has been seen
	left := rate
	for _, arrived := range d.arrived[:min(level, maxLevels)] {
		left -= arrived / max(minDrainTime.Seconds(), known*drainMemory.Seconds())
	}
	return max(left, minShare*rate), d.seconds >= minDrainTime.Seconds()
}
