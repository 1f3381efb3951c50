package quota

import (
	"math"
	"time"
)

const (
	// programTime is the time constant with which the requests of programs that have
	// started are expected: programs of a few turns take a second or two.
	programTime = 2 * time.Second
	// programMemory is the time constant of the averages from which the requests of a
	// program are estimated.
	programMemory = 30 * time.Second
	// minStarted is the weight of programs from which an estimate counts.
	minStarted = 2.0
	// unknownNeed is what a program is taken to need before any is known.
	unknownNeed = 4.0
	// scarceMemory is how long a front goes by the answer that starts are scarce. Until
	// then it asks for each of them, and the answer says when they no longer are.
	scarceMemory = 10 * time.Second
	// refusedMemory is the time constant of the number of refused starts.
	refusedMemory = time.Second
)

// programNeed estimates the number of requests of a program.
type programNeed struct {
	recent, started, spent float64 // programs lately, programs before, and requests; decaying
	at                     time.Time
}

// add takes in programs that have started and requests that were sent. The requests of a
// program follow its start, so that it counts only after programTime.
func (n *programNeed) add(started, spent float64, now time.Time) {
	if dt := now.Sub(n.at); dt > 0 {
		left, old := math.Exp(-float64(dt)/float64(programMemory)), n.recent*(1-math.Exp(-float64(dt)/float64(programTime)))
		n.recent, n.started, n.spent, n.at = n.recent-old, n.started*left+old, n.spent*left, now
	}
	n.recent += started
	n.spent += spent
}

// requests returns the number of requests of a program, or the given one if too little is
// known.
func (n *programNeed) requests(otherwise float64) float64 {
	if n.started < minStarted {
		return otherwise
	}
	return max(1, n.spent/n.started)
}

// programs estimates what the programs of an organisation still need that have started. A
// quota that hardly suffices for them is not spent on further programs: a request that is
// refused in the middle of a program discards the work before it.
type programs struct {
	need     programNeed
	requests float64 // of a program
	// expected is the number of further requests of programs that have started, which
	// decays with programTime as they are sent.
	expected float64
	refused  float64 // starts, decaying with refusedMemory
	scarce   bool
	at       time.Time
}

// advance takes in programs that have started without permission, and requests that were
// sent. While starts are scarce nothing is learned from them: programs that are refused
// half-way would seem to need little, and more would be started.
func (p *programs) advance(started, spent int64, all *programNeed, now time.Time) {
	if dt := now.Sub(p.at); dt > 0 {
		p.expected *= math.Exp(-float64(dt) / float64(programTime))
		p.refused *= math.Exp(-float64(dt) / float64(refusedMemory))
		p.at = now
	}
	if !p.scarce {
		p.need.add(float64(started), float64(spent), now)
		all.add(float64(started), float64(spent), now)
		p.requests = p.need.requests(all.requests(unknownNeed))
	}
	p.start(started)
}

// start takes in that programs have started.
func (p *programs) start(count int64) { p.expected += float64(count) * (p.requests - 1) }

// retry takes in that requests of programs in progress found no token. They are sent again.
func (p *programs) retry(count int64) { p.expected += float64(count) }

// missing returns how many tokens are missing, of those that are unspent and those that
// accrue at a rate, for one more program beside those in progress; 0 if none are. At a
// steady rate of starts that just uses the quota, the programs in progress need as much
// as accrues for them within programTime.
func (p *programs) missing(unspent, rate float64) float64 {
	accrues := rate * programTime.Seconds() * (p.requests - 1) / p.requests
	return max(0, p.expected+p.requests-unspent-accrues)
}

// wait returns after which time a refused start finds tokens, when those before it have
// returned.
func (p *programs) wait(missing, rate float64) time.Duration {
	gain := rate + p.expected/programTime.Seconds()
	if gain <= 0 {
		return maxRetryAfter
	}
	seconds := missing / gain
	if rate > 0 {
		seconds += p.refused * p.requests / rate
	}
	return min(maxRetryAfter, max(minNext, time.Duration(seconds*float64(time.Second))))
}
