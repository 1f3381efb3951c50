package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/budget"
	"dogwoodline.example/dispatch"
	"dogwoodline.example/duty"
	"dogwoodline.example/fencedlog"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
)

const (
	// maxCalls bounds the calls in progress on a node. Rings that carry
	// results of calls have room for all of them, so that no duty waits for
	// another one to read its ring.
	maxCalls = 16384
	// batchSize is the maximum number of items of one ring that are handled
	// before the other rings are served.
	batchSize = 256
	// programsTick is the interval at which deadlines and idle leases are
	// checked.
	programsTick = 50 * time.Millisecond
	// livePublishInterval is the interval at which the set of programs that
	// need engine memory is published for the memory sweep.
	livePublishInterval = time.Second
)

// programs is the duty that owns the state of all programs of an incarnation. It
// passes requests and events to a program.Table and carries out the resulting
// effects.
type programs struct {
	incarnation string // name of the incarnation
	clock       clockwork.Clock
	log         *slog.Logger
	table       *program.Table
	resources   func() *resource.Set
	// credentials returns the value of a named credential.
	credentials func(name string) string
	// retains reports whether the journal must keep the records of a shard
	// although this node no longer owns the shard.
	retains  func(shard int) bool
	live     *atomic.Pointer[livePrograms]
	startIDs *atomic.Pointer[startIDs]
	timer    duty.Timer

	commands  *ring.Ring[command]
	shards    *ring.Ring[shardChange]
	events    *ring.Ring[dispatch.Event]
	decisions *ring.Ring[decision]
	journal   journalRings

	schedulerInputs *ring.Ring[schedulerInput]
	jobs            *ring.Ring[dispatch.Job]
	notices         *ring.Ring[notice]

	callers    map[program.WaiterID]caller
	dispatched map[program.CallID]*activeCall
	backlog    []fencedlog.Append // batches that wait for room in the journal's ring
	out        program.Effects
	fenced     bool
}

// journalRings holds the rings between the programs duty and the journal writer.
type journalRings struct {
	appends           *ring.Ring[fencedlog.Append]
	completions       *ring.Ring[fencedlog.Completion]
	compactionAnswers *ring.Ring[fencedlog.CompactionAnswer]
}

// notice is a message from the programs duty to the shard duty, which passes it
// on.
type notice struct {
	kind    noticeKind
	shard   int
	crashes []program.Crash
}

type noticeKind int

const (
	shardAdopted noticeKind = iota
	shardIdle
	journalFenced
	crashCountsChanged
)

// run handles requests and events until ctx ends.
func (p *programs) run(ctx context.Context) error {
	defer p.close()
	ticker := p.clock.NewTicker(programsTick)
	defer ticker.Stop()
	livePublishTicker := p.clock.NewTicker(livePublishInterval)
	defer livePublishTicker.Stop()
	for {
		commands := p.commands.Ready()
		if p.congested() {
			commands = nil // once the ring is full, new requests are refused as overloaded
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-commands:
			p.takeCommands(ctx)
		case <-p.shards.Ready():
			p.takeShardChanges(ctx)
		case <-p.events.Ready():
			p.takeEvents(ctx)
		case <-p.decisions.Ready():
			p.takeDecisions(ctx)
		case <-p.journal.completions.Ready():
			p.takeCompletions(ctx)
		case <-ticker.Chan():
			p.table.Tick(p.clock.Now(), &p.out)
			p.applyEffects(ctx)
		case <-livePublishTicker.Chan():
			p.publishLive()
		}
	}
}

// close replies to all callers with Moved set, so that their requests are
// repeated at the next owner.
func (p *programs) close() {
	p.commands.Close()
	moved := &program.Reply{Moved: true, Outcome: outcome.NewNotRun(outcome.NoOwner, ownerRetryDelay)}
	for c, ok := p.commands.TryPop(); ok; c, ok = p.commands.TryPop() {
		if c.caller.messages != nil && !c.detach {
			p.callers[c.caller.waiterID] = c.caller
		}
	}
	for _, to := range p.callers {
		_ = to.messages.TryPush(callerMessage{reply: moved})
	}
}

func (p *programs) publishLive() {
	view := &livePrograms{}
	view.programs, view.servedShards = p.table.LivePrograms()
	_, view.callsInProgress = p.table.Counts()
	p.live.Store(view)
}

