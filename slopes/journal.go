package slopes

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
)

const (
	// targetCalls is the number of calls per second and node at 60,000
	// requests/s on 420 nodes.
	targetCalls = 143
	// recordingTime is the duration of one measurement.
	recordingTime = 3 * time.Second
	// journalPrograms is the number of programs that make the calls of one
	// measurement.
	journalPrograms = 50
)

// countingStore counts the calls and bytes that a journal reads and writes.
type countingStore struct {
	kvstore.Store
	writes, bytesWritten, reads, bytesRead atomic.Int64
}

// Put implements kvstore.Store.
func (s *countingStore) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	s.writes.Add(1)
	s.bytesWritten.Add(int64(len(value)))
	return s.Store.Put(ctx, key, value, expected, lease) //nolint:wrapcheck // callers compare it with platform errors
}

// Delete implements kvstore.Store.
func (s *countingStore) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	s.writes.Add(1)
	return s.Store.Delete(ctx, key, expected) //nolint:wrapcheck // callers compare it with platform errors
}

// Get implements kvstore.Store.
func (s *countingStore) Get(ctx context.Context, key string) (kvstore.Item, error) {
	item, err := s.Store.Get(ctx, key)
	s.reads.Add(1)
	s.bytesRead.Add(int64(len(item.Value)))
	return item, err //nolint:wrapcheck // callers compare it with platform errors
}

// newCountingStore returns a countingStore in memory.
func newCountingStore() *countingStore {
	return &countingStore{Store: memstore.New(clockwork.NewRealClock())}
}

// openJournal runs a journal writer until ctx ends. The owner's answers to its
// compaction queries declare liveTenths of ten records as still needed.
func openJournal(ctx context.Context, store kvstore.Store, name string, settings fencedlog.Settings, liveTenths int) *fencedlog.Writer {
	w := fencedlog.NewWriter(store, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), name, settings)
	go func() { _ = w.Run(ctx) }() // ends with ctx
	go func() {
		for {
			completion, err := w.Completions().Pop(ctx)
			if err != nil {
				return
			}
			if q, ok := completion.(fencedlog.CompactionQuery); ok {
				live := make([]bool, len(q.Records))
				for i := range live {
					live[i] = i%10 < liveTenths
				}
				_ = w.CompactionAnswers().TryPush(fencedlog.CompactionAnswer{Segment: q.Segment, Live: live}) // cannot be full: the writer asks one query at a time
			}
		}
	}()
	return w
}

// measureJournal measures the writes of the journal to the platform store for
// calls of 2 KB, by call rate and by the share of records that compaction keeps.
func measureJournal(ctx context.Context, _ Options) ([]Slope, error) {
	named := func(what string) []series {
		return []series{{what + ": writes", "a call"}, {what + ": bytes", "B a call"}, {what + ": bytes", "B/s"}, {what + ": records alone", "B a call"}}
	}
	byRate := sweep{size: "calls/s", target: targetCalls, sizes: []int{10, 50, 200, 1000}, series: named("journal, all records dead"),
		measure: func(size int) ([]float64, error) { return recordCalls(ctx, size, 0) }}
	byLive := sweep{size: "tenths live", target: 9, sizes: []int{0, 3, 6, 9}, series: named("journal at 1,000 calls/s"),
		measure: func(size int) ([]float64, error) { return recordCalls(ctx, 1000, size) }}
	return runAll(ctx, byRate, byLive)
}

// recordCalls appends the records of calls at the given rate for recordingTime.
// It returns the writes and the bytes written per call, the bytes written per
// second, and the bytes of the records per call.
func recordCalls(ctx context.Context, perSecond, liveTenths int) ([]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := newCountingStore()
	w := openJournal(ctx, store, "node", fencedlog.Settings{}, liveTenths)
	source := newTableDriver(true)
	calls, recordBytes := 0, 0
	for begin := time.Now(); time.Since(begin) < recordingTime; {
		for calls < int(time.Since(begin).Seconds()*float64(perSecond)) {
			source.records = source.records[:0]
			source.add(calls, 1, turnBytes)
			for _, r := range source.records[1:] { // the first record is the start of the program
				r.Program = fmt.Sprint("program-", calls%journalPrograms)
				recordBytes += len(r.Data)
				if err := w.Appends().Push(ctx, fencedlog.Append{Records: []fencedlog.Record{r}}); err != nil {
					return nil, Error.Wrap(err)
				}
			}
			calls++
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, 100*time.Millisecond); err != nil {
		return nil, err
	}
	n := float64(calls)
	written := float64(store.bytesWritten.Load())
	return []float64{float64(store.writes.Load()) / n, written / n, written / recordingTime.Seconds(), float64(recordBytes) / n}, nil
}

// measureReplay measures the takeover of journals of several sizes: sealing,
// reading and decoding the journal, and adopting its programs in a table. The
// store is in memory, so the time includes no network latency.
func measureReplay(ctx context.Context, _ Options) ([]Slope, error) {
	s := sweep{size: "programs", target: targetPrograms, sizes: []int{100, 400, 1600, 6400},
		series:  []series{{"takeover, 3 turns of 2 KB: time", "us"}, {"takeover: bytes read", "B"}, {"takeover: reads", "calls"}},
		measure: func(size int) ([]float64, error) { return replay(ctx, size) }}
	return s.run(ctx)
}

// replay writes the journal of the given number of programs and returns the time
// of its takeover in microseconds, the bytes read and the number of reads.
func replay(ctx context.Context, programs int) ([]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := newCountingStore()
	const name = "dead"
	// CompactAbove is too high for compaction to run, so that all segments are
	// replayed.
	w := openJournal(ctx, store, name, fencedlog.Settings{WritesPerSecond: unlimitedRate, CompactAbove: 1 << 30}, 10)
	source := newTableDriver(true)
	for i := range programs {
		source.add(i, defaultTurns, turnBytes)
	}
	if err := appendAll(ctx, w, source.records); err != nil {
		return nil, err
	}
	uncancelled := context.WithoutCancel(ctx)
	cancel()
	store.reads.Store(0)
	store.bytesRead.Store(0)
	begin := time.Now()
	if err := fencedlog.Seal(uncancelled, store, name); err != nil {
		return nil, Error.Wrap(err)
	}
	records, err := fencedlog.Replay(uncancelled, store, name, func(int) bool { return true })
	if err != nil {
		return nil, Error.Wrap(err)
	}
	encoded := make([][]byte, len(records))
	for i, r := range records {
		encoded[i] = r.Data
	}
	adopted := newTableDriver(false)
	if err := adopted.table.Adopt(adopted.now, 0, encoded, &adopted.out); err != nil {
		return nil, Error.Wrap(err)
	}
	took := time.Since(begin)
	if known, _ := adopted.table.Counts(); known != programs {
		return nil, Error.New("%d of %d programs were adopted", known, programs)
	}
	return []float64{microseconds(took, 1), float64(store.bytesRead.Load()), float64(store.reads.Load())}, nil
}

// appendAll appends records and waits until they are durable.
func appendAll(ctx context.Context, w *fencedlog.Writer, records []fencedlog.Record) error {
	return Error.Wrap(fencedlog.NewAppender(w).Append(ctx, records))
}
