package turnstore

import (
	"dogwoodline.example/copyset"
	"dogwoodline.example/turnstore/turnpb"
)

// Verdict is what the stores' answers to an operation add up to.
type Verdict int

const (
	// Undecided means that more answers are needed.
	Undecided Verdict = iota
	// Stored means that a majority has synced the records and that what was
	// asked for is known.
	Stored
	// Spent means that the program's budget has no room for the reservation.
	Spent
	// Missing means that the turn that is continued was never stored.
	Missing
	// Uncertain means that too few stores answered to know.
	Uncertain
)

// String returns the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"undecided", "stored", "spent", "missing", "uncertain"}[v]
}

// Operation is what a front asks of the stores.
type Operation struct {
	Records []*turnpb.Record
	// Budget bounds the reservations of the program; it is checked if the
	// first record is a reservation.
	Budget int64
	// Chain is the turn whose conversation is wanted; empty for none.
	Chain string
}

func (o Operation) reservation() *turnpb.Reservation {
	if len(o.Records) == 0 {
		return nil
	}
	return o.Records[0].GetReservation()
}

// Result is the outcome of an operation.
type Result struct {
	Verdict Verdict
	// Conversation is the content of the chain's turns, oldest first.
	Conversation [][]byte
	// Spent and Reserved are the tokens of the program that others settled
	// and hold.
	Spent, Reserved int64
	// Synced is the number of members that have stored the records.
	Synced int
	// CopySet is the version that the answers were counted under.
	CopySet uint64
}

// tally counts the answers to one operation. It is pure.
type tally struct {
	op  Operation
	set copyset.Set
	// synced and readers are the disks that have stored the records and that
	// have answered the question for the chain. A member that is asked twice
	// counts once.
	synced  map[string]bool
	readers map[string]bool
	entries map[string]*turnpb.LedgerEntry
	links   map[string]*turnpb.Turn
}

func newTally(op Operation, set copyset.Set) *tally {
	return &tally{op: op, set: set, synced: map[string]bool{}, readers: map[string]bool{}, entries: map[string]*turnpb.LedgerEntry{}, links: map[string]*turnpb.Turn{}}
}

// ok counts the answer of a ready member. Stored says that the records were
// in the message that it answers.
func (t *tally) ok(disk string, stored bool, ledger *turnpb.Ledger, chain *turnpb.Chain) {
	if stored || len(t.op.Records) == 0 {
		t.synced[disk] = true
	}
	if ledger != nil {
		for _, e := range ledger.Entries {
			known := t.entries[e.Attempt]
			if known == nil || (e.Settled && !known.Settled) {
				t.entries[e.Attempt] = e
			}
		}
	}
	if chain != nil {
		t.readers[disk] = true
		for _, turn := range chain.Turns {
			t.links[turn.Id] = turn
		}
	}
}

// conversation returns the chain's contents, oldest first, if all are known.
func (t *tally) conversation() ([][]byte, bool) {
	var contents [][]byte
	for id := t.op.Chain; id != ""; {
		link := t.links[id]
		if link == nil {
			return nil, false
		}
		contents = append(contents, link.Content)
		id = link.Previous
	}
	for a, b := 0, len(contents)-1; a < b; a, b = a+1, b-1 {
		contents[a], contents[b] = contents[b], contents[a]
	}
	return contents, true
}

// others returns the tokens of the program beside this reservation.
func (t *tally) others() (spent, reserved int64) {
	own := t.op.reservation()
	for attempt, e := range t.entries {
		switch {
		case attempt == own.Attempt:
		case e.Settled:
			spent += e.Tokens
		default:
			reserved += e.Tokens
		}
	}
	return spent, reserved
}

// result decides. Left is the number of members whose answer may still come.
func (t *tally) result(left int) Result {
	out := Result{Synced: len(t.synced), CopySet: t.set.Version}
	need := t.set.Majority()
	if len(t.synced) < need {
		if len(t.synced)+left < need {
			out.Verdict = Uncertain
		}
		return out
	}
	if own := t.op.reservation(); own != nil {
		out.Spent, out.Reserved = t.others()
		if t.op.Budget > 0 && out.Spent+out.Reserved+own.Tokens > t.op.Budget {
			out.Verdict = Spent
			return out
		}
	}
	if t.op.Chain == "" {
		out.Verdict = Stored
		return out
	}
	contents, whole := t.conversation()
	switch {
	case whole:
		out.Verdict, out.Conversation = Stored, contents
	case len(t.readers) >= t.set.Witnesses() && t.links[t.op.Chain] == nil:
		out.Verdict = Missing
	case left == 0:
		out.Verdict = Uncertain
	}
	return out
}
