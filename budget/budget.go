// Package budget keeps a program's account: what it may spend, what is
// reserved for running calls, and what is spent.
//
// An Account is a value without locks; one duty owns it.
package budget

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("budget")

var (
	// ErrOverLimit reports that the worst case does not fit in what is left.
	ErrOverLimit = Error.New("worst case exceeds the remaining budget")
	// ErrInvalidAmount reports a negative amount.
	ErrInvalidAmount = Error.New("amount must not be negative")
)

// Units is an amount of budget. One unit is one generated or prompt token, or
// the declared cost of a service call.
type Units int64

// Account tracks one program's budget.
//
// Each durable record of the program carries a ceiling: what may be spent
// until the next record. After a change of owner everything below the ceiling
// of the last durable record counts as spent, so a lost reservation cannot be
// spent twice.
type Account struct {
	Limit    Units `json:"limit"`
	Spent    Units `json:"spent"`
	Reserved Units `json:"reserved"`
	// Ceiling is the ceiling of the last record known to be durable.
	Ceiling Units `json:"ceiling"`

	proposed []Units // ceilings of records that may not be durable yet
}

// Remaining returns what can still be reserved.
func (a *Account) Remaining() Units {
	return a.Limit - a.Spent - a.Reserved
}

// Reserve sets the worst case of a call aside. It returns ErrOverLimit and
// changes nothing when the worst case does not fit.
func (a *Account) Reserve(worst Units) error {
	if worst < 0 {
		return ErrInvalidAmount
	}
	if worst > a.Remaining() {
		return ErrOverLimit
	}
	a.Reserved += worst
	return nil
}

// Covered reports whether all spent and reserved units are below the ceiling
// of whichever record turns out to be the last durable one, so that work may
// start before another record is durable.
func (a *Account) Covered() bool {
	lowest := a.Ceiling
	for _, ceiling := range a.proposed {
		lowest = min(lowest, ceiling)
	}
	return a.Spent+a.Reserved <= lowest
}

// Propose returns the ceiling for the next record, which covers all
// reservations and ahead further units. Each call is followed by one Confirm
// when that record is durable, in the same order.
func (a *Account) Propose(ahead Units) Units {
	ceiling := min(a.Limit, a.Spent+a.Reserved+ahead)
	a.proposed = append(a.proposed, ceiling)
	return ceiling
}

// Confirm notes that the oldest proposed ceiling is durable.
func (a *Account) Confirm() {
	a.Ceiling = a.proposed[0]
	a.proposed = append(a.proposed[:0], a.proposed[1:]...)
}

// Settle replaces a reservation by the actual cost. A cost above the
// reservation is cut to it, because a worst case is enforced where the call
// runs and the budget is never exceeded.
func (a *Account) Settle(worst, actual Units) {
	a.Reserved -= worst
	a.Spent += min(max(actual, 0), worst)
}

// Recover turns everything below the ceiling into spent units, except the
// reservations that are still held for children and resumed calls.
func (a *Account) Recover() {
	a.Spent = max(a.Spent, a.Ceiling-a.Reserved)
}