// congested reports whether new requests must wait in their ring, because the
// journal's ring is full or half of maxCalls are in progress.
func (p *programs) congested() bool {
	return len(p.backlog) > 0 || len(p.dispatched) >= maxCalls/2
}

func (p *programs) takeCommands(ctx context.Context) {
	for range batchSize {
		if p.congested() {
			return
		}
		c, ok := p.commands.TryPop()
		if !ok {
			return
		}
		begin := time.Now()
		p.handleCommand(c)
		p.applyEffects(ctx)
		p.timer.Observe(begin)
	}
}

func (p *programs) handleCommand(c command) {
	now := p.clock.Now()
	if c.caller.waiterID != 0 && !c.detach {
		p.callers[c.caller.waiterID] = c.caller
	}
	switch {
	case c.detach:
		delete(p.callers, c.caller.waiterID)
		p.table.Detach(c.caller.waiterID)
	case c.start != nil:
		p.table.Start(now, *c.start, c.caller.waiterID, &p.out)
	case c.call != nil:
		p.table.Call(now, *c.call, c.stream, c.caller.waiterID, &p.out)
	case c.history != nil:
		p.table.History(c.history.program, c.history.tenant, c.caller.waiterID, &p.out)
	case c.end != nil:
		p.table.End(now, c.end.program, c.end.tenant, c.caller.waiterID, &p.out)
	}
	for _, crash := range c.crashes {
		p.table.NoteCrash(crash)
	}
}

func (p *programs) takeShardChanges(ctx context.Context) {
	for {
		change, ok := p.shards.TryPop()
		if !ok {
			return
		}
		p.handleShardChange(ctx, change)
		p.applyEffects(ctx)
	}
}

func (p *programs) handleShardChange(ctx context.Context, change shardChange) {
	now := p.clock.Now()
	switch change.action {
	case adoptShard:
		if err := p.table.Adopt(now, change.shard, change.records, &p.out); err != nil {
			// Serving the shard without the record would lose history.
			p.log.Error("programs: cannot decode a record of the shard, not serving it", "shard", change.shard, "error", err)
			return
		}
		p.notify(ctx, notice{kind: shardAdopted, shard: change.shard})
	case moveShard:
		p.table.Move(change.shard, &p.out)
	case serveShard:
		p.table.SetEpoch(change.shard, change.epoch)
		p.table.Serve(now, change.shard, &p.out)
	case dropShard:
		p.table.Drop(change.shard, &p.out)
	}
}

func (p *programs) takeEvents(ctx context.Context) {
	for range batchSize {
		event, ok := p.events.TryPop()
		if !ok {
			return
		}
		begin := time.Now()
		p.handleEvent(ctx, event)
		p.applyEffects(ctx)
		p.timer.Observe(begin)
	}
}

func (p *programs) handleEvent(ctx context.Context, event dispatch.Event) {
	id := program.CallID(event.ID)
	call := p.dispatched[id] // nil if the call was withdrawn
	if event.Text != "" && call.acceptAnswer(event.Backend) {
		p.table.Chunk(id, program.Chunk{Attempt: event.Attempt, Offset: int(event.Offset), Text: event.Text}, &p.out)
		p.notifyScheduler(ctx, schedulerInput{kind: progressCall, id: event.ID, backend: event.Backend, timing: event.Timing})
	}
	if !event.Final {
		return
	}
	callEnded := call != nil && call.copyFinished(event)
	timing := event.Timing
	timing.Cancelled = timing.Cancelled || !callEnded
	p.notifyScheduler(ctx, schedulerInput{kind: finishCall, id: event.ID, backend: event.Backend, timing: timing})
	if !callEnded {
		return
	}
	delete(p.dispatched, id)
	if call.pendingHedge != "" {
		p.releaseSlot(ctx, event.ID, call.pendingHedge)
	}
	p.table.Finished(p.clock.Now(), id, resultOf(call, event), &p.out)
}

