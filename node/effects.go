package node

import (
	"context"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/program"
)

// applyEffects performs the actions that the program table asked for.
func (p *programs) applyEffects(ctx context.Context) {
	for _, batch := range p.out.Appends {
		p.appendRecords(batch)
	}
	for _, d := range p.out.Dispatches {
		p.submit(ctx, d)
	}
	for _, id := range p.out.Hedges {
		p.startHedge(ctx, id)
	}
	for _, id := range p.out.Withdrawn {
		p.withdraw(ctx, id)
	}
	for _, chunk := range p.out.Chunks {
		p.sendChunk(chunk)
	}
	for _, reply := range p.out.Replies {
		p.sendReply(reply)
	}
	if len(p.out.Crashes) > 0 {
		p.notify(ctx, notice{kind: crashCountsChanged, crashes: append([]program.Crash(nil), p.out.Crashes...)})
	}
	for _, number := range p.out.Idle {
		p.notify(ctx, notice{kind: shardIdle, shard: number})
	}
	p.out.Reset()
}

// appendRecords queues a batch of records for the journal, after earlier batches.
func (p *programs) appendRecords(batch program.Append) {
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

// sendBacklog passes queued batches to the journal writer until its ring is full.
func (p *programs) sendBacklog() {
	for len(p.backlog) > 0 {
		if p.journal.appends.TryPush(p.backlog[0]) != nil {
			return
		}
		p.backlog = p.backlog[1:]
	}
}

// submit requests a slot for a dispatched call from the scheduler duty.
func (p *programs) submit(ctx context.Context, d program.Dispatch) {
	call := &activeCall{preparedCall: prepareCall(p.resources(), p.incarnation, d)}
	call.request.Arrived = p.clock.Now()
	p.dispatched[d.ID] = call
	_ = p.schedulerInputs.Push(ctx, schedulerInput{kind: submitCall, request: call.request})
}

func (p *programs) withdraw(ctx context.Context, id program.CallID) {
	call, ok := p.dispatched[id]
	if !ok {
		return
	}
	delete(p.dispatched, id)
	for _, c := range call.copies {
		c.cancel() // the job ends, and its final event frees the slot
	}
	if call.pendingHedge != "" {
		p.releaseSlot(ctx, call.request.ID, call.pendingHedge)
	}
	if len(call.copies) == 0 {
		_ = p.schedulerInputs.Push(ctx, schedulerInput{kind: withdrawCall, id: call.request.ID})
	}
}

// sendChunk passes a part of a streamed answer to its caller. The last slot of
// the caller's ring is reserved for the reply; a caller that reads too slowly
// for the others is told that parts were left out.
func (p *programs) sendChunk(chunk program.WaiterChunk) {
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

func (p *programs) sendReply(r program.WaiterReply) {
	to, ok := p.callers[r.Waiter]
	if !ok {
		return
	}
	delete(p.callers, r.Waiter)
	_ = to.messages.TryPush(callerMessage{reply: &r.Reply})
}

// notify sends a notice to the shard duty. The ring has room for several notices
// of each shard, and the shard duty never waits for another duty.
func (p *programs) notify(ctx context.Context, n notice) {
	_ = p.notices.Push(ctx, n)
}
