package program

import (
	"time"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
)

const (
	// orderWindow is how far ahead of the next order number a call may wait.
	orderWindow = 16
	// maxAttempts bounds how often one owner sends an idempotent call.
	maxAttempts = 4
	// attemptsPerEpoch keeps the attempt numbers of successive owners apart.
	attemptsPerEpoch = 64
	// maxRefusals bounds how often a call is offered to another backend
	// server after one refused it without running it.
	maxRefusals = 8
	// maxCrashes is the number of crashes after which a request is refused.
	maxCrashes = 2
	// endedKept is how long an ended program answers late repeats.
	endedKept = 10 * time.Minute
	// pendingWait is how long the answer of a finished call waits for its
	// record to become durable before it is given as not recorded.
	pendingWait = 250 * time.Millisecond
	// retryAfter is the wait suggested to callers whose call was not run.
	retryAfter = 200 * time.Millisecond
)

// Phase tells what a node does for a shard.
type Phase int

const (
	// Absent shards belong to another node.
	Absent Phase = iota
	// Adopting shards are being replayed; their requests wait.
	Adopting
	// Serving shards take calls.
	Serving
	// Moving shards finish their running calls; new requests wait.
	Moving
)

// Table holds the programs of the shards that this node owns.
type Table struct {
	shardOf  func(programID string) int
	rules    Rules
	shards   map[int]*shard
	programs map[string]*state
	running  map[CallID]*call
	active   map[*call]struct{} // calls that have not been answered for good
	pending  map[Tag]appended
	crashes  map[string]int // confirmed and suspected crashes by call digest

	lastCall CallID
	lastTag  Tag
}

type shard struct {
	number  int
	epoch   int // of this owner, see SetEpoch
	phase   Phase
	busy    int  // calls and appends that keep the shard from moving
	settled bool // the handoff records are durable
	told    bool // the shard was reported as idle
	held    []heldRequest
}

// heldRequest is a request that waits while its shard is adopted or moved.
// Exactly one of the pointers is set.
type heldRequest struct {
	waiter Waiter
	call   *Call
	start  *Spec
	tenant string
	query  string
	finish string
}

type state struct {
	spec     Spec
	shard    *shard
	account  budget.Account
	seq      uint64
	next     int
	calls    map[string]*call
	byOrder  map[int]*call
	history  []*call
	children map[string]budget.Units
	recorded bool
	starters []Waiter
	ended    bool
	endedAt  time.Time
	enders   []Waiter
	lastUsed time.Time
	released bool
}

// Rules are what the declared resources say about a call.
type Rules interface {
	// Apply fills in whether the call is idempotent, whether its service can
	// be asked about it, and its worst-case cost. It returns an outcome when
	// the call is not allowed. The conversation holds the earlier messages of a
	// model call.
	Apply(spec Spec, conversation []Message, call *Call) *outcome.Outcome
}

// NewTable returns an empty table. shardOf maps a program id to its shard and
// must give the same shard to a whole family of programs.
func NewTable(shardOf func(programID string) int, rules Rules) *Table {
	return &Table{
		shardOf:  shardOf,
		rules:    rules,
		shards:   map[int]*shard{},
		programs: map[string]*state{},
		running:  map[CallID]*call{},
		active:   map[*call]struct{}{},
		pending:  map[Tag]appended{},
		crashes:  map[string]int{},
	}
}

// appendKind tells what a batch of records was about.
type appendKind int

const (
	startAppend appendKind = iota
	intentAppend
	resultAppend
	crashAppend
	endAppend
	handoffAppend
	hedgeAppend
	noteAppend
)

type appended struct {
	kind    appendKind
	program *state
	call    *call
	attempt int
	shard   *shard
	owners  []*state // the program of each record
}

func (t *Table) append(out *Effects, what appended, records ...Record) {
	t.lastTag++
	if what.shard == nil && what.program != nil {
		what.shard = what.program.shard
	}
	what.shard.busy++
	for i := range records {
		what.owners = append(what.owners, t.programs[records[i].Program])
	}
	t.pending[t.lastTag] = what
	out.Appends = append(out.Appends, Append{Tag: t.lastTag, Records: records})
}

// record returns the next record of the program, with a ceiling that covers
// the account as it is now.
func (p *state) record() Record {
	p.seq++
	return Record{Program: p.spec.ID, Seq: p.seq, Ceiling: p.account.Propose(p.spec.Ahead)}
}

// Start starts a program. A repeated start with the same values is answered
// like the first one.
func (t *Table) Start(now time.Time, spec Spec, waiter Waiter, out *Effects) {
	home, ok := t.admitRequest(spec.ID, heldRequest{waiter: waiter, start: &spec}, out)
	if !ok {
		return
	}
	if known, exists := t.programs[spec.ID]; exists {
		t.repeatStart(known, spec, waiter, out)
		return
	}
	records, refused := t.openInParent(spec)
	if refused != nil {
		out.refuse(waiter, *refused)
		return
	}
	p := newState(now, spec, home)
	p.starters = []Waiter{waiter}
	t.programs[spec.ID] = p
	started := p.record()
	started.Started = &spec
	records = append(records, started)
	t.append(out, appended{kind: startAppend, program: p}, records...)
}

