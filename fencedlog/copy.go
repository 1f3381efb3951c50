package fencedlog

import (
	"cmp"
	"context"
	"slices"

	"dogwoodline.example/kvstore"
)

// HolderCount is the number of holders that a head names. There are two, so
// that a recorded entry survives the loss of its owner or of either holder.
const HolderCount = 2

// ErrCopiesFenced reports that a holder accepts no more copies of a journal,
// because a node that replays the sealed journal has collected them.
var ErrCopiesFenced = Error.New("copies are fenced: a node that replays the journal has collected them")

// Copy is a group of uncommitted records of a journal that holders keep in
// memory until the store has the records. A holder is another incarnation.
type Copy struct {
	// Number is the sequence number of the copy in its journal, from 1.
	Number uint64
	// Oldest is the number of the oldest copy whose records are not committed.
	// A holder that lacks any copy from Oldest on refuses this one.
	Oldest uint64
	// Commit is the number of the commit that makes the records durable. The
	// records are in the store if the head has this commit number or a later
	// one.
	Commit uint64
	// Records is the number of records in Body.
	Records int
	Body    []byte // encoded records
}

// HolderChooser chooses the incarnations that hold copies.
type HolderChooser interface {
	// Holders returns the names of HolderCount incarnations, always in the
	// same order, or none if there are too few nodes.
	Holders() []string
}

// HolderClient sends messages to holders and waits for their answers.
type HolderClient interface {
	// Hold sends a copy of the incarnation's journal to the holder. It returns
	// nil if the holder has the copy and all earlier ones from Oldest on,
	// ErrCopiesFenced if the holder refuses all further copies, or another
	// error if the copy may be sent again.
	Hold(ctx context.Context, holder, incarnation string, c Copy) error
	// Drop tells the holder that the store has the records of all copies up to
	// the given commit number, so that it can discard these copies.
	Drop(ctx context.Context, holder, incarnation string, commit uint64) error
}

// SealedHolders returns the holders that a sealed head names. It returns none
// for a journal that is not sealed, because collecting the copies from its
// holders would fence the owner. It returns kvstore.ErrNotFound if there is no
// head.
func SealedHolders(ctx context.Context, store kvstore.Store, incarnation string) ([]string, error) {
	h, _, err := readHead(ctx, store, incarnation)
	if err != nil || !h.sealed {
		return nil, err
	}
	return h.holders, nil
}

// uncommitted returns the records of those copies that a sealed head does not
// contain, in journal order. Committed copies must not be replayed: compaction
// may have removed the records that superseded theirs, such as the end of a
// program. For a head that is not sealed, uncommitted returns no records.
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
