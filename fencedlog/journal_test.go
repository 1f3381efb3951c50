package fencedlog_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/fencedlog/storefault"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
)

func TestJournal(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.Timeout = 2 * time.Minute
	SetDefaultEventuallyTimeout(20 * time.Second) // long, because the machine may be busy
	RunSpecs(t, "journal", suite, reporter)
}

var (
	discardLog = slog.New(slog.DiscardHandler)
	// fastSettings have almost no waits for the write budget and the backoff,
	// and close segments early, so that few records cause compaction.
	fastSettings = fencedlog.Settings{
		WritesPerSecond: 1e6,
		RetryMin:        10 * time.Microsecond,
		RetryMax:        50 * time.Microsecond,
		SegmentBytes:    256,
		CompactAbove:    2,
	}
	clock = clockwork.NewRealClock()
)

func allShards(int) bool { return true }

func record(program string, seq uint64) fencedlog.Record {
	return fencedlog.Record{Shard: 1, Program: program, Seq: seq, Data: []byte(fmt.Sprint(program, "/", seq))}
}

func recordNames(records []fencedlog.Record) []string {
	found := []string{}
	for _, r := range records {
		Expect(string(r.Data)).To(Equal(fmt.Sprint(r.Program, "/", r.Seq)))
		found = append(found, string(r.Data))
	}
	return found
}

// owner consumes the completions of a writer. It records the committed tags and
// whether the writer is fenced, and answers queries with the help of live.
type owner struct {
	acked  []uint64
	fenced bool
}

func (o *owner) handle(w *fencedlog.Writer, c fencedlog.Completion, live func(fencedlog.Record) bool) {
	switch c := c.(type) {
	case fencedlog.Committed:
		o.acked = append(o.acked, c.Tags...)
	case fencedlog.Fenced:
		o.fenced = true
	case fencedlog.CompactionQuery:
		answer := fencedlog.CompactionAnswer{Segment: c.Segment}
		for _, r := range c.Records {
			answer.Live = append(answer.Live, live(r))
		}
		_ = w.CompactionAnswers().TryPush(answer)
	}
}

// writeAll appends records 1 to n of one program one by one and waits for each.
// It stops early if the writer is fenced. The result has the committed tags.
func writeAll(ctx context.Context, w *fencedlog.Writer, n uint64, live func(fencedlog.Record) bool) *owner {
	o := &owner{}
	for seq := uint64(1); seq <= n; seq++ {
		if w.Appends().TryPush(fencedlog.Append{Tag: seq, Records: []fencedlog.Record{record("p", seq)}}) != nil {
			break
		}
		for acked := len(o.acked); len(o.acked) == acked && !o.fenced; {
			c, err := w.Completions().Pop(ctx)
			Expect(err).NotTo(HaveOccurred())
			o.handle(w, c, live)
		}
	}
	return o
}

