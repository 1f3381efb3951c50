package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/fleet"
	"dogwoodline.example/ring"
	"dogwoodline.example/route"
	"dogwoodline.example/upstream"
)

const (
	// maxResponseBytes limits the body of a response that is not an event stream.
	maxResponseBytes = 8 << 20
	// eventStreamType is the media type of server-sent events.
	eventStreamType = "text/event-stream"
)

// Codec translates between calls and the HTTP headers that backend servers use.
type Codec interface {
	upstream.Decoder
	// Encode returns the headers of a request to a backend server. left is the
	// time until the call's deadline. rank is the queueing priority at a model
	// server, where lower ranks go first; it is -1 for other backend servers.
	// resumeAfter is the ID of the last event received; empty for a stream from
	// its start.
	Encode(request *call.Request, backend string, left time.Duration, rank int, resumeAfter string) http.Header
}

// callWorker sends calls to backend servers, one at a time.
type callWorker struct {
	attempts *ring.Ring[attempt]
	messages *ring.Ring[schedulerMessage] // to the scheduler
	pool     *upstream.Pool
	codec    Codec

	turnStore TurnStore
	log       *slog.Logger
}

func (c *callWorker) run(ctx context.Context) error {
	for {
		a, err := c.attempts.Pop(ctx)
		if err != nil {
			return err
		}
		result := c.attempt(ctx, a)
		result.attempt = a
		result.report.BackendID = a.backend.ID
		if err := c.messages.Push(ctx, schedulerMessage{result: &result}); err != nil {
			return err
		}
		// The result is passed on first, so that a retry does not wait for the
		// check whether the backend server has ended.
		if !result.incomplete {
			continue
		}
		probe := probedServer{backend: a.backend, requestID: a.job.request.ID, found: result.found}
		if !a.job.route.Resumable { // else it was probed before the result
			probe.found = c.pool.Probe(ctx, a.backend.Address)
		}
		if err := c.messages.Push(ctx, schedulerMessage{probe: &probe}); err != nil {
			return err
		}
	}
}

// attempt sends the call to the chosen backend server and forwards the response
// to the handler.
func (c *callWorker) attempt(ctx context.Context, a attempt) attemptResult {
	j := a.job
	left := time.Until(j.deadline)
	if left <= 0 || j.ctx.Err() != nil {
		return attemptResult{verdict: call.NotRun, done: true, reason: "nobody waits"}
	}
	rank := -1
	if j.service.Engine != nil {
		rank = rankOf(j)
	}
	request := upstream.Request{
		ID: j.request.ID, Address: a.backend.Address, Service: a.backend.Service, Method: j.request.Method, Target: j.request.Target,
		Host: j.request.Host, Body: j.body, Header: c.codec.Encode(j.request, a.backend.ID, left, rank, j.resumeAfter),
	}
	if j.route.Resumable {
		// What is recorded of the stream is the software version of this incarnation.
		request.Incarnation = a.backend.Incarnation
	}
	c.recordOrigin(a)
	sent := time.Now()
	exchange, verdict, err := c.pool.Do(j.ctx, request, j.claim)
	if err != nil {
		result := attemptResult{verdict: verdict, reason: err.Error(), done: j.ctx.Err() != nil}
		result.incomplete = verdict == call.Unknown && !result.done
		// A call that timed out without a response counts as a failure of the
		// backend server; a call that its client canceled does not.
		result.report.Failed = verdict == call.Unknown && !errors.Is(j.ctx.Err(), context.Canceled)
		result.report.Unreachable = errors.Is(err, upstream.ErrNotConnected)
		result.report.Misdirected = errors.Is(err, upstream.ErrOtherIncarnation)
		c.detectLostServer(&result, a)
		return result
	}
	defer exchange.Close()
	c.passStatement(ctx, a, exchange.Response)
	j.answer.begin(exchange.Abort)
	result := c.forward(a, exchange)
	if !j.firstEvent.IsZero() && j.firstEvent.After(sent) {
		result.firstEvent = j.firstEvent.Sub(sent)
	}
	if j.answer.end(result.verdict == call.Answered) && result.verdict != call.Answered {
		result.reason = errAnswerBytes.Error()
	}
	result.report.Failed = result.verdict == call.Unknown && !result.done || exchange.Response.Status >= http.StatusInternalServerError && !exchange.Response.NotRun
	c.detectLostServer(&result, a)
	result.report.Duration = time.Since(sent)
	result.report.Comparable = j.route.Kind != route.Unsafe
	return result
}

