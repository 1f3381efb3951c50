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
	// maxCalls bounds the calls under way on a node. Rings that carry
	// completions have room for all of them, so that no duty waits for
	// another to take one.
	maxCalls = 16384
	// batchItems is how many items of one ring are handled before the others
	// get their turn.
	batchItems = 256
	// programsTick is how often deadlines and leases are looked at.
	programsTick = 50 * time.Millisecond
	// livingInterval is how often the programs that need engine memory are
	// published for the memory sweep.
	livingInterval = time.Second
)

// programs is the duty that owns every program of this node.
type programs struct {
	name  string // of the incarnation
	clock clockwork.Clock
	log   *slog.Logger
	table *program.Table
	set   func() *resource.Set
	// credentials returns the value of a named credential.
	credentials func(name string) string
	// retains reports whether records of a shard that moved away are needed.
	retains func(shard int) bool
	living  *atomic.Pointer[livePrograms]
	starts  *atomic.Pointer[startIDs]
	timer   duty.Timer

	commands  *ring.Ring[command]
	shards    *ring.Ring[shardChange]
	events    *ring.Ring[dispatch.Event]
	decisions *ring.Ring[decision]
	journal   journalEnd

	scheduler *ring.Ring[schedulerInput]
	jobs      *ring.Ring[dispatch.Job]
	notices   *ring.Ring[notice]

	callers map[program.WaiterID]caller
	orders  map[program.CallID]*activeCall
	backlog []fencedlog.Append // batches that the journal's ring had no room for
	out     program.Effects
	fenced  bool
}

// journalEnd is the programs duty's end of the journal.
type journalEnd struct {
	appends     *ring.Ring[fencedlog.Append]
	completions *ring.Ring[fencedlog.Completion]
	verdicts    *ring.Ring[fencedlog.CompactionAnswer]
}

// notice is a message of the programs duty to the duties around it.
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
	crashesCounted
)

// run serves requests and events until ctx ends.
func (p *programs) run(ctx context.Context) error {
	defer p.close()
	ticker := p.clock.NewTicker(programsTick)
	defer ticker.Stop()
	living := p.clock.NewTicker(livingInterval)
	defer living.Stop()
	for {
		commands := p.commands.Ready()
		if p.congested() {
			commands = nil // callers are refused while nothing can be recorded
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-commands:
			p.takeCommands(ctx)
		case <-p.shards.Ready():
			p.takeShards(ctx)
		case <-p.events.Ready():
			p.takeEvents(ctx)
		case <-p.decisions.Ready():
			p.takeDecisions(ctx)
		case <-p.journal.completions.Ready():
			p.takeCompletions(ctx)
		case <-ticker.Chan():
			p.table.Tick(p.clock.Now(), &p.out)
			p.applyEffects(ctx)
		case <-living.Chan():
			p.publishLiving()
		}
	}
}

// close answers all callers as moved, so that they repeat their requests at
// the next owner.
func (p *programs) close() {
	p.commands.Close()
	moved := &program.Reply{Moved: true, Outcome: outcome.NewNotRun(outcome.NoOwner, ownerRetry)}
	for c, ok := p.commands.TryPop(); ok; c, ok = p.commands.TryPop() {
		if c.from.answers != nil && !c.detach {
			p.callers[c.from.waiter] = c.from
		}
	}
	for _, to := range p.callers {
		_ = to.answers.TryPush(answer{reply: moved})
	}
}

func (p *programs) publishLiving() {
	view := &livePrograms{}
	view.programs, view.servedShards = p.table.LivePrograms()
	_, view.callsInProgress = p.table.Counts()
	p.living.Store(view)
}

// congested reports whether new requests must wait in their ring.
func (p *programs) congested() bool {
	return len(p.backlog) > 0 || len(p.orders) >= maxCalls/2
}

