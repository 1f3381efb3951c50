package turnstore

import (
	"time"

	"dogwoodline.example/turnstore/turnpb"
)

// ledgerRenewal is how much longer a ledger must be kept, in ms, before that is written
// to the log again.
const ledgerRenewal = 10_000

// withdrawalReplyTime is for how long replies have the settlement of an attempt that
// generated nothing. Other members that lack it then have been told that they do.
const withdrawalReplyTime = 5 * time.Second

// entry is the reservation or settlement of one attempt.
type entry struct {
	located
	ledger  *ledger
	attempt string
	tokens  int64
	settled bool
	cursor  uint64 // of its arrival
	expires int64  // Unix ms; when a settlement without tokens is dropped
}

func (e *entry) appliedAt(cursor uint64) bool { return e.cursor == cursor }

// withdrawn reports whether the attempt generated nothing. Its settlement is kept for a
// while only, so that a reservation that arrives late is known to be over.
func (e *entry) withdrawn() bool { return e.settled && e.tokens == 0 }

// ledger holds the entries of one program.
type ledger struct {
	program       string
	entries       map[string]*entry // by attempt
	settledTokens int64
	expires       int64 // Unix ms
	loggedExpires int64 // the latest expiry in the log
	// refusing says that the last reservation was refused.
	refusing bool
}

// leavesNoRoom reports whether the tokens that have been settled leave no room for a
// reservation. They never become fewer.
func (l *ledger) leavesNoRoom(r *turnpb.Reservation) bool {
	return r.Budget > 0 && l.settledTokens+r.Tokens > r.Budget
}

// expireLedgers drops the settlements without tokens and the programs that have expired
// before the given time.
func (s *state) expireLedgers(limit int64) {
	s.expiringWithdrawn.due(limit, func(e *entry) {
		switch {
		case e.gone:
		case e.expires < limit:
			delete(e.ledger.entries, e.attempt)
			s.dropEntry(e)
		default:
			s.expiringWithdrawn.add(e, e.expires)
		}
	})
	s.expiringLedgers.due(limit, func(l *ledger) {
		if l.expires >= limit {
			s.expiringLedgers.add(l, l.expires)
			return
		}
		for _, e := range l.entries {
			s.dropEntry(e)
		}
		delete(s.programs, l.program)
	})
}

// applyEntry adds a reservation or settlement whose record expires at the given time,
// in Unix ms. A reservation does not replace the settlement of its attempt.
func (s *state) applyEntry(program, attempt string, tokens int64, settled bool, expires int64) (item, bool) {
	l := s.programs[program]
	if l == nil {
		l = &ledger{program: program, entries: map[string]*entry{}}
		s.programs[program] = l
		s.expiringLedgers.add(l, expires)
	}
	l.expires = max(l.expires, expires)
	e := l.entries[attempt]
	switch {
	case e == nil:
		e = &entry{ledger: l, attempt: attempt}
		l.entries[attempt] = e
		s.entryCount++
		s.bytes += indexOverhead
	case e.settled || !settled:
		return nil, false
	}
	e.tokens, e.settled, e.expires = tokens, settled, expires
	if settled {
		l.settledTokens += tokens
	} else {
		l.refusing = false
	}
	l.loggedExpires = max(l.loggedExpires, expires)
	e.cursor = s.noteApplied(e)
	if e.withdrawn() {
		s.expiringWithdrawn.add(e, expires)
	}
	return e, true
}

// dropEntry counts an entry that was dropped.
func (s *state) dropEntry(e *entry) {
	s.use.drop(e)
	s.entryCount--
	s.bytes -= indexOverhead
}

// refuseReservation reports whether there is certainly no room for a reservation, which
// is then not kept: a program that loops without end would add one with each try. Its
// ledger is kept as long as if it were.
func (s *state) refuseReservation(r *turnpb.Reservation) bool {
	l := s.programs[r.Program]
	if l == nil || !l.leavesNoRoom(r) {
		return false
	}
	l.expires = max(l.expires, r.ExpiresUnixMs)
	l.refusing = true
	return true
}

// withdrawsRefused reports whether a settlement ends a reservation that was refused here,
// so that there is nothing to settle.
func (s *state) withdrawsRefused(r *turnpb.Settlement) bool {
	l := s.programs[r.Program]
	return r.Tokens == 0 && l != nil && l.refusing && l.entries[r.Attempt] == nil
}

// renewal returns a settlement of the program to write again, with the expiry that its
// ledger has now, if the one in the log is much earlier; else nil.
func (s *state) renewal(program string) *entry {
	l := s.programs[program]
	if l.expires-l.loggedExpires < ledgerRenewal {
		return nil
	}
	for _, e := range l.entries {
		if e.settled && !e.withdrawn() {
			l.loggedExpires = l.expires
			return e
		}
	}
	return nil
}

// encode returns the record of an entry.
func (e *entry) encode() *turnpb.Record {
	program, expires := e.ledger.program, e.ledger.expires
	if e.withdrawn() {
		expires = e.expires
	}
	if e.settled {
		return &turnpb.Record{Kind: &turnpb.Record_Settlement{Settlement: &turnpb.Settlement{
			Program: program, Attempt: e.attempt, Tokens: e.tokens, ExpiresUnixMs: expires,
		}}}
	}
	return &turnpb.Record{Kind: &turnpb.Record_Reservation{Reservation: &turnpb.Reservation{
		Program: program, Attempt: e.attempt, Tokens: e.tokens, ExpiresUnixMs: expires,
	}}}
}

// ledger returns the entries of a program for a reply. Settlements without tokens that
// arrived before the given cursor are left out.
func (s *state) ledger(program string, withdrawnSince uint64) *turnpb.Ledger {
	out := &turnpb.Ledger{Program: program}
	if l := s.programs[program]; l != nil {
		for attempt, e := range l.entries {
			if e.withdrawn() && e.cursor < withdrawnSince {
				continue
			}
			out.Entries = append(out.Entries, &turnpb.LedgerEntry{Attempt: attempt, Tokens: e.tokens, Settled: e.settled})
		}
	}
	return out
}

// refusal returns the reply to a reservation that was refused.
func (s *state) refusal(program string) *turnpb.Ledger {
	return &turnpb.Ledger{Program: program, Refused: true, SettledTokens: s.programs[program].settledTokens}
}
