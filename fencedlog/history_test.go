package fencedlog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/fencedlog/storefault"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
	"dogwoodline.example/ring"
)

// Guards against a commit that is reported although it is not in the replay of
// the sealed journal, against one that is replayed twice, and against gaps in
// the order of a producer, with concurrent producers, two sealers and faults at
// one call in five.
var _ = Describe("History", func() {
	It("contains every reported record exactly once after concurrent seals", func(ctx SpecContext) {
		for seed := range uint64(40) {
			run(ctx, seed)
		}
	})
})

func run(ctx context.Context, seed uint64) {
	base := memstore.New(clock)
	faulty := func(salt uint64) kvstore.Store {
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(seed, salt))
		return storefault.New(base, func(storefault.Call) storefault.Fault {
			mu.Lock()
			defer mu.Unlock()
			if random.IntN(5) > 0 {
				return storefault.None
			}
			return storefault.Fault(1 + random.IntN(4))
		})
	}
	w := fencedlog.NewWriter(faulty(1), clock, quiet, "a1", fast)
	var wait sync.WaitGroup
	wait.Go(func() { _ = w.Run(ctx) })

	const producers = 4
	var acked [producers]uint64
	for p := range producers {
		wait.Go(func() { acked[p] = produce(ctx, w, fmt.Sprint("p", p)) })
	}
	wait.Go(func() {
		defer GinkgoRecover()
		answerQueries(ctx, w)
	})
	var sealed atomic.Int32
	for s := range 2 {
		wait.Go(func() {
			defer GinkgoRecover()
			time.Sleep(time.Duration(seed%8) * time.Millisecond)
			store := faulty(uint64(2 + s))
			for fencedlog.Seal(ctx, store, "a1") != nil {
			}
			sealed.Add(1)
			// What is committed now is all there will ever be.
			first := replay(ctx, base)
			time.Sleep(time.Millisecond)
			Expect(replay(ctx, base)).To(Equal(first), "seed %d", seed)
		})
	}
	wait.Go(func() { // reads while segments are compacted
		defer GinkgoRecover()
		for sealed.Load() < 2 {
			_, err := base.Get(ctx, fencedlog.HeadKey("a1"))
			if err == nil {
				checkOrder(replay(ctx, base), seed)
			}
		}
	})
	wait.Wait()
	Expect(sealed.Load()).To(Equal(int32(2)))

	count := checkOrder(replay(ctx, base), seed)
	for p := range producers {
		Expect(count[fmt.Sprint("p", p)]).To(BeNumerically(">=", acked[p]), "seed %d: lost record", seed)
	}
}

// checkOrder returns the number of records of each program, which are 1 to n.
func checkOrder(records []fencedlog.Record, seed uint64) map[string]uint64 {
	count := map[string]uint64{}
	for _, r := range records {
		count[r.Program]++
		Expect(r.Seq).To(Equal(count[r.Program]), "seed %d: gap or repetition in %s", seed, r.Program)
	}
	return count
}

// produce appends the records of one program until the writer is fenced, and
// returns how many were reported.
func produce(ctx context.Context, w *fencedlog.Writer, program string) uint64 {
	for seq := uint64(1); ; seq++ {
		reply := ring.New[fencedlog.Completion](1)
		entry := fencedlog.Append{Records: []fencedlog.Record{record(program, seq)}, Reply: reply}
		if w.Appends().Push(ctx, entry) != nil {
			return seq - 1
		}
		c, err := reply.Pop(ctx)
		if _, ok := c.(fencedlog.Committed); err != nil || !ok {
			return seq - 1
		}
	}
}

// answerQueries keeps all records, so that compaction only copies.
func answerQueries(ctx context.Context, w *fencedlog.Writer) {
	o := &owner{}
	for !o.fenced {
		c, err := w.Completions().Pop(ctx)
		if err != nil {
			return
		}
		o.take(w, c, func(fencedlog.Record) bool { return true })
	}
}

func replay(ctx context.Context, store kvstore.Store) []fencedlog.Record {
	records, err := fencedlog.Replay(ctx, store, "a1", all)
	Expect(err).NotTo(HaveOccurred())
	return records
}