var _ = Describe("Writer", func() {
	It("does not commit after a seal, so that an owner that was paused is fenced", func(ctx SpecContext) {
		store := memstore.New(clock)
		w := fencedlog.NewWriter(store, clock, discardLog, "a1", fastSettings)
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		Expect(writeAll(ctx, w, 3, nil).acked).To(HaveLen(3))

		Expect(fencedlog.Seal(ctx, store, "a1")).To(Succeed())
		Expect(fencedlog.Seal(ctx, store, "a1")).To(Succeed())
		o := writeAll(ctx, w, 1, nil)
		Expect(o.fenced).To(BeTrue())
		Expect(o.acked).To(BeEmpty())
		Eventually(ended).Should(Receive(MatchError(fencedlog.ErrFenced)))
		Expect(w.State().Fenced).To(BeTrue())
		Expect(w.Appends().TryPush(fencedlog.Append{})).NotTo(Succeed())
		Expect(fencedlog.NewAppender(w).Append(ctx, []fencedlog.Record{record("p", 9)})).To(MatchError(fencedlog.ErrFenced))

		records, err := fencedlog.Replay(ctx, store, "a1", allShards)
		Expect(err).NotTo(HaveOccurred())
		Expect(recordNames(records)).To(Equal([]string{"p/1", "p/2", "p/3"}))
	})

	It("cannot open a journal that was sealed before its first write, even after its deletion", func(ctx SpecContext) {
		store := memstore.New(clock)
		Expect(fencedlog.Seal(ctx, store, "late")).To(Succeed())
		Expect(fencedlog.Delete(ctx, store, "late")).To(Succeed())
		Expect(fencedlog.NewWriter(store, clock, discardLog, "late", fastSettings).Open(ctx)).To(MatchError(fencedlog.ErrFenced))
	})

	It("does not open the journal of an earlier process with the same name", func(ctx SpecContext) {
		store := memstore.New(clock)
		w := fencedlog.NewWriter(store, clock, discardLog, "a1", fastSettings)
		Expect(w.Open(ctx)).To(Succeed())
		go w.Run(ctx)
		writeAll(ctx, w, 1, nil)
		Expect(fencedlog.NewWriter(store, clock, discardLog, "a1", fastSettings).Open(ctx)).To(MatchError(fencedlog.ErrFenced))
	})

	// Fails each store call in turn with each fault, during commits, the closing
	// of segments and compaction.
	for _, fault := range []storefault.Fault{storefault.Unavailable, storefault.RequestLost, storefault.AnswerLost, storefault.AppliedLate} {
		It(fmt.Sprintf("reports each record once if any one store call fails (fault %d)", fault), func(ctx SpecContext) {
			const records = 30
			total := int64(1)
			for k := int64(1); k <= total; k++ {
				base := memstore.New(clock)
				store := storefault.New(base, func(c storefault.Call) storefault.Fault {
					if c.Number == k {
						return fault
					}
					return storefault.None
				})
				w := fencedlog.NewWriter(store, clock, discardLog, "a1", fastSettings)
				ended := make(chan error, 1)
				go func() { ended <- w.Run(ctx) }()
				o := writeAll(ctx, w, records, func(r fencedlog.Record) bool { return r.Seq%3 == 0 })
				w.Appends().Close()
				Eventually(ended).Should(Receive(BeNil()))
				total = store.Calls()

				Expect(o.acked).To(HaveLen(records))
				Expect(fencedlog.Seal(ctx, base, "a1")).To(Succeed())
				replayed, err := fencedlog.Replay(ctx, base, "a1", allShards)
				Expect(err).NotTo(HaveOccurred())
				for seq := uint64(3); seq <= records; seq += 3 {
					Expect(recordNames(replayed)).To(ContainElement(fmt.Sprint("p/", seq)), "fault at call %d", k)
				}
				items, _, err := base.List(ctx, "journal/a1/seg/")
				Expect(err).NotTo(HaveOccurred())
				Expect(len(items)).To(BeNumerically("<", total/2), "fault at call %d", k)
			}
			Expect(total).To(BeNumerically(">", records))
		})
	}

	It("keeps a bounded tail while the store is down, reports it in its state, and commits it afterwards", func(ctx SpecContext) {
		restored := make(chan struct{})
		store := storefault.New(memstore.New(clock), func(storefault.Call) storefault.Fault {
			select {
			case <-restored:
				return storefault.None
			default:
				return storefault.Unavailable
			}
		})
		bounded := fastSettings
		bounded.TailRecords, bounded.RingSlots = 8, 4
		w := fencedlog.NewWriter(store, clock, discardLog, "a1", bounded)
		go w.Run(ctx)
		var accepted uint64
		Eventually(func() error { // until the tail and the ring are full
			var err error
			for err == nil {
				err = w.Appends().TryPush(fencedlog.Append{Tag: accepted, Records: []fencedlog.Record{record("p", accepted)}})
				if err == nil {
					accepted++
				}
			}
			if accepted < 12 {
				return nil
			}
			return err
		}).Should(HaveOccurred())
		Consistently(func() error { return w.Appends().TryPush(fencedlog.Append{}) }, "20ms").ShouldNot(Succeed())
		Expect(w.State().TailRecords).To(Equal(8))
		Expect(w.State().FailingSince).NotTo(BeZero())
		Expect(w.State().LastCommit).To(BeZero())

		close(restored)
		o := &owner{}
		for uint64(len(o.acked)) < accepted {
			c, err := w.Completions().Pop(ctx)
			Expect(err).NotTo(HaveOccurred())
			o.handle(w, c, nil)
		}
		for i, tag := range o.acked {
			Expect(tag).To(Equal(uint64(i)), "completions in the order of the appends")
		}
		Expect(accepted).To(Equal(uint64(12)))
		Eventually(func() time.Time { return w.State().FailingSince }).Should(BeZero())
	})

	// Guards against a process that was suspended while a commit was under way and
	// then takes its journal for its own, because it reads the old answer now.
	It("states when a commit was begun, not when its answer was read", func(ctx SpecContext) {
		fake := clockwork.NewFakeClock()
		began := fake.Now()
		store := &suspendingStore{Store: memstore.New(fake), clock: fake}
		w := fencedlog.NewWriter(store, fake, discardLog, "a1", fencedlog.Settings{})
		Expect(w.Open(ctx)).To(Succeed())
		go w.Run(ctx)
		store.suspend.Store(true)
		Expect(w.Appends().Push(ctx, fencedlog.Append{Tag: 1, Records: []fencedlog.Record{record("p", 1)}})).To(Succeed())
		Eventually(func() time.Time { return w.State().LastCommit }).Should(Equal(began))
		Expect(fake.Now()).To(BeTemporally(">=", began.Add(suspension)))
	})

	It("commits at once when idle, then one group for each write that the budget allows", func(ctx SpecContext) {
		fake := clockwork.NewFakeClock()
		store := memstore.New(fake)
		w := fencedlog.NewWriter(store, fake, discardLog, "a1", fencedlog.Settings{WritesPerSecond: 30})
		push := func() {
			for tag := range uint64(100) {
				Expect(w.Appends().TryPush(fencedlog.Append{Tag: tag, Records: []fencedlog.Record{record("p", tag)}})).To(Succeed())
			}
		}
		push()
		go w.Run(ctx)
		c, err := w.Completions().Pop(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.(fencedlog.Committed).Tags).To(HaveLen(100), "committed without an advance of the clock")

		push()
		Eventually(func() int { return w.State().TailRecords }).Should(Equal(100))
		Expect(fake.BlockUntilContext(ctx, 1)).To(Succeed()) // the wait for the budget
		fake.Advance(time.Second/30 - time.Millisecond)
		Consistently(w.Completions().Len, "20ms").Should(BeZero())
		fake.Advance(time.Millisecond)
		c, err = w.Completions().Pop(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.(fencedlog.Committed).Tags).To(HaveLen(100))
		Expect(w.State().Commits).To(Equal(uint64(3)), "the first head and two groups")
	})

	It("rejects a record above its size limit and keeps every value below the limit of the store", func(ctx SpecContext) {
		store := memstore.New(clock)
		settings := fastSettings
		settings.SegmentBytes = 128 << 10
		w := fencedlog.NewWriter(store, clock, discardLog, "a1", settings)
		go w.Run(ctx)
		appender := fencedlog.NewAppender(w)
		big := fencedlog.Record{Program: "p", Seq: 1, Data: make([]byte, fencedlog.MaxRecordBytes+1)}
		Expect(appender.Append(ctx, []fencedlog.Record{big})).To(MatchError(fencedlog.ErrInvalidRecord))
		Expect(appender.Append(ctx, []fencedlog.Record{{Program: ""}})).To(MatchError(fencedlog.ErrInvalidRecord))
		var records []fencedlog.Record
		for seq := range uint64(12) {
			records = append(records, fencedlog.Record{Program: "p", Seq: seq, Data: make([]byte, fencedlog.MaxRecordBytes)})
		}
		Expect(appender.Append(ctx, records)).To(Succeed())
		replayed, err := fencedlog.Replay(ctx, store, "a1", allShards)
		Expect(err).NotTo(HaveOccurred())
		Expect(replayed).To(Equal(records))
	})

	It("keeps live records in compaction, drops dead ones, and never shows an ended program as running", func(ctx SpecContext) {
		store := memstore.New(clock)
		w := fencedlog.NewWriter(store, clock, discardLog, "a1", fastSettings)
		go w.Run(ctx)
		ended, dead := map[string]bool{}, map[string]bool{}
		o := &owner{}
		live := func(r fencedlog.Record) bool { return !dead[r.Program] }
		tag := uint64(0)
		push := func(r fencedlog.Record) {
			tag++
			Expect(w.Appends().TryPush(fencedlog.Append{Tag: tag, Records: []fencedlog.Record{r}})).To(Succeed())
			for uint64(len(o.acked)) < tag {
				c, err := w.Completions().Pop(ctx)
				Expect(err).NotTo(HaveOccurred())
				o.handle(w, c, live)
			}
		}
		end := func(program string, seq uint64) {
			last := record(program, seq)
			last.Ended = true
			push(last)
			ended[program] = true
		}
		push(record("long", 1))
		for i := range 60 {
			// These stay live for a while after their end, as for repeated
			// requests, so that their first record is rewritten after the end.
			switch kept := fmt.Sprint("kept", i%20); i / 20 {
			case 0:
				push(record(kept, 1))
			case 1:
				end(kept, 2)
			default:
				dead[kept] = true
			}
			program := fmt.Sprint("short", i)
			push(record(program, 1))
			if i > 5 {
				push(record(fmt.Sprint("short", i-5), 2)) // so that its records are in several segments
				end(fmt.Sprint("short", i-5), 3)
				dead[fmt.Sprint("short", i-5)] = true
			}
			replayed, err := fencedlog.Replay(ctx, store, "a1", allShards)
			Expect(err).NotTo(HaveOccurred())
			found := map[string]bool{}
			for _, r := range replayed {
				found[r.Program] = found[r.Program] || r.Ended
			}
			Expect(found).To(HaveKey("long"))
			for name, foundEnded := range found {
				Expect(foundEnded).To(Equal(ended[name]), "program %s in round %d", name, i)
			}
		}
		replayed, err := fencedlog.Replay(ctx, store, "a1", allShards)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(replayed)).To(BeNumerically("<", 60), "of 209 records written")
		items, _, err := store.List(ctx, "journal/a1/seg/")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(items)).To(BeNumerically("<", 12))
	})
})

