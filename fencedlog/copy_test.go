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

// peers are small holders in one place, and the Holders and the Sender of a
// writer.
type peers struct {
	mu     sync.Mutex
	wanted []string
	held   map[string][]fencedlog.Copy
	fenced map[string]bool
	fail   func(holder string) (before, after bool) // loses the message or the answer
}

func newPeers(names ...string) *peers {
	return &peers{wanted: names, held: map[string][]fencedlog.Copy{}, fenced: map[string]bool{},
		fail: func(string) (bool, bool) { return false, false }}
}

func (p *peers) Holders() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wanted
}

func (p *peers) Hold(_ context.Context, holder, _ string, c fencedlog.Copy) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, after := p.fail(holder)
	held := p.held[holder]
	known := slices.IndexFunc(held, func(h fencedlog.Copy) bool { return h.Number == c.Number })
	oldest := slices.IndexFunc(held, func(h fencedlog.Copy) bool { return h.Number == c.Oldest })
	switch {
	case before:
		return kvstore.ErrUnavailable
	case p.fenced[holder]:
		return fencedlog.ErrCopiesFenced
	case known >= 0:
		if string(held[known].Body) != string(c.Body) {
			return fmt.Errorf("copy %d changed", c.Number)
		}
	case c.Number != c.Oldest && (oldest < 0 || held[len(held)-1].Number != c.Number-1):
		return fmt.Errorf("gap before %d", c.Number)
	default:
		p.held[holder] = append(held, c)
	}
	if after {
		return kvstore.ErrAmbiguous
	}
	return nil
}

func (p *peers) Drop(_ context.Context, holder, _ string, commit uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[holder] = slices.DeleteFunc(slices.Clone(p.held[holder]), func(c fencedlog.Copy) bool { return c.Commit <= commit })
	return nil
}

// collect fences a holder and returns what it has.
func (p *peers) collect(holder string) []fencedlog.Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fenced[holder] = true
	return slices.Clone(p.held[holder])
}

// count returns the number of copies at the holders.
func (p *peers) count(holders ...string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, holder := range holders {
		count += len(p.held[holder])
	}
	return count
}

// set changes what the peers do.
func (p *peers) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// outage is a store that can be down or hang.
type outage struct {
	base       kvstore.Store
	down, hang atomic.Bool
}

func (o *outage) store(ctx context.Context) kvstore.Store {
	return storefault.New(o.base, func(storefault.Call) storefault.Fault {
		for o.hang.Load() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if o.down.Load() {
			return storefault.Unavailable
		}
		return storefault.None
	})
}