func (p *programs) takeCommands(ctx context.Context) {
	for range batchItems {
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
	if c.from.waiter != 0 && !c.detach {
		p.callers[c.from.waiter] = c.from
	}
	switch {
	case c.detach:
		delete(p.callers, c.from.waiter)
		p.table.Detach(c.from.waiter)
	case c.start != nil:
		p.table.Start(now, *c.start, c.from.waiter, &p.out)
	case c.call != nil:
		p.table.Call(now, *c.call, c.stream, c.from.waiter, &p.out)
	case c.history != nil:
		p.table.History(c.history.program, c.history.tenant, c.from.waiter, &p.out)
	case c.end != nil:
		p.table.End(now, c.end.program, c.end.tenant, c.from.waiter, &p.out)
	}
	for _, crash := range c.crashes {
		p.table.NoteCrash(crash)
	}
}

func (p *programs) takeShards(ctx context.Context) {
	for {
		change, ok := p.shards.TryPop()
		if !ok {
			return
		}
		p.handleShard(ctx, change)
		p.applyEffects(ctx)
	}
}

func (p *programs) handleShard(ctx context.Context, change shardChange) {
	now := p.clock.Now()
	switch change.action {
	case adoptShard:
		if err := p.table.Adopt(now, change.shard, change.records, &p.out); err != nil {
			// Serving the shard would lose history, so it stays unserved.
			p.log.Error("programs: shard holds a record that cannot be read", "shard", change.shard, "error", err)
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
	for range batchItems {
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
	o := p.orders[id] // nil when the call was withdrawn
	if event.Text != "" && o.acceptAnswer(event.Backend) {
		p.table.Chunk(id, program.Chunk{Attempt: event.Attempt, Offset: int(event.Offset), Text: event.Text}, &p.out)
		p.measure(ctx, schedulerInput{kind: progressCall, id: event.ID, backend: event.Backend, timing: event.Timing})
	}
	if !event.Final {
		return
	}
	counts := o != nil && o.copyFinished(event)
	timing := event.Timing
	timing.Cancelled = timing.Cancelled || !counts
	p.measure(ctx, schedulerInput{kind: finishCall, id: event.ID, backend: event.Backend, timing: timing})
	if !counts {
		return
	}
	delete(p.orders, id)
	if o.pendingHedge != "" {
		p.releaseSlot(ctx, event.ID, o.pendingHedge)
	}
	p.table.Finished(p.clock.Now(), id, resultOf(o, event), &p.out)
}

func resultOf(o *activeCall, event dispatch.Event) program.Result {
	result := program.Result{
		Outcome: event.Result.Outcome,
		Answer:  event.Result.Answer,
		Cost:    budget.Units(event.Result.Cost),
		Backend: string(event.Backend),
		Crashed: event.Result.Crashed,
	}
	if o.hedged { // what the other copy generated is unknown
		result.Cost += budget.Units(o.job.WorstCost)
	}
	if o.job.Kind == dispatch.Model && result.Outcome.Code == outcome.Completed {
		result.Answer = []byte(answerText(event.Result.Answer))
	}
	return result
}

// answerText returns the generated text of an engine's answer.
func answerText(answer []byte) string {
	var parsed struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(answer, &parsed); err != nil || len(parsed.Choices) == 0 {
		return ""
	}
	return parsed.Choices[0].Message.Content
}

// measure tells the scheduler duty what happened to a call. Its ring has room
// for every call under way; only progress may be left out.
func (p *programs) measure(ctx context.Context, input schedulerInput) {
	if input.kind == progressCall {
		_ = p.scheduler.TryPush(input)
		return
	}
	_ = p.scheduler.Push(ctx, input)
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
	o, ok := p.orders[id]
	if !ok || len(o.copies) > 0 {
		p.handleLateDecision(ctx, id, o, d)
		return
	}
	if !d.granted {
		delete(p.orders, id)
		p.table.Finished(p.clock.Now(), id, program.Result{Outcome: d.outcome}, &p.out)
		return
	}
	endpoint, ok := endpointOf(p.set(), p.credentials, d.backend)
	if !ok {
		p.measure(ctx, schedulerInput{kind: finishCall, id: d.id, backend: d.backend})
		_ = p.scheduler.Push(ctx, schedulerInput{kind: submitCall, request: o.request})
		return
	}
	p.startCopy(ctx, o, endpoint)
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
		p.recorded(c.Tags)
	case fencedlog.Copied:
		p.recorded(c.Tags)
	case fencedlog.Rejected:
		panic("node: the journal rejected a record of this node: " + c.Err.Error())
	case fencedlog.Fenced:
		p.fenced = true
		p.backlog = nil
		p.table.DropAll(&p.out)
		p.notify(ctx, notice{kind: journalFenced})
	case fencedlog.CompactionQuery:
		_ = p.journal.verdicts.TryPush(p.verdict(c))
	}
}

// recorded tells the table which batches are recorded. Those that it knows as
// recorded already, by their copies, change nothing.
func (p *programs) recorded(tags []uint64) {
	for _, tag := range tags {
		p.table.Committed(p.clock.Now(), program.Tag(tag), &p.out)
	}
}

// verdict tells which records of a segment are needed. The compaction is put
// off while a shard of the segment is being adopted, because its programs may
// not be known yet.
func (p *programs) verdict(query fencedlog.CompactionQuery) fencedlog.CompactionAnswer {
	live := make([]bool, len(query.Records))
	for i, r := range query.Records {
		if p.table.Phase(r.Shard) == program.Adopting {
			return fencedlog.CompactionAnswer{Segment: query.Segment}
		}
		live[i] = p.table.HasProgram(r.Program) || p.retains(r.Shard)
	}
	return fencedlog.CompactionAnswer{Segment: query.Segment, Live: live}
}
