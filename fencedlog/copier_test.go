package fencedlog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/fencedlog/storefault"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
)

// memoryHolders implements HolderChooser and HolderClient with holders that keep
// their copies in memory.
type memoryHolders struct {
	mu     sync.Mutex
	wanted []string
	held   map[string][]fencedlog.Copy
	fenced map[string]bool
	fail   func(holder string) (before, after bool) // whether the message or the answer is lost
}

func newMemoryHolders(names ...string) *memoryHolders {
	return &memoryHolders{wanted: names, held: map[string][]fencedlog.Copy{}, fenced: map[string]bool{},
		fail: func(string) (bool, bool) { return false, false }}
}

func (m *memoryHolders) Holders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wanted
}

func (m *memoryHolders) Hold(_ context.Context, holder, _ string, c fencedlog.Copy) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, after := m.fail(holder)
	held := m.held[holder]
	known := slices.IndexFunc(held, func(h fencedlog.Copy) bool { return h.Number == c.Number })
	oldest := slices.IndexFunc(held, func(h fencedlog.Copy) bool { return h.Number == c.Oldest })
	switch {
	case before:
		return kvstore.ErrUnavailable
	case m.fenced[holder]:
		return fencedlog.ErrCopiesFenced
	case known >= 0:
		if string(held[known].Body) != string(c.Body) {
			return fmt.Errorf("copy %d changed", c.Number)
		}
	case c.Number != c.Oldest && (oldest < 0 || held[len(held)-1].Number != c.Number-1):
		return fmt.Errorf("gap before copy %d", c.Number)
	default:
		m.held[holder] = append(held, c)
	}
	if after {
		return kvstore.ErrAmbiguous
	}
	return nil
}

func (m *memoryHolders) Drop(_ context.Context, holder, _ string, commit uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[holder] = slices.DeleteFunc(slices.Clone(m.held[holder]), func(c fencedlog.Copy) bool { return c.Commit <= commit })
	return nil
}

// collect fences a holder and returns the copies that it has.
func (m *memoryHolders) collect(holder string) []fencedlog.Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fenced[holder] = true
	return slices.Clone(m.held[holder])
}

// count returns the number of copies that the given holders have.
func (m *memoryHolders) count(holders ...string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, holder := range holders {
		count += len(m.held[holder])
	}
	return count
}

// update runs change under the lock.
func (m *memoryHolders) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// failingStore wraps a store whose calls fail while down is set, and block while
// hang is set.
type failingStore struct {
	base       kvstore.Store
	down, hang atomic.Bool
}

func (s *failingStore) store(ctx context.Context) kvstore.Store {
	return storefault.New(s.base, func(storefault.Call) storefault.Fault {
		for s.hang.Load() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if s.down.Load() {
			return storefault.Unavailable
		}
		return storefault.None
	})
}

