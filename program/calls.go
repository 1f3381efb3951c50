package program

import (
	"time"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
)

// callPhase is the state of a call.
type callPhase int

const (
	// callWaiting calls wait for their turn in the program's order.
	callWaiting callPhase = iota
	// callRecording calls wait for their intent to become durable.
	callRecording
	// callRunning calls are dispatched and have no result yet.
	callRunning
	// callRecovering calls lost their backend server and wait until the crash
	// record is durable before they are sent again.
	callRecovering
	// callFinished calls have an outcome that is not durable yet.
	callFinished
	// callInterrupted calls were replayed with an intent but no result. They
	// wait for the caller to repeat the request.
	callInterrupted
	// callDone calls have a durable outcome or were cancelled.
	callDone
)

// call is the state of a call on this node.
type call struct {
	Call
	program            *programState
	id                 CallID // 0 unless the call is dispatched
	phase              callPhase
	attempt            int          // number of the latest attempt, see nextAttempt
	sent               int          // number of attempts by this owner
	alone              bool         // runs alone on its backend server
	reserved           budget.Units // not yet settled budget reservation
	refusals           int          // number of backend servers that refused it without running it
	exclude            []string     // backend servers that refused or lost it
	partial            []byte       // answer of the latest attempt as far as received
	waiters            []attachedWaiter
	outcome            outcome.Outcome
	answer             []byte
	spent              budget.Units
	recorded           bool
	finishedAt         time.Time
	answeredUnrecorded bool // the answer was sent before its record was durable
}

// attachedWaiter is a waiter that receives the answer of a call, in parts if
// stream is set.
type attachedWaiter struct {
	waiter WaiterID
	stream bool
}

// Call handles a call request, new or repeated. If stream is true, the answer
// is also delivered in chunks as it arrives.
func (t *Table) Call(now time.Time, request Call, stream bool, waiter WaiterID, out *Effects) {
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
	p.cacheReleased = false
	if known, exists := p.calls[request.RequestID]; exists {
		t.handleRepeatedCall(now, known, request, attachedWaiter{waiter, stream}, out)
		return
	}
	if refusal := t.checkNew(p, request); refusal != nil {
		out.refuse(waiter, *refusal)
		return
	}
	c := &call{Call: request, program: p, waiters: []attachedWaiter{{waiter, stream}}}
	p.calls[request.RequestID] = c
	p.byOrder[request.Order] = c
	t.active[c] = struct{}{}
	t.admitNext(p, out)
}

// checkNew returns why a call with an unknown request id is refused, or nil.
func (t *Table) checkNew(p *programState, request Call) *outcome.Outcome {
	refuse := func(o outcome.Outcome) *outcome.Outcome { return &o }
	switch {
	case p.ended:
		return refuse(outcome.NewInvalid(outcome.ProgramEnded, "the program has ended"))
	case request.Order < p.nextOrder || p.byOrder[request.Order] != nil:
		return refuse(outcome.NewInvalid(outcome.Conflict, "the order number is used by another request"))
	case request.Order >= p.nextOrder+orderWindow:
		return refuse(outcome.NewNotRun(outcome.Overloaded, retryAfter))
	case request.Order > p.spec.TurnLimit:
		return refuse(outcome.Outcome{Code: outcome.OverBudget, Reason: outcome.TurnLimit, Detail: "the class allows no more turns"})
	case t.crashes[request.Digest] >= maxCrashes:
		return refuse(outcome.NewInvalid(outcome.CrashesBackend, "the same request crashed two backend servers"))
	}
	return nil
}

// handleRepeatedCall handles a request whose id is known: it attaches the caller
// to the call or replies with its outcome. The call is run again only if it is
// idempotent and was interrupted by a change of owner.
func (t *Table) handleRepeatedCall(now time.Time, c *call, request Call, w attachedWaiter, out *Effects) {
	if c.Digest != request.Digest || c.Order != request.Order {
		out.refuse(w.waiter, outcome.NewInvalid(outcome.Conflict, "the request id was used for another request"))
		return
	}
	if c.phase == callDone || c.answeredUnrecorded {
		t.sendMissingPart(c, request, w, out)
		out.reply(w.waiter, c.reply())
		return
	}
	c.waiters = append(c.waiters, w)
	t.sendMissingPart(c, request, w, out)
	if c.phase == callInterrupted {
		c.Deadline = request.Deadline
		t.resumeInterrupted(now, c, out)
		return
	}
	if request.Deadline.After(c.Deadline) {
		c.Deadline = request.Deadline
	}
}

