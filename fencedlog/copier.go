package fencedlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dogwoodline.example/duty"
	"dogwoodline.example/ring"
)

const (
	// copyDelay is how long a write to the store may take before uncommitted
	// entries are copied to the holders. The store normally answers within
	// milliseconds.
	copyDelay = 100 * time.Millisecond
	// copyRetryDelay is the wait after a copy that not all holders
	// acknowledged.
	copyRetryDelay = 100 * time.Millisecond
	// dropRetryDelay is the wait after a drop message that a holder did not
	// acknowledge. A drop only frees memory, so it is not urgent.
	dropRetryDelay = time.Second
	// sendTimeout bounds one message to a holder and its answer. The network
	// latency between nodes is at most a few milliseconds.
	sendTimeout = 500 * time.Millisecond
	// holdersCheckInterval is how often an idle writer compares the holders
	// named in the head with those that Holders chooses.
	holdersCheckInterval = 250 * time.Millisecond
)

// copier copies the tail of the journal to holders while the store does not
// answer. It belongs to the writer's duty; a separate duty, runSender, sends its
// messages, so that a slow holder does not block the writer. At most one message
// job is with that duty at a time.
type copier struct {
	holders HolderChooser
	sender  HolderClient
	jobs    *ring.Ring[copyJob]
	results *ring.Ring[copyResult]

	writeStart  time.Time // time of beginWrite, or zero after endWrite
	swapping    bool      // the current write is a compare-and-swap of the head
	swapEntries int       // number of entries of the tail that the swap contains
	swapHolders []string  // holders that the swap names

	lastNumber      uint64           // number of the last copy
	outstanding     []positionedCopy // copies whose records are not committed, oldest first
	ackedPosition   uint64           // position in the journal up to which all holders have the entries
	sending         bool             // runSender has a job
	retryAt         time.Time
	possibleHolders []string // holders that may have copies
	dropDue         bool     // possibleHolders may have copies that are committed
	failing         bool     // the last copy was not acknowledged by all holders
	fenced          bool
}

// positionedCopy is a copy and the position in the journal at which it ends.
// Positions count the entries that were ever added to the tail.
type positionedCopy struct {
	copy Copy
	end  uint64
}

// copyJob is one message for each target: a drop if drop is not 0, otherwise a
// copy.
type copyJob struct {
	targets  []string
	copied   positionedCopy
	drop     uint64 // number of the commit up to which copies are dropped, or 0
	dropsAll bool   // the holders have no copies left after the drop
}

type copyResult struct {
	job  copyJob
	errs []error // one for each target
}

// EnableCopies makes the writer copy uncommitted entries to holders while the store
// does not answer. It must be called before Open.
func (w *Writer) EnableCopies(holders HolderChooser, sender HolderClient) {
	w.copier = &copier{
		holders: holders,
		sender:  sender,
		jobs:    ring.New[copyJob](1), // at most one job is outstanding
		results: ring.New[copyResult](1),
	}
}

// startDuties starts the duties that make the blocking calls for the writer:
// those to the store and the messages to holders.
func (w *Writer) startDuties(ctx context.Context) *duty.Group {
	group := duty.NewGroup(ctx, w.log, nil)
	group.Go("journal-store", w.calls.run)
	w.calls.started = true
	if w.copier != nil {
		group.Go("journal-copies", func(ctx context.Context) error { return w.copier.runSender(ctx, w.incarnation) })
	}
	return group
}

// runSender sends the messages of each job to its holders, one after the other,
// until ctx ends.
func (c *copier) runSender(ctx context.Context, incarnation string) error {
	for {
		job, err := c.jobs.Pop(ctx)
		if err != nil {
			return err
		}
		result := copyResult{job: job, errs: make([]error, len(job.targets))}
		for i, holder := range job.targets {
			bounded, cancel := context.WithTimeout(ctx, sendTimeout)
			if job.drop > 0 {
				result.errs[i] = c.sender.Drop(bounded, holder, incarnation, job.drop)
			} else {
				result.errs[i] = c.sender.Hold(bounded, holder, incarnation, job.copied.copy)
			}
			cancel()
		}
		if err := c.results.Push(ctx, result); err != nil {
			return err
		}
	}
}

