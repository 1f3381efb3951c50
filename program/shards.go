package program

import (
	"time"

	"dogwoodline.example/outcome"
)

// maxHeld bounds the requests that wait for one shard.
const maxHeld = 1024

func (t *Table) shard(number int) *shard {
	s, ok := t.shards[number]
	if !ok {
		s = &shard{number: number}
		t.shards[number] = s
	}
	return s
}

// Phase returns what this node does for a shard.
func (t *Table) Phase(number int) Phase {
	if s, ok := t.shards[number]; ok {
		return s.phase
	}
	return Absent
}

// admitRequest reports whether a request can be handled now. Requests for
// shards of other nodes are answered as moved; requests for shards that are
// being adopted or moved wait.
func (t *Table) admitRequest(programID string, request heldRequest, out *Effects) (*shard, bool) {
	s, ok := t.shards[t.shardOf(programID)]
	if !ok || s.phase == Absent {
		out.reply(request.waiter, Reply{Moved: true, Outcome: outcome.DidNotRun(outcome.NoOwner, retryAfter)})
		return nil, false
	}
	if s.phase == Serving || s.phase == Moving && t.isRepeat(programID, request) {
		return s, true
	}
	if len(s.held) >= maxHeld {
		out.refuse(request.waiter, outcome.DidNotRun(outcome.Overloaded, retryAfter))
		return nil, false
	}
	s.held = append(s.held, request)
	return nil, false
}

// isRepeat reports whether the request attaches to a call that runs here. It
// is answered even while the shard moves, since it starts no work.
func (t *Table) isRepeat(programID string, request heldRequest) bool {
	p, ok := t.programs[programID]
	if !ok || request.call == nil {
		return false
	}
	c, ok := p.calls[request.call.RequestID]
	return ok && c.phase != callInterrupted
}

// SetEpoch tells a number that is greater for each later owner of the shard. It
// is called before Serve.
func (t *Table) SetEpoch(number, epoch int) {
	s := t.shard(number)
	s.epoch = max(s.epoch, epoch)
}

// Serve takes calls for a shard and handles the requests that waited.
func (t *Table) Serve(now time.Time, number int, out *Effects) {
	s := t.shard(number)
	s.phase = Serving
	s.settled = false
	s.told = false
	held := s.held
	s.held = nil
	for _, request := range held {
		t.handleHeld(now, request, out)
	}
}

func (t *Table) handleHeld(now time.Time, request heldRequest, out *Effects) {
	switch {
	case request.call != nil:
		t.Call(now, *request.call, request.query == "stream", request.waiter, out)
	case request.start != nil:
		t.Start(now, *request.start, request.waiter, out)
	case request.finish != "":
		t.End(now, request.finish, request.tenant, request.waiter, out)
	default:
		t.History(request.query, request.tenant, request.waiter, out)
	}
}

// Move asks a shard to finish its running calls. Effects.Idle names it once
// nothing runs and its handoff records are durable.
func (t *Table) Move(number int, out *Effects) {
	s := t.shard(number)
	if s.phase != Serving {
		return
	}
	s.phase = Moving
	t.checkIdle(s, out)
}

// checkIdle moves on a shard that is asked to move: first its handoff records
// are appended, then it is reported as idle.
func (t *Table) checkIdle(s *shard, out *Effects) {
	if s.phase != Moving || s.busy > 0 || s.told {
		return
	}
	if s.settled {
		s.told = true
		out.Idle = append(out.Idle, s.number)
		return
	}
	var records []Record
	for _, p := range t.programs {
		if p.shard != s || p.ended {
			continue
		}
		p.seq++
		records = append(records, Record{Program: p.spec.ID, Seq: p.seq, Ceiling: p.account.Propose(0), Handoff: &Handoff{}})
	}
	if len(records) == 0 {
		s.settled = true
		s.told = true
		out.Idle = append(out.Idle, s.number)
		return
	}
	t.append(out, appended{kind: handoffAppend, shard: s}, records...)
}

// Drop gives up a shard that another node owns now. Its callers are answered
// as moved and repeat their requests there.
func (t *Table) Drop(number int, out *Effects) {
	s, ok := t.shards[number]
	if !ok {
		return
	}
	delete(t.shards, number)
	moved := Reply{Moved: true, Outcome: outcome.DidNotRun(outcome.NoOwner, retryAfter)}
	for _, request := range s.held {
		out.reply(request.waiter, moved)
	}
	for id, p := range t.programs {
		if p.shard == s {
			t.dropProgram(p, moved, out)
			delete(t.programs, id)
		}
	}
	for tag, what := range t.pending {
		if what.shard == s {
			delete(t.pending, tag) // a late commit must not start a call here
		}
	}
}

func (t *Table) dropProgram(p *state, moved Reply, out *Effects) {
	for _, waiter := range append(p.starters, p.enders...) {
		out.reply(waiter, moved)
	}
	for _, c := range p.calls {
		if c.id != 0 {
			out.Withdrawn = append(out.Withdrawn, c.id)
			delete(t.running, c.id)
		}
		delete(t.active, c)
		for _, who := range c.waiters {
			out.reply(who.waiter, moved)
		}
	}
}

// DropAll gives up every shard, after the journal was lost to another node.
func (t *Table) DropAll(out *Effects) {
	for number := range t.shards {
		t.Drop(number, out)
	}
}

// ShardOf returns the shard of a program.
func (t *Table) ShardOf(programID string) int { return t.shardOf(programID) }
