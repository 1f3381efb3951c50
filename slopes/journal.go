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
	// targetCalls is the share of one of 420 nodes in 60,000 requests/s.
	targetCalls = 143
	// appendTime is how long calls are recorded for one measurement.
	appendTime = 3 * time.Second
	// runningPrograms share the calls of one measurement.
	runningPrograms = 50
)

// countedStore counts what a journal reads and writes.
type countedStore struct {
	kvstore.Store
	writes, written, reads, read atomic.Int64
}

// Put implements kvstore.Store.
func (s *countedStore) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	s.writes.Add(1)
	s.written.Add(int64(len(value)))
	return s.Store.Put(ctx, key, value, expected, lease) //nolint:wrapcheck // callers compare it with platform errors
}

// Delete implements kvstore.Store.
func (s *countedStore) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	s.writes.Add(1)
	return s.Store.Delete(ctx, key, expected) //nolint:wrapcheck // callers compare it with platform errors
}

// Get implements kvstore.Store.
func (s *countedStore) Get(ctx context.Context, key string) (kvstore.Item, error) {
	item, err := s.Store.Get(ctx, key)
	s.reads.Add(1)
	s.read.Add(int64(len(item.Value)))
	return item, err //nolint:wrapcheck // callers compare it with platform errors
}

func newStore() *countedStore {
	return &countedStore{Store: memstore.New(clockwork.NewRealClock())}
}

// openJournal runs a writer whose owner needs the given share of its records.
func openJournal(ctx context.Context, store kvstore.Store, name string, settings fencedlog.Settings, liveInTen int) *fencedlog.Writer {
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
					live[i] = i%10 < liveInTen
				}
				_ = w.CompactionAnswers().TryPush(fencedlog.CompactionAnswer{Segment: q.Segment, Live: live}) // one question is open at a time
			}
		}
	}()
	return w
}

// measureJournal measures what calls of 2 KB write to the platform store, by
// rate and by the share of records that compaction keeps.
func measureJournal(ctx context.Context, _ Options) ([]Slope, error) {
	named := func(what string) []series {
		return []series{{what + ": writes", "a call"}, {what + ": bytes", "B a call"}, {what + ": bytes", "B/s"}, {what + ": records alone", "B a call"}}
	}
	byRate := sweep{size: "calls/s", target: targetCalls, sizes: []int{10, 50, 200, 1000}, series: named("journal, all records dead"),
		measure: func(size int) ([]float64, error) { return record(ctx, size, 0) }}
	byLive := sweep{size: "tenths live", target: 9, sizes: []int{0, 3, 6, 9}, series: named("journal at 1,000 calls/s"),
		measure: func(size int) ([]float64, error) { return record(ctx, 1000, size) }}
	return runAll(ctx, byRate, byLive)
}

// record appends the records of calls at a rate for appendTime.
func record(ctx context.Context, perSecond, liveInTen int) ([]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := newStore()
	w := openJournal(ctx, store, "node", fencedlog.Settings{}, liveInTen)
	source := newPopulation(true)
	calls, own := 0, 0
	for begin := time.Now(); time.Since(begin) < appendTime; {
		for calls < int(time.Since(begin).Seconds()*float64(perSecond)) {
			source.records = source.records[:0]
			source.add(calls, 1, turnBytes)
			for _, r := range source.records[1:] { // without the start of the program
				r.Program = fmt.Sprint("program-", calls%runningPrograms)
				own += len(r.Data)
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
	written := float64(store.written.Load())
	return []float64{float64(store.writes.Load()) / n, written / n, written / appendTime.Seconds(), float64(own) / n}, nil
}

// measureReplay measures the takeover of journals of several sizes: seal, read
// and decode, and adoption by a table. The store is in this process.
func measureReplay(ctx context.Context, _ Options) ([]Slope, error) {
	s := sweep{size: "programs", target: targetPrograms, sizes: []int{100, 400, 1600, 6400},
		series:  []series{{"takeover, 3 turns of 2 KB: time", "us"}, {"takeover: bytes read", "B"}, {"takeover: reads", "calls"}},
		measure: func(size int) ([]float64, error) { return replay(ctx, size) }}
	return s.run(ctx)
}

func replay(ctx context.Context, programs int) ([]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := newStore()
	const name = "dead"
	// All segments stay, because compaction is not what is measured here.
	w := openJournal(ctx, store, name, fencedlog.Settings{WritesPerSecond: unlimited, CompactAbove: 1 << 30}, 10)
	source := newPopulation(true)
	for i := range programs {
		source.add(i, fewTurns, turnBytes)
	}
	if err := appendAll(ctx, w, source.records); err != nil {
		return nil, err
	}
	cancelled := context.WithoutCancel(ctx)
	cancel()
	store.reads.Store(0)
	store.read.Store(0)
	begin := time.Now()
	if err := fencedlog.Seal(cancelled, store, name); err != nil {
		return nil, Error.Wrap(err)
	}
	records, err := fencedlog.Replay(cancelled, store, name, func(int) bool { return true })
	if err != nil {
		return nil, Error.Wrap(err)
	}
	encoded := make([][]byte, len(records))
	for i, r := range records {
		encoded[i] = r.Data
	}
	adopted := newPopulation(false)
	if err := adopted.table.Adopt(adopted.now, 0, encoded, &adopted.out); err != nil {
		return nil, Error.Wrap(err)
	}
	took := time.Since(begin)
	if known, _ := adopted.table.Counts(); known != programs {
		return nil, Error.New("%d of %d programs were adopted", known, programs)
	}
	return []float64{microseconds(took, 1), float64(store.read.Load()), float64(store.reads.Load())}, nil
}

// appendAll appends records and waits until they are durable.
func appendAll(ctx context.Context, w *fencedlog.Writer, records []fencedlog.Record) error {
	return Error.Wrap(fencedlog.NewAppender(w).Append(ctx, records))
}
