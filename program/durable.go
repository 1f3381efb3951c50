package program

import (
	"sort"
	"time"

	"dogwoodline.example/outcome"
)

// Committed notes that an appended batch is durable.
func (t *Table) Committed(now time.Time, tag Tag, out *Effects) {
	what, ok := t.pending[tag]
	if !ok {
		return
	}
	delete(t.pending, tag)
	what.shard.busy--
	for _, owner := range what.owners {
		owner.account.Confirm()
	}
	switch what.kind {
	case startAppend:
		t.started(what, out)
	case intentAppend:
		t.intentDurable(now, what, out)
	case resultAppend:
		t.resultDurable(what.call, out)
	case crashAppend:
		t.sendAgain(what.call, out)
	case endAppend:
		t.endDurable(what.program, out)
	case handoffAppend:
		what.shard.settled = true
	case hedgeAppend:
		if c := what.call; c.phase == callRunning && c.attempt == what.attempt {
			out.Hedges = append(out.Hedges, c.id)
		}
	case noteAppend:
	}
	t.checkIdle(what.shard, out)
}

func (t *Table) started(what appended, out *Effects) {
	p := what.program
	p.recorded = true
	for _, waiter := range p.starters {
		out.reply(waiter, Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Recorded: true, Info: p.info(false)})
	}
	p.starters = nil
	t.admitNext(p, out)
}

func (t *Table) intentDurable(now time.Time, what appended, out *Effects) {
	c := what.call
	if c.phase != callRecording || c.attempt != what.attempt {
		return // dispatched already, or given up
	}
	if !now.Before(c.Deadline) {
		t.giveUp(c, outcome.DidNotRun(outcome.DeadlineExceeded, retryAfter), out)
		return
	}
	t.dispatch(c, false, out)
}

// giveUp ends a call whose intent may be durable but that was never sent.
func (t *Table) giveUp(c *call, o outcome.Outcome, out *Effects) {
	c.settle(0)
	t.recordNotRun(c, o, out)
	t.drop(c, o, out)
}

func (t *Table) resultDurable(c *call, out *Effects) {
	if c.phase != callFinished {
		return
	}
	c.phase = callDone
	c.recorded = true
	delete(t.active, c)
	t.answer(c, out)
}

func (t *Table) sendAgain(c *call, out *Effects) {
	if c.phase != callRecovering {
		return
	}
	c.nextAttempt()
	t.dispatch(c, false, out)
}

func (t *Table) endDurable(p *state, out *Effects) {
	for _, waiter := range p.enders {
		out.reply(waiter, Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Recorded: true, Info: p.info(false)})
	}
	p.enders = nil
}

// Detach forgets a caller that went away. Its call goes on.
func (t *Table) Detach(waiter Waiter) {
	for c := range t.active {
		kept := c.waiters[:0]
		for _, who := range c.waiters {
			if who.waiter != waiter {
				kept = append(kept, who)
			}
		}
		c.waiters = kept
	}
}

// Tick ends calls whose deadline passed before they were sent, answers
// finished calls whose record is late, and gives up the engine memory of
// programs that are idle past their lease.
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
			t.drop(c, outcome.DidNotRun(outcome.DeadlineExceeded, retryAfter), out)
		}
	case callRecording:
		if late {
			t.giveUp(c, outcome.DidNotRun(outcome.NotRecordable, retryAfter), out)
		}
	case callFinished:
		if now.Sub(c.finishedAt) >= pendingWait && !c.toldEarly {
			c.toldEarly = true
			t.answer(c, out)
		}
	case callRunning, callRecovering, callInterrupted, callDone:
	}
}

func (t *Table) tickProgram(now time.Time, id string, p *state) {
	if p.ended {
		if now.Sub(p.endedAt) >= endedKept {
			delete(t.programs, id)
		}
		return
	}
	if now.Sub(p.lastUsed) >= p.spec.IdleLease && len(p.byOrder) == 0 {
		p.released = true
	}
}

// Living returns the programs whose engine memory is needed, and the shards
// that are served here. Nothing is known of programs of other shards.
func (t *Table) Living() (programs map[string]struct{}, served map[int]struct{}) {
	programs = make(map[string]struct{}, len(t.programs))
	for id, p := range t.programs {
		if !p.ended && !p.released {
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

// Known reports whether records of the program are still needed.
func (t *Table) Known(programID string) bool {
	_, ok := t.programs[programID]
	return ok
}

// Counts returns the number of programs, and of calls that wait, run or are
// not recorded yet.
func (t *Table) Counts() (programs, calls int) {
	return len(t.programs), len(t.active)
}

// Adopt replays the records of a shard, in place of what the table has for it.
// Requests for the shard wait until Serve. Records may come in any order and
// more than once. It returns ErrBadRecord, and changes nothing, when a record
// cannot be decoded.
func (t *Table) Adopt(now time.Time, number int, encoded [][]byte, out *Effects) error {
	records, err := decodeAll(encoded)
	if err != nil {
		return err
	}
	t.Drop(number, out)
	home := t.shard(number)
	home.phase = Adopting
	var adopted []*state
	for i := range records {
		p := t.apply(now, home, &records[i])
		if p != nil {
			adopted = append(adopted, p)
		}
	}
	for _, p := range adopted {
		p.account.Recover()
	}
	return nil
}

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

// apply replays one record. It returns the program when the record starts it.
func (t *Table) apply(now time.Time, home *shard, r *Record) *state {
	p := t.programs[r.Program]
	if r.Started != nil && p == nil {
		p = newState(now, *r.Started, home)
		p.recorded = true
		p.seq = r.Seq
		p.account.Ceiling = r.Ceiling
		t.programs[r.Program] = p
		return p
	}
	if p == nil || r.Seq <= p.seq {
		return nil
	}
	p.seq = r.Seq
	p.account.Ceiling = r.Ceiling
	switch {
	case r.Intent != nil:
		p.applyIntent(r.Intent)
	case r.Ended != nil:
		p.applyEnded(r.Ended)
	case r.Crash != nil:
		t.NoteCrash(*r.Crash)
	case r.Child != nil:
		p.children[r.Child.ID] = r.Child.Limit
		p.account.Reserved += r.Child.Limit
	case r.Closed != nil:
		delete(p.children, r.Closed.ID)
		p.account.Settle(r.Closed.Limit, r.Closed.Spent)
	case r.Handoff != nil, r.Hedge != nil: // carry a ceiling only
	case r.Final != nil:
		p.ended = true
		p.endedAt = time.UnixMilli(r.Final.UnixMS)
	}
	return nil
}

func (p *state) applyIntent(intent *Intent) {
	c, ok := p.calls[intent.Call.RequestID]
	if !ok {
		c = &call{Call: intent.Call, program: p}
	}
	c.phase = callInterrupted
	c.attempt = intent.Attempt
	if former := p.byOrder[c.Order]; former != nil && former != c {
		delete(p.calls, former.RequestID) // it ended as not run and its note was lost
	}
	p.calls[c.RequestID] = c
	p.byOrder[c.Order] = c
}

func (p *state) applyEnded(ended *CallEnded) {
	c, ok := p.calls[ended.RequestID]
	if !ok {
		return
	}
	if ended.Outcome.MayRetry() {
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