var _ = Describe("Seal and Delete", func() {
	It("handle a lost answer to any one call", func(ctx SpecContext) {
		for _, fault := range []storefault.Fault{storefault.RequestLost, storefault.AnswerLost} {
			for k := int64(1); k <= 8; k++ {
				base := memstore.New(clock)
				w := fencedlog.NewWriter(base, clock, discardLog, "a1", fastSettings)
				Expect(w.Open(ctx)).To(Succeed())
				store := storefault.New(base, func(c storefault.Call) storefault.Fault {
					if c.Number == k {
						return fault
					}
					return storefault.None
				})
				Expect(fencedlog.Delete(ctx, base, "a1")).To(MatchError(fencedlog.ErrNotSealed))
				retryRefusedRead := func(do func(context.Context, kvstore.Store, string) error) {
					if err := do(ctx, store, "a1"); err != nil { // a read failed
						Expect(errors.Is(err, kvstore.ErrUnavailable)).To(BeTrue(), "%v", err)
						Expect(do(ctx, store, "a1")).To(Succeed())
					}
				}
				retryRefusedRead(fencedlog.Seal)
				Expect(fencedlog.IsFenced(ctx, base, "a1")).To(BeTrue())
				retryRefusedRead(fencedlog.Delete)
				items, _, err := base.List(ctx, "journal/")
				Expect(err).NotTo(HaveOccurred())
				Expect(items).To(BeEmpty())
			}
		}
	})
})

