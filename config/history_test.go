package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/config"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/outcome"
)

// step is one operation on the resource. Contents are unique, so they stand
// for versions; the empty content means that the resource does not exist.
type step struct {
	read     bool
	expected string
	content  string
}

type ending struct {
	outcome outcome.Outcome
	content string // what a read returned
}

// state is the resource as the specification sees it. replaced is what the
// last write expected: two deletions of the same version are one write.
type state struct {
	content  string
	replaced string
}

// register is the specification: a compare-and-swap register whose writes
// with an unknown outcome may have taken effect.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(before, input, output any) []any {
		now, in, out := before.(state), input.(step), output.(ending)
		next := state{content: in.content, replaced: in.expected}
		switch {
		case out.outcome.Code == outcome.NotRun:
			return []any{now}
		case in.read && out.content == now.content:
			return []any{now}
		case in.read:
			return nil
		case out.outcome.Code == outcome.Completed && (now.content == in.expected || now == next):
			return []any{next}
		case out.outcome.Reason == outcome.Conflict && now.content != in.expected && now != next:
			return []any{now}
		case out.outcome.Code == outcome.Unknown && now.content == in.expected:
			return []any{now, next}
		case out.outcome.Code == outcome.Unknown:
			return []any{now}
		}
		return nil
	},
}

// operator writes and reads one resource through one node.
type operator struct {
	node    *config.Config
	number  int
	random  *rand.Rand
	start   time.Time
	history []porcupine.Operation
}

func (o *operator) run(steps int) {
	version, content := kvstore.Absent, ""
	for i := range steps {
		if o.random.IntN(3) == 0 {
			version, content = o.read()
			continue
		}
		in := step{expected: content, content: fmt.Sprintf("%d-%d", o.number, i)}
		deletes := version != kvstore.Absent && o.random.IntN(4) == 0
		if deletes {
			in.content = ""
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.random.IntN(20))*time.Millisecond)
		began := time.Since(o.start)
		var result config.Result
		if deletes {
			result = o.node.Delete(ctx, poolID, version)
		} else {
			result = o.node.Put(ctx, write(in.content, version))
		}
		cancel()
		o.record(in, ending{outcome: result.Outcome}, began)
		if result.Outcome.Code == outcome.Completed {
			version, content = result.Version, in.content
		} else {
			version, content = o.read()
		}
	}
}

func (o *operator) read() (kvstore.Version, string) {
	for {
		began := time.Since(o.start)
		result := o.node.Read(context.Background(), poolID)
		if result.Outcome.Code != outcome.Completed {
			continue
		}
		content := ""
		if !result.Change.Deleted {
			content = modelOf(result)
		}
		o.record(step{read: true}, ending{outcome: result.Outcome, content: content}, began)
		return result.Version, content
	}
}

func (o *operator) record(in step, out ending, began time.Duration) {
	ended := time.Since(o.start)
	if out.outcome.Code == outcome.Unknown {
		ended = time.Hour // it may still take effect
	}
	o.history = append(o.history, porcupine.Operation{
		ClientId: o.number, Input: in, Output: out, Call: int64(began), Return: int64(ended),
	})
}

var _ = Describe("the history of one resource", func() {
	// Guards against an accepted write that is lost, a refused one that took
	// effect, and snapshots that go back to an older version.
	It("is linearizable under lost answers, refusals and timeouts, and no snapshot goes back", func() {
		c := newCluster(clockwork.NewRealClock())
		nodes := c.addReady(3)
		c.store.mu.Lock()
		c.store.loss, c.store.refusal = 0.3, 0.1
		c.store.mu.Unlock()
		var ended, reverted atomic.Bool
		var samplers, operators sync.WaitGroup
		for _, node := range nodes {
			samplers.Go(func() {
				for last := kvstore.Absent; !ended.Load(); time.Sleep(100 * time.Microsecond) {
					change, _ := node.Snapshot().Change(poolID)
					if change.Version < last {
						reverted.Store(true)
					}
					last = change.Version
				}
			})
		}
		var all []*operator
		for i := range 6 {
			o := &operator{node: nodes[i%3], number: i, random: rand.New(rand.NewPCG(uint64(i), 3))}
			all = append(all, o)
		}
		start := time.Now()
		for _, o := range all {
			o.start = start
			operators.Go(func() { o.run(25) })
		}
		operators.Wait()
		ended.Store(true)
		samplers.Wait()
		var history []porcupine.Operation
		for _, o := range all {
			history = append(history, o.history...)
		}
		result := porcupine.CheckOperationsTimeout(register.ToModel(), history, time.Minute)
		Expect(result).To(Equal(porcupine.Ok))
		Expect(reverted.Load()).To(BeFalse())
	})
})
