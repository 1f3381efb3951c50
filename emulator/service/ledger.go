package service

import (
	"slices"
	"time"

	"dogwoodline.example/ring"
)

// message is what a handler asks of the ledger duty.
type message interface {
	apply(l *ledger, now time.Time)
}

// answer is what the ledger duty tells a handler.
type answer struct {
	receipt Receipt
	effects []Effect
	refused string // reason of a refusal
	crashed bool
}

// operation is a request that has not had its effect yet.
type operation struct {
	effect Effect
	due    time.Time
	reply  *ring.Ring[answer]
}

// ledger is the state of a service. Time is passed in and it does no I/O. It
// is owned by one duty.
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

func newLedger(config Config) *ledger {
	return &ledger{lookup: config.Lookup, crashes: ring.New[struct{}](1)}
}

// advance carries out the operations that are due.
func (l *ledger) advance(now time.Time) {
	for i := 0; i < len(l.pending) && !l.down; {
		if now.Before(l.pending[i].due) {
			i++
			continue
		}
		op := l.pending[i]
		l.pending = slices.Delete(l.pending, i, i+1)
		l.carryOut(op)
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
	tell(op.reply, answer{receipt: receipt(op.effect, Done)})
}

// crash drops the pending operations. The ledger stays.
func (l *ledger) crash(current operation) {
	l.down = true
	tell(current.reply, answer{crashed: true})
	for _, op := range l.pending {
		tell(op.reply, answer{crashed: true})
	}
	l.pending = nil
	_ = l.crashes.TryPush(struct{}{}) // full means that a restart is already under way
}

// wake returns the time until advance has something to do.
func (l *ledger) wake(now time.Time) time.Duration {
	next := time.Hour
	if l.hung || l.down {
		return next
	}
	for _, op := range l.pending {
		next = min(next, op.due.Sub(now))
	}
	return max(next, 0)
}

func (l *ledger) find(id string) (Receipt, bool) {
	for _, effect := range l.effects {
		if effect.RequestID == id {
			return receipt(effect, Done), true
		}
	}
	for _, op := range l.pending {
		if op.effect.RequestID == id {
			return receipt(op.effect, Pending), true
		}
	}
	return Receipt{}, false
}

func receipt(effect Effect, state State) Receipt {
	return Receipt{
		RequestID: effect.RequestID, Operation: effect.Operation,
		State: state, Sequence: effect.Sequence,
	}
}

// tell passes the one answer to a handler. Its ring has one slot.
func tell(reply *ring.Ring[answer], a answer) { _ = reply.TryPush(a) }

// doMessage brings an operation.
type doMessage struct {
	effect Effect
	reply  *ring.Ring[answer]
}

func (m doMessage) apply(l *ledger, now time.Time) {
	switch {
	case l.down:
		tell(m.reply, answer{crashed: true})
	case l.leaving:
		tell(m.reply, answer{refused: reasonLeaving})
	default:
		l.pending = append(l.pending, operation{effect: m.effect, due: now.Add(l.slow), reply: m.reply})
	}
}

// lookupMessage asks for a request by its id.
type lookupMessage struct {
	id    string
	reply *ring.Ring[answer]
}

func (m lookupMessage) apply(l *ledger, _ time.Time) {
	if l.down {
		tell(m.reply, answer{crashed: true})
		return
	}
	if !l.lookup {
		tell(m.reply, answer{refused: reasonUnsupported})
		return
	}
	found, ok := l.find(m.id)
	if !ok {
		tell(m.reply, answer{refused: reasonNotFound})
		return
	}
	tell(m.reply, answer{receipt: found})
}

// effectsMessage asks for all effects.
type effectsMessage struct{ reply *ring.Ring[answer] }

func (m effectsMessage) apply(l *ledger, _ time.Time) {
	tell(m.reply, answer{effects: slices.Clone(l.effects)})
}

// setMessage changes switches.
type setMessage struct {
	switches Switches
	reply    *ring.Ring[answer]
}

func (m setMessage) apply(l *ledger, _ time.Time) {
	s := m.switches
	if s.SlowMS != nil {
		l.slow = time.Duration(*s.SlowMS) * time.Millisecond
	}
	assign(&l.hung, s.Hang)
	assign(&l.crashBefore, s.CrashBefore)
	assign(&l.crashAfter, s.CrashAfter)
	assign(&l.leaving, s.Leaving)
	assign(&l.lookup, s.Lookup)
	tell(m.reply, answer{})
}

func assign[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

// startMessage tells that the listener is open again after a crash.
type startMessage struct{}

func (startMessage) apply(l *ledger, _ time.Time) { l.down = false }
