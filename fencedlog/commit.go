package fencedlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"dogwoodline.example/kvstore"
)

// commit makes the oldest entries of the tail durable with one write of the
// head, and reports them as committed. It returns ErrFenced or the error of ctx.
func (w *Writer) commit(ctx context.Context) error {
	if err := w.waitForBudget(ctx); err != nil {
		return err
	}
	batch := w.tail.batch(0, MaxAppendBytes)
	if err := w.commitHead(ctx, batch); err != nil {
		return err
	}
	var tags []uint64
	var newFirst uint64
	for _, e := range batch {
		w.index.add(e)
		newFirst = max(newFirst, e.firstSegment)
		switch {
		case e.fromCompaction:
		case e.reply != nil:
			w.deliver(ctx, e.reply, Committed{Tags: []uint64{e.tag}})
		default:
			tags = append(tags, e.tag)
		}
	}
	w.tail.drop(len(batch))
	w.copier.forgetCommitted(w.tail.oldestPosition)
	if tags != nil {
		w.deliver(ctx, nil, Committed{Tags: tags})
	}
	w.publishState()
	if newFirst > 0 {
		return w.deleteCompactedSegment(ctx, newFirst-1)
	}
	w.queryOldestSegment(ctx)
	return nil
}

// commitHead replaces the head with one that also contains the entries of the
// batch. All attempts write the same value until the outcome is known, because
// an earlier attempt may take effect late, and then exactly these records are
// durable.
func (w *Writer) commitHead(ctx context.Context, batch []entry) error {
	next := w.head
	next.commit++
	next.holders = w.nextHolders()
	for _, e := range batch {
		next.firstSegment = max(next.firstSegment, e.firstSegment)
	}
	for _, e := range batch {
		next.body = append(next.body, e.body...)
	}
	w.headBuffer = appendHead(w.headBuffer[:0], next)
	w.beginSwap(len(batch), next)
	sent := w.clock.Now()
	if err := w.swap(ctx, w.headBuffer, next.commit); err != nil {
		return err
	}
	w.endWrite()
	w.head = next
	w.nextState.Commits++
	w.nextState.LastCommit = sent
	return nil
}

// swap replaces the head by compare-and-swap with the encoded head of the given
// commit, and retries until that has taken effect. It returns ErrFenced or the
// error of ctx.
func (w *Writer) swap(ctx context.Context, value []byte, commit uint64) error {
	for attempt := 0; ; attempt++ {
		version, err := w.put(ctx, HeadKey(w.incarnation), value, w.version)
		if err == nil {
			w.version = version
			return nil
		}
		if !hadNoEffect(err) {
			tookEffect, err := w.readBack(ctx, commit)
			if tookEffect || err != nil {
				return err
			}
		}
		if err := w.backOff(ctx, attempt); err != nil {
			return err
		}
	}
}

// readBack reads the head after a conflict or a lost answer and reports whether
// the commit took effect. If the head is sealed, readBack returns ErrFenced even
// if the head contains the commit, because another node then takes over the
// records.
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

// closeSegment writes the records of the full head to a segment of their own.
// The next commit writes a head without them; until then readers take the
// records from the head.
func (w *Writer) closeSegment(ctx context.Context) error {
	if err := w.waitForBudget(ctx); err != nil {
		return err
	}
	w.beginWrite()
	defer w.endWrite()
	closed := head{incarnation: w.incarnation, openSegment: w.head.openSegment, body: w.head.body}
	value := appendHead(nil, closed)
	key := segmentKey(w.incarnation, closed.openSegment)
	for attempt := 0; ; attempt++ {
		// No version is expected, because every attempt writes the same value.
		_, err := w.put(ctx, key, value, kvstore.AnyVersion)
		if err == nil {
			break
		}
		if err := w.backOff(ctx, attempt); err != nil {
			return err
		}
	}
	w.head.openSegment++
	w.head.body = nil
	w.publishState()
	return nil
}

func (w *Writer) put(ctx context.Context, key string, value []byte, expected kvstore.Version) (version kvstore.Version, err error) {
	w.callStore(ctx, func(ctx context.Context) {
		version, err = w.store.Put(ctx, key, value, expected, 0)
	})
	w.recordStoreResult(err)
	return version, err
}

func (w *Writer) readOwnHead(ctx context.Context) (h head, version kvstore.Version, err error) {
	w.callStore(ctx, func(ctx context.Context) {
		h, version, err = readHead(ctx, w.store, w.incarnation)
	})
	w.recordStoreResult(err)
	return h, version, err
}

// recordStoreResult updates FailingSince after a store call, and logs the first
// failure of a series. A conflict or a missing key counts as an answer.
func (w *Writer) recordStoreResult(err error) {
	answered := err == nil || errors.Is(err, kvstore.ErrConflict) || errors.Is(err, kvstore.ErrNotFound)
	switch {
	case answered:
		w.nextState.FailingSince = time.Time{}
	case w.nextState.FailingSince.IsZero():
		w.nextState.FailingSince = w.clock.Now()
		w.log.Warn("journal: store call failed, retrying", "incarnation", w.incarnation, "error", err)
	}
	w.publishState()
}

// hadNoEffect reports whether a failed write is certain to have changed nothing
// and may be repeated with the same expected version.
func hadNoEffect(err error) bool {
	return errors.Is(err, kvstore.ErrUnavailable) || errors.Is(err, kvstore.ErrRateLimited)
}

// waitForBudget waits until the write budget allows another write.
func (w *Writer) waitForBudget(ctx context.Context) error {
	now := w.clock.Now()
	return w.pause(ctx, w.budget.ReserveN(now, 1).DelayFrom(now))
}

// backOff waits before the next attempt. The wait grows exponentially and has
// full jitter, so that the nodes do not all retry at once after an outage.
func (w *Writer) backOff(ctx context.Context, attempt int) error {
	limit := w.settings.RetryMin << min(attempt, 20)
	limit = min(limit, w.settings.RetryMax)
	return w.pause(ctx, w.settings.RetryMin/2+rand.N(limit))
}

// pause waits for the given time and meanwhile accepts appends and copies the
// tail to holders. It returns ErrFenced or the error of ctx.
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
		case serveUntil(ctx, w, timer.Chan(), ctx.Done()):
			return nil
		}
	}
}