var _ = Describe("Copies", func() {
	var (
		s *failingStore
		m *memoryHolders
		w *fencedlog.Writer
	)
	startWriter := func(ctx context.Context) {
		s = &failingStore{base: memstore.New(clock)}
		m = newMemoryHolders("h1", "h2")
		w = fencedlog.NewWriter(s.store(ctx), clock, discardLog, "a1", fastSettings)
		w.EnableCopies(m, m)
		go w.Run(ctx)
		writeAll(ctx, w, 3, nil) // so that the head names the holders
	}
	push := func(seq uint64) {
		Expect(w.Appends().TryPush(fencedlog.Append{Tag: seq, Records: []fencedlog.Record{record("p", seq)}})).To(Succeed())
	}
	awaitCopied := func(ctx context.Context, last uint64) []uint64 {
		var tags []uint64
		for !slices.Contains(tags, last) {
			c, err := w.Completions().Pop(ctx)
			Expect(err).NotTo(HaveOccurred())
			tags = append(tags, c.(fencedlog.Copied).Tags...)
		}
		return tags
	}
	sealAndReplay := func(ctx context.Context, holder string) []string {
		Expect(fencedlog.Seal(ctx, s.base, "a1")).To(Succeed())
		Expect(fencedlog.SealedHolders(ctx, s.base, "a1")).To(ContainElement(holder))
		records, err := fencedlog.Replay(ctx, s.base, "a1", allShards, m.collect(holder)...)
		Expect(err).NotTo(HaveOccurred())
		return recordNames(records)
	}

	It("are reported in order once both holders have them, and dropped after the store is back", func(ctx SpecContext) {
		startWriter(ctx)
		Expect(fencedlog.SealedHolders(ctx, s.base, "a1")).To(BeEmpty(), "the journal is not sealed")
		s.down.Store(true)
		m.update(func() { m.fail = func(holder string) (bool, bool) { return holder == "h2", false } })
		push(4)
		push(5)
		Consistently(w.Completions().Len, "300ms").Should(BeZero(), "one holder is not enough")
		m.update(func() { m.fail = func(string) (bool, bool) { return false, false } })
		Expect(awaitCopied(ctx, 5)).To(Equal([]uint64{4, 5}))
		push(6)
		Expect(awaitCopied(ctx, 6)).To(Equal([]uint64{6}))
		s.down.Store(false)
		committed := &owner{}
		for len(committed.acked) < 3 {
			c, err := w.Completions().Pop(ctx)
			Expect(err).NotTo(HaveOccurred())
			committed.handle(w, c, nil)
		}
		Expect(committed.acked).To(Equal([]uint64{4, 5, 6}))
		Eventually(func() int { return m.count("h1", "h2") }).Should(BeZero())
	})

	It("are made while a store call hangs, and are replayed after the journal is sealed", func(ctx SpecContext) {
		startWriter(ctx)
		s.hang.Store(true)
		push(4)
		Expect(awaitCopied(ctx, 4)).To(Equal([]uint64{4}))
		push(5)
		Expect(awaitCopied(ctx, 5)).To(Equal([]uint64{5}))
		Expect(sealAndReplay(ctx, "h2")).To(Equal([]string{"p/1", "p/2", "p/3", "p/4", "p/5"}))
	})

	It("are sent again unchanged after a lost answer", func(ctx SpecContext) {
		startWriter(ctx)
		s.down.Store(true)
		lost := 0
		m.update(func() { m.fail = func(string) (bool, bool) { lost++; return false, lost <= 3 } })
		for seq := uint64(4); seq < 8; seq++ {
			push(seq)
		}
		Expect(awaitCopied(ctx, 7)).To(Equal([]uint64{4, 5, 6, 7}))
		Expect(sealAndReplay(ctx, "h1")).To(HaveLen(7))
	})

	It("are refused after one holder's copies were collected, which fences the former owner", func(ctx SpecContext) {
		startWriter(ctx)
		s.down.Store(true)
		push(4)
		Expect(awaitCopied(ctx, 4)).To(Equal([]uint64{4}))
		Expect(sealAndReplay(ctx, "h2")).To(HaveLen(4))
		push(5)
		c, err := w.Completions().Pop(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(c).To(Equal(fencedlog.Fenced{}))
		Expect(sealAndReplay(ctx, "h2")).To(HaveLen(4))
	})

	It("go to new holders only after a commit names them, also if the writer is idle", func(ctx SpecContext) {
		startWriter(ctx)
		s.down.Store(true)
		push(4)
		Expect(awaitCopied(ctx, 4)).To(Equal([]uint64{4}))
		m.update(func() { m.wanted = []string{"h3", "h4"} })
		push(5)
		Expect(awaitCopied(ctx, 5)).To(Equal([]uint64{5}))
		Expect(m.count("h3", "h4")).To(BeZero())
		s.down.Store(false)
		Eventually(w.Completions().Len).Should(BeNumerically(">", 0))
		Eventually(func() []string {
			item, err := s.base.Get(ctx, fencedlog.HeadKey("a1"))
			Expect(err).NotTo(HaveOccurred())
			probe := memstore.New(clock) // seals a duplicate of the head instead
			_, err = probe.Put(ctx, fencedlog.HeadKey("a1"), item.Value, kvstore.Absent, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(fencedlog.Seal(ctx, probe, "a1")).To(Succeed())
			holders, err := fencedlog.SealedHolders(ctx, probe, "a1")
			Expect(err).NotTo(HaveOccurred())
			return holders
		}).Should(Equal([]string{"h3", "h4"}))
	})

	// Guards against the loss of a reported record that is neither in the sealed
	// journal nor in the copies of one of the holders. The runs have short
	// outages of the store, commits, compaction, lost messages and changes of
	// the holders. TestUncommitted guards against the replay of a stale copy.
	It("never lose a reported record, whichever holder remains", func(ctx SpecContext) {
		var runs sync.WaitGroup
		var reports atomic.Int64
		for seed := range uint64(16) {
			runs.Go(func() {
				defer GinkgoRecover()
				reports.Add(runCopyHistory(ctx, seed))
			})
		}
		runs.Wait()
		Expect(reports.Load()).To(BeNumerically(">", 100), "number of appends reported as copied in all runs")
	})
})

// runCopyHistory runs a writer through four outages of the store, seals its
// journal and checks that every reported append is replayed with the copies of
// each holder. It returns the number of appends that were reported as copied.
func runCopyHistory(ctx context.Context, seed uint64) int64 {
	random, loss := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	s := &failingStore{base: memstore.New(clock)}
	m := newMemoryHolders("h1", "h2")
	m.fail = func(string) (bool, bool) { n := loss.IntN(8); return n == 0, n == 1 } // called under the lock
	owned, kill := context.WithCancel(ctx)
	w := fencedlog.NewWriter(s.store(ctx), clock, discardLog, "a1", fastSettings)
	w.EnableCopies(m, m)
	var wait sync.WaitGroup
	wait.Go(func() { _ = w.Run(owned) })
	reported := map[uint64]bool{}
	reports := int64(0)
	wait.Go(func() {
		for seq := uint64(1); owned.Err() == nil; {
			if w.Appends().TryPush(fencedlog.Append{Tag: seq, Records: []fencedlog.Record{record(fmt.Sprint("p", seq%7), seq)}}) == nil {
				seq++
			}
			time.Sleep(2 * time.Millisecond)
			for c, ok := w.Completions().TryPop(); ok; c, ok = w.Completions().TryPop() {
				switch c := c.(type) {
				case fencedlog.Copied:
					reports += int64(len(c.Tags))
					for _, tag := range c.Tags {
						reported[tag] = true
					}
				case fencedlog.Committed:
					for _, tag := range c.Tags {
						reported[tag] = true
					}
				case fencedlog.CompactionQuery:
					_ = w.CompactionAnswers().TryPush(fencedlog.CompactionAnswer{Segment: c.Segment, Live: slices.Repeat([]bool{true}, len(c.Records))})
				}
			}
		}
	})
	wanted := [][]string{{"h1", "h2"}, {"h2", "h3"}, {"h3", "h4"}}
	for round := range 4 {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		m.update(func() { m.wanted = wanted[int(seed+uint64(round))%3] })
		s.down.Store(true)
		time.Sleep(time.Duration(150+seed*16) * time.Millisecond)
		if round < 3 {
			s.down.Store(false)
		}
	}
	kill()
	wait.Wait()
	Expect(fencedlog.Seal(ctx, s.base, "a1")).To(Succeed())
	holders, err := fencedlog.SealedHolders(ctx, s.base, "a1")
	Expect(err).NotTo(HaveOccurred())
	for _, holder := range holders {
		records, err := fencedlog.Replay(ctx, s.base, "a1", allShards, m.collect(holder)...)
		Expect(err).NotTo(HaveOccurred())
		found := map[uint64]bool{}
		for _, r := range records {
			found[r.Seq] = true
		}
		for seq := range reported {
			Expect(found).To(HaveKey(seq), "seed %d: record lost with the copies of %s", seed, holder)
		}
	}
	return reports
}
