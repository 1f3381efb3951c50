package service

import (
	"net/http"
	"slices"
	"time"

	"dogwoodline.example/emulator/internal/standin"
	"dogwoodline.example/ring"
)

// operation is a request that has not had its effect yet.
type operation struct {
	effect Effect
	due    time.Time
	reply  *ring.Ring[standin.Answer]
}

// ledger is the state of a service.
type ledger struct {
	hung        bool
	down        bool
	leaving     bool
	lookup      bool
	slow        time.Duration
	crashBefore int
	crashAfter  int

	effects []Effect
	pending []operation
	crashes *ring.Ring[struct{}]
}

func newLedger(lookup bool) *ledger {
	return &ledger{lookup: lookup, crashes: ring.New[struct{}](1)}
}

// Hung reports whether requests are held.
func (l *ledger) Hung() bool { return l.hung }

// Crashes returns the ring of crashes.
func (l *ledger) Crashes() *ring.Ring[struct{}] { return l.crashes }

// Start ends the time after a crash. The ledger stays.
func (l *ledger) Start(time.Time) { l.down = false }

// Advance carries out the operations that are due.
func (l *ledger) Advance(now time.Time) {
	for i := 0; i < len(l.pending) && !l.down && !l.hung; {
		if now.Before(l.pending[i].due) {
			i++
			continue
		}
		op := l.pending[i]
		l.pending = slices.Delete(l.pending, i, i+1)
		l.carryOut(op)
	}
}

// Wake returns the time until the next operation is due.
func (l *ledger) Wake(now time.Time) time.Duration {
	next := time.Hour
	if l.hung || l.down {
		return next
	}
	for _, op := range l.pending {
		next = min(next, op.due.Sub(now))
	}
	return max(next, 0)
}

// accept queues an operation or refuses it.
func (l *ledger) accept(now time.Time, effect Effect, reply *ring.Ring[standin.Answer]) {
	switch {
	case l.down:
		tell(reply, standin.Answer{})
	case l.leaving:
		tell(reply, standin.Refusal(http.StatusServiceUnavailable, "leaving"))
	default:
		l.pending = append(l.pending, operation{effect: effect, due: now.Add(l.slow), reply: reply})
	}
}

func (l *ledger) carryOut(op operation) {
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
	tell(op.reply, receipt(op.effect, Done))
}

// crash drops the pending operations. The ledger stays.
func (l *ledger) crash(current operation) {
	l.down = true
	tell(current.reply, standin.Answer{})
	for _, op := range l.pending {
		tell(op.reply, standin.Answer{})
	}
	l.pending = nil
	_ = l.crashes.TryPush(struct{}{}) // one slot for the one crash before Start
}

// look returns the answer to a lookup.
func (l *ledger) look(id string) standin.Answer {
	if l.down {
		return standin.Answer{}
	}
	if !l.lookup {
		return standin.Refusal(http.StatusNotImplemented, "lookup_unsupported")
	}
	for _, effect := range l.effects {
		if effect.RequestID == id {
			return receipt(effect, Done)
		}
	}
	for _, op := range l.pending {
		if op.effect.RequestID == id {
			return receipt(op.effect, Pending)
		}
	}
	return standin.Refusal(http.StatusNotFound, "not_found")
}

// set applies switches.
func (l *ledger) set(s Switches) {
	if s.SlowMS != nil {
		l.slow = time.Duration(*s.SlowMS) * time.Millisecond
	}
	assign(&l.hung, s.Hang)
	assign(&l.crashBefore, s.CrashBefore)
	assign(&l.crashAfter, s.CrashAfter)
	assign(&l.leaving, s.Leaving)
	assign(&l.lookup, s.Lookup)
}

func assign[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

func receipt(effect Effect, state State) standin.Answer {
	return standin.Answer{Status: http.StatusOK, Body: Receipt{
		RequestID: effect.RequestID, Operation: effect.Operation,
		State: state, Sequence: effect.Sequence,
	}}
}

// tell passes the one answer to a handler. Its ring has one slot.
func tell(reply *ring.Ring[standin.Answer], a standin.Answer) { _ = reply.TryPush(a) }
