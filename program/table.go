package program

import (
	"time"

	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
)

const (
	// orderWindow is how many order numbers, counted from the next one, may
	// have a waiting call. Later calls are refused as overloaded.
	orderWindow = 16
	// maxAttempts bounds how often one owner sends an idempotent call.
	maxAttempts = 4
	// attemptsPerEpoch is the size of the range of attempt numbers of an epoch,
	// so that successive owners of a shard use different attempt numbers.
	attemptsPerEpoch = 64
	// maxRefusals bounds how often a call is offered to another backend
	// server after one refused it without running it.
	maxRefusals = 8
	// maxCrashes is the crash count at which a request is refused.
	maxCrashes = 2
	// endedRetention is how long an ended program is kept to answer repeated
	// requests.
	endedRetention = 10 * time.Minute
	// maxRecordWait is how long the answer of a finished call waits for its
	// record to become durable. After that it is sent as not recorded.
	maxRecordWait = 250 * time.Millisecond
	// retryAfter is the delay suggested to callers whose call was not run.
	retryAfter = 200 * time.Millisecond
)

// Phase is the state of a shard on this node.
type Phase int

const (
	// Absent shards are not owned by this node.
	Absent Phase = iota
	// Adopting shards are being replayed from records; their requests are held.
	Adopting
	// Serving shards take requests.
	Serving
	// Moving shards finish their running calls before they are handed over to
	// another node; new requests are held.
	Moving
)

// Table holds the programs of the shards that this node owns. Create it with
// NewTable.
type Table struct {
	shardOf  func(programID string) int
	rules    Rules
	shards   map[int]*shard
	programs map[string]*programState
	running  map[CallID]*call
	active   map[*call]struct{} // calls that wait, run or have no durable outcome yet
	pending  map[Tag]pendingAppend
	crashes  map[string]int // confirmed and suspected crashes by call digest, see countCrash

	lastCall CallID
	lastTag  Tag
}

// shard is the state of one shard on this node.
type shard struct {
	number         int
	epoch          int // number of this ownership, see SetEpoch
	phase          Phase
	inFlight       int  // running calls and pending appends, which delay a move
	handoffDurable bool // the handoff records are durable
	reportedIdle   bool // the shard was added to Effects.Idle
	held           []heldRequest
}

// heldRequest is a request that waits while its shard is adopted or moved. It
// is a call, start or end request if call, start or endID is set, and otherwise
// a request for history.
type heldRequest struct {
	waiter WaiterID
	call   *Call
	start  *Spec
	tenant string
	// query is the id of the program whose history is asked for. For a call it
	// is "stream" if the answer is streamed, and "" otherwise.
	query string
	endID string // id of the program to end
}

// programState is the state of one program.
type programState struct {
	spec          Spec
	shard         *shard
	account       budget.Account
	lastSeq       uint64                  // Seq of the last record
	nextOrder     int                     // order number of the next call to run
	calls         map[string]*call        // by request id
	byOrder       map[int]*call           // calls that are not in history yet, by order number
	history       []*call                 // calls with an outcome, in order
	children      map[string]budget.Units // reserved limits of running children, by id
	recorded      bool                    // the start is durable
	startWaiters  []WaiterID              // callers that wait for the start to be durable
	ended         bool
	endedAt       time.Time
	endWaiters    []WaiterID // callers that wait for the end to be durable
	lastUsed      time.Time
	cacheReleased bool // idle past its lease: its engine memory may be freed
}

// Rules applies the declared resources to calls.
type Rules interface {
	// Apply sets whether the call is idempotent, whether its service supports
	// lookup, and the worst-case cost. It returns an outcome if the call is not
	// allowed. The conversation holds the earlier messages of a model call.
	Apply(spec Spec, conversation []Message, call *Call) *outcome.Outcome
}

