package placement

import (
	"context"
	"errors"

	"dogwoodline.example/fencedlog"
)

// ErrHolderGone reports that a holder, that is a node with copies of the records
// of another node's journal, does not exist any more: it is not a member and does
// not answer a direct ping.
var ErrHolderGone = Error.New("holder of the copies no longer exists")

// Collector fetches the copies of a sealed journal's records from the holders.
// The owner of a journal makes them while the store does not answer.
type Collector interface {
	// Collect returns the copies of the journal of an incarnation that a holder
	// has. After that the holder accepts no more copies of this journal. It
	// returns ErrHolderGone if the holder no longer exists, and another error if
	// the holder may answer later.
	Collect(ctx context.Context, holder, incarnation string) ([]fencedlog.Copy, error)
}

// collectCopies returns the copies of a source. Records count as copied only once
// all holders have them, so the copies of one holder are enough. It returns an
// error if no holder answers but one of them may answer later.
func (d *Duty) collectCopies(ctx context.Context, source string) ([]fencedlog.Copy, error) {
	if d.inputs.Collector == nil {
		return nil, nil
	}
	holders, err := fencedlog.SealedHolders(ctx, d.store, source)
	if err != nil || len(holders) == 0 {
		return nil, err
	}
	var pending error
	for _, holder := range holders {
		copies, err := d.inputs.Collector.Collect(ctx, holder, source)
		switch {
		case err == nil:
			return copies, nil
		case !errors.Is(err, ErrHolderGone):
			pending = err
		}
	}
	if pending == nil {
		d.log.Error("placement: none of the holders exists any more, records copied in the last outage may be lost", "incarnation", source, "holders", holders)
	}
	return nil, pending
}
