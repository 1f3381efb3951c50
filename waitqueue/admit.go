package waitqueue

import "time"

const (
	// fullUtilization is the share of the servers' capacity from which the least urgent
	// priorities start no programs, and levelHeadroom is added to it for level 0; level
	// l gets levelHeadroom/(1+l). It matters where calls wait at the servers because
	// the fronts do not know that all of them are full.
	fullUtilization = 1.0
	levelHeadroom   = 0.2
	// minAffordable is a wait that keeps no program from starting: calls that wait are
	// looked at each 20 ms. Programs that are expected to be late, which have nothing to
	// spare, thus start while the servers have room.
	minAffordable = 20 * time.Millisecond
)

// Start describes a call that would start a program.
type Start struct {
	// Level is the priority of the call among Levels, 0 for the most urgent. Levels is 0 if
	// their number is not known.
	Level, Levels int
	// Utilization is the share of the servers' capacity that running calls take, over all
	// fronts.
	Utilization float64
	// Slack is the time that the program can wait and still end within its objective.
	Slack time.Duration
	// Calls is the number of calls that the program is expected to make.
	Calls float64
}

// Threshold returns the utilization from which programs of the priority do not start.
func (s Start) Threshold() float64 { return fullUtilization + levelHeadroom/float64(1+s.Level) }

// Affordable returns how long each call of the program may wait. Less urgent priorities
// start programs only while there is room for the more urgent ones to do so.
func (s Start) Affordable() time.Duration {
	share := 1 / float64(1+s.Level)
	if s.Levels > 0 {
		share = float64(max(1, s.Levels-s.Level)) / float64(s.Levels)
	}
	return max(minAffordable, time.Duration(share*float64(max(0, s.Slack))/max(1, s.Calls)))
}

// MayStart reports whether a program may start: the servers or the queue must have room,
// and all calls that wait now must be gone within the time that each call of the program
// can wait. Otherwise it would be late itself, and make those under way late.
func (q *Queue[T]) MayStart(s Start, now time.Time) (wait time.Duration, ok bool) {
	q.drain.observe(now, q.waiting)
	waiting := q.waiting
	if n := len(q.buckets); n > 0 && q.buckets[n-1].key.lost {
		waiting -= q.buckets[n-1].count // they go after it
	}
	// The calls at one of many fronts are too few to tell how long the next one will wait.
	wait = max(q.waitBehind(waiting, s.Level), q.drain.recentWait(s.Level))
	return wait, !q.strained && s.Utilization < s.Threshold() && wait <= s.Affordable()
}