var _ = Describe("Replay", func() {
	writeAndReplay := func(ctx context.Context, groups ...[]fencedlog.Record) []string {
		store := memstore.New(clock)
		w := fencedlog.NewWriter(store, clock, discardLog, "a1", fastSettings)
		go w.Run(ctx)
		for _, group := range groups {
			Expect(fencedlog.NewAppender(w).Append(ctx, group)).To(Succeed())
		}
		records, err := fencedlog.Replay(ctx, store, "a1", allShards)
		Expect(err).NotTo(HaveOccurred())
		return recordNames(records)
	}
	old := []fencedlog.Record{record("old", 1)}
	copied := []fencedlog.Record{record("new", 2), record("new", 1), record("new", 2)}

	It("drops records that an adoption supersedes, so that an ended program does not run again", func(ctx SpecContext) {
		begin := []fencedlog.Record{fencedlog.AdoptionBegin(1, 5, false)}
		Expect(writeAndReplay(ctx, old, begin, copied)).To(Equal([]string{"new/1", "new/2"}))
	})

	It("keeps the journal's own records until an adoption that has it as a source is complete", func(ctx SpecContext) {
		begin := []fencedlog.Record{fencedlog.AdoptionBegin(1, 5, true)}
		end := []fencedlog.Record{fencedlog.AdoptionEnd(1, 5)}
		Expect(writeAndReplay(ctx, old, begin, copied)).To(Equal([]string{"new/1", "new/2", "old/1"}))
		Expect(writeAndReplay(ctx, old, begin, copied, end)).To(Equal([]string{"new/1", "new/2"}))
		Expect(writeAndReplay(ctx, old, begin, copied, []fencedlog.Record{fencedlog.AdoptionEnd(1, 4)})).To(HaveLen(3))
	})

	It("returns only the selected shards and fails for a journal that does not exist", func(ctx SpecContext) {
		store := memstore.New(clock)
		_, err := fencedlog.Replay(ctx, store, "none", allShards)
		Expect(err).To(MatchError(kvstore.ErrNotFound))
		w := fencedlog.NewWriter(store, clock, discardLog, "a1", fastSettings)
		go w.Run(ctx)
		writeAll(ctx, w, 2, nil)
		records, err := fencedlog.Replay(ctx, store, "a1", func(shard int) bool { return shard != 1 })
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(BeEmpty())
	})
})

// suspension is the time for which a suspendingStore suspends the process.
const suspension = time.Minute

// suspendingStore suspends the process between a put that is done and its answer.
type suspendingStore struct {
	kvstore.Store
	clock   *clockwork.FakeClock
	suspend atomic.Bool
}

func (s *suspendingStore) Put(ctx context.Context, key string, value []byte, v kvstore.Version, l kvstore.LeaseID) (kvstore.Version, error) {
	version, err := s.Store.Put(ctx, key, value, v, l)
	if s.suspend.Load() {
		s.clock.Advance(suspension)
	}
	return version, err
}
