package program

import (
	"time"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
)

type callPhase int

const (
	// callWaiting calls wait for their turn in the program's order.
	callWaiting callPhase = iota
	// callRecording calls wait for their intent to become durable.
	callRecording
	// callRunning calls were dispatched.
	callRunning
	// callRecovering calls lost a backend server and wait for the record of
	// the crash before they are sent again.
	callRecovering
	// callFinished calls have an outcome that is not durable yet.
	callFinished
	// callInterrupted calls have an intent from a former owner and no result.
	callInterrupted
	// callDone calls have a durable outcome.
	callDone
)

type call struct {
	Call
	program    *state
	id         CallID
	phase      callPhase
	attempt    int          // grows over owners, see nextAttempt
	sent       int          // attempts by this owner
	alone      bool         // runs without neighbours on its backend server
	reserved   budget.Units // still set aside for this call
	refusals   int
	exclude    []string
	partial    []byte
	waiters    []attached
	outcome    outcome.Outcome
	answer     []byte
	spent      budget.Units
	recorded   bool
	finishedAt time.Time
	toldEarly  bool
}

type attached struct {
	waiter Waiter
	stream bool
}

// Call takes a request of a program. Stream asks for the answer in parts.
func (t *Table) Call(now time.Time, request Call, stream bool, waiter Waiter, out *Effects) {
	held := heldRequest{waiter: waiter, call: &request}
	if stream {
		held.query = "stream"
	}
	if _, ok := t.admitRequest(request.Program, held, out); !ok {
		return
	}
	p, ok := t.lookup(request.Program, request.Tenant, waiter, out)
	if !ok {
		return
	}
	p.lastUsed = now
	p.released = false
	if known, exists := p.calls[request.RequestID]; exists {
		t.repeat(now, known, request, attached{waiter, stream}, out)
		return
	}
	if refusal := t.checkNew(p, request); refusal != nil {
		out.refuse(waiter, *refusal)
		return
	}
	c := &call{Call: request, program: p, waiters: []attached{{waiter, stream}}}
	p.calls[request.RequestID] = c
	p.byOrder[request.Order] = c
	t.active[c] = struct{}{}
	t.admitNext(p, out)
}

func (t *Table) checkNew(p *state, request Call) *outcome.Outcome {
	refuse := func(o outcome.Outcome) *outcome.Outcome { return &o }
	switch {
	case p.ended:
		return refuse(outcome.Refuse(outcome.Ended, "the program has ended"))
	case request.Order < p.next || p.byOrder[request.Order] != nil:
		return refuse(outcome.Refuse(outcome.Conflict, "the order number is used by another request"))
	case request.Order >= p.next+orderWindow:
		return refuse(outcome.DidNotRun(outcome.Overloaded, retryAfter))
	case request.Order > p.spec.TurnLimit:
		return refuse(outcome.Outcome{Code: outcome.OverBudget, Reason: outcome.TurnLimit, Detail: "the class allows no more turns"})
	case t.crashes[request.Digest] >= maxCrashes:
		return refuse(outcome.Refuse(outcome.CrashesBackend, "the same request crashed two backend servers"))
	}
	return nil
}

// repeat handles a request id that is known. A request never runs again from
// here unless it is idempotent and was interrupted by a change of owner.
func (t *Table) repeat(now time.Time, c *call, request Call, who attached, out *Effects) {
	if c.Digest != request.Digest || c.Order != request.Order {
		out.refuse(who.waiter, outcome.Refuse(outcome.Conflict, "the request id was used for another request"))
		return
	}
	if c.phase == callDone || c.toldEarly {
		t.sendTail(c, request, who, out)
		out.reply(who.waiter, c.reply())
		return
	}
	c.waiters = append(c.waiters, who)
	t.sendTail(c, request, who, out)
	if c.phase == callInterrupted {
		c.Deadline = request.Deadline
		t.resume(now, c, out)
		return
	}
	if request.Deadline.After(c.Deadline) {
		c.Deadline = request.Deadline
	}
}