// NewTable returns an empty table. shardOf maps a program id to its shard and
// must return the same shard for a root program and all its descendants.
func NewTable(shardOf func(programID string) int, rules Rules) *Table {
	return &Table{
		shardOf:  shardOf,
		rules:    rules,
		shards:   map[int]*shard{},
		programs: map[string]*programState{},
		running:  map[CallID]*call{},
		active:   map[*call]struct{}{},
		pending:  map[Tag]pendingAppend{},
		crashes:  map[string]int{},
	}
}

// appendKind is the reason why a batch of records was appended.
type appendKind int

const (
	startAppend appendKind = iota
	intentAppend
	resultAppend
	crashAppend
	endAppend
	handoffAppend
	hedgeAppend
	notRunAppend
)

// pendingAppend is a batch of records that is not durable yet.
type pendingAppend struct {
	kind     appendKind
	program  *programState
	call     *call
	attempt  int
	shard    *shard
	programs []*programState // the program of each record
}

// appendRecords adds a batch of records to the effects. Committed continues
// with what depends on it.
func (t *Table) appendRecords(out *Effects, batch pendingAppend, records ...Record) {
	t.lastTag++
	if batch.shard == nil && batch.program != nil {
		batch.shard = batch.program.shard
	}
	batch.shard.inFlight++
	for i := range records {
		batch.programs = append(batch.programs, t.programs[records[i].Program])
	}
	t.pending[t.lastTag] = batch
	out.Appends = append(out.Appends, Append{Tag: t.lastTag, Records: records})
}

// nextRecord returns the next record of the program, with a ceiling that covers
// the current account and the budget ahead of it. The caller sets its payload
// and appends it.
func (p *programState) nextRecord() Record {
	p.lastSeq++
	return Record{Program: p.spec.ID, Seq: p.lastSeq, Ceiling: p.account.ProposeCeiling(p.spec.BudgetAhead)}
}

// Start starts a program. A repeated start with the same tenant, class and
// limit is answered like the first one.
func (t *Table) Start(now time.Time, spec Spec, waiter WaiterID, out *Effects) {
	s, ok := t.admitRequest(spec.ID, heldRequest{waiter: waiter, start: &spec}, out)
	if !ok {
		return
	}
	if known, exists := t.programs[spec.ID]; exists {
		t.handleRepeatedStart(known, spec, waiter, out)
		return
	}
	records, refused := t.reserveInParent(spec)
	if refused != nil {
		out.refuse(waiter, *refused)
		return
	}
	p := newProgramState(now, spec, s)
	p.startWaiters = []WaiterID{waiter}
	t.programs[spec.ID] = p
	record := p.nextRecord()
	record.Started = &spec
	records = append(records, record)
	t.appendRecords(out, pendingAppend{kind: startAppend, program: p}, records...)
}

func newProgramState(now time.Time, spec Spec, s *shard) *programState {
	return &programState{
		spec:      spec,
		shard:     s,
		account:   budget.Account{Limit: spec.Limit},
		nextOrder: 1,
		calls:     map[string]*call{},
		byOrder:   map[int]*call{},
		children:  map[string]budget.Units{},
		lastUsed:  now,
	}
}

func (t *Table) handleRepeatedStart(known *programState, spec Spec, waiter WaiterID, out *Effects) {
	switch {
	case known.spec.Tenant != spec.Tenant:
		out.refuse(waiter, outcome.NewInvalid(outcome.Forbidden, "the program id belongs to another tenant"))
	case known.spec.Class != spec.Class || known.spec.Limit != spec.Limit:
		out.refuse(waiter, outcome.NewInvalid(outcome.Conflict, "the program exists with another class or budget"))
	case known.recorded:
		out.reply(waiter, Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Recorded: true, Info: known.info(false)})
	default:
		known.startWaiters = append(known.startWaiters, waiter)
	}
}

