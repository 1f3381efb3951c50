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

// Settings bound a Writer. The zero value of a field means its default.
type Settings struct {
	// WritesPerSecond is the write budget for commits. Default 30, so that
	// seven nodes stay below the several hundred writes a second of the store.
	WritesPerSecond float64
	// RingSlots is the capacity of the ring of appends. Default 1,024.
	RingSlots int
	// TailRecords and TailBytes bound the accepted records that wait for a
	// commit. Defaults 8,192 records and 16 MB. When the tail is full, appends
	// stay in the ring, and its producers see that it is full.
	TailRecords int
	TailBytes   int
	// SegmentBytes is the size at which the head is closed. Default 128 KB.
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

// Append asks for records to be committed together, in order, after all
// records of earlier appends.
type Append struct {
	Records []Record
	Tag     uint64
	// Reply receives the completion instead of the writer's completions ring
	// if it is set. It must have a free slot.
	Reply *ring.Ring[Completion]
}

// Completion is a message from the Writer: Committed, Copied, Rejected, Fenced
// or Query.
type Completion interface{ completion() }

// Committed lists the tags of the appends that one commit made durable, in
// their order.
type Committed struct{ Tags []uint64 }

// Copied lists the tags of appends that are recorded although the store does
// not have them yet, in their order: both holders have acknowledged a copy.
// Committed follows for the same tags when the store is back. An append with a
// Reply ring gets no Copied, because its sender acts on the store itself.
type Copied struct{ Tags []uint64 }

// Rejected tells that an append had an invalid record and changed nothing.
type Rejected struct {
	Tag uint64
	Err error
}

// Fenced tells that this incarnation can record nothing more. Appends that
// are not reported as committed may be durable or not. It is sent once.
type Fenced struct{}

// Query asks the owner of the records which ones of the oldest segment it
// still needs. The owner answers with a Verdict.
type Query struct {
	Segment uint64
	Records []Record // without Data
}

func (Committed) completion() {}
func (Copied) completion()    {}
func (Rejected) completion()  {}
func (Fenced) completion()    {}
func (Query) completion()     {}

// Verdict answers a Query: Live[i] tells whether the i-th record is needed. A
// nil Live postpones the compaction; the owner answers so while the segment
// has records of a shard that is being adopted.
type Verdict struct {
	Segment uint64
	Live    []bool
}

// State is a snapshot of a Writer.
type State struct {
	// LastCommit is the time of the last successful commit.
	LastCommit time.Time
	// FailingSince is the time of the first of the store calls that have
	// failed without interruption, or zero if the last call succeeded.
	FailingSince time.Time
	// TailRecords and TailBytes measure what waits for a commit.
	TailRecords int
	TailBytes   int
	// Segments is the number of closed segments.
	Segments int
	// Commits counts the commits.
	Commits uint64
	Fenced  bool
}

// Writer is the duty that commits the records of one incarnation. Open and Run
// are called once each, by the same duty; the rings and State are for others.
type Writer struct {
	store       kvstore.Store
	clock       clockwork.Clock
	log         *slog.Logger
	incarnation string
	settings    Settings
	budget      *rate.Limiter

	appends     *ring.Ring[Append]
	completions *ring.Ring[Completion]
	verdicts    *ring.Ring[Verdict]
	state       atomic.Pointer[State]

	// The fields below belong to the duty.
	head    head // as last committed, but for an open segment just closed
	version kvstore.Version
	tail    tail
	now     State
	value   []byte // scratch space for the value of a commit
	index   index
	opened  bool
	calls   storeCalls
	copier  *copier // nil without CopyTo
}

// NewWriter returns the writer of a new incarnation, whose name was never used
// before.
func NewWriter(store kvstore.Store, clock clockwork.Clock, log *slog.Logger, incarnation string, settings Settings) *Writer {
	settings = settings.withDefaults()
	// Everything outstanding: what waits in the ring and the tail, each of it
	// with a Copied and a Committed, one Query and one Fenced.
	outstanding := 2*(settings.RingSlots+settings.TailRecords) + 2
	w := &Writer{
		store:       store,
		clock:       clock,
		log:         log,
		incarnation: incarnation,
		settings:    settings,
		budget:      rate.NewLimiter(rate.Limit(settings.WritesPerSecond), 1),
		appends:     ring.New[Append](settings.RingSlots),
		completions: ring.New[Completion](outstanding),
		verdicts:    ring.New[Verdict](1),
		head:        head{incarnation: incarnation},
		index:       newIndex(),
		calls:       newStoreCalls(),
	}
	w.state.Store(&State{})
	return w
}

// Appends returns the ring of appends. After Close of the ring, Run commits
// what is left and ends. A fenced writer closes it.
func (w *Writer) Appends() *ring.Ring[Append] { return w.appends }

// Completions returns the ring of completions. It has room for every append
// that can be outstanding if its consumer keeps at most RingSlots+TailRecords
// appends without a completion it has seen.
func (w *Writer) Completions() *ring.Ring[Completion] { return w.completions }

// Verdicts returns the ring on which the owner of the records answers a Query.
func (w *Writer) Verdicts() *ring.Ring[Verdict] { return w.verdicts }

// State returns the latest snapshot.
func (w *Writer) State() State { return *w.state.Load() }

// Open writes the first head and retries until the store has it. A node calls
// it before it announces the incarnation, so that every announced incarnation
// has a head that can be sealed. It returns ErrFenced if the journal exists
// already, or the error of ctx.
func (w *Writer) Open(ctx context.Context) error {
	if w.opened {
		return nil
	}
	if err := w.commitHead(ctx, nil); err != nil {
		return w.fence(ctx, err)
	}
	w.opened = true
	return nil
}

// Run commits appends until the ring of appends is closed and empty, or ctx
// ends, or the journal is fenced, when it returns ErrFenced. It opens the
// journal if Open was not called.
func (w *Writer) Run(ctx context.Context) error {
	duties := w.startDuties(ctx)
	defer duties.Stop()
	defer w.calls.requests.Close()
	if err := w.Open(ctx); err != nil {
		return err
	}
	for {
		w.judge()
		w.collect(ctx)
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
			return w.fence(ctx, err)
		}
	}
}

