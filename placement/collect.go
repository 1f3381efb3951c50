package placement

import (
	"context"
	"errors"

	"dogwoodline.example/fencedlog"
)

// ErrHolderGone reports that a holder of copies does not exist any more: it is
// no member and answers no direct ping.
var ErrHolderGone = Error.New("the holder of the copies is gone")

// Collector asks the holders of a sealed journal for its copies.
type Collector interface {
	// Collect returns the copies that a holder has. From then on the holder
	// refuses further ones. It returns ErrHolderGone, or another error when
	// the holder may answer later.
	Collect(ctx context.Context, holder, incarnation string) ([]fencedlog.Copy, error)
}

// collect returns the copies of a source. Every recorded entry is at all of
// its holders, so one that answers is enough. It returns an error while none
// answers and one of them may still do.
func (d *Duty) collect(ctx context.Context, source string) ([]fencedlog.Copy, error) {
	if d.in.Collector == nil {
		return nil, nil
	}
	holders, err := fencedlog.SealedHolders(ctx, d.store, source)
	if err != nil || len(holders) == 0 {
		return nil, err
	}
	var waiting error
	for _, holder := range holders {
		copies, err := d.in.Collector.Collect(ctx, holder, source)
		switch {
		case err == nil:
			return copies, nil
		case !errors.Is(err, ErrHolderGone):
			waiting = err
		}
	}
	if waiting == nil {
		d.log.Error("placement: all holders are gone, records of the last outage may be lost", "incarnation", source, "holders", holders)
	}
	return nil, waiting
}