// reserveInParent reserves the limit of a child program in its parent's budget
// and returns the parent's record of it. For a root program it does nothing.
func (t *Table) reserveInParent(spec Spec) ([]Record, *outcome.Outcome) {
	if spec.Parent() == "" {
		return nil, nil
	}
	parent, ok := t.programs[spec.Parent()]
	if !ok || parent.ended {
		refusal := outcome.NewInvalid(outcome.UnknownProgram, "the parent program does not exist or has ended")
		return nil, &refusal
	}
	if parent.spec.Tenant != spec.Tenant {
		refusal := outcome.NewInvalid(outcome.Forbidden, "the parent program belongs to another tenant")
		return nil, &refusal
	}
	if err := parent.account.Reserve(spec.Limit); err != nil {
		refusal := outcome.Outcome{Code: outcome.OverBudget, Detail: err.Error()}
		return nil, &refusal
	}
	parent.children[spec.ID] = spec.Limit
	record := parent.nextRecord()
	record.ChildOpened = &ChildOpened{ID: spec.ID, Limit: spec.Limit}
	return []Record{record}, nil
}

// End ends a program and all its descendants and withdraws their calls.
func (t *Table) End(now time.Time, programID, tenant string, waiter WaiterID, out *Effects) {
	if _, ok := t.admitRequest(programID, heldRequest{waiter: waiter, endID: programID, tenant: tenant}, out); !ok {
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
	p.endWaiters = append(p.endWaiters, waiter)
	t.endProgram(now, p, out)
}

func (t *Table) endProgram(now time.Time, p *programState, out *Effects) {
	records := t.endFamily(now, p, out)
	t.appendRecords(out, pendingAppend{kind: endAppend, program: p}, records...)
}

// endFamily ends the program's descendants and then the program, and returns
// the records of all of them.
func (t *Table) endFamily(now time.Time, p *programState, out *Effects) []Record {
	var records []Record
	for id := range p.children {
		if child, ok := t.programs[id]; ok && !child.ended {
			records = append(records, t.endFamily(now, child, out)...)
		}
	}
	for _, c := range p.calls {
		if c.phase != callDone {
			t.cancelCall(c, out)
		}
	}
	p.ended = true
	p.endedAt = now
	p.account.Spent += p.account.Reserved // withdrawn calls count as spent
	p.account.Reserved = 0
	record := p.nextRecord()
	record.Final = &Ended{UnixMS: now.UnixMilli()}
	records = append(records, record)
	if parent, ok := t.programs[p.spec.Parent()]; ok {
		records = append(records, parent.closeChild(p))
	}
	return records
}

// closeChild releases the reservation of an ended child, charges what the child
// spent, and returns the parent's record of it.
func (p *programState) closeChild(child *programState) Record {
	reserved := p.children[child.spec.ID]
	delete(p.children, child.spec.ID)
	p.account.Settle(reserved, child.account.Spent)
	record := p.nextRecord()
	record.ChildClosed = &ChildClosed{ID: child.spec.ID, Limit: reserved, Spent: child.account.Spent}
	return record
}

// History replies with the state of the program and its finished calls in order.
func (t *Table) History(programID, tenant string, waiter WaiterID, out *Effects) {
	if _, ok := t.admitRequest(programID, heldRequest{waiter: waiter, query: programID, tenant: tenant}, out); !ok {
		return
	}
	p, ok := t.lookup(programID, tenant, waiter, out)
	if !ok {
		return
	}
	out.reply(waiter, Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Recorded: p.recorded, Info: p.info(true)})
}

// lookup returns the program, or refuses the request if the program does not
// exist or belongs to another tenant.
func (t *Table) lookup(programID, tenant string, waiter WaiterID, out *Effects) (*programState, bool) {
	p, ok := t.programs[programID]
	if !ok {
		out.refuse(waiter, outcome.NewInvalid(outcome.UnknownProgram, "no program with this id"))
		return nil, false
	}
	if p.spec.Tenant != tenant {
		out.refuse(waiter, outcome.NewInvalid(outcome.Forbidden, "the program belongs to another tenant"))
		return nil, false
	}
	return p, true
}

func (p *programState) info(withHistory bool) *Info {
	info := &Info{Spec: p.spec, Account: p.account, Next: p.nextOrder, Ended: p.ended}
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
