package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/ring"
	"dogwoodline.example/route"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/turnstore/turnpb"
)

const (
	// maxBeginTries and beginBackoff control how the start of a turn is tried
	// again if too few turn stores answer, or if the budget is exceeded only
	// because concurrent turns hold reservations.
	maxBeginTries = 3
	beginBackoff  = 25 * time.Millisecond
	// beginTimeout limits one request to the stores at the start of a turn.
	beginTimeout = 400 * time.Millisecond
	// commitRetryDelay is the delay before the end of a turn that was not stored
	// is sent again.
	commitRetryDelay = 20 * time.Millisecond
	// budgetRetentionMargin is how much longer than its turns a program's budget
	// is retained, because a stopped program may continue until its last turn
	// expires. Turns get half of it.
	budgetRetentionMargin = time.Minute
	// withdrawalRetention is how long stores keep the settlement of an attempt that
	// generated nothing. It is longer than a reservation can be on its way, or be missing
	// at a store that was away.
	withdrawalRetention = 30 * time.Second
	// defaultRetention applies if the route sets no retention.
	defaultRetention = 2 * time.Minute
)

// TurnStore is the client of the turn stores, which hold conversations and token
// budgets.
type TurnStore interface {
	// Serving reports whether enough stores are known to store turns.
	Serving() bool
	// Fullness returns how full the stores are; from 1 on they may refuse records.
	Fullness() float64
	// Do runs an operation and waits for its result.
	Do(ctx context.Context, op turnstore.Operation) turnstore.Result
	// Start starts an operation and returns the channel on which its result arrives.
	Start(op turnstore.Operation) <-chan turnstore.Result
	// Send stores records without waiting. It reports whether they were queued.
	Send(records ...*turnpb.Record) bool
	// ReportCrash reports a crash to all fronts. It reports whether it was queued.
	ReportCrash(crash turnstore.Crash) bool
	// Announced returns the ring of facts that fronts have announced.
	Announced() *ring.Ring[turnstore.Fact]
	// Crashes returns the ring of crashes that fronts have reported.
	Crashes() *ring.Ring[turnstore.Crash]
}

// turnRecord collects what the turn stores must record of one turn.
type turnRecord struct {
	turnStore      TurnStore
	request        *call.Request
	route          *route.Route
	input          []byte
	output         []byte
	tokens         int64 // sent to the client
	tokensPerEvent int64
	hasBudget      bool // the program has a budget
	// attempt identifies the reservation. A settled reservation cannot be reused,
	// so each further reservation gets a new identifier.
	attempt string
	backend string // the ID of the backend server that generated the turn
}

func newTurnRecord(turnStore TurnStore, request *call.Request, r *route.Route, engine *route.Engine, input []byte) *turnRecord {
	t := &turnRecord{turnStore: turnStore, request: request, route: r, input: input, attempt: request.ID}
	t.hasBudget = request.Program != "" && request.TokenBudget > 0
	t.useEngine(engine)
	return t
}

// useEngine sets the engine that generates the turn; nil if the service has none.
func (t *turnRecord) useEngine(engine *route.Engine) {
	t.tokensPerEvent = 1
	if engine != nil && engine.TokensPerEvent > 0 {
		t.tokensPerEvent = int64(engine.TokensPerEvent)
	}
}

func (t *turnRecord) retention() time.Duration {
	if t.route.Retention > 0 {
		return t.route.Retention
	}
	return defaultRetention
}

// turnRetention is how long stores keep the turn.
func (t *turnRecord) turnRetention() time.Duration { return t.retention() + budgetRetentionMargin/2 }

func (t *turnRecord) reservation(now time.Time) *turnpb.Record {
	return &turnpb.Record{Kind: &turnpb.Record_Reservation{Reservation: &turnpb.Reservation{
		Program: t.request.Program, Attempt: t.attempt, Tokens: int64(t.request.MaxOutputTokens),
		ExpiresUnixMs: now.Add(t.retention() + budgetRetentionMargin).UnixMilli(), Budget: int64(t.request.TokenBudget),
	}}}
}