// beginWrite records the start of a write to the store or of another operation
// that commits have to wait for. Its retries are part of it. If it takes longer
// than copyDelay, the tail is copied to holders.
func (w *Writer) beginWrite() {
	if w.copier != nil {
		w.copier.writeStart = w.clock.Now()
	}
}

// beginSwap records what a compare-and-swap of the head contains. The holders
// that it names may come into force before its outcome is known.
func (w *Writer) beginSwap(entries int, next head) {
	w.beginWrite()
	if c := w.copier; c != nil {
		c.swapping, c.swapEntries, c.swapHolders = true, entries, next.holders
	}
}

// endWrite records the end of what beginWrite or beginSwap started.
func (w *Writer) endWrite() {
	if c := w.copier; c != nil {
		c.writeStart, c.swapping, c.swapEntries, c.swapHolders = time.Time{}, false, 0, nil
	}
}

// forgetCommitted removes the copies that end at or before the given position
// after the store has committed their records, and schedules a drop message to
// the holders.
func (c *copier) forgetCommitted(end uint64) {
	if c == nil {
		return
	}
	c.outstanding = slices.DeleteFunc(c.outstanding, func(o positionedCopy) bool { return o.end <= end })
	c.dropDue = len(c.possibleHolders) > 0
}

// nextHolders returns the holders that the next commit names. They do not
// change while the current ones have copies that are not committed.
func (w *Writer) nextHolders() []string {
	if w.copier == nil || len(w.copier.outstanding) > 0 {
		return w.head.holders
	}
	if wanted := w.copier.holders.Holders(); len(wanted) == HolderCount {
		return wanted
	}
	return w.head.holders
}

func (w *Writer) holdersDiffer() bool { return !slices.Equal(w.nextHolders(), w.head.holders) }

// copyTargets returns the holders that must acknowledge a copy: those that the
// head names and, while the outcome of a swap of the head is unknown, those that
// the swap names as well. It returns nil if either set is incomplete.
func (w *Writer) copyTargets() []string {
	c := w.copier
	targets := slices.Clone(w.head.holders)
	if c.swapping {
		if len(c.swapHolders) != HolderCount {
			return nil
		}
		for _, name := range c.swapHolders {
			if !slices.Contains(targets, name) {
				targets = append(targets, name)
			}
		}
	}
	if len(w.head.holders) != HolderCount {
		return nil
	}
	return targets
}

// stepCopies handles the result of the last message to holders and sends the
// next one if it is due. It returns the time at which it has to be called again
// even if no ring is ready, or zero.
func (w *Writer) stepCopies(ctx context.Context) time.Time {
	c := w.copier
	if c == nil {
		return time.Time{}
	}
	if result, ok := c.results.TryPop(); ok {
		c.sending = false
		if result.job.drop > 0 {
			w.handleDropResult(result)
		} else {
			w.handleCopyResult(ctx, result)
		}
	}
	now := w.clock.Now()
	due := c.writeStart.Add(copyDelay)
	switch {
	case c.sending, c.fenced:
		return time.Time{}
	case now.Before(c.retryAt):
		return c.retryAt
	case !c.writeStart.IsZero() && !now.Before(due) && w.sendCopy():
		return time.Time{}
	case c.dropDue:
		w.sendJob(copyJob{targets: slices.Clone(c.possibleHolders), drop: w.head.commit, dropsAll: len(c.outstanding) == 0})
		return time.Time{}
	case !c.writeStart.IsZero() && now.Before(due):
		return due
	}
	return time.Time{}
}

// sendCopy sends the oldest copy that is not acknowledged or, if there is none,
// a new copy of the next entries. It reports whether it sent one.
func (w *Writer) sendCopy() bool {
	c := w.copier
	targets := w.copyTargets()
	if targets == nil {
		return false
	}
	i := slices.IndexFunc(c.outstanding, func(o positionedCopy) bool { return o.end > c.ackedPosition })
	if i < 0 {
		next, ok := w.nextCopy()
		if !ok {
			return false
		}
		c.outstanding = append(c.outstanding, next)
		i = len(c.outstanding) - 1
	}
	job := copyJob{targets: targets, copied: c.outstanding[i]}
	job.copied.copy.Oldest = c.outstanding[0].copy.Number
	w.sendJob(job)
	for _, name := range targets {
		if !slices.Contains(c.possibleHolders, name) {
			c.possibleHolders = append(c.possibleHolders, name)
		}
	}
	return true
}

