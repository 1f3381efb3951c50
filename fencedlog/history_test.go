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

// Guards against a record that is reported as committed but not replayed from
// the sealed journal, against one that is replayed twice, and against gaps in
// the order of a producer's records. Four producers and two sealers run
// concurrently, and one store call in five fails.
var _ = Describe("History", func() {
	It("contains every reported record exactly once after concurrent seals", func(ctx SpecContext) {
		for seed := range uint64(40) {
			runHistory(ctx, seed)
		}
	})
})

// runHistory runs one seed: the producers append until two concurrent seals fence
// the writer, while another goroutine replays the journal during compaction.
func runHistory(ctx context.Context, seed uint64) {
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
	w := fencedlog.NewWriter(faulty(1), clock, discardLog, "a1", fastSettings)
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
			// No commit takes effect after the seal, so the replay must not
			// change any more.
			first := replayAll(ctx, base)
			time.Sleep(time.Millisecond)
			Expect(replayAll(ctx, base)).To(Equal(first), "seed %d", seed)
		})
	}
	wait.Go(func() { // replays while segments are compacted
		defer GinkgoRecover()
		for sealed.Load() < 2 {
			_, err := base.Get(ctx, fencedlog.HeadKey("a1"))
			if err == nil {
				checkOrder(replayAll(ctx, base), seed)
			}
		}
	})
	wait.Wait()
	Expect(sealed.Load()).To(Equal(int32(2)))

	count := checkOrder(replayAll(ctx, base), seed)
	for p := range producers {
		Expect(count[fmt.Sprint("p", p)]).To(BeNumerically(">=", acked[p]), "seed %d: record lost", seed)
	}
}

// checkOrder checks that the sequence numbers of each program are 1 to n, and
// returns n for each program.
func checkOrder(records []fencedlog.Record, seed uint64) map[string]uint64 {
	count := map[string]uint64{}
	for _, r := range records {
		count[r.Program]++
		Expect(r.Seq).To(Equal(count[r.Program]), "seed %d: gap or duplicate in %s", seed, r.Program)
	}
	return count
}

// produce appends the records of one program until the writer is fenced, and
// returns how many were reported as committed.
func produce(ctx context.Context, w *fencedlog.Writer, program string) uint64 {
	for seq := uint64(1); ; seq++ {
		reply := ring.New[fencedlog.Completion](1)
		request := fencedlog.Append{Records: []fencedlog.Record{record(program, seq)}, Reply: reply}
		if w.Appends().Push(ctx, request) != nil {
			return seq - 1
		}
		c, err := reply.Pop(ctx)
		if _, ok := c.(fencedlog.Committed); err != nil || !ok {
			return seq - 1
		}
	}
}

// answerQueries answers that all records are needed, so that compaction rewrites
// all of them.
func answerQueries(ctx context.Context, w *fencedlog.Writer) {
	o := &owner{}
	for !o.fenced {
		c, err := w.Completions().Pop(ctx)
		if err != nil {
			return
		}
		o.handle(w, c, func(fencedlog.Record) bool { return true })
	}
}

func replayAll(ctx context.Context, store kvstore.Store) []fencedlog.Record {
	records, err := fencedlog.Replay(ctx, store, "a1", allShards)
	Expect(err).NotTo(HaveOccurred())
	return records
}
