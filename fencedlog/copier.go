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
	// copyAfter is how long a write to the store may go on before uncommitted
	// entries are sent to the holders. The store answers in milliseconds.
	copyAfter = 100 * time.Millisecond
	// copyRetry is the pause after a copy that not all holders acknowledged.
	copyRetry = 100 * time.Millisecond
	// dropRetry is the pause after a holder did not take a drop message. It
	// frees memory only, so it need not be soon.
	dropRetry = time.Second
	// sendTimeout bounds one message to a holder. Nodes are at most a few
	// milliseconds apart.
	sendTimeout = 500 * time.Millisecond
	// holdersCheck is how often an idle writer compares the holders in the
	// head with the wanted ones.
	holdersCheck = 250 * time.Millisecond
)

// copier is the part of the journal duty that copies the tail to holders while
// the store does not answer. Its messages are sent by a duty of their own.
type copier struct {
	holders Holders
	sender  Sender
	jobs    *ring.Ring[copyJob]
	results *ring.Ring[copyResult]

	since   time.Time // start of the write to the store under way, or zero
	swap    bool      // that write is a swap of the head
	pending int       // entries of the tail that the swap contains
	next    []string  // holders that the swap names

	number      uint64   // of the last copy
	outstanding []copied // copies that the store does not have, oldest first
	acked       uint64   // position up to which all holders have the entries
	busy        bool     // a job is with the sending duty
	retryAt     time.Time
	holding     []string // holders that may have copies
	dropDue     bool     // a commit contains copies that they still have
	failing     bool     // the last copy was not acknowledged
	fenced      bool
}

// copied is a copy and the position of its last entry in the journal.
type copied struct {
	copy Copy
	end  uint64
}

// copyJob is a message for each target: a copy, or a drop if it has no number.
type copyJob struct {
	targets []string
	copied  copied
	drop    uint64 // commit number
	last    bool   // nothing stays at the holders after the drop
}

type copyResult struct {
	job  copyJob
	errs []error // by target
}

// CopyTo makes the writer copy uncommitted entries to holders while the store
// does not answer. It is called before Open.
func (w *Writer) CopyTo(holders Holders, sender Sender) {
	w.copier = &copier{
		holders: holders,
		sender:  sender,
		jobs:    ring.New[copyJob](1), // at most one job is outstanding
		results: ring.New[copyResult](1),
	}
}

// startDuties starts the duties that do the blocking calls of this one.
func (w *Writer) startDuties(ctx context.Context) *duty.Group {
	group := duty.NewGroup(ctx, w.log, nil)
	group.Go("journal-store", w.calls.run)
	w.calls.started = true
	if w.copier != nil {
		group.Go("journal-copies", func(ctx context.Context) error { return w.copier.send(ctx, w.incarnation) })
	}
	return group
}

