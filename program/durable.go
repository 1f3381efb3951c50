package program

import (
	"sort"
	"time"

	"dogwoodline.example/outcome"
)

// Committed handles the notice that an appended batch is durable and continues
// what waited for it.
func (t *Table) Committed(now time.Time, tag Tag, out *Effects) {
	batch, ok := t.pending[tag]
	if !ok {
		return
	}
	delete(t.pending, tag)
	batch.shard.inFlight--
	for _, p := range batch.programs {
		p.account.ConfirmCeiling()
	}
	switch batch.kind {
	case startAppend:
		t.startDurable(batch, out)
	case intentAppend:
		t.intentDurable(now, batch, out)
	case resultAppend:
		t.resultDurable(batch.call, out)
	case crashAppend:
		t.sendAgain(batch.call, out)
	case endAppend:
		t.endDurable(batch.program, out)
	case handoffAppend:
		batch.shard.handoffDurable = true
	case hedgeAppend:
		if c := batch.call; c.phase == callRunning && c.attempt == batch.attempt {
			out.Hedges = append(out.Hedges, c.id)
		}
	case notRunAppend:
	}
	t.checkIdle(batch.shard, out)
}

func (t *Table) startDurable(batch pendingAppend, out *Effects) {
	p := batch.program
	p.recorded = true
	for _, waiter := range p.startWaiters {
		out.reply(waiter, Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Recorded: true, Info: p.info(false)})
	}
	p.startWaiters = nil
	t.admitNext(p, out)
}

func (t *Table) intentDurable(now time.Time, batch pendingAppend, out *Effects) {
	c := batch.call
	if c.phase != callRecording || c.attempt != batch.attempt {
		return // already dispatched, or dropped
	}
	if !now.Before(c.Deadline) {
		t.dropUnsent(c, outcome.NewNotRun(outcome.DeadlineExceeded, retryAfter), out)
		return
	}
	t.dispatch(c, false, out)
}

// dropUnsent drops a call whose intent may be durable but that was never sent.
func (t *Table) dropUnsent(c *call, o outcome.Outcome, out *Effects) {
	c.settle(0)
	t.recordNotRun(c, o, out)
	t.dropCall(c, o, out)
}

func (t *Table) resultDurable(c *call, out *Effects) {
	if c.phase != callFinished {
		return
	}
	c.phase = callDone
	c.recorded = true
	delete(t.active, c)
	t.answerWaiters(c, out)
}

func (t *Table) sendAgain(c *call, out *Effects) {
	if c.phase != callRecovering {
		return
	}
	c.nextAttempt()
	t.dispatch(c, false, out)
}

func (t *Table) endDurable(p *programState, out *Effects) {
	for _, waiter := range p.endWaiters {
		out.reply(waiter, Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Recorded: true, Info: p.info(false)})
	}
	p.endWaiters = nil
}

// Detach removes a caller that disconnected from all calls. The calls continue.
func (t *Table) Detach(waiter WaiterID) {
	for c := range t.active {
		kept := c.waiters[:0]
		for _, w := range c.waiters {
			if w.waiter != waiter {
				kept = append(kept, w)
			}
		}
		c.waiters = kept
	}
}

// Tick does the work that depends on time. It drops calls whose deadline passed
// before they were sent, answers finished calls whose record is late, marks the
// engine memory of programs idle past their lease as no longer needed, and
// deletes ended programs after endedRetention.
func (t *Table) Tick(now time.Time, out *Effects) {
	for c := range t.active {
		t.tickCall(now, c, out)
	}
	for id, p := range t.programs {
		t.tickProgram(now, id, p)
	}
	for _, s := range t.shards {
		t.checkIdle(s, out)
	}
}

func (t *Table) tickCall(now time.Time, c *call, out *Effects) {
	late := !now.Before(c.Deadline)
	switch c.phase {
	case callWaiting:
		if late {
			t.dropCall(c, outcome.NewNotRun(outcome.DeadlineExceeded, retryAfter), out)
		}
	case callRecording:
		if late {
			t.dropUnsent(c, outcome.NewNotRun(outcome.NotRecordable, retryAfter), out)
		}
	case callFinished:
		if now.Sub(c.finishedAt) >= maxRecordWait && !c.answeredUnrecorded {
			c.answeredUnrecorded = true
			t.answerWaiters(c, out)
		}
	case callRunning, callRecovering, callInterrupted, callDone:
	}
}

func (t *Table) tickProgram(now time.Time, id string, p *programState) {
	if p.ended {
		if now.Sub(p.endedAt) >= endedRetention {
			delete(t.programs, id)
		}
		return
	}
	if now.Sub(p.lastUsed) >= p.spec.IdleLease && len(p.byOrder) == 0 {
		p.cacheReleased = true
	}
}

