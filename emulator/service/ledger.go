package service

import (
	"net/http"
	"slices"
	"time"

	"dogwoodline.example/emulator/internal/standin"
	"dogwoodline.example/ring"
)

// operation is a request whose effect is not recorded yet.
type operation struct {
	effect Effect
	due    time.Time
	reply  *ring.Ring[standin.Response]
}

// ledger is the state of a service: the recorded effects, which survive a crash,
// the pending operations and the fault settings.
type ledger struct {
	hung          bool
	crashed       bool
	leaving       bool
	lookupEnabled bool
	delay         time.Duration
	crashBefore   int
	crashAfter    int

	effects []Effect
	pending []operation
	crashes *ring.Ring[struct{}]
}

func newLedger(lookup bool) *ledger {
	return &ledger{lookupEnabled: lookup, crashes: ring.New[struct{}](1)}
}

// Hung reports whether the service simulates a hang.
func (l *ledger) Hung() bool { return l.hung }

// Crashes returns the ring to which each crash is pushed.
func (l *ledger) Crashes() *ring.Ring[struct{}] { return l.crashes }

// Restart ends the downtime after a crash. The recorded effects are kept.
func (l *ledger) Restart(time.Time) { l.crashed = false }

// Advance executes the operations that are due.
func (l *ledger) Advance(now time.Time) {
	for i := 0; i < len(l.pending) && !l.crashed && !l.hung; {
		if now.Before(l.pending[i].due) {
			i++
			continue
		}
		op := l.pending[i]
		l.pending = slices.Delete(l.pending, i, i+1)
		l.execute(op)
	}
}

// NextWake returns the time until the next operation is due, one hour at most.
func (l *ledger) NextWake(now time.Time) time.Duration {
	next := time.Hour
	if l.hung || l.crashed {
		return next
	}
	for _, op := range l.pending {
		next = min(next, op.due.Sub(now))
	}
	return max(next, 0)
}

// accept queues an operation or refuses it.
func (l *ledger) accept(now time.Time, effect Effect, reply *ring.Ring[standin.Response]) {
	switch {
	case l.crashed:
		sendAnswer(reply, standin.Response{})
	case l.leaving:
		sendAnswer(reply, standin.ErrorResponse(http.StatusServiceUnavailable, "leaving"))
	default:
		l.pending = append(l.pending, operation{effect: effect, due: now.Add(l.delay), reply: reply})
	}
}

// execute records the effect of an operation and confirms it, unless a crash is
// due before or after the effect.
func (l *ledger) execute(op operation) {
	if l.crashBefore > 0 {
		l.crashBefore--
		l.crash(op)
		return
	}
	op.effect.Sequence = len(l.effects) + 1
	l.effects = append(l.effects, op.effect)
	if l.crashAfter > 0 {
		l.crashAfter--
		l.crash(op)
		return
	}
	sendAnswer(op.reply, receiptAnswer(op.effect, Done))
}

// crash drops the current and the pending operations without a response. The
// recorded effects are kept.
func (l *ledger) crash(current operation) {
	l.crashed = true
	sendAnswer(current.reply, standin.Response{})
	for _, op := range l.pending {
		sendAnswer(op.reply, standin.Response{})
	}
	l.pending = nil
	_ = l.crashes.TryPush(struct{}{}) // never full: at most one crash before Start
}

// lookUp returns the response to GET /requests/{id}.
func (l *ledger) lookUp(id string) standin.Response {
	if l.crashed {
		return standin.Response{}
	}
	if !l.lookupEnabled {
		return standin.ErrorResponse(http.StatusNotImplemented, "lookup_unsupported")
	}
	for _, effect := range l.effects {
		if effect.RequestID == id {
			return receiptAnswer(effect, Done)
		}
	}
	for _, op := range l.pending {
		if op.effect.RequestID == id {
			return receiptAnswer(op.effect, Pending)
		}
	}
	return standin.ErrorResponse(http.StatusNotFound, "not_found")
}

// applySwitches changes the settings that the switches give a value.
func (l *ledger) applySwitches(s Switches) {
	if s.SlowMS != nil {
		l.delay = time.Duration(*s.SlowMS) * time.Millisecond
	}
	assignIfSet(&l.hung, s.Hang)
	assignIfSet(&l.crashBefore, s.CrashBefore)
	assignIfSet(&l.crashAfter, s.CrashAfter)
	assignIfSet(&l.leaving, s.Leaving)
	assignIfSet(&l.lookupEnabled, s.Lookup)
}

// assignIfSet copies the value to the target unless it is nil.
func assignIfSet[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

func receiptAnswer(effect Effect, state State) standin.Response {
	return standin.Response{Status: http.StatusOK, Body: Receipt{
		RequestID: effect.RequestID, Operation: effect.Operation,
		State: state, Sequence: effect.Sequence,
	}}
}

// sendAnswer passes the response to a handler. The ring has one slot for it.
func sendAnswer(reply *ring.Ring[standin.Response], a standin.Response) { _ = reply.TryPush(a) }
