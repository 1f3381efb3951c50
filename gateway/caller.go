package gateway

import (
	"context"
	"errors"
	"io"
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
	// mostBody bounds the body of an answer that is not a stream.
	mostBody = 8 << 20
	// eventPrefix of a media type marks a stream of events.
	eventStream = "text/event-stream"
)

// Codec translates between calls and the headers of backend servers.
type Codec interface {
	upstream.Decoder
	Encode(request *call.Request, backend string, left time.Duration, rank int, resumeAfter string) http.Header
}

// caller is a duty that makes one call at a time.
type caller struct {
	attempts *ring.Ring[attempt]
	ends     *ring.Ring[schedulerItem]
	pool     *upstream.Pool
	codec    Codec
}

func (c *caller) run(ctx context.Context) error {
	for {
		a, err := c.attempts.Pop(ctx)
		if err != nil {
			return err
		}
		end := c.call(a)
		end.attempt = a
		end.report.ID = a.backend.ID
		if err := c.ends.Push(ctx, schedulerItem{end: &end}); err != nil {
			return err
		}
		if !end.broken || !end.lost && c.pool.Reachable(ctx, a.backend.Address) {
			continue
		}
		if err := c.ends.Push(ctx, schedulerItem{crashed: a.job}); err != nil {
			return err
		}
	}
}

// call makes one attempt and passes the answer on to the handler.
func (c *caller) call(a attempt) attemptEnd {
	j := a.job
	left := time.Until(j.deadline)
	if left <= 0 || j.ctx.Err() != nil {
		return attemptEnd{verdict: call.NotRun, done: true, reason: "nobody waits"}
	}
	rank := -1
	if j.service.Engine != nil {
		rank = 2 * j.route.Priority // programs under way go before those that begin
		if j.fresh {
			rank++
		}
	}
	request := upstream.Request{
		ID: j.request.ID, Address: a.backend.Address, Service: a.backend.Service, Method: j.request.Method, Target: j.request.Target,
		Host: j.request.Host, Body: j.body, Header: c.codec.Encode(j.request, a.backend.ID, left, rank, j.resumeAfter),
	}
	sent := time.Now()
	exchange, verdict, err := c.pool.Do(j.ctx, request, j.claim)
	if err != nil {
		end := attemptEnd{verdict: verdict, reason: err.Error(), done: j.ctx.Err() != nil}
		end.broken = verdict == call.Unknown && !end.done
		// A call that ran out of time without an answer counts; one that its client
		// gave up does not.
		end.report.Failed = verdict == call.Unknown && !errors.Is(j.ctx.Err(), context.Canceled)
		end.report.Unreachable = errors.Is(err, upstream.ErrNotConnected)
		c.probe(&end, a)
		return end
	}
	defer exchange.Close()
	end := c.receive(j, exchange)
	end.report.Failed = end.verdict == call.Unknown && !end.done || exchange.Answer.Status >= http.StatusInternalServerError && !exchange.Answer.NotRun
	c.probe(&end, a)
	end.report.Took = time.Since(sent)
	end.report.Typical = j.route.Kind != route.Unsafe
	return end
}

// probe finds out whether the backend server of a broken stream is still
// there, if that decides whether the stream may go on elsewhere.
func (c *caller) probe(end *attemptEnd, a attempt) {
	if end.verdict == call.Unknown && !end.done && a.job.route.Resumable {
		end.lost = !c.pool.Reachable(a.job.ctx, a.backend.Address)
	}
}

// receive judges the head of an answer and passes the answer on.
func (c *caller) receive(j *job, exchange *upstream.Exchange) attemptEnd {
	answer := exchange.Answer
	success := answer.Status >= 200 && answer.Status < 300
	switch {
	case answer.NotRun:
		c.drain(exchange)
		return attemptEnd{verdict: call.NotRun, reason: "refused by the backend server", report: reportOfRefusal(answer)}
	case !answer.Signed || answer.Encoded:
		return attemptEnd{verdict: call.Unknown, reason: "answer without signature, or encoded"}
	case success && j.route.Kind == route.Streaming && isEvents(answer):
		return c.stream(j, exchange)
	}
	return c.whole(j, exchange)
}

func isEvents(answer call.Answer) bool {
	return strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream)
}

func reportOfRefusal(answer call.Answer) fleet.Report {
	return fleet.Report{Misdirected: answer.WrongServer, Full: !answer.WrongServer}
}

// drain reads the rest of a refusal, so that the connection can be kept.
func (c *caller) drain(exchange *upstream.Exchange) {
	_, _ = io.Copy(io.Discard, io.LimitReader(exchange, 64<<10))
}

// whole passes on an answer that is not a stream, once it is complete.
func (c *caller) whole(j *job, exchange *upstream.Exchange) attemptEnd {
	body, err := io.ReadAll(io.LimitReader(exchange, mostBody+1))
	if err != nil || len(body) > mostBody {
		return attemptEnd{verdict: call.Unknown, reason: "answer broken off", done: j.ctx.Err() != nil, broken: j.ctx.Err() == nil}
	}
	answer := exchange.Answer
	if j.headSent { // a resumed stream was answered by something else
		return attemptEnd{verdict: call.Unknown, reason: "no stream after resuming"}
	}
	finish(j, part{head: &answer, body: body, whole: true})
	return attemptEnd{verdict: call.Answered, done: true}
}

// stream passes events on as they arrive.
func (c *caller) stream(j *job, exchange *upstream.Exchange) attemptEnd {
	events := newEventReader(exchange)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && events.rest() == 0 {
			// A stream that its client resumed after the last event has no event.
			if !passHead(j, exchange) {
				return attemptEnd{verdict: call.Unknown, done: true}
			}
			finish(j, part{end: true})
			return attemptEnd{verdict: call.Answered, done: true}
		}
		if err != nil {
			return attemptEnd{verdict: call.Unknown, reason: "stream broken off", done: j.ctx.Err() != nil, broken: j.ctx.Err() == nil}
		}
		if !passHead(j, exchange) {
			return attemptEnd{verdict: call.Unknown, done: true}
		}
		if j.parts.Push(j.ctx, part{event: event.raw}) != nil {
			return attemptEnd{verdict: call.Unknown, done: true}
		}
		j.events++
		if event.id != "" {
			j.resumeAfter = event.id
		}
	}
}

// passHead passes the head of a stream on unless that is done. It reports false
// if nobody waits.
func passHead(j *job, exchange *upstream.Exchange) bool {
	if j.headSent {
		return true
	}
	answer := exchange.Answer
	j.headSent = j.parts.Push(j.ctx, part{head: &answer}) == nil
	return j.headSent
}