func (t *turnRecord) settlement(now time.Time) *turnpb.Record {
	retention := t.retention() + budgetRetentionMargin
	if t.tokens == 0 {
		retention = min(retention, withdrawalRetention)
	}
	return &turnpb.Record{Kind: &turnpb.Record_Settlement{Settlement: &turnpb.Settlement{
		Program: t.request.Program, Attempt: t.attempt, Tokens: t.tokens, ExpiresUnixMs: now.Add(retention).UnixMilli(),
	}}}
}

// begin reserves the turn's tokens and fetches the conversation that it
// continues, and the origin of the stream that it takes up.
func (t *turnRecord) begin(ctx context.Context, now time.Time) turnstore.Result {
	op := turnstore.Operation{}
	if t.route.RetainTurns {
		op.Chain = t.request.PreviousTurn
	}
	if t.request.ResumedAttempt != "" {
		op.FactKey = originKey(t.route, t.request.ResumedAttempt)
	}
	if !t.hasBudget && op.Chain == "" && op.FactKey == "" {
		return turnstore.Result{Verdict: turnstore.Stored}
	}
	var result turnstore.Result
	for try := range maxBeginTries {
		if try > 0 && !sleep(ctx, beginBackoff/2+rand.N(beginBackoff)) {
			break
		}
		if t.hasBudget {
			op.Records = []*turnpb.Record{t.reservation(now)}
			op.Budget = int64(t.request.TokenBudget)
		}
		tryCtx, cancel := context.WithTimeout(ctx, beginTimeout)
		result = t.turnStore.Do(tryCtx, op)
		cancel()
		switch {
		case result.Verdict == turnstore.OverBudget:
			t.settle(now)
			if result.Reserved == 0 || result.Spent+int64(t.request.MaxOutputTokens) > op.Budget {
				return result
			}
			// Only the reservations of concurrent turns exceed the budget, and
			// those turns may be about to release theirs for the same reason.
			t.attempt = t.request.ID + "/" + strconv.Itoa(try+1)
		case result.Verdict != turnstore.Uncertain:
			return result
		}
	}
	if result.Verdict == turnstore.Uncertain {
		t.settle(now)
	}
	return result
}

// settle replaces the reservation by the tokens that were sent to the client.
func (t *turnRecord) settle(now time.Time) {
	if t.hasBudget {
		t.turnStore.Send(t.settlement(now))
	}
}

// addEvent adds an event that is sent to the client.
func (t *turnRecord) addEvent(raw []byte) {
	t.tokens += t.tokensPerEvent
	if t.route.RetainTurns {
		t.output = append(append(t.output, eventData(raw)...), '\n')
	}
}

// commit stores the complete turn, with retries until ctx ends. It reports
// whether the turn is stored; only then may the client see the end of the
// response.
func (t *turnRecord) commit(ctx context.Context) (turnstore.Result, bool) {
	now := time.Now()
	if !t.route.RetainTurns {
		t.settle(now)
		return turnstore.Result{}, true
	}
	content := append(append(make([]byte, 0, len(t.input)+len(t.output)), t.input...), t.output...)
	op := turnstore.Operation{Records: []*turnpb.Record{{Kind: &turnpb.Record_Turn{Turn: &turnpb.Turn{
		Id: t.request.ID, Previous: t.request.PreviousTurn, Content: content, Organisation: t.request.Organisation,
		BackendServer: t.backend,
		ExpiresUnixMs: now.Add(t.turnRetention()).UnixMilli(),
	}}}}}
	if t.hasBudget {
		op.Records = append(op.Records, t.settlement(now))
	}
	for {
		result := t.turnStore.Do(ctx, op)
		if result.Verdict == turnstore.Stored {
			return result, true
		}
		if !sleep(ctx, commitRetryDelay) {
			return result, false
		}
	}
}

// sleep waits for the given time. It reports false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
