package gateway

import "time"

const (
	// nearlyFull is the fullness of the turn stores from which programs are not started.
	// The rest is for the turns of those in progress: refusing one of these discards the
	// work before it.
	nearlyFull = 0.85
	// minRoomWait is the shortest Retry-After of a program that finds no room.
	minRoomWait = 500 * time.Millisecond
)

// startsAnew reports whether the request starts a program, or a conversation of a caller
// without one.
func (e *clientExchange) startsAnew() bool {
	return !e.takesUp() && (e.startsProgram || !e.turn.hasBudget && e.request.PreviousTurn == "")
}

// storesLackRoom reports whether the turn stores are too full for the turns of another
// program.
func (e *clientExchange) storesLackRoom() bool {
	return e.route.RetainTurns && e.gateway.turnStore.Fullness() >= nearlyFull
}

// roomAfter returns when the stores have room for further programs, if none are started
// until then: what they hold expires evenly over the time for which turns are kept. The
// spread, from 0 to 1, keeps those that were refused from coming back at the same time.
func roomAfter(fullness float64, kept time.Duration, spread float64) time.Duration {
	wait := minRoomWait
	if fullness > nearlyFull {
		wait = max(wait, time.Duration((fullness-nearlyFull)/fullness*float64(kept)))
	}
	return wait + time.Duration(spread/2*float64(wait)).Round(time.Millisecond)
}
