package fencedlog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/ring"
)

// Settings holds the limits of a Writer. A field that is zero has its default.
type Settings struct {
	// WritesPerSecond is the write budget: the rate of commits and of written
	// and deleted segments, without retries. Default 30, so that seven nodes
	// together stay below the several hundred writes a second that the store
	// can take.
	WritesPerSecond float64
	// RingSlots is the capacity of the ring of appends. Default 1,024.
	RingSlots int
	// TailRecords and TailBytes bound the tail, the accepted records that wait
	// for a commit. Defaults 8,192 records and 16 MB. While the tail is full,
	// appends stay in the ring until that is full as well, which its producers
	// see.
	TailRecords int
	TailBytes   int
	// SegmentBytes is the size of the records in the head at which they are
	// moved to a closed segment. Default 128 KB.
	SegmentBytes int
	// CompactAbove is the number of closed segments above which the oldest is
	// compacted. Default 8.
	CompactAbove int
	// RetryMin and RetryMax bound the backoff after a failed store call.
	// Defaults 20 ms and 1 s.
	RetryMin time.Duration
	RetryMax time.Duration
	// CallTimeout bounds one store call. Default 2 s.
	CallTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.WritesPerSecond, 30)
	setDefault(&s.RingSlots, 1024)
	setDefault(&s.TailRecords, 8192)
	setDefault(&s.TailBytes, 16<<20)
	setDefault(&s.SegmentBytes, 128<<10)
	setDefault(&s.CompactAbove, 8)
	setDefault(&s.RetryMin, 20*time.Millisecond)
	setDefault(&s.RetryMax, time.Second)
	setDefault(&s.CallTimeout, 2*time.Second)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Append is a request to commit records together, in order, after all records
// of earlier appends.
type Append struct {
	Records []Record
	Tag     uint64 // chosen by the sender; completions refer to it
	// Reply, if set, receives the completion instead of the ring that
	// Completions returns. It must have a free slot.
	Reply *ring.Ring[Completion]
}

// Completion is a message from the Writer: Committed, Copied, Rejected, Fenced
// or CompactionQuery.
type Completion interface{ completion() }

// Committed lists the tags of appends that one commit made durable, in the order
// of the appends.
type Committed struct{ Tags []uint64 }

// Copied lists the tags of appends that are recorded although the store does
// not have them yet, in the order of the appends: all holders have acknowledged
// a copy. Committed follows for the same tags once the store has them. An append
// with a Reply ring gets no Copied, because its sender acts on the store itself.
type Copied struct{ Tags []uint64 }

// Rejected reports that an append had an invalid record or was too large, and
// had no effect.
type Rejected struct {
	Tag uint64
	Err error
}

// Fenced reports that this incarnation can record nothing more. Appends that
// were not reported as committed may be durable or not. It is sent once, and
// also to the Reply ring of each append that is left.
type Fenced struct{}

// CompactionQuery asks the owner of the records which records of the oldest
// segment it still needs, so that compaction can drop the others. The owner
// answers with a CompactionAnswer.
type CompactionQuery struct {
	Segment uint64
	Records []Record // without Data
}

func (Committed) completion()       {}
func (Copied) completion()          {}
func (Rejected) completion()        {}
func (Fenced) completion()          {}
func (CompactionQuery) completion() {}

// CompactionAnswer answers a CompactionQuery: Live[i] reports whether the i-th
// record is still needed. A nil Live postpones the compaction; the owner answers
// so while the segment has records of a shard that is being adopted, because it
// may not know the programs of the shard yet.
type CompactionAnswer struct {
	Segment uint64
	Live    []bool
}

// State is a snapshot of a Writer.
type State struct {
	// LastCommit is the time at which the last successful commit was begun. Its
	// answer may have been read much later.
	LastCommit time.Time
	// FailingSince is the time of the first failure since the last store call
	// that was answered, or zero if the last call was answered.
	FailingSince time.Time
	// TailRecords and TailBytes are the size of the tail, which waits for a
	// commit.
	TailRecords int
	TailBytes   int
	// Segments is the number of closed segments.
	Segments int
	// Commits is the number of commits, that of the first head included.
	Commits uint64
	// Fenced is set once the incarnation can record nothing more.
	Fenced bool
}

// Writer commits the records of one incarnation to its journal. Open and Run are
// called once each, by the same duty; other duties use the rings and State.
type Writer struct {
	store       kvstore.Store
	clock       clockwork.Clock
	log         *slog.Logger
	incarnation string
	settings    Settings
	budget      *rate.Limiter

	appends           *ring.Ring[Append]
	completions       *ring.Ring[Completion]
	compactionAnswers *ring.Ring[CompactionAnswer]
	state             atomic.Pointer[State]

	// Only the duty that calls Open and Run uses the fields below.
	head       head // as last committed, but without the records of a segment closed since
	version    kvstore.Version
	tail       tail
	nextState  State  // published by publishState
	headBuffer []byte // encoded head of a commit; reused by the next one
	index      index
	opened     bool
	calls      storeCalls
	copier     *copier // nil unless EnableCopies was called
}

// NewWriter returns the writer of a new incarnation. The name of the incarnation
// must never have been used before.
func NewWriter(store kvstore.Store, clock clockwork.Clock, log *slog.Logger, incarnation string, settings Settings) *Writer {
	settings = settings.withDefaults()
	// The largest number of unread completions: a Copied and a Committed for
	// each append in the ring and the tail, one CompactionQuery and one Fenced.
	outstanding := 2*(settings.RingSlots+settings.TailRecords) + 2
	w := &Writer{
		store:             store,
		clock:             clock,
		log:               log,
		incarnation:       incarnation,
		settings:          settings,
		budget:            rate.NewLimiter(rate.Limit(settings.WritesPerSecond), 1),
		appends:           ring.New[Append](settings.RingSlots),
		completions:       ring.New[Completion](outstanding),
		compactionAnswers: ring.New[CompactionAnswer](1),
		head:              head{incarnation: incarnation},
		index:             newIndex(),
		calls:             newStoreCalls(),
	}
	w.state.Store(&State{})
	return w
}

