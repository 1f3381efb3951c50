package node

import (
	"context"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/program"
)

// flush carries out what the table decided.
func (p *programs) flush(ctx context.Context) {
	for _, batch := range p.out.Appends {
		p.record(batch)
	}
	for _, d := range p.out.Dispatches {
		p.submit(ctx, d)
	}
	for _, id := range p.out.Hedges {
		p.sendHedge(ctx, id)
	}
	for _, id := range p.out.Withdrawn {
		p.withdraw(ctx, id)
	}
	for _, chunk := range p.out.Chunks {
		p.stream(chunk)
	}
	for _, reply := range p.out.Replies {
		p.reply(reply)
	}
	if len(p.out.Crashes) > 0 {
		p.notify(ctx, notice{kind: crashCountsChanged, crashes: append([]program.Crash(nil), p.out.Crashes...)})
	}
	for _, number := range p.out.Idle {
		p.notify(ctx, notice{kind: shardIdle, shard: number})
	}
	p.out.Reset()
}

// record hands a batch to the journal, in order.
func (p *programs) record(batch program.Append) {
	if p.fenced {
		return
	}
	entry := fencedlog.Append{Tag: uint64(batch.Tag)}
	for _, r := range batch.Records {
		entry.Records = append(entry.Records, fencedlog.Record{
			Shard: p.table.ShardOf(r.Program), Program: r.Program, Seq: r.Seq, Ended: r.Final != nil, Data: r.Encode(),
		})
	}
	p.backlog = append(p.backlog, entry)
	p.sendBacklog()
}

func (p *programs) sendBacklog() {
	for len(p.backlog) > 0 {
		if p.journal.appends.TryPush(p.backlog[0]) != nil {
			return
		}
		p.backlog = p.backlog[1:]
	}
}

// submit asks the scheduler duty for a slot.
func (p *programs) submit(ctx context.Context, d program.Dispatch) {
	o := &underway{order: compose(p.resources(), p.incarnation, d)}
	o.request.Arrived = p.clock.Now()
	p.dispatched[d.ID] = o
	_ = p.schedulerInputs.Push(ctx, schedulerInput{kind: submitCall, request: o.request})
}

func (p *programs) withdraw(ctx context.Context, id program.CallID) {
	o, ok := p.dispatched[id]
	if !ok {
		return
	}
	delete(p.dispatched, id)
	for _, c := range o.copies {
		c.cancel() // the job ends and its final event frees the slot
	}
	if o.waitingHedge != "" {
		p.giveBack(ctx, o.request.ID, o.waitingHedge)
	}
	if len(o.copies) == 0 {
		_ = p.schedulerInputs.Push(ctx, schedulerInput{kind: withdrawCall, id: o.request.ID})
	}
}

// stream hands a part of an answer to its caller. The last slot of the ring
// is kept for the reply.
func (p *programs) stream(chunk program.WaiterChunk) {
	to, ok := p.callers[chunk.Waiter]
	if !ok {
		return
	}
	if to.messages.Len() < to.messages.Cap()-1 {
		_ = to.messages.TryPush(callerMessage{chunk: chunk.Chunk})
		return
	}
	delete(p.callers, chunk.Waiter)
	p.table.Detach(chunk.Waiter)
	_ = to.messages.TryPush(callerMessage{lagged: true})
}

func (p *programs) reply(r program.WaiterReply) {
	to, ok := p.callers[r.Waiter]
	if !ok {
		return
	}
	delete(p.callers, r.Waiter)
	_ = to.messages.TryPush(callerMessage{reply: &r.Reply})
}

// notify tells the shard duty what happened. Its ring has room for several
// notices of each shard, and the duty waits for nothing.
func (p *programs) notify(ctx context.Context, n notice) {
	_ = p.notices.Push(ctx, n)
}
