package fencedlog

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"dogwoodline.example/kvstore"
)

// sealAttempts bounds the swaps of one Seal. Each conflict means that the owner
// committed in between, which it does at most 30 times a second, so a few
// attempts suffice; the caller may call Seal again.
const sealAttempts = 32

// readAttempts bounds how often Replay starts again because compaction deleted
// a segment while it was reading.
const readAttempts = 8

// Seal makes the journal final: after it returns nil, no commit of the
// incarnation takes effect. It is idempotent and may run at several nodes at
// once. A journal without a head gets a sealed one, so that a slow starter
// cannot begin to write. A lost answer is resolved by reading the head back.
// Seal returns the store's error when the store fails; the journal may then be
// sealed or not, and the caller calls it again.
func Seal(ctx context.Context, store kvstore.Store, incarnation string) error {
	return seal(ctx, store, incarnation, true)
}

// SealExisting is Seal for a journal that may have been deleted meanwhile. It
// returns kvstore.ErrNotFound, and creates nothing, if there is no head.
func SealExisting(ctx context.Context, store kvstore.Store, incarnation string) error {
	return seal(ctx, store, incarnation, false)
}

func seal(ctx context.Context, store kvstore.Store, incarnation string, create bool) error {
	for range sealAttempts {
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
	return Error.New("head of %s changed during %d attempts to seal it", incarnation, sealAttempts)
}

// IsFenced reports whether the incarnation can no longer write: its head is
// sealed, deleted or foreign.
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

// Replay returns the records of the wanted shards, sorted by program and
// sequence number, without repetitions. Copies are what a holder of a sealed
// journal has; those that the head contains are left out. Replay is meaningful on a sealed journal, on the
// own one, and for a shard that the owner has handed off. It returns
// kvstore.ErrNotFound if the journal has no head, because a journal that is
// still named as a source is never deleted: an empty result would hide a loss.
func Replay(ctx context.Context, store kvstore.Store, incarnation string, want func(shard int) bool, copies ...Copy) ([]Record, error) {
	for range readAttempts {
		records, err := read(ctx, store, incarnation, copies)
		if errors.Is(err, errMoved) {
			continue
		}
		if err != nil {
			return nil, err
		}
		var kept []Record
		for _, r := range current(records) {
			if want(r.Shard) {
				kept = append(kept, r)
			}
		}
		return Merge(kept), nil
	}
	return nil, Error.New("journal %s was compacted during %d attempts to read it", incarnation, readAttempts)
}

// Delete removes a sealed journal. It returns ErrNotSealed and changes nothing
// if the journal is open. The sealed head of an incarnation that never wrote is
// kept, because it is what keeps that incarnation from beginning.
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
		if err := remove(ctx, store, item.Key); err != nil {
			return err
		}
	}
	if h.commit == 0 {
		return nil
	}
	// The head goes last, so that a Delete which fails half way can be
	// repeated.
	return remove(ctx, store, HeadKey(incarnation))
}

// errMoved reports that compaction deleted a segment during a read.
var errMoved = Error.New("segment deleted during the read")

// read returns all records in journal order.
func read(ctx context.Context, store kvstore.Store, incarnation string, copies []Copy) ([]Record, error) {
	h, version, err := readHead(ctx, store, incarnation)
	if err != nil {
		return nil, err
	}
	var records []Record
	for n := h.first; n < h.open; n++ {
		closed, err := readSegment(ctx, store, incarnation, n)
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, movedOrMissing(ctx, store, incarnation, n, version)
		}
		if err != nil {
			return nil, err
		}
		records = append(records, closed...)
	}
	last, err := decodeRecords(h.body)
	if err != nil {
		return nil, err
	}
	held, err := uncommitted(h, copies)
	return slices.Concat(records, last, held), err
}

func movedOrMissing(ctx context.Context, store kvstore.Store, incarnation string, n uint64, version kvstore.Version) error {
	_, now, err := readHead(ctx, store, incarnation)
	if err == nil && now == version {
		return fmt.Errorf("%w: %s", ErrMissingSegment, segmentKey(incarnation, n))
	}
	return errMoved
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
	if segment.incarnation != incarnation || segment.open != n {
		return nil, malformed(fmt.Errorf("segment %d of %s", segment.open, segment.incarnation))
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
		return head{}, 0, malformed(fmt.Errorf("head of %s", h.incarnation))
	}
	return h, item.Version, nil
}

// remove deletes a key. A lost answer is resolved by deleting it again.
func remove(ctx context.Context, store kvstore.Store, key string) error {
	for range sealAttempts {
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
	return Error.New("every answer to the deletion of %s was lost", key)
}