func newState(now time.Time, spec Spec, home *shard) *state {
	return &state{
		spec:     spec,
		shard:    home,
		account:  budget.Account{Limit: spec.Limit},
		next:     1,
		calls:    map[string]*call{},
		byOrder:  map[int]*call{},
		children: map[string]budget.Units{},
		lastUsed: now,
	}
}

func (t *Table) repeatStart(known *state, spec Spec, waiter Waiter, out *Effects) {
	switch {
	case known.spec.Tenant != spec.Tenant:
		out.refuse(waiter, outcome.Refuse(outcome.Forbidden, "the program id belongs to another tenant"))
	case known.spec.Class != spec.Class || known.spec.Limit != spec.Limit:
		out.refuse(waiter, outcome.Refuse(outcome.Conflict, "the program exists with another class or budget"))
	case known.recorded:
		out.reply(waiter, Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Recorded: true, Info: known.info(false)})
	default:
		known.starters = append(known.starters, waiter)
	}
}

// openInParent reserves the limit of a child in its parent's budget.
func (t *Table) openInParent(spec Spec) ([]Record, *outcome.Outcome) {
	if spec.Parent() == "" {
		return nil, nil
	}
	parent, ok := t.programs[spec.Parent()]
	if !ok || parent.ended {
		refusal := outcome.Refuse(outcome.UnknownProgram, "the parent program does not exist or has ended")
		return nil, &refusal
	}
	if parent.spec.Tenant != spec.Tenant {
		refusal := outcome.Refuse(outcome.Forbidden, "the parent program belongs to another tenant")
		return nil, &refusal
	}
	if err := parent.account.Reserve(spec.Limit); err != nil {
		refusal := outcome.Outcome{Code: outcome.OverBudget, Detail: err.Error()}
		return nil, &refusal
	}
	parent.children[spec.ID] = spec.Limit
	opened := parent.record()
	opened.Child = &ChildOpened{ID: spec.ID, Limit: spec.Limit}
	return []Record{opened}, nil
}

// End ends a program and its children. Running calls are withdrawn.
func (t *Table) End(now time.Time, programID, tenant string, waiter Waiter, out *Effects) {
	if _, ok := t.admitRequest(programID, heldRequest{waiter: waiter, finish: programID, tenant: tenant}, out); !ok {
		return
	}
	p, ok := t.lookup(programID, tenant, waiter, out)
	if !ok {
		return
	}
	if p.ended {
		out.reply(waiter, Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Recorded: true, Info: p.info(false)})
		return
	}
	p.enders = append(p.enders, waiter)
	t.finish(now, p, out)
}

func (t *Table) finish(now time.Time, p *state, out *Effects) {
	records := t.closeFamily(now, p, out)
	t.append(out, appended{kind: endAppend, program: p}, records...)
}

// closeFamily ends the program's children and then the program, and returns
// the records of all of it.
func (t *Table) closeFamily(now time.Time, p *state, out *Effects) []Record {
	var records []Record
	for id := range p.children {
		if child, ok := t.programs[id]; ok && !child.ended {
			records = append(records, t.closeFamily(now, child, out)...)
		}
	}
	for _, c := range p.calls {
		if c.phase != callDone {
			t.cancel(c, out)
		}
	}
	p.ended = true
	p.endedAt = now
	p.account.Spent += p.account.Reserved // withdrawn calls count as spent
	p.account.Reserved = 0
	final := p.record()
	final.Final = &Final{UnixMS: now.UnixMilli()}
	records = append(records, final)
	if parent, ok := t.programs[p.spec.Parent()]; ok {
		records = append(records, parent.closeChild(p))
	}
	return records
}

func (p *state) closeChild(child *state) Record {
	share := p.children[child.spec.ID]
	delete(p.children, child.spec.ID)
	p.account.Settle(share, child.account.Spent)
	closed := p.record()
	closed.Closed = &ChildClosed{ID: child.spec.ID, Limit: share, Spent: child.account.Spent}
	return closed
}

// History answers with the program and its calls in order.
func (t *Table) History(programID, tenant string, waiter Waiter, out *Effects) {
	if _, ok := t.admitRequest(programID, heldRequest{waiter: waiter, query: programID, tenant: tenant}, out); !ok {
		return
	}
	p, ok := t.lookup(programID, tenant, waiter, out)
	if !ok {
		return
	}
	out.reply(waiter, Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Recorded: p.recorded, Info: p.info(true)})
}

// lookup finds a program for a tenant, or refuses the request.
func (t *Table) lookup(programID, tenant string, waiter Waiter, out *Effects) (*state, bool) {
	p, ok := t.programs[programID]
	if !ok {
		out.refuse(waiter, outcome.Refuse(outcome.UnknownProgram, "no program with this id"))
		return nil, false
	}
	if p.spec.Tenant != tenant {
		out.refuse(waiter, outcome.Refuse(outcome.Forbidden, "the program belongs to another tenant"))
		return nil, false
	}
	return p, true
}

func (p *state) info(withHistory bool) *Info {
	info := &Info{Spec: p.spec, Account: p.account, Next: p.next, Ended: p.ended}
	if !withHistory {
		return info
	}
	info.History = make([]Entry, 0, len(p.history))
	for _, c := range p.history {
		info.History = append(info.History, Entry{
			Call: c.Call, Outcome: c.outcome, Answer: c.answer, Spent: c.spent, Recorded: c.recorded,
		})
	}
	return info
}
