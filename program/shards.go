package program

import (
	"time"

	"dogwoodline.example/outcome"
)

// maxHeld bounds the held requests of one shard.
const maxHeld = 1024

// shard returns the state of a shard and creates it if needed.
func (t *Table) shard(number int) *shard {
	s, ok := t.shards[number]
	if !ok {
		s = &shard{number: number}
		t.shards[number] = s
	}
	return s
}

// Phase returns the phase of a shard on this node.
func (t *Table) Phase(number int) Phase {
	if s, ok := t.shards[number]; ok {
		return s.phase
	}
	return Absent
}

// admitRequest reports whether a request can be handled now. Requests for
// shards of other nodes are answered as moved; requests for shards that are
// being adopted or moved are held, up to maxHeld.
func (t *Table) admitRequest(programID string, request heldRequest, out *Effects) (*shard, bool) {
	s, ok := t.shards[t.shardOf(programID)]
	if !ok || s.phase == Absent {
		out.reply(request.waiter, Reply{Moved: true, Outcome: outcome.NewNotRun(outcome.NoOwner, retryAfter)})
		return nil, false
	}
	if s.phase == Serving || s.phase == Moving && t.isRepeat(programID, request) {
		return s, true
	}
	if len(s.held) >= maxHeld {
		out.refuse(request.waiter, outcome.NewNotRun(outcome.Overloaded, retryAfter))
		return nil, false
	}
	s.held = append(s.held, request)
	return nil, false
}

// isRepeat reports whether the request repeats a known call that was not
// interrupted. Such a request is handled even while the shard moves, since it
// starts no new work.
func (t *Table) isRepeat(programID string, request heldRequest) bool {
	p, ok := t.programs[programID]
	if !ok || request.call == nil {
		return false
	}
	c, ok := p.calls[request.call.RequestID]
	return ok && c.phase != callInterrupted
}

// SetEpoch sets the epoch of this node's ownership of the shard. Each later
// owner has a greater epoch. It is called before Serve.
func (t *Table) SetEpoch(number, epoch int) {
	s := t.shard(number)
	s.epoch = max(s.epoch, epoch)
}

// Serve starts to serve a shard and handles its held requests.
func (t *Table) Serve(now time.Time, number int, out *Effects) {
	s := t.shard(number)
	s.phase = Serving
	s.handoffDurable = false
	s.reportedIdle = false
	held := s.held
	s.held = nil
	for _, request := range held {
		t.handleHeld(now, request, out)
	}
}

// handleHeld handles a request that was held.
func (t *Table) handleHeld(now time.Time, request heldRequest, out *Effects) {
	switch {
	case request.call != nil:
		t.Call(now, *request.call, request.query == "stream", request.waiter, out)
	case request.start != nil:
		t.Start(now, *request.start, request.waiter, out)
	case request.endID != "":
		t.End(now, request.endID, request.tenant, request.waiter, out)
	default:
		t.History(request.query, request.tenant, request.waiter, out)
	}
}

// Move starts the planned move of a shard: its running calls finish and new
// requests are held. The shard is listed in Effects.Idle once nothing runs and
// its handoff records are durable.
func (t *Table) Move(number int, out *Effects) {
	s := t.shard(number)
	if s.phase != Serving {
		return
	}
	s.phase = Moving
	t.checkIdle(s, out)
}

// checkIdle continues the move of a shard for which nothing is running or being
// recorded: it first appends the handoff records and, once they are durable,
// reports the shard as idle.
func (t *Table) checkIdle(s *shard, out *Effects) {
	if s.phase != Moving || s.inFlight > 0 || s.reportedIdle {
		return
	}
	if s.handoffDurable {
		s.reportedIdle = true
		out.Idle = append(out.Idle, s.number)
		return
	}
	var records []Record
	for _, p := range t.programs {
		if p.shard != s || p.ended {
			continue
		}
		p.lastSeq++
		records = append(records, Record{Program: p.spec.ID, Seq: p.lastSeq, Ceiling: p.account.ProposeCeiling(0), Handoff: &Handoff{}})
	}
	if len(records) == 0 {
		s.handoffDurable = true
		s.reportedIdle = true
		out.Idle = append(out.Idle, s.number)
		return
	}
	t.appendRecords(out, pendingAppend{kind: handoffAppend, shard: s}, records...)
}

// Drop removes a shard that another node owns now. Its callers receive a reply
// with Moved set and repeat their requests at the new owner.
func (t *Table) Drop(number int, out *Effects) {
	s, ok := t.shards[number]
	if !ok {
		return
	}
	delete(t.shards, number)
	moved := Reply{Moved: true, Outcome: outcome.NewNotRun(outcome.NoOwner, retryAfter)}
	for _, request := range s.held {
		out.reply(request.waiter, moved)
	}
	for id, p := range t.programs {
		if p.shard == s {
			t.dropProgram(p, moved, out)
			delete(t.programs, id)
		}
	}
	for tag, batch := range t.pending {
		if batch.shard == s {
			delete(t.pending, tag) // a late commit must not start a call here
		}
	}
}

// dropProgram withdraws the calls of a program of a dropped shard and replies to
// all its callers.
func (t *Table) dropProgram(p *programState, moved Reply, out *Effects) {
	for _, waiter := range append(p.startWaiters, p.endWaiters...) {
		out.reply(waiter, moved)
	}
	for _, c := range p.calls {
		if c.id != 0 {
			out.Withdrawn = append(out.Withdrawn, c.id)
			delete(t.running, c.id)
		}
		delete(t.active, c)
		for _, w := range c.waiters {
			out.reply(w.waiter, moved)
		}
	}
}

// DropAll removes every shard. It is called after another node has fenced this
// node's journal.
func (t *Table) DropAll(out *Effects) {
	for number := range t.shards {
		t.Drop(number, out)
	}
}

// ShardOf returns the number of the shard of a program.
func (t *Table) ShardOf(programID string) int { return t.shardOf(programID) }
