// Package urgency estimates how much time a call has to spare before its program is
// late, from the time that the program has left and from what programs of the same
// route have taken. It does no I/O and reads no clock; its caller passes the time.
//
// It is for calls that compete for scarce places at backend servers: programs that can
// still end within their objective go before those that can only end within twice that
// time, and these before programs that cannot end in time at all.
package urgency

import (
	"math"
	"time"
)

// Class is what a program can still achieve. Lower classes go first.
type Class int

const (
	// InTime programs can still end within their objective.
	InTime Class = iota
	// Late programs can only end within twice the time of their objective.
	Late
	// Lost programs cannot end in time at all.
	Lost
)

// String returns the name of the class as it appears in logs.
func (c Class) String() string {
	switch c {
	case InTime:
		return "in_time"
	case Late:
		return "late"
	default:
		return "lost"
	}
}

// NotTurn is the Turn of a call that is no turn of a conversation, such as a tool call.
const NotTurn = -1

// Call describes a call for which the urgency of its program is asked.
type Call struct {
	Route   string
	Program string
	// Session tells the conversations of a program apart, as of its sub-agents.
	Session string
	// Turn is the number of turns of the conversation before this one, or NotTurn.
	Turn    int
	Arrived time.Time
	// Deadline is when the caller stops waiting for this call.
	Deadline time.Time
	// FinishWithin is the time from Arrived until the program should be finished. It is
	// negative if that has passed, and 0 if it is not known.
	FinishWithin time.Duration
	// LengthHint is the client's estimate of the output tokens; 0 if it gave none.
	LengthHint int
}

const (
	// inTimeDeviations and lateDeviations are how many standard deviations less than
	// expected the rest of a program may have to take for it to count as in time or as
	// late: one program in four, and one in ten, needs no more. A program that is taken
	// for lost by mistake loses all of its value, hence the wider margin.
	inTimeDeviations = 0.67
	lateDeviations   = 1.28
	// hintWeight is how much of the difference between a client's estimate of the
	// output and the mean estimate counts, and maxHintRatio bounds that difference: the
	// estimates are often far off.
	hintWeight   = 0.5
	maxHintRatio = 2.0
)

// Assessment tells until when a call has to start for what its program can achieve.
// Its times do not change while the call waits, so that they can order a queue.
type Assessment struct {
	// StartBy is when the call has to start for the program to end within its
	// objective, if the rest of it takes as long as expected.
	StartBy time.Time
	// InTimeUntil and LateUntil end the time in which the program counts as InTime and
	// Late.
	InTimeUntil, LateUntil time.Time
	// Remaining is the expected time until the end of the program, without waiting in
	// queues, and Uncertainty its standard deviation.
	Remaining, Uncertainty time.Duration
	// FurtherTurns is the expected number of turns after this call.
	FurtherTurns float64
	// CallTime is the expected time of the call itself.
	CallTime time.Duration
	// Stated says that the client stated when the program should be finished. Otherwise
	// the deadline of the call takes that place.
	Stated bool
}

// ClassAt returns the class of the program if the call starts at a time.
func (a Assessment) ClassAt(start time.Time) Class {
	switch {
	case !start.After(a.InTimeUntil):
		return InTime
	case !start.After(a.LateUntil):
		return Late
	default:
		return Lost
	}
}

// Slack returns the time that the call can wait for the program to end within its
// objective. It is negative if the program is expected to be late.
func (a Assessment) Slack(now time.Time) time.Duration { return a.StartBy.Sub(now) }

// Assess estimates the urgency of a call. It changes no estimate.
func (e *Estimates) Assess(call Call, now time.Time) Assessment {
	own := e.look(call.Route)
	callTime := own.expectedTime(call.LengthHint)
	a := Assessment{CallTime: seconds(callTime)}
	if call.FinishWithin == 0 {
		a.StartBy = call.Deadline.Add(-a.CallTime)
		a.InTimeUntil, a.LateUntil, a.Remaining = a.StartBy, a.StartBy, a.CallTime
		return a
	}
	further, rest := e.further(call, now)
	step := rest.turn.mean() + rest.between.mean()
	variance := further.variance*step*step + further.mean*(rest.turn.variance()+rest.between.variance()) + own.turn.variance()
	// The uncertainty of the estimates themselves adds to that of the program.
	variance += square(1+further.mean)*rest.turn.errorVariance() + square(further.mean)*rest.between.errorVariance()
	deviation := math.Sqrt(variance)
	remaining := callTime + further.mean*step

	a.Stated, a.FurtherTurns, a.Remaining, a.Uncertainty = true, further.mean, seconds(remaining), seconds(deviation)
	a.StartBy = call.Arrived.Add(call.FinishWithin - a.Remaining)
	objective := max(rest.objective.mean(), call.FinishWithin.Seconds())
	if call.Turn == 0 && call.FinishWithin > 0 {
		objective = call.FinishWithin.Seconds()
	}
	a.InTimeUntil = a.StartBy.Add(seconds(inTimeDeviations * deviation))
	a.LateUntil = a.StartBy.Add(seconds(objective + lateDeviations*deviation))
	return a
}

// further returns how many turns the program is expected to have after this call, and
// the estimates of the route that these turns belong to. Tool calls and sub-agents have
// the rest of the program before them that called them.
func (e *Estimates) further(call Call, now time.Time) (turnCount, *routeEstimate) {
	own := e.look(call.Route)
	parent, known := e.programs.get(call.Program, now)
	if known && (call.Turn == NotTurn || parent.session != call.Session) {
		rest := e.look(parent.route)
		inherited := rest.furtherTurns(parent.turn)
		if call.Turn == NotTurn {
			return inherited, rest
		}
		if ofOwn := own.furtherTurns(call.Turn); ofOwn.mean > inherited.mean {
			return ofOwn, own
		}
		return inherited, rest
	}
	if call.Turn != NotTurn {
		return own.furtherTurns(call.Turn), own
	}
	if rest := e.routes[own.calledFrom]; rest != nil {
		return rest.furtherOfAny(), rest
	}
	return turnCount{}, own
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

func square(value float64) float64 { return value * value }
