package program_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// rig is a test harness around a Table. It collects the effects and lets a test
// decide which appended batches become durable.
type rig struct {
	table       *program.Table
	now         time.Time
	out         program.Effects
	uncommitted []program.Append
	durable     [][]byte
	dispatched  []program.Dispatch
	replies     map[program.WaiterID]program.Reply
	chunks      map[program.WaiterID]string
	idle        []int
	lastWaiter  program.WaiterID
}

func newRig() *rig {
	r := &rig{
		table:   program.NewTable(func(string) int { return 0 }, noRules{}),
		now:     time.Unix(1_000_000, 0),
		replies: map[program.WaiterID]program.Reply{},
		chunks:  map[program.WaiterID]string{},
	}
	r.table.Serve(r.now, 0, &r.out)
	return r
}

// noRules is a Rules that allows all calls and leaves them unchanged.
type noRules struct{}

func (noRules) Apply(program.Spec, []program.Message, *program.Call) *outcome.Outcome { return nil }

// collectEffects collects and resets the effects of the last step.
func (r *rig) collectEffects() {
	r.uncommitted = append(r.uncommitted, r.out.Appends...)
	r.dispatched = append(r.dispatched, r.out.Dispatches...)
	for _, reply := range r.out.Replies {
		r.replies[reply.Waiter] = reply.Reply
	}
	for _, chunk := range r.out.Chunks {
		r.chunks[chunk.Waiter] += chunk.Chunk.Text
	}
	r.idle = append(r.idle, r.out.Idle...)
	r.out.Reset()
}

// commit makes all appended batches durable, including those that are appended
// in consequence.
func (r *rig) commit() {
	for len(r.uncommitted) > 0 {
		batch := r.uncommitted[0]
		r.uncommitted = r.uncommitted[1:]
		for _, record := range batch.Records {
			r.durable = append(r.durable, record.Encode())
		}
		r.table.Committed(r.now, batch.Tag, &r.out)
		r.collectEffects()
	}
}

// takeover returns a rig of the next owner, which starts from the durable records
// only.
func (r *rig) takeover() *rig {
	next := newRig()
	next.now = r.now
	next.durable = r.durable
	Expect(next.table.Adopt(next.now, 0, r.durable, &next.out)).To(Succeed())
	next.table.Serve(next.now, 0, &next.out)
	next.collectEffects()
	return next
}

func (r *rig) newWaiter() program.WaiterID {
	r.lastWaiter++
	return r.lastWaiter
}

func (r *rig) start(spec program.Spec) program.WaiterID {
	w := r.newWaiter()
	r.table.Start(r.now, spec, w, &r.out)
	r.collectEffects()
	return w
}

func (r *rig) call(c program.Call) program.WaiterID {
	w := r.newWaiter()
	if c.Deadline.IsZero() {
		c.Deadline = r.now.Add(time.Minute)
	}
	r.table.Call(r.now, c, true, w, &r.out)
	r.collectEffects()
	return w
}

func (r *rig) finish(d program.Dispatch, result program.Result) {
	r.table.Finished(r.now, d.ID, result, &r.out)
	r.collectEffects()
}

// lastDispatch returns the latest dispatch.
func (r *rig) lastDispatch() program.Dispatch {
	Expect(r.dispatched).NotTo(BeEmpty())
	return r.dispatched[len(r.dispatched)-1]
}

func spec(id string, limit budget.Units) program.Spec {
	return program.Spec{ID: id, Tenant: "t", Class: "c", Limit: limit, TurnLimit: 100, IdleLease: time.Hour}
}

// serviceCall returns a call of service ledger that is not idempotent.
func serviceCall(order int, id string) program.Call {
	return program.Call{Program: "p", RequestID: id, Order: order, Kind: program.Service, Service: "ledger",
		Operation: "post", WorstCost: 10, Digest: "d" + id, Tenant: "t"}
}

// modelCall returns a model call, which is idempotent.
func modelCall(order int, id string) program.Call {
	c := serviceCall(order, id)
	c.Kind, c.Idempotent, c.Service = program.Model, true, ""
	c.Messages = []program.Message{{Role: "user", Content: id}}
	return c
}

func completed(answer string, cost budget.Units) program.Result {
	return program.Result{Outcome: outcome.Outcome{Code: outcome.Completed}, Answer: []byte(answer), Cost: cost}
}