// sendTail sends a streaming caller what it lacks of the answer so far. A
// caller that has part of an earlier attempt gets the present one from its
// beginning, so that two attempts are never mixed.
func (t *Table) sendTail(c *call, request Call, who attached, out *Effects) {
	if !who.stream {
		return
	}
	offset := request.Offset
	if request.Attempt != c.attempt || offset > len(c.partial) {
		offset = 0
	}
	if offset < len(c.partial) {
		chunk := Chunk{Attempt: c.attempt, Offset: offset, Text: string(c.partial[offset:])}
		out.Chunks = append(out.Chunks, WaiterChunk{Waiter: who.waiter, Chunk: chunk})
	}
}

// resume continues a call whose intent comes from a former owner.
func (t *Table) resume(now time.Time, c *call, out *Effects) {
	t.active[c] = struct{}{}
	if c.Idempotent {
		c.phase = callWaiting
		t.admitNext(c.program, out)
		return
	}
	if c.Lookup {
		t.dispatch(c, true, out)
		return
	}
	t.end(now, c, Result{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.ConnectionLost,
		Detail: "the owner was lost after the intent was recorded"}}, out)
}

// admitNext starts the call whose turn it is.
func (t *Table) admitNext(p *state, out *Effects) {
	c := p.byOrder[p.next]
	if c == nil || c.phase != callWaiting || p.ended {
		return
	}
	if refusal := t.rules.Apply(p.spec, c.conversation(), &c.Call); refusal != nil {
		t.drop(c, *refusal, out)
		return
	}
	if err := p.account.Reserve(c.Worst); err != nil {
		t.drop(c, outcome.Outcome{Code: outcome.OverBudget, Detail: err.Error()}, out)
		return
	}
	c.reserved = c.Worst
	t.recordIntent(c, out)
	ahead := c.Idempotent && p.account.Covered() || !durableIntents
	if ahead && p.recorded {
		t.dispatch(c, false, out)
	}
}

func (t *Table) recordIntent(c *call, out *Effects) {
	p := c.program
	c.phase = callRecording
	c.nextAttempt()
	intent := p.record()
	intent.Intent = &Intent{Call: c.Call, Attempt: c.attempt}
	t.append(out, appended{kind: intentAppend, program: p, call: c, attempt: c.attempt}, intent)
}

// nextAttempt numbers the next attempt. The numbers of one owner start from its
// epoch, because an attempt of a former owner may have reached a caller
// without being recorded: two texts under one number would be mixed.
func (c *call) nextAttempt() {
	c.attempt = max(c.attempt, c.program.shard.epoch*attemptsPerEpoch) + 1
	c.sent++
	c.partial = nil
}

func (t *Table) dispatch(c *call, askOnly bool, out *Effects) {
	p := c.program
	t.lastCall++
	c.id = t.lastCall
	c.phase = callRunning
	c.alone = t.crashes[c.Digest] > 0
	t.running[c.id] = c
	p.shard.busy++
	out.Dispatches = append(out.Dispatches, Dispatch{
		ID: c.id, Call: &c.Call, Tenant: p.spec.Tenant, Class: p.spec.Class, Attempt: c.attempt,
		Attained:     int64(t.attained(p)),
		Conversation: c.conversation(),
		Alone:        c.alone,
		Exclude:      c.exclude,
		AskOnly:      askOnly,
	})
}

func (t *Table) attained(p *state) budget.Units {
	spent := p.account.Spent
	if root, ok := t.programs[Root(p.spec.ID)]; ok && root != p {
		spent += root.account.Spent
	}
	return spent
}

// conversation returns the messages before a model call. A service call reads
// none, and a long history is not copied for it.
func (c *call) conversation() []Message {
	if c.Kind != Model {
		return nil
	}
	var messages []Message
	for _, earlier := range c.program.history {
		if earlier.Kind != Model || earlier.outcome.Code != outcome.Completed {
			continue
		}
		messages = append(messages, earlier.Messages...)
		messages = append(messages, Message{Role: "assistant", Content: string(earlier.answer)})
	}
	return messages
}

