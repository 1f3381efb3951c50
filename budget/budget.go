// Package budget accounts for a program's budget: the limit, what is reserved for
// running calls, and what is spent.
//
// An Account has no lock; it must be used by one goroutine only.
package budget

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("budget")

var (
	// ErrOverLimit reports that the highest possible cost of a call exceeds the
	// remaining budget.
	ErrOverLimit = Error.New("worst case exceeds the remaining budget")
	// ErrInvalidAmount reports a negative amount.
	ErrInvalidAmount = Error.New("amount must not be negative")
)

// Units is an amount of budget. One unit is one generated or prompt token, or
// the declared cost of a service call.
type Units int64

// Account tracks one program's budget.
//
// Each durable record of the program carries a ceiling: the total that may be
// spent and reserved before the next record is durable. When another node takes
// over the program, everything below the ceiling of the last durable record counts
// as spent, so units whose reservation was lost cannot be spent twice.
type Account struct {
	Limit    Units `json:"limit"`
	Spent    Units `json:"spent"`
	Reserved Units `json:"reserved"`
	// Ceiling is the ceiling of the last record known to be durable.
	Ceiling Units `json:"ceiling"`

	proposed []Units // ceilings of records that may not be durable yet
}

// Remaining returns the units that can still be reserved.
func (a *Account) Remaining() Units {
	return a.Limit - a.Spent - a.Reserved
}

// Reserve sets aside worstCase units, the highest possible cost of a call. If they
// exceed the remaining budget, it returns ErrOverLimit and changes nothing.
func (a *Account) Reserve(worstCase Units) error {
	if worstCase < 0 {
		return ErrInvalidAmount
	}
	if worstCase > a.Remaining() {
		return ErrOverLimit
	}
	a.Reserved += worstCase
	return nil
}

// WithinCeiling reports whether all spent and reserved units are within the ceiling of
// whichever record turns out to be the last durable one. If so, a call may start
// without waiting for another record to become durable.
func (a *Account) WithinCeiling() bool {
	lowest := a.Ceiling
	for _, ceiling := range a.proposed {
		lowest = min(lowest, ceiling)
	}
	return a.Spent+a.Reserved <= lowest
}

// ProposeCeiling returns the ceiling for the next record. It covers all spent
// and reserved units and ahead further units, up to the limit. For each
// ProposeCeiling the caller must call ConfirmCeiling once, in the same order,
// when the record is durable.
func (a *Account) ProposeCeiling(ahead Units) Units {
	ceiling := min(a.Limit, a.Spent+a.Reserved+ahead)
	a.proposed = append(a.proposed, ceiling)
	return ceiling
}

// ConfirmCeiling marks the oldest proposed ceiling as durable.
func (a *Account) ConfirmCeiling() {
	a.Ceiling = a.proposed[0]
	a.proposed = append(a.proposed[:0], a.proposed[1:]...)
}

// Settle replaces a reservation of worstCase units by the actual cost. A cost above
// the reservation is capped at it, because the highest possible cost is enforced
// where the call runs and the budget must never be exceeded.
func (a *Account) Settle(worstCase, actual Units) {
	a.Reserved -= worstCase
	a.Spent += min(max(actual, 0), worstCase)
}

// Recover is called when another node has taken over the program. It counts
// everything below the ceiling as spent, except for the reservations that are still
// held for child programs and resumed calls.
func (a *Account) Recover() {
	a.Spent = max(a.Spent, a.Ceiling-a.Reserved)
}
