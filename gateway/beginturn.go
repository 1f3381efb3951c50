package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"dogwoodline.example/route"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/urgency"
)

// takesUp reports whether the client takes up a stream after its last event.
func (e *clientExchange) takesUp() bool {
	return e.route.Kind == route.Streaming && e.route.Resumable && e.request.LastEventID != ""
}

// beginTurn reserves the turn's token budget, finds the origin of a stream that the
// client takes up, and returns the body to send: the conversation so far, followed
// by the request's own body. It reports false if it has already responded.
func (e *clientExchange) beginTurn(ctx context.Context) ([]byte, bool) {
	if !e.takesUp() {
		e.request.ResumedAttempt = "" // there is no event to go on after
	}
	if e.route.Kind != route.Streaming || (!e.turn.hasBudget && !e.route.RetainTurns && !e.takesUp()) {
		return e.request.Body, true
	}
	if r := e.refusedByStores(); r != nil {
		e.respondRefused(*r)
		return nil, false
	}
	if e.keepsPieces() {
		e.pieces = &turnPieces{attempt: e.request.ID}
	}
	start := time.Now()
	result := e.turn.begin(ctx, start)
	owner := "" // another organisation to which the turn before belongs
	if !e.owns(result.Organisation) {
		owner, result.Verdict = result.Organisation, turnstore.TurnMissing
	}
	e.turnsBefore = len(result.Conversation)
	e.startsProgram = e.turn.hasBudget && result.Spent == 0 && result.Reserved == 0
	e.log(slog.LevelInfo, "gateway: turn begun", "verdict", result.Verdict.String(), "program", e.request.Program,
		"previous", e.request.PreviousTurn, "budget", e.request.TokenBudget, "spent", result.Spent, "reserved", result.Reserved, "ledger_entries", result.LedgerEntries,
		"most", e.request.MaxOutputTokens, "synced", result.Synced, "copy_set", result.CopySet, "turns", len(result.Conversation), "missing_turn", result.MissingTurn, "turn_of", owner, "resumed_attempt", e.request.ResumedAttempt,
		"took_ms", time.Since(start).Milliseconds())
	if result.Verdict != turnstore.Stored {
		e.refuseTurn(result, start)
		return nil, false
	}
	if !e.programWithinQuota() {
		e.turn.settle(start)
		return nil, false
	}
	if e.startsAnew() && e.storesLackRoom() {
		e.turn.settle(start)
		e.respondRefused(*e.noRoom())
		return nil, false
	}
	if e.takesUp() && !e.useOrigin(ctx, result.Fact) {
		e.turn.settle(start)
		return nil, false
	}
	e.home = result.HomeServer
	body, held := e.withConversation(ctx, result.Conversation)
	if !held {
		e.turn.settle(start)
		e.refuse("no memory for the conversation", retryAfterFull)
		return nil, false
	}
	return body, true
}

// turnNumber returns the number of turns of the conversation before the request, or
// urgency.NotTurn for requests that are no turns.
func (e *clientExchange) turnNumber() int {
	if e.route.Kind != route.Streaming || !e.route.RetainTurns {
		return urgency.NotTurn
	}
	return e.turnsBefore
}

// withConversation returns the turns before, followed by the request's own body. It
// reports false if there is no memory for them.
func (e *clientExchange) withConversation(ctx context.Context, turns [][]byte) ([]byte, bool) {
	if len(turns) == 0 {
		return e.request.Body, true
	}
	size := len(e.request.Body)
	for _, content := range turns {
		size += len(content)
	}
	if !e.holdBytes(ctx, int64(size)-uncountedRequestBytes) {
		return nil, false
	}
	body := make([]byte, 0, size)
	for _, content := range turns {
		body = append(body, content...)
	}
	return append(body, e.request.Body...), true
}

// refuseTurn responds to a request whose turn the stores did not let begin at the
// given time.
func (e *clientExchange) refuseTurn(result turnstore.Result, start time.Time) {
	switch result.Verdict {
	case turnstore.OverBudget:
		e.writeError(http.StatusPaymentRequired, "the program's token budget is spent")
	case turnstore.TurnMissing:
		e.turn.settle(start)
		e.writeError(http.StatusNotFound, "no such turn")
	default:
		if e.r.Context().Err() != nil {
			e.abortClientLeft("while its turn was started")
		}
		e.refuse(uncertainReason(result), retryAfterNotReady)
	}
}

// uncertainReason says why it is not certain whether a turn may begin.
func uncertainReason(result turnstore.Result) string {
	if result.MissingTurn != "" {
		return "no turn store that answered has an earlier turn of the conversation"
	}
	return "too few turn stores answered"
}

// useOrigin lets the request run only where the rest of the stream that the client
// takes up may come from. It reports false if it has refused the request, because
// that is not known: the client can begin anew at once.
func (e *clientExchange) useOrigin(ctx context.Context, fact turnstore.Fact) bool {
	origin, known := decodeOrigin(fact)
	if !known || !e.route.Allows(origin.Service) || !e.owns(origin.Organisation) {
		e.refuse("the origin of the stream that is taken up is not known", retryAfterUnknownStream)
		return false
	}
	if e.keepsPieces() && !e.takeUpTurn(ctx, fact, origin) {
		e.refuse("the events that the client has of the turn are not known", retryAfterUnknownStream)
		return false
	}
	e.origin = &streamOrigin{service: origin.Service, version: origin.SoftwareVersion}
	e.service = e.findService(origin.Service)
	e.turn.useEngine(e.service.Engine)
	return true
}