// sendMissingPart sends a streaming caller the part of the answer so far that
// it does not have. A caller that has part of an earlier attempt receives the
// latest attempt from its beginning, so that the texts of two attempts are never
// mixed.
func (t *Table) sendMissingPart(c *call, request Call, w attachedWaiter, out *Effects) {
	if !w.stream {
		return
	}
	offset := request.Offset
	if request.Attempt != c.attempt || offset > len(c.partial) {
		offset = 0
	}
	if offset < len(c.partial) {
		chunk := Chunk{Attempt: c.attempt, Offset: offset, Text: string(c.partial[offset:])}
		out.Chunks = append(out.Chunks, WaiterChunk{Waiter: w.waiter, Chunk: chunk})
	}
}

// resumeInterrupted continues a call whose intent comes from a former owner. An
// idempotent call is run again. For another call the service is asked for the
// outcome if it supports lookup; otherwise the outcome is unknown.
func (t *Table) resumeInterrupted(now time.Time, c *call, out *Effects) {
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
	t.finishCall(now, c, Result{Outcome: outcome.Outcome{Code: outcome.Unknown, Reason: outcome.ConnectionLost,
		Detail: "the owner was lost after the intent was recorded"}}, out)
}

// admitNext starts the call with the next order number if it is waiting: it
// applies the rules, reserves the worst-case cost and appends the intent. An
// idempotent call below the durable budget ceiling is sent at once, without
// waiting for its intent to be durable.
func (t *Table) admitNext(p *programState, out *Effects) {
	c := p.byOrder[p.nextOrder]
	if c == nil || c.phase != callWaiting || p.ended {
		return
	}
	if refusal := t.rules.Apply(p.spec, c.conversation(), &c.Call); refusal != nil {
		t.dropCall(c, *refusal, out)
		return
	}
	if err := p.account.Reserve(c.WorstCost); err != nil {
		t.dropCall(c, outcome.Outcome{Code: outcome.OverBudget, Detail: err.Error()}, out)
		return
	}
	c.reserved = c.WorstCost
	t.recordIntent(c, out)
	sendNow := c.Idempotent && p.account.WithinCeiling() || !durableIntents
	if sendNow && p.recorded {
		t.dispatch(c, false, out)
	}
}

// recordIntent begins the next attempt of a call and appends its intent.
func (t *Table) recordIntent(c *call, out *Effects) {
	p := c.program
	c.phase = callRecording
	c.nextAttempt()
	record := p.nextRecord()
	record.Intent = &Intent{Call: c.Call, Attempt: c.attempt}
	t.appendRecords(out, pendingAppend{kind: intentAppend, program: p, call: c, attempt: c.attempt}, record)
}

// nextAttempt begins an attempt with a new number. The numbers of an owner
// start from a base that depends on its epoch, because an attempt of a former
// owner may have reached a caller without being recorded. If two attempts had
// the same number, the caller would join parts of different answers.
func (c *call) nextAttempt() {
	c.attempt = max(c.attempt, c.program.shard.epoch*attemptsPerEpoch) + 1
	c.sent++
	c.partial = nil
}

// dispatch marks a call as running and adds it to Effects.Dispatches. A call
// whose digest has a crash count must run alone.
func (t *Table) dispatch(c *call, askOnly bool, out *Effects) {
	p := c.program
	t.lastCall++
	c.id = t.lastCall
	c.phase = callRunning
	c.alone = t.crashes[c.Digest] > 0
	t.running[c.id] = c
	p.shard.inFlight++
	out.Dispatches = append(out.Dispatches, Dispatch{
		ID: c.id, Call: &c.Call, Tenant: p.spec.Tenant, Class: p.spec.Class, Attempt: c.attempt,
		Attained:     int64(t.attainedService(p)),
		Conversation: c.conversation(),
		Alone:        c.alone,
		Exclude:      c.exclude,
		LookupOnly:   askOnly,
	})
}

// attainedService returns what the program spent and, for a child, also what
// its root program spent.
func (t *Table) attainedService(p *programState) budget.Units {
	spent := p.account.Spent
	if root, ok := t.programs[Root(p.spec.ID)]; ok && root != p {
		spent += root.account.Spent
	}
	return spent
}