// resultOf returns the result of a call that ended with event.
func resultOf(call *activeCall, event dispatch.Event) program.Result {
	result := program.Result{
		Outcome: event.Result.Outcome,
		Answer:  event.Result.Answer,
		Cost:    budget.Units(event.Result.Cost),
		Backend: string(event.Backend),
		Crashed: event.Result.Crashed,
	}
	if call.hedged { // the cost of the other copy is unknown, so its worst case counts
		result.Cost += budget.Units(call.job.WorstCost)
	}
	if call.job.Kind == dispatch.Model && result.Outcome.Code == outcome.Completed {
		result.Answer = []byte(modelText(event.Result.Answer))
	}
	return result
}

// modelText returns the generated text in the response of an engine, or "" if
// there is none.
func modelText(response []byte) string {
	var parsed struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(response, &parsed); err != nil || len(parsed.Choices) == 0 {
		return ""
	}
	return parsed.Choices[0].Message.Content
}

// notifyScheduler reports the progress or the end of a call to the scheduler
// duty. The duty's ring has room for the ends of all calls in progress. Progress
// is dropped if the ring is full.
func (p *programs) notifyScheduler(ctx context.Context, input schedulerInput) {
	if input.kind == progressCall {
		_ = p.schedulerInputs.TryPush(input)
		return
	}
	_ = p.schedulerInputs.Push(ctx, input)
}

func (p *programs) takeDecisions(ctx context.Context) {
	for {
		d, ok := p.decisions.TryPop()
		if !ok {
			return
		}
		p.handleDecision(ctx, d)
		p.applyEffects(ctx)
	}
}

func (p *programs) handleDecision(ctx context.Context, d decision) {
	id := program.CallID(d.id)
	call, ok := p.dispatched[id]
	if !ok || len(call.copies) > 0 {
		p.handleLateDecision(ctx, id, call, d)
		return
	}
	if !d.granted {
		delete(p.dispatched, id)
		p.table.Finished(p.clock.Now(), id, program.Result{Outcome: d.outcome}, &p.out)
		return
	}
	endpoint, ok := endpointOf(p.resources(), p.credentials, d.backend)
	if !ok {
		p.notifyScheduler(ctx, schedulerInput{kind: finishCall, id: d.id, backend: d.backend})
		_ = p.schedulerInputs.Push(ctx, schedulerInput{kind: submitCall, request: call.request})
		return
	}
	p.startCopy(ctx, call, endpoint)
}

func (p *programs) takeCompletions(ctx context.Context) {
	for {
		completion, ok := p.journal.completions.TryPop()
		if !ok {
			break
		}
		p.handleCompletion(ctx, completion)
		p.applyEffects(ctx)
	}
	p.sendBacklog()
}

func (p *programs) handleCompletion(ctx context.Context, completion fencedlog.Completion) {
	switch c := completion.(type) {
	case fencedlog.Committed:
		p.markRecorded(c.Tags)
	case fencedlog.Copied:
		p.markRecorded(c.Tags)
	case fencedlog.Rejected:
		panic("node: journal rejected a record of this node: " + c.Err.Error())
	case fencedlog.Fenced:
		p.fenced = true
		p.backlog = nil
		p.table.DropAll(&p.out)
		p.notify(ctx, notice{kind: journalFenced})
	case fencedlog.CompactionQuery:
		_ = p.journal.compactionAnswers.TryPush(p.answerCompaction(c))
	}
}

// markRecorded reports recorded batches to the table. A batch can be reported
// twice, once as copied to peers and once as committed; the second report has no
// effect.
func (p *programs) markRecorded(tags []uint64) {
	for _, tag := range tags {
		p.table.Committed(p.clock.Now(), program.Tag(tag), &p.out)
	}
}

// answerCompaction returns which records of a journal segment are still needed.
// While a shard of the segment is being adopted, the answer has no Live list, and
// the compaction is postponed, because the programs of the shard may not be known
// yet.
func (p *programs) answerCompaction(query fencedlog.CompactionQuery) fencedlog.CompactionAnswer {
	live := make([]bool, len(query.Records))
	for i, r := range query.Records {
		if p.table.Phase(r.Shard) == program.Adopting {
			return fencedlog.CompactionAnswer{Segment: query.Segment}
		}
		live[i] = p.table.HasProgram(r.Program) || p.retains(r.Shard)
	}
	return fencedlog.CompactionAnswer{Segment: query.Segment, Live: live}
}
