package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"dogwoodline.example/turnstore"
	"dogwoodline.example/turnstore/turnpb"
)

const (
	// pieceTimeout bounds how long an event waits until the stores have it, and
	// maxPieceDelay how long all events of a stream wait in vain.
	pieceTimeout  = 200 * time.Millisecond
	maxPieceDelay = 400 * time.Millisecond
	// pieceRetryDelay is the pause before an event that was not stored is sent again.
	// The copy set may have changed meanwhile.
	pieceRetryDelay = 10 * time.Millisecond
	// pieceSeparator stands between the parts of the id of a piece. Headers cannot
	// contain it, so no client can name a piece as the turn that it continues.
	pieceSeparator = "\x1f"
	// takeUpShift separates the number of a take-up, in the upper bits of a fact's
	// version, from a random number that tells concurrent ones apart. Versions of the
	// attempt that begins the stream are lower.
	takeUpShift = 32
)

// turnPieces says where the events of a turn are stored one by one, while they are
// sent to the client. A turn whose stream may be resumed can be taken up at another
// front, which then needs the events that the client has: what it stores as the
// turn begins with them.
//
// A piece is a record of the kind that conversations consist of. It holds the data
// of one event and names the piece before it, so that a store returns the pieces up to
// the client's last event as it returns a conversation.
type turnPieces struct {
	attempt string // whose events they are
	last    string // the id of the newest piece; empty before the first one
	data    []byte // of events without an id, which go into the next piece
	// unstored holds the pieces that too few stores have acknowledged. They are sent again
	// with the next one.
	unstored []*turnpb.Record
	delayed  time.Duration // how long events have waited in vain
	// stopped is set when the stores take too long. The stream goes on, but whoever
	// takes it up after that is refused.
	stopped bool
}

func pieceID(attempt, event string) string {
	return "piece" + pieceSeparator + attempt + pieceSeparator + event
}

// keepsPieces reports whether the events of the request's turn are stored one by one.
func (e *clientExchange) keepsPieces() bool { return e.route.RetainTurns && e.route.Resumable }

// storePiece stores an event that is about to be sent to the client, if the turn can
// be taken up.
func (c *callWorker) storePiece(j *job, sent event) {
	p := j.pieces
	if p == nil || p.stopped {
		return
	}
	p.data = append(append(p.data, eventData(sent.raw)...), '\n')
	if sent.id == "" {
		return
	}
	piece := &turnpb.Turn{
		Id: pieceID(p.attempt, sent.id), Previous: p.last, Content: p.data, ExpiresUnixMs: j.deadline.Add(originRetention).UnixMilli(),
		Organisation: j.request.Organisation,
	}
	p.last, p.data = piece.Id, nil
	p.unstored = append(p.unstored, &turnpb.Record{Kind: &turnpb.Record_Turn{Turn: piece}})
	started := time.Now()
	result := c.storePieces(j)
	if result.Verdict == turnstore.Stored {
		p.unstored = nil
		return
	}
	p.delayed += time.Since(started)
	p.stopped = p.delayed >= maxPieceDelay
	c.log.Warn("gateway: event of turn not stored yet", "request", j.request.ID, "event", sent.id, "unstored", len(p.unstored),
		"gives_up", p.stopped, "synced", result.Synced, "copy_set", result.CopySet)
}

// storePieces stores the pieces that are not stored yet, with retries for a while.
func (c *callWorker) storePieces(j *job) turnstore.Result {
	ctx, cancel := context.WithTimeout(j.ctx, pieceTimeout)
	defer cancel()
	for {
		result := c.turnStore.Do(ctx, turnstore.Operation{Records: j.pieces.unstored})
		if result.Verdict == turnstore.Stored || !sleep(ctx, pieceRetryDelay) {
			return result
		}
	}
}

// takeUpTurn fetches the events that the client has of the turn whose stream it takes
// up, and claims the turn: from then on, the pieces of this attempt follow the client's
// last event, whatever the front before stores. It reports false if the events are not
// known or another attempt has claimed the turn meanwhile; nothing has run.
func (e *clientExchange) takeUpTurn(ctx context.Context, fact turnstore.Fact, origin *turnpb.StreamOrigin) bool {
	last := pieceID(origin.Attempt, e.request.LastEventID)
	if e.request.LastEventID == origin.AfterEvent {
		last = origin.AfterPiece // that attempt has sent no event
	}
	events := e.gateway.decide(ctx, turnstore.Operation{Chain: last})
	claimed := events.Verdict == turnstore.Stored && e.owns(events.Organisation) && e.claimTurn(ctx, fact, &turnpb.StreamOrigin{
		Service: origin.Service, SoftwareVersion: origin.SoftwareVersion,
		Attempt: e.request.ID, AfterEvent: e.request.LastEventID, AfterPiece: last, Organisation: e.request.Organisation,
	})
	e.log(slog.LevelInfo, "gateway: turn taken up", "verdict", events.Verdict.String(), "claimed", claimed, "attempt_before", origin.Attempt,
		"last_event", e.request.LastEventID, "events", len(events.Conversation), "copy_set", events.CopySet)
	if !claimed {
		return false
	}
	for _, data := range events.Conversation {
		e.turn.output = append(e.turn.output, data...)
	}
	e.pieces = &turnPieces{attempt: e.request.ID, last: last}
	return true
}

// claimTurn stores the origin of a turn for the attempt that takes it up. It reports
// whether the stores know none that is newer.
func (e *clientExchange) claimTurn(ctx context.Context, known turnstore.Fact, origin *turnpb.StreamOrigin) bool {
	deadline, _ := ctx.Deadline()
	claim := turnstore.Fact{Key: known.Key, Version: nextTakeUp(known.Version), Value: encodeOrigin(origin), Expires: deadline.Add(originRetention)}
	result := e.gateway.decide(ctx, turnstore.Operation{Records: []*turnpb.Record{claim.Record()}, FactKey: claim.Key})
	return result.Verdict == turnstore.Stored && result.Fact.Version == claim.Version
}

// decide runs an operation of the start of a turn, with retries while too few stores
// answer.
func (g *Gateway) decide(ctx context.Context, op turnstore.Operation) turnstore.Result {
	var result turnstore.Result
	for range maxBeginTries {
		tryCtx, cancel := context.WithTimeout(ctx, beginTimeout)
		result = g.turnStore.Do(tryCtx, op)
		cancel()
		if result.Verdict != turnstore.Uncertain || !sleep(ctx, beginBackoff) {
			break
		}
	}
	return result
}

// nextTakeUp returns the version of the fact with which an attempt takes up a stream
// whose fact has the given version.
func nextTakeUp(version uint64) uint64 {
	return (version>>takeUpShift+1)<<takeUpShift | uint64(rand.Uint32())
}