// conversation returns the earlier messages of the program for a model call. It
// returns nil for a service call, which does not need them, to avoid copying a
// long history.
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

// Chunk handles a part of a running call's answer and forwards what is new to
// the streaming callers. Chunks of calls that are no longer running, of another
// attempt, or beyond a gap are dropped.
func (t *Table) Chunk(id CallID, chunk Chunk, out *Effects) {
	c, ok := t.running[id]
	if !ok || chunk.Attempt != c.attempt || chunk.Offset > len(c.partial) {
		return
	}
	overlap := len(c.partial) - chunk.Offset
	if overlap >= len(chunk.Text) {
		return
	}
	chunk.Offset += overlap
	chunk.Text = chunk.Text[overlap:]
	c.partial = append(c.partial, chunk.Text...)
	for _, w := range c.waiters {
		if w.stream {
			out.Chunks = append(out.Chunks, WaiterChunk{Waiter: w.waiter, Chunk: chunk})
		}
	}
}

// Finished handles the result of a dispatched call. Results of withdrawn calls
// are ignored.
func (t *Table) Finished(now time.Time, id CallID, result Result, out *Effects) {
	c, ok := t.running[id]
	if !ok {
		return // withdrawn
	}
	t.stopRunning(c)
	switch {
	case result.Outcome.Code == outcome.NotRun:
		t.handleNotRun(now, c, result, out)
	case result.Outcome.Code == outcome.Failed && result.Outcome.Reason == outcome.ConnectionLost && c.Idempotent:
		t.handleConnectionLost(now, c, result, out)
	default:
		t.finishCall(now, c, result, out)
	}
	t.checkIdle(c.program.shard, out)
}

func (t *Table) stopRunning(c *call) {
	delete(t.running, c.id)
	c.id = 0
	c.program.shard.inFlight--
}

// finishCall sets the outcome of a call, appends its record and starts the next
// call. The answer waits until the record is durable or maxRecordWait has
// passed. An unknown outcome costs the worst case.
func (t *Table) finishCall(now time.Time, c *call, result Result, out *Effects) {
	p := c.program
	if result.Outcome.Code == outcome.Unknown {
		result.Cost = c.WorstCost
	}
	c.settle(result.Cost)
	c.phase = callFinished
	c.outcome = result.Outcome
	c.answer = result.Answer
	c.finishedAt = now
	p.lastUsed = now
	if result.Outcome.Code == outcome.Completed {
		delete(t.crashes, c.Digest) // it was not the cause of the earlier crash
	}
	record := p.nextRecord()
	record.Ended = &CallEnded{RequestID: c.RequestID, Outcome: c.outcome, Answer: c.answer, Spent: c.spent, Attempt: c.attempt}
	t.appendRecords(out, pendingAppend{kind: resultAppend, program: p, call: c}, record)
	p.advance(c)
	t.admitNext(p, out)
}

// advance moves a call to the history and makes the following order number the
// next one.
func (p *programState) advance(c *call) {
	p.history = append(p.history, c)
	delete(p.byOrder, c.Order)
	p.nextOrder = c.Order + 1
}

// dropCall refuses a call that did not run and frees its request id and order
// number.
func (t *Table) dropCall(c *call, o outcome.Outcome, out *Effects) {
	p := c.program
	delete(p.calls, c.RequestID)
	delete(p.byOrder, c.Order)
	delete(t.active, c)
	for _, w := range c.waiters {
		out.refuse(w.waiter, o)
	}
	c.waiters = nil
}

// cancelCall cancels a call because its program ends, and withdraws it if it is
// dispatched.
func (t *Table) cancelCall(c *call, out *Effects) {
	if c.id != 0 {
		out.Withdrawn = append(out.Withdrawn, c.id)
		t.stopRunning(c)
	}
	c.phase = callDone
	c.outcome = outcome.Outcome{Code: outcome.Cancelled, Reason: outcome.ProgramEnded}
	delete(t.active, c)
	t.answerWaiters(c, out)
}

func (c *call) reply() Reply {
	return Reply{Outcome: c.outcome, Answer: c.answer, Recorded: c.recorded, Attempt: c.attempt, Spent: c.spent, Class: c.program.spec.Class}
}

// answerWaiters sends the reply of a call to all callers that wait for it.
func (t *Table) answerWaiters(c *call, out *Effects) {
	for _, w := range c.waiters {
		out.reply(w.waiter, c.reply())
	}
	c.waiters = nil
}