// Chunk takes a part of a running call's answer. Parts of calls that no
// longer run, or of another attempt, are dropped.
func (t *Table) Chunk(id CallID, chunk Chunk, out *Effects) {
	c, ok := t.running[id]
	if !ok || chunk.Attempt != c.attempt || chunk.Offset > len(c.partial) {
		return
	}
	fresh := len(c.partial) - chunk.Offset
	if fresh >= len(chunk.Text) {
		return
	}
	chunk.Offset += fresh
	chunk.Text = chunk.Text[fresh:]
	c.partial = append(c.partial, chunk.Text...)
	for _, who := range c.waiters {
		if who.stream {
			out.Chunks = append(out.Chunks, WaiterChunk{Waiter: who.waiter, Chunk: chunk})
		}
	}
}

// Finished takes the result of a dispatched call.
func (t *Table) Finished(now time.Time, id CallID, result Result, out *Effects) {
	c, ok := t.running[id]
	if !ok {
		return // withdrawn
	}
	t.stopRunning(c)
	switch {
	case result.Outcome.Code == outcome.NotRun:
		t.refused(now, c, result, out)
	case result.Outcome.Code == outcome.Failed && result.Outcome.Reason == outcome.ConnectionLost && c.Idempotent:
		t.lost(now, c, result, out)
	default:
		t.end(now, c, result, out)
	}
	t.checkIdle(c.program.shard, out)
}

func (t *Table) stopRunning(c *call) {
	delete(t.running, c.id)
	c.id = 0
	c.program.shard.busy--
}

// end gives a call its outcome and starts the next one. The answer waits for
// the record.
func (t *Table) end(now time.Time, c *call, result Result, out *Effects) {
	p := c.program
	if result.Outcome.Code == outcome.Unknown {
		result.Cost = c.Worst
	}
	c.settle(result.Cost)
	c.phase = callFinished
	c.outcome = result.Outcome
	c.answer = result.Answer
	c.finishedAt = now
	p.lastUsed = now
	if result.Outcome.Code == outcome.Completed {
		delete(t.crashes, c.Digest) // it merely ran beside a crash
	}
	ended := p.record()
	ended.Ended = &CallEnded{RequestID: c.RequestID, Outcome: c.outcome, Answer: c.answer, Spent: c.spent, Attempt: c.attempt}
	t.append(out, appended{kind: resultAppend, program: p, call: c}, ended)
	p.advance(c)
	t.admitNext(p, out)
}

func (p *state) advance(c *call) {
	p.history = append(p.history, c)
	delete(p.byOrder, c.Order)
	p.next = c.Order + 1
}

// drop answers a call that did not run and frees its order number.
func (t *Table) drop(c *call, o outcome.Outcome, out *Effects) {
	p := c.program
	delete(p.calls, c.RequestID)
	delete(p.byOrder, c.Order)
	delete(t.active, c)
	for _, who := range c.waiters {
		out.refuse(who.waiter, o)
	}
	c.waiters = nil
}

// cancel withdraws a call because its program ends.
func (t *Table) cancel(c *call, out *Effects) {
	if c.id != 0 {
		out.Withdrawn = append(out.Withdrawn, c.id)
		t.stopRunning(c)
	}
	c.phase = callDone
	c.outcome = outcome.Outcome{Code: outcome.Cancelled, Reason: outcome.Ended}
	delete(t.active, c)
	t.answer(c, out)
}

func (c *call) reply() Reply {
	return Reply{Outcome: c.outcome, Answer: c.answer, Recorded: c.recorded, Attempt: c.attempt, Spent: c.spent, Class: c.program.spec.Class}
}

func (t *Table) answer(c *call, out *Effects) {
	for _, who := range c.waiters {
		out.reply(who.waiter, c.reply())
	}
	c.waiters = nil
}