// detectLostServer checks whether the backend server of an interrupted call
// still accepts connections. It does so on resumable routes only, where the
// result decides whether another backend server may resume the stream.
func (c *callWorker) detectLostServer(result *attemptResult, a attempt) {
	if result.verdict == call.Unknown && !result.done && a.job.route.Resumable {
		result.found = c.pool.Probe(a.job.ctx, a.backend.Address)
		result.serverLost = result.found != upstream.Accepting
	}
}

// forward checks the header of a response and forwards the response.
func (c *callWorker) forward(a attempt, exchange *upstream.Exchange) attemptResult {
	j := a.job
	response := exchange.Response
	success := response.Status >= 200 && response.Status < 300
	switch {
	case response.NotRun:
		c.discardBody(exchange)
		return attemptResult{verdict: call.NotRun, reason: "refused by the backend server", report: refusalReport(response)}
	case !response.Signed || response.ContentEncoded:
		return attemptResult{verdict: call.Unknown, reason: "answer without signature, or encoded"}
	case success && j.route.Kind == route.Streaming && isEventStream(response):
		return c.forwardStream(a, exchange)
	}
	return c.forwardBody(j, exchange)
}

func isEventStream(response call.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType)
}

func refusalReport(response call.Response) fleet.CallResult {
	return fleet.CallResult{Misdirected: response.Misdirected, AtCapacity: !response.Misdirected}
}

// discardBody reads the body of a refusal, so that the connection can be reused.
func (c *callWorker) discardBody(exchange *upstream.Exchange) {
	_, _ = io.Copy(io.Discard, io.LimitReader(exchange, 64<<10))
}

// forwardBody forwards a response that is not a stream, once it is complete.
func (c *callWorker) forwardBody(j *job, exchange *upstream.Exchange) attemptResult {
	body, err := j.answer.readBody(exchange, maxResponseBytes)
	if err != nil {
		return attemptResult{verdict: call.Unknown, reason: "answer broken off: " + err.Error(), done: j.ctx.Err() != nil, incomplete: j.ctx.Err() == nil}
	}
	response := exchange.Response
	if j.headSent { // the response to a resumed stream must be a stream
		return attemptResult{verdict: call.Unknown, reason: "no stream after resuming"}
	}
	pushLast(j, responsePart{head: &response, body: body, hasBody: true})
	return attemptResult{verdict: call.Answered, done: true}
}

// forwardStream forwards events as they arrive.
func (c *callWorker) forwardStream(a attempt, exchange *upstream.Exchange) (result attemptResult) {
	j := a.job
	events := newEventReader(exchange, j.answer.grow)
	received := 0
	gaps := eventGaps{}
	defer func() { result.report.EventGap = gaps.median() }()
	resumedHere, resumed := j.headSent, j.resumeAfter != ""
	for {
		asked := time.Now()
		event, err := events.next()
		if errors.Is(err, io.EOF) && events.incompleteBytes() == 0 {
			// The rest of a stream may be empty, but so is one that was lost at once.
			if resumedHere && received == 0 && !exchange.Framed() {
				return attemptResult{verdict: call.Unknown, reason: "stream ended at once after resuming", incomplete: true}
			}
			// A stream that is resumed after its last event has no events.
			if !forwardHead(j, exchange) {
				return attemptResult{verdict: call.Unknown, done: true}
			}
			pushLast(j, responsePart{end: true, backend: a.backend.ID})
			return attemptResult{verdict: call.Answered, done: true}
		}
		if err != nil {
			return attemptResult{verdict: call.Unknown, reason: "stream broken off: " + err.Error(), done: j.ctx.Err() != nil, incomplete: j.ctx.Err() == nil}
		}
		if resumed && received == 0 && !follows(event.id, j.resumeAfter) {
			return attemptResult{verdict: call.Unknown, reason: "stream does not go on after event " + j.resumeAfter}
		}
		received++
		gaps.add(asked, time.Now())
		if !c.bindToOrigin(a) {
			return attemptResult{verdict: call.Unknown, reason: "the origin of the stream could not be stored", done: j.ctx.Err() != nil}
		}
		c.storePiece(j, event)
		if !forwardHead(j, exchange) {
			return attemptResult{verdict: call.Unknown, done: true}
		}
		if j.parts.Push(j.ctx, responsePart{event: event.raw}) != nil {
			return attemptResult{verdict: call.Unknown, done: true}
		}
		if j.events == 0 {
			j.firstEvent = time.Now()
		}
		j.events++
		if event.id != "" {
			j.resumeAfter = event.id
		}
	}
}

// forwardHead forwards the header of a stream's response unless the client
// already has it. It reports false if the client has left or the deadline has
// passed.
func forwardHead(j *job, exchange *upstream.Exchange) bool {
	if j.headSent {
		return true
	}
	response := exchange.Response
	j.headSent = j.parts.Push(j.ctx, responsePart{head: &response}) == nil
	return j.headSent
}
