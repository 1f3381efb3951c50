package turnstore

import (
	"slices"

	"dogwoodline.example/copyset"
	"dogwoodline.example/turnstore/turnpb"
)

// Verdict is the conclusion from the members' answers to an operation.
type Verdict int

const (
	// Undecided means that more answers are needed.
	Undecided Verdict = iota
	// Stored means that a majority has synced the records, that the budget has
	// room, and that the conversation, if one was asked for, is complete.
	Stored
	// OverBudget means that the budget of the program has no room for the
	// reservation.
	OverBudget
	// TurnMissing means that the turn to be continued was never stored.
	TurnMissing
	// Uncertain means that too few members answered to decide.
	Uncertain
)

// String returns the name of the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"undecided", "stored", "spent", "missing", "uncertain"}[v]
}

// Operation is what a front server asks of the stores: to store records, to
// read a conversation, or both.
type Operation struct {
	Records []*turnpb.Record
	// Budget is the most tokens that the program may spend and reserve; 0 means
	// no limit. It is checked if the first record is a reservation.
	Budget int64
	// Chain is the id of the last turn of the conversation to read, or empty.
	Chain string
	// FactKey is the key of the fact to read, or empty. Each member that receives
	// the records is asked for it, and any two majorities have a member in common.
	FactKey string
}

// reservation returns the reservation to check against the budget, or nil.
func (o Operation) reservation() *turnpb.Reservation {
	if len(o.Records) == 0 {
		return nil
	}
	return o.Records[0].GetReservation()
}

// Result is the outcome of an operation.
type Result struct {
	Verdict Verdict
	// Conversation holds the contents of the turns, oldest first.
	Conversation [][]byte
	// Organisation is the one that the conversation belongs to, by the newest turn that
	// says so; empty if none does.
	Organisation string
	// Spent and Reserved are the tokens that other attempts of the program have
	// settled and still reserve.
	Spent, Reserved int64
	// LedgerEntries is the number of entries of the program that were read.
	LedgerEntries int
	// Synced is the number of ready members that have stored the records.
	Synced int
	// Fact is the newest fact that the members know of FactKey.
	Fact Fact
	// CopySet is the copy set version under which the answers were counted.
	CopySet uint64
	// HomeServer is the backend server that generated the last turn of the conversation;
	// empty if that is not recorded.
	HomeServer string
	// MissingTurn is the turn of the conversation that no answer had, if there is
	// one: Chain itself, or the nearest turn before it.
	MissingTurn string
}

// tally counts the members' answers to one operation. It does no I/O.
type tally struct {
	op  Operation
	set copyset.Set
	// synced holds the disks that have stored the records, and chainReaders those
	// that have been read for the chain. A member that answers twice counts once.
	synced       map[string]bool
	chainReaders map[string]bool
	entries      map[string]*turnpb.LedgerEntry // by attempt
	turns        map[string]*turnpb.Turn        // by id
	lacking      map[turnAtDisk]bool            // turns that members have said they lack
	fact         *turnpb.Fact                   // the newest one; nil if none was read
	refused      bool                           // a member has certainly no room for the reservation
	settled      int64                          // the most tokens that such a member knows to be settled
}

// turnAtDisk names a turn and a member.
type turnAtDisk struct{ turn, disk string }

func newTally(op Operation, set copyset.Set) *tally {
	return &tally{op: op, set: set, synced: map[string]bool{}, chainReaders: map[string]bool{}, entries: map[string]*turnpb.LedgerEntry{},
		turns: map[string]*turnpb.Turn{}, lacking: map[turnAtDisk]bool{}}
}

// addAnswer counts the answer of a ready member. Stored says that the request
// carried the records of the operation.
func (t *tally) addAnswer(disk string, stored bool, ledger *turnpb.Ledger, chain *turnpb.Chain, fact *turnpb.Fact) {
	if stored || len(t.op.Records) == 0 {
		t.synced[disk] = true
	}
	if fact != nil && (t.fact == nil || fact.Version > t.fact.Version) {
		t.fact = fact
	}
	if ledger != nil {
		t.refused = t.refused || ledger.Refused
		t.settled = max(t.settled, ledger.SettledTokens)
		for _, e := range ledger.Entries {
			known := t.entries[e.Attempt]
			if known == nil || (e.Settled && !known.Settled) {
				t.entries[e.Attempt] = e
			}
		}
	}
	if chain != nil {
		t.addChain(disk, chain)
	}
}

// addChain adds the turns of a member's answer, which ends at the first turn that
// the member lacks.
func (t *tally) addChain(disk string, chain *turnpb.Chain) {
	t.chainReaders[disk] = true
	next := chain.Id
	for _, turn := range chain.Turns {
		t.turns[turn.Id] = turn
		next = turn.Previous
	}
	if next != "" {
		t.lacking[turnAtDisk{next, disk}] = true
	}
}

// lacks reports whether the member has said that it lacks the turn.
func (t *tally) lacks(disk, turn string) bool { return t.lacking[turnAtDisk{turn, disk}] }

// missingTurn returns the first turn of the chain, from its end, that no answer
// has had yet, or an empty text if the conversation is complete.
func (t *tally) missingTurn() string {
	id := t.op.Chain
	for id != "" {
		turn := t.turns[id]
		if turn == nil {
			return id
		}
		id = turn.Previous
	}
	return ""
}

// conversation returns the contents of the chain's turns, oldest first. All of them
// must be known.
func (t *tally) conversation() [][]byte {
	var contents [][]byte
	for id := t.op.Chain; id != ""; id = t.turns[id].Previous {
		contents = append(contents, t.turns[id].Content)
	}
	slices.Reverse(contents)
	return contents
}

// organisation returns the organisation of the newest turn of the chain that has one. All
// turns must be known.
func (t *tally) organisation() string {
	for id := t.op.Chain; id != ""; id = t.turns[id].Previous {
		if owner := t.turns[id].Organisation; owner != "" {
			return owner
		}
	}
	return ""
}

// otherTokens returns the tokens that other attempts of the program have
// settled and still reserve.
func (t *tally) otherTokens() (spent, reserved int64) {
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

// result returns the conclusion so far. Outstanding is the number of members
// that may still answer.
func (t *tally) result(outstanding int) Result {
	out := Result{Synced: len(t.synced), LedgerEntries: len(t.entries), CopySet: t.set.Version}
	if t.refused { // what one member knows to be settled, all will
		out.Verdict, out.Spent = OverBudget, t.settled
		return out
	}
	majority := t.set.Majority()
	if len(t.synced) < majority {
		if len(t.synced)+outstanding < majority {
			out.Verdict = Uncertain
		}
		return out
	}
	if t.fact != nil {
		out.Fact = decodeFact(t.fact)
	}
	if own := t.op.reservation(); own != nil {
		out.Spent, out.Reserved = t.otherTokens()
		if t.op.Budget > 0 && out.Spent+out.Reserved+own.Tokens > t.op.Budget {
			out.Verdict = OverBudget
			return out
		}
	}
	if t.op.Chain == "" {
		out.Verdict = Stored
		return out
	}
	out.MissingTurn = t.missingTurn()
	switch {
	case out.MissingTurn == "":
		out.Verdict, out.Conversation, out.Organisation = Stored, t.conversation(), t.organisation()
		out.HomeServer = t.turns[t.op.Chain].BackendServer
	case len(t.chainReaders) >= t.set.ReadQuorum() && t.turns[t.op.Chain] == nil:
		out.Verdict = TurnMissing
	case outstanding == 0:
		out.Verdict = Uncertain
	}
	return out
}