var _ = Describe("Table", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig()
		r.start(spec("p", 100))
		r.commit()
	})

	It("runs calls in the program's order, whatever order they arrive in", func() {
		r.call(serviceCall(2, "b"))
		r.commit()
		Expect(r.dispatched).To(BeEmpty())
		r.call(serviceCall(1, "a"))
		r.commit()
		Expect(r.dispatched).To(HaveLen(1))
		Expect(r.lastDispatch().Call.RequestID).To(Equal("a"))
		r.finish(r.lastDispatch(), completed("x", 1))
		r.commit()
		Expect(r.lastDispatch().Call.RequestID).To(Equal("b"))
	})

	It("sends a non-idempotent call only after its intent is durable", func() {
		r.call(serviceCall(1, "a"))
		Expect(r.dispatched).To(BeEmpty())
		r.commit()
		Expect(r.dispatched).To(HaveLen(1))
	})

	It("answers a repeated request from its record and refuses a different request with the same id", func() {
		r.call(serviceCall(1, "a"))
		r.commit()
		r.finish(r.lastDispatch(), completed("paid", 3))
		r.commit()
		again := r.call(serviceCall(1, "a"))
		Expect(r.dispatched).To(HaveLen(1))
		Expect(string(r.replies[again].Answer)).To(Equal("paid"))
		Expect(r.replies[again].Recorded).To(BeTrue())
		other := serviceCall(1, "a")
		other.Digest = "else"
		Expect(r.replies[r.call(other)].Outcome.Reason).To(Equal(outcome.Conflict))
	})

	It("never sends a non-idempotent call again after a takeover", func() {
		r.call(serviceCall(1, "a"))
		r.commit()
		Expect(r.dispatched).To(HaveLen(1))
		next := r.takeover()
		w := next.call(serviceCall(1, "a"))
		next.commit()
		Expect(next.dispatched).To(BeEmpty())
		Expect(next.replies[w].Outcome.Code).To(Equal(outcome.Unknown))
	})

	It("asks the service what became of an interrupted call when it can answer", func() {
		c := serviceCall(1, "a")
		c.Lookup = true
		r.call(c)
		r.commit()
		next := r.takeover()
		w := next.call(c)
		next.commit()
		Expect(next.lastDispatch().LookupOnly).To(BeTrue())
		next.finish(next.lastDispatch(), completed("paid", 3))
		next.commit()
		Expect(string(next.replies[w].Answer)).To(Equal("paid"))
	})

	It("runs an interrupted idempotent call again and shows the new attempt", func() {
		r.call(modelCall(1, "a"))
		r.commit()
		r.table.Chunk(r.lastDispatch().ID, program.Chunk{Attempt: 1, Text: "old"}, &r.out)
		next := r.takeover()
		resumed := modelCall(1, "a")
		resumed.Offset, resumed.Attempt = 3, 1
		w := next.call(resumed)
		next.commit()
		Expect(next.lastDispatch().Attempt).To(Equal(2))
		next.table.Chunk(next.lastDispatch().ID, program.Chunk{Attempt: 2, Text: "new answer"}, &next.out)
		next.collectEffects()
		Expect(next.chunks[w]).To(Equal("new answer"))
	})

	It("gives attempts of successive owners different numbers, even if the earlier owner left no record", func() {
		w := r.call(modelCall(1, "a"))
		r.uncommitted = nil // the owner is lost before its intent is durable
		next := r.takeover()
		next.table.SetEpoch(0, 7)
		next.call(modelCall(1, "a"))
		next.commit()
		Expect(r.replies).NotTo(HaveKey(w))
		Expect(next.lastDispatch().Attempt).To(BeNumerically(">", 64))
		earlier := modelCall(1, "a")
		earlier.Attempt, earlier.Offset = 1, 10
		again := next.call(earlier)
		next.table.Chunk(next.lastDispatch().ID, program.Chunk{Attempt: next.lastDispatch().Attempt, Text: "whole new text"}, &next.out)
		next.collectEffects()
		Expect(next.chunks[again]).To(Equal("whole new text"), "not only the part after the 10 bytes of the earlier attempt")
	})

	It("says not run when the intent cannot be recorded in time, and a takeover does not run it", func() {
		c := serviceCall(1, "a")
		c.Deadline = r.now.Add(time.Second)
		w := r.call(c)
		r.now = r.now.Add(2 * time.Second)
		r.table.Tick(r.now, &r.out)
		r.collectEffects()
		Expect(r.replies[w].Outcome.Code).To(Equal(outcome.NotRun))
		r.commit() // the intent becomes durable late
		Expect(r.dispatched).To(BeEmpty())
		next := r.takeover()
		next.commit()
		Expect(next.dispatched).To(BeEmpty())
	})

	It("sends a finished answer as not recorded while the store is down", func() {
		p := spec("q", 100)
		p.BudgetAhead = 50
		r.start(p)
		r.commit()
		c := modelCall(1, "a")
		c.Program = "q"
		w := r.call(c)
		Expect(r.dispatched).To(HaveLen(1), "the durable ceiling covers the call")
		r.finish(r.lastDispatch(), completed("hi", 5))
		Expect(r.replies).NotTo(HaveKey(w))
		r.now = r.now.Add(time.Second)
		r.table.Tick(r.now, &r.out)
		r.collectEffects()
		Expect(r.replies[w].Outcome.Code).To(Equal(outcome.Completed))
		Expect(r.replies[w].Recorded).To(BeFalse())
	})

	It("refuses a call whose worst case does not fit, and lets children draw on one share", func() {
		r.start(spec("p.1", 60))
		r.start(spec("p.2", 30))
		r.commit()
		over := r.start(spec("p.3", 20))
		Expect(r.replies[over].Outcome.Code).To(Equal(outcome.OverBudget))
		w := r.call(serviceCall(1, "a")) // 10 of the remaining 10
		r.commit()
		r.finish(r.lastDispatch(), completed("", 10))
		r.commit()
		Expect(r.replies[w].Outcome.Code).To(Equal(outcome.Completed))
		Expect(r.replies[r.call(serviceCall(2, "b"))].Outcome.Code).To(Equal(outcome.OverBudget))
		r.table.End(r.now, "p.1", "t", r.newWaiter(), &r.out)
		r.collectEffects()
		r.commit()
		r.call(serviceCall(2, "b"))
		r.commit()
		Expect(r.lastDispatch().Call.RequestID).To(Equal("b"), "the unspent share returns to the parent")
	})

	It("counts everything below the durable ceiling as spent after a takeover", func() {
		r.call(serviceCall(1, "a"))
		r.commit()
		next := r.takeover()
		w := next.newWaiter()
		next.table.History("p", "t", w, &next.out)
		next.collectEffects()
		Expect(next.replies[w].Info.Account.Spent).To(BeEquivalentTo(10))
		Expect(next.replies[w].Info.Account.Reserved).To(BeZero())
	})

	It("loses no budget in a planned move", func() {
		p := spec("q", 100)
		p.BudgetAhead = 50
		r.start(p)
		r.commit()
		r.table.Move(0, &r.out)
		r.collectEffects()
		Expect(r.idle).To(BeEmpty(), "the handoff records are not durable yet")
		r.commit()
		Expect(r.idle).To(Equal([]int{0}))
		next := r.takeover()
		w := next.newWaiter()
		next.table.History("q", "t", w, &next.out)
		next.collectEffects()
		Expect(next.replies[w].Info.Account.Spent).To(BeZero())
	})

	It("holds new calls while a shard moves and answers them as moved", func() {
		running := r.call(serviceCall(1, "a"))
		r.commit()
		r.table.Move(0, &r.out)
		held := r.call(serviceCall(2, "b"))
		Expect(r.idle).To(BeEmpty())
		r.finish(r.lastDispatch(), completed("x", 1))
		r.commit()
		Expect(r.replies[running].Outcome.Code).To(Equal(outcome.Completed))
		Expect(r.idle).NotTo(BeEmpty())
		r.table.Drop(0, &r.out)
		r.collectEffects()
		Expect(r.replies[held].Moved).To(BeTrue())
	})

	It("refuses a request that crashed a second backend server while it ran alone", func() {
		crash := program.Result{Outcome: outcome.Outcome{Code: outcome.Failed, Reason: outcome.ConnectionLost}, Backend: "b1", Crashed: true}
		w := r.call(modelCall(1, "a"))
		r.commit()
		Expect(r.lastDispatch().Alone).To(BeFalse())
		r.finish(r.lastDispatch(), crash)
		r.commit()
		Expect(r.lastDispatch().Alone).To(BeTrue())
		r.finish(r.lastDispatch(), crash)
		r.commit()
		Expect(r.replies[w].Outcome.Reason).To(Equal(outcome.CrashesBackend))
		again := modelCall(2, "b")
		again.Digest = "da"
		Expect(r.replies[r.call(again)].Outcome.Reason).To(Equal(outcome.CrashesBackend))
	})

	It("clears the crash count of a request that completes after a crash", func() {
		r.call(modelCall(1, "a"))
		r.commit()
		r.finish(r.lastDispatch(), program.Result{Outcome: outcome.Outcome{Code: outcome.Failed, Reason: outcome.ConnectionLost}, Crashed: true})
		r.commit()
		r.finish(r.lastDispatch(), completed("fine", 5))
		r.commit()
		again := modelCall(2, "b")
		again.Digest = "da"
		r.call(again)
		r.commit()
		Expect(r.lastDispatch().Alone).To(BeFalse())
	})

	It("sends a second copy only when its worst case is durable, and counts both", func() {
		r.call(modelCall(1, "a"))
		r.commit()
		Expect(r.table.Hedge(r.lastDispatch().ID, &r.out)).To(BeTrue())
		Expect(r.out.Hedges).To(BeEmpty())
		r.collectEffects()
		batch := r.uncommitted[0]
		r.table.Committed(r.now, batch.Tag, &r.out)
		Expect(r.out.Hedges).To(Equal([]program.CallID{r.lastDispatch().ID}))
		Expect(r.table.Hedge(r.lastDispatch().ID, &r.out)).To(BeFalse(), "a third copy is refused")
		r.uncommitted = nil
		r.collectEffects()
		r.finish(r.lastDispatch(), completed("x", 15))
		r.commit()
		w := r.newWaiter()
		r.table.History("p", "t", w, &r.out)
		r.collectEffects()
		Expect(r.replies[w].Info.Account.Spent).To(BeEquivalentTo(15))
		Expect(r.replies[w].Info.Account.Reserved).To(BeZero())
	})

	It("refuses a call of another tenant", func() {
		c := serviceCall(1, "a")
		c.Tenant = "other"
		Expect(r.replies[r.call(c)].Outcome.Reason).To(Equal(outcome.Forbidden))
	})

	It("stops an endless program at its turn limit", func() {
		p := spec("loop", 1000)
		p.TurnLimit = 2
		r.start(p)
		r.commit()
		var w program.WaiterID
		for i := 1; i <= 3; i++ {
			c := serviceCall(i, strconv.Itoa(i))
			c.Program = "loop"
			w = r.call(c)
			r.commit()
			if i <= 2 {
				r.finish(r.lastDispatch(), completed("", 1))
				r.commit()
			}
		}
		Expect(r.replies[w].Outcome.Reason).To(Equal(outcome.TurnLimit))
	})

	It("refuses damaged records without changing anything", func() {
		next := newRig()
		err := next.table.Adopt(next.now, 0, append(r.durable, []byte(`{"p":"x","s":1}`)), &next.out)
		Expect(err).To(MatchError(program.ErrBadRecord))
		Expect(next.table.HasProgram("p")).To(BeFalse())
	})

	It("replays records in any order and with repetitions to the same state", func() {
		for i := 1; i <= 3; i++ {
			r.call(serviceCall(i, fmt.Sprint(i)))
			r.commit()
			r.finish(r.lastDispatch(), completed(fmt.Sprint("answer", i), 2))
			r.commit()
		}
		for i, j := 0, len(r.durable)-1; i < j; i, j = i+1, j-1 {
			r.durable[i], r.durable[j] = r.durable[j], r.durable[i]
		}
		r.durable = append(r.durable, r.durable...)
		next := r.takeover()
		w := next.newWaiter()
		next.table.History("p", "t", w, &next.out)
		next.collectEffects()
		info := next.replies[w].Info
		Expect(info.History).To(HaveLen(3))
		Expect(info.Next).To(Equal(4))
		Expect(info.Account.Spent).To(BeEquivalentTo(6))
	})
})
