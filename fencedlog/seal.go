package fencedlog

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"dogwoodline.example/kvstore"
)

// writeAttempts bounds the compare-and-swap attempts of one Seal and the
// attempts of one deleteKey. Each conflict in Seal means that the owner
// committed in between, which it does at most 30 times a second, so a few
// attempts suffice; the caller may call Seal again.
const writeAttempts = 32

// readAttempts bounds how often one Replay reads the journal from the start
// because compaction deleted a segment during the read.
const readAttempts = 8

// Seal makes the journal final: after it returns nil, no commit of the
// incarnation takes effect. It is idempotent and may run on several nodes
// concurrently. If the journal has no head, Seal creates a sealed one, so that
// a process that is slow to start cannot open the journal afterwards. If the
// store's answer is lost, Seal reads the head again to learn the outcome. It
// returns the store's error when the store fails; the journal may then be
// sealed or not, and the caller has to call Seal again.
func Seal(ctx context.Context, store kvstore.Store, incarnation string) error {
	return seal(ctx, store, incarnation, true)
}

// SealExisting is like Seal, but for a journal that may have been deleted
// meanwhile: if there is no head, it returns kvstore.ErrNotFound and creates
// nothing.
func SealExisting(ctx context.Context, store kvstore.Store, incarnation string) error {
	return seal(ctx, store, incarnation, false)
}

func seal(ctx context.Context, store kvstore.Store, incarnation string, create bool) error {
	for range writeAttempts {
		h, version, err := readHead(ctx, store, incarnation)
		if create && errors.Is(err, kvstore.ErrNotFound) {
			h, version = head{incarnation: incarnation}, kvstore.Absent
		} else if err != nil {
			return err
		}
		if h.sealed {
			return nil
		}
		h.sealed = true
		_, err = store.Put(ctx, HeadKey(incarnation), appendHead(nil, h), version, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrAmbiguous):
			continue
		default:
			return Error.Wrap(err)
		}
	}
	return Error.New("head of %s changed during %d attempts to seal it", incarnation, writeAttempts)
}

// IsFenced reports whether the incarnation can no longer write because its head
// is sealed or deleted. A head that belongs to another incarnation is reported
// as ErrMalformed.
func IsFenced(ctx context.Context, store kvstore.Store, incarnation string) (bool, error) {
	h, _, err := readHead(ctx, store, incarnation)
	if errors.Is(err, kvstore.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return h.sealed, nil
}

// Replay returns the records of the shards that want selects, sorted by program
// and sequence number, without duplicates. The copies are those that a holder
// of a sealed journal has; Replay skips the ones whose records the head
// contains already. The result is complete only for a sealed journal, for the
// caller's own journal and for a shard whose owner has committed a Handoff. If
// the journal has no head, Replay returns kvstore.ErrNotFound: a journal that
// is still named as a source of records is never deleted, so an empty result
// would hide a loss.
func Replay(ctx context.Context, store kvstore.Store, incarnation string, want func(shard int) bool, copies ...Copy) ([]Record, error) {
	for range readAttempts {
		records, err := readAll(ctx, store, incarnation, copies)
		if errors.Is(err, errSegmentDeleted) {
			continue
		}
		if err != nil {
			return nil, err
		}
		var kept []Record
		for _, r := range dropSuperseded(records) {
			if want(r.Shard) {
				kept = append(kept, r)
			}
		}
		return Merge(kept), nil
	}
	return nil, Error.New("journal %s was compacted during %d attempts to read it", incarnation, readAttempts)
}

// Delete removes a sealed journal. It returns ErrNotSealed and changes nothing
// if the journal is not sealed. The sealed head of an incarnation that never
// wrote is kept, because it prevents that incarnation from opening the journal.
func Delete(ctx context.Context, store kvstore.Store, incarnation string) error {
	h, _, err := readHead(ctx, store, incarnation)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if !h.sealed {
		return ErrNotSealed
	}
	items, _, err := store.List(ctx, keyPrefix(incarnation)+"seg/")
	if err != nil {
		return Error.Wrap(err)
	}
	for _, item := range items {
		if err := deleteKey(ctx, store, item.Key); err != nil {
			return err
		}
	}
	if h.commit == 0 {
		return nil
	}
	// The head is deleted last, so that a Delete that failed part way can be
	// repeated.
	return deleteKey(ctx, store, HeadKey(incarnation))
}

// errSegmentDeleted reports that compaction deleted a segment during a read.
var errSegmentDeleted = Error.New("segment deleted during the read")

// readAll returns all records in journal order: those of the closed segments,
// of the head and of the copies that the head does not contain. It returns
// errSegmentDeleted if compaction deleted a segment during the read.
func readAll(ctx context.Context, store kvstore.Store, incarnation string, copies []Copy) ([]Record, error) {
	h, version, err := readHead(ctx, store, incarnation)
	if err != nil {
		return nil, err
	}
	var records []Record
	for n := h.firstSegment; n < h.openSegment; n++ {
		closed, err := readSegment(ctx, store, incarnation, n)
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, missingSegmentError(ctx, store, incarnation, n, version)
		}
		if err != nil {
			return nil, err
		}
		records = append(records, closed...)
	}
	openRecords, err := decodeRecords(h.body)
	if err != nil {
		return nil, err
	}
	fromCopies, err := uncommitted(h, copies)
	return slices.Concat(records, openRecords, fromCopies), err
}

// missingSegmentError returns the reason why a segment that the head of the
// given version names is absent: ErrMissingSegment if the head is known to have
// that version still, otherwise errSegmentDeleted.
func missingSegmentError(ctx context.Context, store kvstore.Store, incarnation string, n uint64, version kvstore.Version) error {
	_, latest, err := readHead(ctx, store, incarnation)
	if err == nil && latest == version {
		return fmt.Errorf("%w: %s", ErrMissingSegment, segmentKey(incarnation, n))
	}
	return errSegmentDeleted
}

func readSegment(ctx context.Context, store kvstore.Store, incarnation string, n uint64) ([]Record, error) {
	item, err := store.Get(ctx, segmentKey(incarnation, n))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	segment, err := decodeHead(item.Value)
	if err != nil {
		return nil, err
	}
	if segment.incarnation != incarnation || segment.openSegment != n {
		return nil, malformed(fmt.Errorf("value belongs to segment %d of %s", segment.openSegment, segment.incarnation))
	}
	return decodeRecords(segment.body)
}

func readHead(ctx context.Context, store kvstore.Store, incarnation string) (head, kvstore.Version, error) {
	item, err := store.Get(ctx, HeadKey(incarnation))
	if err != nil {
		return head{}, 0, Error.Wrap(err)
	}
	h, err := decodeHead(item.Value)
	if err != nil {
		return head{}, 0, err
	}
	if h.incarnation != incarnation {
		return head{}, 0, malformed(fmt.Errorf("value belongs to the head of %s", h.incarnation))
	}
	return h, item.Version, nil
}

// deleteKey deletes a key, and repeats the deletion if the store's answer is
// lost. A key that is already absent is no error.
func deleteKey(ctx context.Context, store kvstore.Store, key string) error {
	for range writeAttempts {
		err := store.Delete(ctx, key, kvstore.AnyVersion)
		switch {
		case err == nil, errors.Is(err, kvstore.ErrNotFound):
			return nil
		case errors.Is(err, kvstore.ErrAmbiguous):
			continue
		default:
			return Error.Wrap(err)
		}
	}
	return Error.New("outcome of deleting %s is unknown: the store's answers were lost", key)
}
