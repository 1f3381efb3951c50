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
	// beginTries and beginPause bound how often a turn asks the stores again
	// when too few answered or others reserved at the same moment.
	beginTries = 3
	beginPause = 25 * time.Millisecond
	// beginTimeout bounds one question to the stores.
	beginTimeout = 400 * time.Millisecond
	// commitPause is the pause before an end that was not stored is sent again.
	commitPause = 20 * time.Millisecond
	// ledgerSlack is added to the retention of a program's budget, since a
	// stopped program may return until its last turn expires.
	ledgerSlack = time.Minute
	// defaultRetention is used where a route states none.
	defaultRetention = 2 * time.Minute
)

// Keeper stores turns and budgets.
type Keeper interface {
	Serving() bool
	Do(ctx context.Context, op turnstore.Operation) turnstore.Result
	Send(records ...*turnpb.Record) bool
	// Report tells other fronts of a crash.
	Report(crash turnstore.Crash) bool
	// Crashes is the ring of crashes that fronts have reported.
	Crashes() *ring.Ring[turnstore.Crash]
}

// turnRecord is what one turn must have recorded.
type turnRecord struct {
	keeper  Keeper
	request *call.Request
	route   *route.Route
	input   []byte
	output  []byte
	tokens  int64 // handed to the client
	perPart int64
	limited bool // the program has a budget
	// attempt names the reservation. A reservation that was given up is
	// settled for ever, so the next one has another name.
	attempt string
}

func newTurnRecord(keeper Keeper, request *call.Request, r *route.Route, engine *route.Engine, input []byte) *turnRecord {
	t := &turnRecord{keeper: keeper, request: request, route: r, input: input, perPart: 1, attempt: request.ID}
	t.limited = request.Program != "" && request.TokenBudget > 0
	if engine != nil && engine.TokensPerEvent > 0 {
		t.perPart = int64(engine.TokensPerEvent)
	}
	return t
}

func (t *turnRecord) retention() time.Duration {
	if t.route.Retention > 0 {
		return t.route.Retention
	}
	return defaultRetention
}

func (t *turnRecord) reservation(now time.Time) *turnpb.Record {
	return &turnpb.Record{Kind: &turnpb.Record_Reservation{Reservation: &turnpb.Reservation{
		Program: t.request.Program, Attempt: t.attempt, Tokens: int64(t.request.MaxOutput),
		ExpiresUnixMs: now.Add(t.retention() + ledgerSlack).UnixMilli(),
	}}}
}

func (t *turnRecord) settlement(now time.Time) *turnpb.Record {
	return &turnpb.Record{Kind: &turnpb.Record_Settlement{Settlement: &turnpb.Settlement{
		Program: t.request.Program, Attempt: t.attempt, Tokens: t.tokens,
		ExpiresUnixMs: now.Add(t.retention() + ledgerSlack).UnixMilli(),
	}}}
}

// begin reserves the turn's tokens and fetches its conversation.
func (t *turnRecord) begin(ctx context.Context, now time.Time) turnstore.Result {
	op := turnstore.Operation{}
	if t.route.RetainTurns {
		op.Chain = t.request.PreviousTurn
	}
	if !t.limited && op.Chain == "" {
		return turnstore.Result{Verdict: turnstore.Stored}
	}
	var result turnstore.Result
	for try := range beginTries {
		if try > 0 && !pause(ctx, beginPause/2+rand.N(beginPause)) {
			break
		}
		if t.limited {
			op.Records = []*turnpb.Record{t.reservation(now)}
			op.Budget = int64(t.request.TokenBudget)
		}
		call, cancel := context.WithTimeout(ctx, beginTimeout)
		result = t.keeper.Do(call, op)
		cancel()
		switch {
		case result.Verdict == turnstore.Spent:
			t.settle(now)
			if result.Reserved == 0 || result.Spent+int64(t.request.MaxOutput) > op.Budget {
				return result
			}
			// Others hold reservations, and may be about to give them up for
			// the same reason.
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

// settle replaces the reservation by what was handed out.
func (t *turnRecord) settle(now time.Time) {
	if t.limited {
		t.keeper.Send(t.settlement(now))
	}
}

// add counts an event that was passed on.
func (t *turnRecord) add(raw []byte) {
	t.tokens += t.perPart
	if t.route.RetainTurns {
		t.output = append(append(t.output, eventData(raw)...), '\n')
	}
}

// commit stores the whole turn. It reports whether the turn is stored; only
// then may the client see the end of the answer.
func (t *turnRecord) commit(ctx context.Context) (turnstore.Result, bool) {
	now := time.Now()
	if !t.route.RetainTurns {
		t.settle(now)
		return turnstore.Result{}, true
	}
	content := append(append(make([]byte, 0, len(t.input)+len(t.output)), t.input...), t.output...)
	op := turnstore.Operation{Records: []*turnpb.Record{{Kind: &turnpb.Record_Turn{Turn: &turnpb.Turn{
		Id: t.request.ID, Previous: t.request.PreviousTurn, Content: content,
		ExpiresUnixMs: now.Add(t.retention() + ledgerSlack/2).UnixMilli(),
	}}}}}
	if t.limited {
		op.Records = append(op.Records, t.settlement(now))
	}
	for {
		result := t.keeper.Do(ctx, op)
		if result.Verdict == turnstore.Stored {
			return result, true
		}
		if !pause(ctx, commitPause) {
			return result, false
		}
	}
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
