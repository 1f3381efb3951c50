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

// opInput is one operation on the resource. Each write has unique content, so
// the content identifies the version; empty content means that the resource
// does not exist.
type opInput struct {
	read     bool
	expected string
	content  string
}

// opOutput is the result of an operation.
type opOutput struct {
	outcome outcome.Outcome
	content string // what a read returned
}

// state is the resource in the sequential specification. lastExpected is the
// content that the last write expected: a second deletion of the same version
// is a retry of the first.
type state struct {
	content      string
	lastExpected string
}

// register is the sequential specification: a compare-and-swap register in
// which a write with an unknown outcome may or may not have taken effect.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(before, input, output any) []any {
		current, in, out := before.(state), input.(opInput), output.(opOutput)
		next := state{content: in.content, lastExpected: in.expected}
		switch {
		case out.outcome.Code == outcome.NotRun:
			return []any{current}
		case in.read && out.content == current.content:
			return []any{current}
		case in.read:
			return nil
		case out.outcome.Code == outcome.Completed && (current.content == in.expected || current == next):
			return []any{next}
		case out.outcome.Reason == outcome.Conflict && current.content != in.expected && current != next:
			return []any{current}
		case out.outcome.Code == outcome.Unknown && current.content == in.expected:
			return []any{current, next}
		case out.outcome.Code == outcome.Unknown:
			return []any{current}
		}
		return nil
	},
}

// operator writes and reads one resource through one node and records its
// operations for the linearizability check.
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
		in := opInput{expected: content, content: fmt.Sprintf("%d-%d", o.number, i)}
		deletes := version != kvstore.Absent && o.random.IntN(4) == 0
		if deletes {
			in.content = ""
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.random.IntN(20))*time.Millisecond)
		callTime := time.Since(o.start)
		var result config.Result
		if deletes {
			result = o.node.Delete(ctx, poolID, version)
		} else {
			result = o.node.Put(ctx, write(in.content, version))
		}
		cancel()
		o.record(in, opOutput{outcome: result.Outcome}, callTime)
		if result.Outcome.Code == outcome.Completed {
			version, content = result.Version, in.content
		} else {
			version, content = o.read()
		}
	}
}

func (o *operator) read() (kvstore.Version, string) {
	for {
		callTime := time.Since(o.start)
		result := o.node.Read(context.Background(), poolID)
		if result.Outcome.Code != outcome.Completed {
			continue
		}
		content := ""
		if !result.Change.Deleted {
			content = modelOf(result)
		}
		o.record(opInput{read: true}, opOutput{outcome: result.Outcome, content: content}, callTime)
		return result.Version, content
	}
}

func (o *operator) record(in opInput, out opOutput, callTime time.Duration) {
	returnTime := time.Since(o.start)
	if out.outcome.Code == outcome.Unknown {
		returnTime = time.Hour // the write may still take effect later
	}
	o.history = append(o.history, porcupine.Operation{
		ClientId: o.number, Input: in, Output: out, Call: int64(callTime), Return: int64(returnTime),
	})
}

var _ = Describe("the history of one resource", func() {
	// Guards against an accepted write that is lost, a rejected write that took
	// effect, and snapshots that return to an older version.
	It("is linearizable under lost answers, refused calls and timeouts, and no snapshot returns to an older version", func() {
		c := newCluster(clockwork.NewRealClock())
		nodes := c.addReady(3)
		c.store.mu.Lock()
		c.store.lossProbability, c.store.refusalProbability = 0.3, 0.1
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