// LivePrograms returns the programs whose engine memory is still needed, and the
// shards that are served here. It says nothing about programs of other shards.
func (t *Table) LivePrograms() (programs map[string]struct{}, served map[int]struct{}) {
	programs = make(map[string]struct{}, len(t.programs))
	for id, p := range t.programs {
		if !p.ended && !p.cacheReleased {
			programs[id] = struct{}{}
		}
	}
	served = make(map[int]struct{}, len(t.shards))
	for number, s := range t.shards {
		if s.phase == Serving {
			served[number] = struct{}{}
		}
	}
	return programs, served
}

// HasProgram reports whether the table holds the program, so that its records are
// still needed.
func (t *Table) HasProgram(programID string) bool {
	_, ok := t.programs[programID]
	return ok
}

// Counts returns the number of programs, and the number of calls that wait, run
// or have no durable outcome yet.
func (t *Table) Counts() (programs, calls int) {
	return len(t.programs), len(t.active)
}

// Adopt replaces the state of a shard by a replay of its records. Requests for
// the shard are held until Serve. Records may come in any order and more than
// once. It returns ErrBadRecord, and changes nothing, if a record cannot be
// decoded.
func (t *Table) Adopt(now time.Time, number int, encoded [][]byte, out *Effects) error {
	records, err := decodeAll(encoded)
	if err != nil {
		return err
	}
	t.Drop(number, out)
	s := t.shard(number)
	s.phase = Adopting
	var adopted []*programState
	for i := range records {
		p := t.apply(now, s, &records[i])
		if p != nil {
			adopted = append(adopted, p)
		}
	}
	for _, p := range adopted {
		p.account.Recover()
	}
	return nil
}

// decodeAll decodes the records and sorts them by sequence number.
func decodeAll(encoded [][]byte) ([]Record, error) {
	records := make([]Record, 0, len(encoded))
	for _, data := range encoded {
		r, err := DecodeRecord(data)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].Seq < records[j].Seq })
	return records, nil
}

// apply replays one record. It returns the program if the record starts it, and
// nil otherwise.
func (t *Table) apply(now time.Time, s *shard, r *Record) *programState {
	p := t.programs[r.Program]
	if r.Started != nil && p == nil {
		p = newProgramState(now, *r.Started, s)
		p.recorded = true
		p.lastSeq = r.Seq
		p.account.Ceiling = r.Ceiling
		t.programs[r.Program] = p
		return p
	}
	if p == nil || r.Seq <= p.lastSeq {
		return nil
	}
	p.lastSeq = r.Seq
	p.account.Ceiling = r.Ceiling
	switch {
	case r.Intent != nil:
		p.applyIntent(r.Intent)
	case r.Ended != nil:
		p.applyEnded(r.Ended)
	case r.Crash != nil:
		t.NoteCrash(*r.Crash)
	case r.ChildOpened != nil:
		p.children[r.ChildOpened.ID] = r.ChildOpened.Limit
		p.account.Reserved += r.ChildOpened.Limit
	case r.ChildClosed != nil:
		delete(p.children, r.ChildClosed.ID)
		p.account.Settle(r.ChildClosed.Limit, r.ChildClosed.Spent)
	case r.Handoff != nil, r.Hedge != nil: // only the ceiling matters
	case r.Final != nil:
		p.ended = true
		p.endedAt = time.UnixMilli(r.Final.UnixMS)
	}
	return nil
}

// applyIntent replays an intent: the call counts as interrupted unless a later
// record has its outcome.
func (p *programState) applyIntent(intent *Intent) {
	c, ok := p.calls[intent.Call.RequestID]
	if !ok {
		c = &call{Call: intent.Call, program: p}
	}
	c.phase = callInterrupted
	c.attempt = intent.Attempt
	if former := p.byOrder[c.Order]; former != nil && former != c {
		delete(p.calls, former.RequestID) // it did not run and that record was lost
	}
	p.calls[c.RequestID] = c
	p.byOrder[c.Order] = c
}

// applyEnded replays the outcome of a call. A call that did not run is forgotten,
// which frees its order number.
func (p *programState) applyEnded(ended *CallEnded) {
	c, ok := p.calls[ended.RequestID]
	if !ok {
		return
	}
	if ended.Outcome.ProvablyNotRun() {
		delete(p.calls, c.RequestID)
		if p.byOrder[c.Order] == c {
			delete(p.byOrder, c.Order)
		}
		return
	}
	c.phase = callDone
	c.recorded = true
	c.outcome = ended.Outcome
	c.answer = ended.Answer
	c.spent = ended.Spent
	c.attempt = ended.Attempt
	if c.outcome.Code == outcome.Completed && c.Kind == Model {
		c.partial = c.answer
	}
	p.account.Spent += ended.Spent
	p.advance(c)
}
