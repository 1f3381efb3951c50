package fencedlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"dogwoodline.example/kvstore"
)

// commit makes the oldest entries of the tail durable and reports them. It
// returns ErrFenced or the error of ctx.
func (w *Writer) commit(ctx context.Context) error {
	if err := w.waitForBudget(ctx); err != nil {
		return err
	}
	batch := w.tail.batch(0, MaxAppendBytes)
	if err := w.commitHead(ctx, batch); err != nil {
		return err
	}
	var tags []uint64
	var compacted uint64
	for _, e := range batch {
		w.index.add(e)
		compacted = max(compacted, e.first)
		switch {
		case e.compacted:
		case e.reply != nil:
			w.deliver(ctx, e.reply, Committed{Tags: []uint64{e.tag}})
		default:
			tags = append(tags, e.tag)
		}
	}
	w.tail.drop(len(batch))
	w.copier.noteCommit(w.tail.dropped)
	if tags != nil {
		w.deliver(ctx, nil, Committed{Tags: tags})
	}
	w.publish()
	if compacted > 0 {
		return w.deleteOldest(ctx, compacted-1)
	}
	w.query(ctx)
	return nil
}

// commitHead swaps the head for one that also holds the entries. The value
// stays the same until the outcome is known: an earlier attempt may take effect
// late, and then exactly these records are durable.
func (w *Writer) commitHead(ctx context.Context, batch []entry) error {
	next := w.head
	next.commit++
	next.holders = w.nextHolders()
	for _, e := range batch {
		next.first = max(next.first, e.first)
	}
	for _, e := range batch {
		next.body = append(next.body, e.body...)
	}
	w.value = appendHead(w.value[:0], next)
	w.beginSwap(len(batch), next)
	if err := w.swap(ctx, w.value, next.commit); err != nil {
		return err
	}
	w.endWrite()
	w.head = next
	w.now.Commits++
	w.now.LastCommit = w.clock.Now()
	return nil
}

// swap writes the value of the given commit and retries until it has taken
// effect. It returns ErrFenced or the error of ctx.
func (w *Writer) swap(ctx context.Context, value []byte, commit uint64) error {
	for attempt := 0; ; attempt++ {
		version, err := w.put(ctx, HeadKey(w.incarnation), value, w.version)
		if err == nil {
			w.version = version
			return nil
		}
		if !hadNoEffect(err) {
			done, err := w.readBack(ctx, commit)
			if done || err != nil {
				return err
			}
		}
		if err := w.backOff(ctx, attempt); err != nil {
			return err
		}
	}
}

// readBack reads the head after a conflict or a lost answer and tells whether
// the commit took effect. A sealed head is ErrFenced even if it contains the
// commit: the records then are another node's to act on.
func (w *Writer) readBack(ctx context.Context, commit uint64) (bool, error) {
	for attempt := 0; ; attempt++ {
		h, version, err := w.readOwnHead(ctx)
		switch {
		case err == nil && !h.sealed && h.commit == commit:
			w.version = version
			return true, nil
		case err == nil && version == w.version:
			return false, nil
		case err == nil, errors.Is(err, ErrMalformed), errors.Is(err, ErrFormat):
			return false, ErrFenced
		case errors.Is(err, kvstore.ErrNotFound) && w.version == kvstore.Absent:
			return false, nil
		case errors.Is(err, kvstore.ErrNotFound):
			return false, ErrFenced
		}
		if err := w.backOff(ctx, attempt); err != nil {
			return false, err
		}
	}
}

// closeSegment writes the full head to its segment key. The head starts again
// with the next commit; until then a reader takes the records from the head.
func (w *Writer) closeSegment(ctx context.Context) error {
	if err := w.waitForBudget(ctx); err != nil {
		return err
	}
	w.beginWrite()
	defer w.endWrite()
	closed := head{incarnation: w.incarnation, open: w.head.open, body: w.head.body}
	value := appendHead(nil, closed)
	key := segmentKey(w.incarnation, closed.open)
	for attempt := 0; ; attempt++ {
		// Unconditional, because a repetition writes the same value.
		_, err := w.put(ctx, key, value, kvstore.AnyVersion)
		if err == nil {
			break
		}
		if err := w.backOff(ctx, attempt); err != nil {
			return err
		}
	}
	w.head.open++
	w.head.body = nil
	w.publish()
	return nil
}

func (w *Writer) put(ctx context.Context, key string, value []byte, expected kvstore.Version) (version kvstore.Version, err error) {
	w.call(ctx, func(ctx context.Context) {
		version, err = w.store.Put(ctx, key, value, expected, 0)
	})
	w.note(err)
	return version, err
}

func (w *Writer) readOwnHead(ctx context.Context) (h head, version kvstore.Version, err error) {
	w.call(ctx, func(ctx context.Context) {
		h, version, err = readHead(ctx, w.store, w.incarnation)
	})
	w.note(err)
	return h, version, err
}

// note records whether the store answered.
func (w *Writer) note(err error) {
	answered := err == nil || errors.Is(err, kvstore.ErrConflict) || errors.Is(err, kvstore.ErrNotFound)
	switch {
	case answered:
		w.now.FailingSince = time.Time{}
	case w.now.FailingSince.IsZero():
		w.now.FailingSince = w.clock.Now()
		w.log.Warn("journal: store call failed, retrying", "incarnation", w.incarnation, "error", err)
	}
	w.publish()
}

// hadNoEffect reports whether a failed write certainly changed nothing and the
// key may still have the expected version.
func hadNoEffect(err error) bool {
	return errors.Is(err, kvstore.ErrUnavailable) || errors.Is(err, kvstore.ErrRateLimited)
}

func (w *Writer) waitForBudget(ctx context.Context) error {
	now := w.clock.Now()
	return w.pause(ctx, w.budget.ReserveN(now, 1).DelayFrom(now))
}

// backOff waits before the next attempt, with full jitter so that the nodes do
// not return together after an outage.
func (w *Writer) backOff(ctx context.Context, attempt int) error {
	limit := w.settings.RetryMin << min(attempt, 20)
	limit = min(limit, w.settings.RetryMax)
	return w.pause(ctx, w.settings.RetryMin/2+rand.N(limit))
}

// pause waits and meanwhile serves the rings. It returns ErrFenced or the error
// of ctx.
func (w *Writer) pause(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := w.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case w.fencedByHolder() != nil:
			return w.fencedByHolder()
		case serve(ctx, w, timer.Chan(), ctx.Done()):
			return nil
		}
	}
}
