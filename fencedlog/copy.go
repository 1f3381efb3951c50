package fencedlog

import (
	"cmp"
	"context"
	"slices"

	"dogwoodline.example/kvstore"
)

// HoldersWanted is the number of holders that a head names. Two, so that a
// recorded entry survives the loss of its owner or of any one holder.
const HoldersWanted = 2

// ErrCopiesFenced reports that a holder takes no more copies of a journal,
// because a node that replays the sealed journal has asked for them.
var ErrCopiesFenced = Error.New("copies are fenced: the holder was asked for them")

// Copy is a group of records that holders keep until the store has it.
type Copy struct {
	// Number grows by one with each copy of a journal.
	Number uint64
	// Oldest is the number of the oldest copy that the store does not have. A
	// holder that lacks a copy from Oldest on refuses this one.
	Oldest uint64
	// Commit is the number of the commit that makes the records durable. A
	// head with this number or a later one contains them.
	Commit uint64
	// Records is the number of records in Body.
	Records int
	Body    []byte // encoded records
}

// Holders chooses the incarnations that hold copies.
type Holders interface {
	// Holders returns HoldersWanted names, always in the same order, or none
	// when there are too few nodes.
	Holders() []string
}

// Sender sends messages to one holder and waits for its answer.
type Sender interface {
	// Hold returns nil when the holder has the copy and all earlier ones from
	// Oldest on, ErrCopiesFenced when it refuses for good, or another error.
	Hold(ctx context.Context, holder, incarnation string, c Copy) error
	// Drop tells that the store has all copies up to a commit number.
	Drop(ctx context.Context, holder, incarnation string, commit uint64) error
}

// SealedHolders returns the holders that a sealed head names. It returns none
// for a journal that is open, whose owner must not lose its holders, and
// kvstore.ErrNotFound if there is no head.
func SealedHolders(ctx context.Context, store kvstore.Store, incarnation string) ([]string, error) {
	h, _, err := readHead(ctx, store, incarnation)
	if err != nil || !h.sealed {
		return nil, err
	}
	return h.holders, nil
}

// uncommitted returns the records of the copies that a sealed head does not
// contain, in order. Others must not be replayed: compaction may have removed
// what superseded them, for instance the end of their program.
func uncommitted(h head, copies []Copy) ([]Record, error) {
	if !h.sealed {
		return nil, nil
	}
	sorted := slices.Clone(copies)
	slices.SortFunc(sorted, func(a, b Copy) int { return cmp.Compare(a.Number, b.Number) })
	var records []Record
	for _, c := range sorted {
		if c.Commit <= h.commit {
			continue
		}
		decoded, err := decodeRecords(c.Body)
		if err != nil {
			return nil, err
		}
		records = append(records, decoded...)
	}
	return records, nil
}