// idle waits for work. It reports true when there will be none.
func (w *Writer) idle(ctx context.Context) bool {
	var check <-chan time.Time
	if w.copier != nil {
		w.stepCopies(ctx)
		timer := w.clock.NewTimer(holdersCheck)
		defer timer.Stop()
		check = timer.Chan()
	}
	select {
	case <-w.appends.Ready():
	case <-w.verdicts.Ready():
	case <-w.copyResults():
	case <-check:
	case <-w.appends.Done():
		return w.appends.Len() == 0
	case <-ctx.Done():
		return true
	}
	return false
}

// collect moves appends from the ring into the tail as far as it has room.
func (w *Writer) collect(ctx context.Context) {
	for w.roomInTail() {
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
	w.publish()
}

func (w *Writer) roomInTail() bool {
	return w.tail.records < w.settings.TailRecords && w.tail.bytes < w.settings.TailBytes
}

// fence ends the duty after err. If that is ErrFenced, every append that
// remains is answered.
func (w *Writer) fence(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	w.log.Warn("journal: commit refused, this incarnation is fenced", "incarnation", w.incarnation, "error", err)
	w.now.Fenced = true
	w.publish()
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

// deliver pushes a completion. The rings have room for everything outstanding,
// so it waits only for a consumer that broke the bound of Completions.
func (w *Writer) deliver(ctx context.Context, reply *ring.Ring[Completion], c Completion) {
	if reply == nil {
		reply = w.completions
	}
	if err := reply.Push(ctx, c); err != nil && ctx.Err() == nil {
		w.log.Warn("journal: completion dropped, its ring is closed", "error", err)
	}
}

func (w *Writer) publish() {
	w.now.TailRecords = w.tail.records
	w.now.TailBytes = w.tail.bytes
	w.now.Segments = int(w.head.open - w.head.first)
	snapshot := w.now
	w.state.Store(&snapshot)
}