// send is the duty that sends messages to holders.
func (c *copier) send(ctx context.Context, incarnation string) error {
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

// beginWrite notes that a write to the store starts.
func (w *Writer) beginWrite() {
	if w.copier != nil {
		w.copier.since = w.clock.Now()
	}
}

// beginSwap notes what a swap contains. Its holders may take effect before its
// outcome is known.
func (w *Writer) beginSwap(entries int, next head) {
	w.beginWrite()
	if c := w.copier; c != nil {
		c.swap, c.pending, c.next = true, entries, next.holders
	}
}

// endWrite notes that the store answered.
func (w *Writer) endWrite() {
	if c := w.copier; c != nil {
		c.since, c.swap, c.pending, c.next = time.Time{}, false, 0, nil
	}
}

// noteCommit forgets the copies that the store has now.
func (c *copier) noteCommit(dropped uint64) {
	if c == nil {
		return
	}
	c.outstanding = slices.DeleteFunc(c.outstanding, func(o copied) bool { return o.end <= dropped })
	c.dropDue = len(c.holding) > 0
}

// nextHolders returns the holders that the next commit names. They do not
// change while the present ones have copies that the store lacks.
func (w *Writer) nextHolders() []string {
	if w.copier == nil || len(w.copier.outstanding) > 0 {
		return w.head.holders
	}
	if wanted := w.copier.holders.Holders(); len(wanted) == HoldersWanted {
		return wanted
	}
	return w.head.holders
}

func (w *Writer) holdersDiffer() bool { return !slices.Equal(w.nextHolders(), w.head.holders) }

// copyTargets returns who must acknowledge a copy: the holders in the head. As
// long as the outcome of a swap that changes them is unknown, both sets must.
func (w *Writer) copyTargets() []string {
	c := w.copier
	targets := slices.Clone(w.head.holders)
	if c.swap {
		if len(c.next) != HoldersWanted {
			return nil
		}
		for _, name := range c.next {
			if !slices.Contains(targets, name) {
				targets = append(targets, name)
			}
		}
	}
	if len(w.head.holders) != HoldersWanted {
		return nil
	}
	return targets
}

// stepCopies takes the result of the last message to holders and sends the
// next one if it is due. It returns when it has to be called again although no
// ring is ready, or zero.
func (w *Writer) stepCopies(ctx context.Context) time.Time {
	c := w.copier
	if c == nil {
		return time.Time{}
	}
	if result, ok := c.results.TryPop(); ok {
		c.busy = false
		if result.job.drop > 0 {
			w.takeDropped(result)
		} else {
			w.takeCopied(ctx, result)
		}
	}
	now := w.clock.Now()
	due := c.since.Add(copyAfter)
	switch {
	case c.busy, c.fenced:
		return time.Time{}
	case now.Before(c.retryAt):
		return c.retryAt
	case !c.since.IsZero() && !now.Before(due) && w.sendCopy():
		return time.Time{}
	case c.dropDue:
		w.sendJob(copyJob{targets: slices.Clone(c.holding), drop: w.head.commit, last: len(c.outstanding) == 0})
		return time.Time{}
	case !c.since.IsZero() && now.Before(due):
		return due
	}
	return time.Time{}
}

// sendCopy sends the oldest copy that is not acknowledged, or makes the next
// one. It reports false when there is nothing to send.
func (w *Writer) sendCopy() bool {
	c := w.copier
	targets := w.copyTargets()
	if targets == nil {
		return false
	}
	i := slices.IndexFunc(c.outstanding, func(o copied) bool { return o.end > c.acked })
	if i < 0 {
		next, ok := w.makeCopy()
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
		if !slices.Contains(c.holding, name) {
			c.holding = append(c.holding, name)
		}
	}
	return true
}

func (w *Writer) sendJob(job copyJob) {
	w.copier.busy = w.copier.jobs.TryPush(job) == nil
}

// makeCopy encodes the next entries of one commit. What compaction wrote is
// left out, because it is in the store already.
func (w *Writer) makeCopy() (copied, bool) {
	c := w.copier
	from := max(c.acked, w.tail.dropped)
	for i := int(from - w.tail.dropped); i < len(w.tail.entries); {
		end, commit := w.commitOf(i)
		next := copied{end: w.tail.dropped + uint64(end), copy: Copy{Commit: commit}}
		for _, e := range w.tail.entries[i:end] {
			if !e.compacted {
				next.copy.Body = append(next.copy.Body, e.body...)
				next.copy.Records += e.records
			}
		}
		if len(next.copy.Body) > 0 {
			c.number++
			next.copy.Number = c.number
			return next, true
		}
		i = end
	}
	return copied{}, false
}

// commitOf returns the number of the commit that the i-th entry of the tail
// will be in, and the end of that commit in the tail. Commits take as many of
// the oldest entries as fit, so later entries do not change the answer but for
// an end that grows.
func (w *Writer) commitOf(i int) (end int, commit uint64) {
	commit = w.head.commit + 1
	if w.copier.swap {
		end = w.copier.pending
	} else {
		end = len(w.tail.batch(0, MaxAppendBytes))
	}
	for end <= i {
		commit++
		end += len(w.tail.batch(end, MaxAppendBytes))
	}
	return end, commit
}

// takeCopied reports the entries of a copy once all holders have it.
func (w *Writer) takeCopied(ctx context.Context, result copyResult) {
	c := w.copier
	if err := errors.Join(result.errs...); err != nil {
		c.fenced = errors.Is(err, ErrCopiesFenced)
		c.retryAt = w.clock.Now().Add(copyRetry)
		if !c.failing {
			c.failing = true
			w.log.Warn("journal: copy not acknowledged, retrying", "incarnation", w.incarnation, "error", err)
		}
		return
	}
	c.failing = false
	from := max(c.acked, w.tail.dropped)
	c.acked = max(c.acked, result.job.copied.end)
	var tags []uint64
	for at := from; at < c.acked; at++ {
		if e := w.tail.entries[at-w.tail.dropped]; e.reply == nil && !e.compacted {
			tags = append(tags, e.tag)
		}
	}
	if tags != nil {
		w.deliver(ctx, nil, Copied{Tags: tags})
	}
}

// takeDropped forgets holders that have nothing left. A failed message is
// repeated only to a holder that is still in use.
func (w *Writer) takeDropped(result copyResult) {
	c := w.copier
	c.dropDue = result.job.drop < w.head.commit
	for i, name := range result.job.targets {
		err := result.errs[i]
		switch {
		case err != nil && slices.Contains(w.head.holders, name):
			c.dropDue = true
			c.retryAt = w.clock.Now().Add(dropRetry)
		case err != nil || result.job.last:
			c.holding = slices.DeleteFunc(c.holding, func(held string) bool { return held == name })
		}
	}
}

// fencedByHolder returns ErrFenced after a holder refused a copy. Holders are
// asked for copies only after the journal was sealed, so no commit can succeed
// any more, and nothing may be answered that the next owner has not seen.
func (w *Writer) fencedByHolder() error {
	if w.copier != nil && w.copier.fenced {
		return fmt.Errorf("%w: %w", ErrFenced, ErrCopiesFenced)
	}
	return nil
}