var _ = Describe("Copies", func() {
	var (
		o *outage
		p *peers
		w *fencedlog.Writer
	)
	begin := func(ctx context.Context) {
		o = &outage{base: memstore.New(clock)}
		p = newPeers("h1", "h2")
		w = fencedlog.NewWriter(o.store(ctx), clock, quiet, "a1", fast)
		w.CopyTo(p, p)
		go w.Run(ctx)
		writeAll(ctx, w, 3, nil) // the first commit names the holders
	}
	push := func(seq uint64) {
		Expect(w.Appends().TryPush(fencedlog.Append{Tag: seq, Records: []fencedlog.Record{record("p", seq)}})).To(Succeed())
	}
	copiedTo := func(ctx context.Context, last uint64) []uint64 {
		var tags []uint64
		for !slices.Contains(tags, last) {
			c, err := w.Completions().Pop(ctx)
			Expect(err).NotTo(HaveOccurred())
			tags = append(tags, c.(fencedlog.Copied).Tags...)
		}
		return tags
	}
	replayed := func(ctx context.Context, holder string) []string {
		Expect(fencedlog.Seal(ctx, o.base, "a1")).To(Succeed())
		Expect(fencedlog.SealedHolders(ctx, o.base, "a1")).To(ContainElement(holder))
		records, err := fencedlog.Replay(ctx, o.base, "a1", all, p.collect(holder)...)
		Expect(err).NotTo(HaveOccurred())
		return names(records)
	}

	It("count once both holders have them, in order, and go when the store is back", func(ctx SpecContext) {
		begin(ctx)
		Expect(fencedlog.SealedHolders(ctx, o.base, "a1")).To(BeEmpty(), "the journal is open")
		o.down.Store(true)
		p.set(func() { p.fail = func(holder string) (bool, bool) { return holder == "h2", false } })
		push(4)
		push(5)
		Consistently(w.Completions().Len, "300ms").Should(BeZero(), "one holder does not count")
		p.set(func() { p.fail = func(string) (bool, bool) { return false, false } })
		Expect(copiedTo(ctx, 5)).To(Equal([]uint64{4, 5}))
		push(6)
		Expect(copiedTo(ctx, 6)).To(Equal([]uint64{6}))
		o.down.Store(false)
		committed := &owner{}
		for len(committed.acked) < 3 {
			c, err := w.Completions().Pop(ctx)
			Expect(err).NotTo(HaveOccurred())
			committed.take(w, c, nil)
		}
		Expect(committed.acked).To(Equal([]uint64{4, 5, 6}))
		Eventually(func() int { return p.count("h1", "h2") }).Should(BeZero())
	})

	It("are made while a store call hangs, and survive with the sealed head", func(ctx SpecContext) {
		begin(ctx)
		o.hang.Store(true)
		push(4)
		Expect(copiedTo(ctx, 4)).To(Equal([]uint64{4}))
		push(5)
		Expect(copiedTo(ctx, 5)).To(Equal([]uint64{5}))
		Expect(replayed(ctx, "h2")).To(Equal([]string{"p/1", "p/2", "p/3", "p/4", "p/5"}))
	})

	It("are repeated unchanged after a lost answer", func(ctx SpecContext) {
		begin(ctx)
		o.down.Store(true)
		lost := 0
		p.set(func() { p.fail = func(string) (bool, bool) { lost++; return false, lost <= 3 } })
		for seq := uint64(4); seq < 8; seq++ {
			push(seq)
		}
		Expect(copiedTo(ctx, 7)).To(Equal([]uint64{4, 5, 6, 7}))
		Expect(replayed(ctx, "h1")).To(HaveLen(7))
	})

	It("are refused after one holder was asked, which fences the former owner", func(ctx SpecContext) {
		begin(ctx)
		o.down.Store(true)
		push(4)
		Expect(copiedTo(ctx, 4)).To(Equal([]uint64{4}))
		Expect(replayed(ctx, "h2")).To(HaveLen(4))
		push(5)
		c, err := w.Completions().Pop(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(c).To(Equal(fencedlog.Fenced{}))
		Expect(replayed(ctx, "h2")).To(HaveLen(4))
	})

	It("go to new holders only from the commit on that names them, also when idle", func(ctx SpecContext) {
		begin(ctx)
		o.down.Store(true)
		push(4)
		Expect(copiedTo(ctx, 4)).To(Equal([]uint64{4}))
		p.set(func() { p.wanted = []string{"h3", "h4"} })
		push(5)
		Expect(copiedTo(ctx, 5)).To(Equal([]uint64{5}))
		Expect(p.count("h3", "h4")).To(BeZero())
		o.down.Store(false)
		Eventually(w.Completions().Len).Should(BeNumerically(">", 0))
		Eventually(func() []string {
			item, err := o.base.Get(ctx, fencedlog.HeadKey("a1"))
			Expect(err).NotTo(HaveOccurred())
			probe := memstore.New(clock) // a copy of the head is sealed instead
			_, err = probe.Put(ctx, fencedlog.HeadKey("a1"), item.Value, kvstore.Absent, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(fencedlog.Seal(ctx, probe, "a1")).To(Succeed())
			holders, err := fencedlog.SealedHolders(ctx, probe, "a1")
			Expect(err).NotTo(HaveOccurred())
			return holders
		}).Should(Equal([]string{"h3", "h4"}))
	})

	// Guards against a record that was reported and is in neither the sealed
	// journal nor the copies of any one holder, and against a stale copy that
	// comes back, through short outages, commits, compaction, lost messages
	// and changes of the holders.
	It("never lose a reported record, whichever holder is left", func(ctx SpecContext) {
		var runs sync.WaitGroup
		var reports atomic.Int64
		for seed := range uint64(16) {
			runs.Go(func() {
				defer GinkgoRecover()
				reports.Add(copyHistory(ctx, seed))
			})
		}
		runs.Wait()
		Expect(reports.Load()).To(BeNumerically(">", 100), "reported through copies in all runs")
	})
})

// copyHistory returns the number of appends that were reported as copied.
func copyHistory(ctx context.Context, seed uint64) int64 {
	random, loss := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	o := &outage{base: memstore.New(clock)}
	p := newPeers("h1", "h2")
	p.fail = func(string) (bool, bool) { n := loss.IntN(8); return n == 0, n == 1 } // under the lock
	owned, kill := context.WithCancel(ctx)
	w := fencedlog.NewWriter(o.store(ctx), clock, quiet, "a1", fast)
	w.CopyTo(p, p)
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
				case fencedlog.Query:
					_ = w.Verdicts().TryPush(fencedlog.Verdict{Segment: c.Segment, Live: slices.Repeat([]bool{true}, len(c.Records))})
				}
			}
		}
	})
	wanted := [][]string{{"h1", "h2"}, {"h2", "h3"}, {"h3", "h4"}}
	for round := range 4 {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		p.set(func() { p.wanted = wanted[int(seed+uint64(round))%3] })
		o.down.Store(true)
		time.Sleep(time.Duration(150+seed*16) * time.Millisecond)
		if round < 3 {
			o.down.Store(false)
		}
	}
	kill()
	wait.Wait()
	Expect(fencedlog.Seal(ctx, o.base, "a1")).To(Succeed())
	holders, err := fencedlog.SealedHolders(ctx, o.base, "a1")
	Expect(err).NotTo(HaveOccurred())
	for _, holder := range holders {
		records, err := fencedlog.Replay(ctx, o.base, "a1", all, p.collect(holder)...)
		Expect(err).NotTo(HaveOccurred())
		found := map[uint64]bool{}
		for _, r := range records {
			found[r.Seq] = true
		}
		for seq := range reported {
			Expect(found).To(HaveKey(seq), "seed %d: lost at %s", seed, holder)
		}
	}
	return reports
}