// Appends returns the ring of appends. Once it is closed, Run commits the
// appends that are left and returns. A fenced writer closes the ring itself.
func (w *Writer) Appends() *ring.Ring[Append] { return w.appends }

// Completions returns the ring of completions. It cannot become full as long as
// there are at most RingSlots+TailRecords appends whose completion its consumer
// has not read.
func (w *Writer) Completions() *ring.Ring[Completion] { return w.completions }

// CompactionAnswers returns the ring on which the owner of the records answers
// a CompactionQuery.
func (w *Writer) CompactionAnswers() *ring.Ring[CompactionAnswer] { return w.compactionAnswers }

// State returns the latest snapshot of the writer. Any goroutine may call it.
func (w *Writer) State() State { return *w.state.Load() }

// Open writes the first head and retries until the store has it. A node calls
// Open before it announces the incarnation to others, so that every announced
// incarnation has a head that can be sealed. Open returns ErrFenced if the
// journal exists already, or the error of ctx.
func (w *Writer) Open(ctx context.Context) error {
	if w.opened {
		return nil
	}
	if err := w.commitHead(ctx, nil); err != nil {
		return w.terminate(ctx, err)
	}
	w.opened = true
	return nil
}

// Run commits appends. It returns nil once the ring of appends is closed and
// empty, ErrFenced when the journal is fenced, or the error of ctx. Run opens the
// journal if Open was not called.
func (w *Writer) Run(ctx context.Context) error {
	duties := w.startDuties(ctx)
	defer duties.Stop()
	defer w.calls.requests.Close()
	if err := w.Open(ctx); err != nil {
		return err
	}
	for {
		w.handleCompactionAnswer()
		w.collectAppends(ctx)
		var err error
		switch {
		case w.fencedByHolder() != nil:
			err = w.fencedByHolder()
		case len(w.head.body) >= w.settings.SegmentBytes:
			err = w.closeSegment(ctx)
		case !w.tail.empty(), w.holdersDiffer():
			err = w.commit(ctx)
		default:
			if done := w.idle(ctx); done {
				return ctx.Err()
			}
		}
		if err != nil {
			return w.terminate(ctx, err)
		}
	}
}

// idle waits until there may be work. It reports true if there will be none
// because the ring of appends is closed and empty or ctx has ended.
func (w *Writer) idle(ctx context.Context) bool {
	var check <-chan time.Time
	if w.copier != nil {
		w.stepCopies(ctx)
		timer := w.clock.NewTimer(holdersCheckInterval)
		defer timer.Stop()
		check = timer.Chan()
	}
	select {
	case <-w.appends.Ready():
	case <-w.compactionAnswers.Ready():
	case <-w.copyResults():
	case <-check:
	case <-w.appends.Done():
		return w.appends.Len() == 0
	case <-ctx.Done():
		return true
	}
	return false
}

// collectAppends moves appends from the ring to the tail as long as the tail has
// room, and rejects invalid ones.
func (w *Writer) collectAppends(ctx context.Context) {
	for w.tailHasRoom() {
		a, ok := w.appends.TryPop()
		if !ok {
			break
		}
		e, err := newEntry(a)
		if err != nil {
			w.deliver(ctx, a.Reply, Rejected{Tag: a.Tag, Err: err})
			continue
		}
		w.tail.push(e)
	}
	w.publishState()
}

func (w *Writer) tailHasRoom() bool {
	return w.tail.records < w.settings.TailRecords && w.tail.bytes < w.settings.TailBytes
}

// terminate returns the error with which Run or Open ends: that of ctx if it has
// ended, otherwise err, which is ErrFenced. In that case it closes the ring of
// appends and sends Fenced to the owner and to each append that is left.
func (w *Writer) terminate(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	w.log.Warn("journal: commit refused, this incarnation is fenced", "incarnation", w.incarnation, "error", err)
	w.nextState.Fenced = true
	w.publishState()
	w.appends.Close()
	w.deliver(ctx, nil, Fenced{})
	for e, ok := w.tail.pop(); ok; e, ok = w.tail.pop() {
		if e.reply != nil {
			w.deliver(ctx, e.reply, Fenced{})
		}
	}
	for a, ok := w.appends.TryPop(); ok; a, ok = w.appends.TryPop() {
		if a.Reply != nil {
			w.deliver(ctx, a.Reply, Fenced{})
		}
	}
	return err
}

// deliver sends a completion to reply, or to the ring of completions if reply is
// nil. The rings have room for all unread completions, so deliver blocks only if
// the consumer exceeds the limit that Completions states.
func (w *Writer) deliver(ctx context.Context, reply *ring.Ring[Completion], c Completion) {
	if reply == nil {
		reply = w.completions
	}
	if err := reply.Push(ctx, c); err != nil && ctx.Err() == nil {
		w.log.Warn("journal: completion dropped, its ring is closed", "error", err)
	}
}

// publishState makes the current state visible to State.
func (w *Writer) publishState() {
	w.nextState.TailRecords = w.tail.records
	w.nextState.TailBytes = w.tail.bytes
	w.nextState.Segments = int(w.head.openSegment - w.head.firstSegment)
	snapshot := w.nextState
	w.state.Store(&snapshot)
}