func (w *Writer) sendJob(job copyJob) {
	w.copier.sending = w.copier.jobs.TryPush(job) == nil
}

// nextCopy builds a copy of the next entries that will be committed together.
// Entries written by compaction are left out, because their records are in the
// store already. It reports false if there are no entries to copy.
func (w *Writer) nextCopy() (positionedCopy, bool) {
	c := w.copier
	from := max(c.ackedPosition, w.tail.oldestPosition)
	for i := int(from - w.tail.oldestPosition); i < len(w.tail.entries); {
		end, commit := w.commitOf(i)
		next := positionedCopy{end: w.tail.oldestPosition + uint64(end), copy: Copy{Commit: commit}}
		for _, e := range w.tail.entries[i:end] {
			if !e.fromCompaction {
				next.copy.Body = append(next.copy.Body, e.body...)
				next.copy.Records += e.records
			}
		}
		if len(next.copy.Body) > 0 {
			c.lastNumber++
			next.copy.Number = c.lastNumber
			return next, true
		}
		i = end
	}
	return positionedCopy{}, false
}

// commitOf returns the number of the commit that will contain the i-th entry of
// the tail, and the index in the tail at which that commit ends. Each commit
// takes as many of the oldest entries as fit, so entries that are added later
// can move the end but not change the commit number.
func (w *Writer) commitOf(i int) (end int, commit uint64) {
	commit = w.head.commit + 1
	if w.copier.swapping {
		end = w.copier.swapEntries
	} else {
		end = len(w.tail.batch(0, MaxAppendBytes))
	}
	for end <= i {
		commit++
		end += len(w.tail.batch(end, MaxAppendBytes))
	}
	return end, commit
}

// handleCopyResult reports the entries of a copy as copied once all holders have
// acknowledged it. Otherwise it schedules a retry, or fences the writer if a
// holder refused the copy for good.
func (w *Writer) handleCopyResult(ctx context.Context, result copyResult) {
	c := w.copier
	if err := errors.Join(result.errs...); err != nil {
		c.fenced = errors.Is(err, ErrCopiesFenced)
		c.retryAt = w.clock.Now().Add(copyRetryDelay)
		if !c.failing {
			c.failing = true
			w.log.Warn("journal: copy not acknowledged, retrying", "incarnation", w.incarnation, "error", err)
		}
		return
	}
	c.failing = false
	from := max(c.ackedPosition, w.tail.oldestPosition)
	c.ackedPosition = max(c.ackedPosition, result.job.copied.end)
	var tags []uint64
	for at := from; at < c.ackedPosition; at++ {
		if e := w.tail.entries[at-w.tail.oldestPosition]; e.reply == nil && !e.fromCompaction {
			tags = append(tags, e.tag)
		}
	}
	if tags != nil {
		w.deliver(ctx, nil, Copied{Tags: tags})
	}
}

// handleDropResult removes from possibleHolders those that have no copies left.
// A failed drop message is repeated only to a holder that the head still names.
func (w *Writer) handleDropResult(result copyResult) {
	c := w.copier
	c.dropDue = result.job.drop < w.head.commit
	for i, name := range result.job.targets {
		err := result.errs[i]
		switch {
		case err != nil && slices.Contains(w.head.holders, name):
			c.dropDue = true
			c.retryAt = w.clock.Now().Add(dropRetryDelay)
		case err != nil || result.job.dropsAll:
			c.possibleHolders = slices.DeleteFunc(c.possibleHolders, func(held string) bool { return held == name })
		}
	}
}

// fencedByHolder returns ErrFenced after a holder refused a copy for good, which
// it does once a node has collected its copies. They are collected only after
// the journal is sealed, so no later commit can succeed, and the writer must not
// report records that the next owner has not seen.
func (w *Writer) fencedByHolder() error {
	if w.copier != nil && w.copier.fenced {
		return fmt.Errorf("%w: %w", ErrFenced, ErrCopiesFenced)
	}
	return nil
}
