package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// uncountedRequestBytes is how much each request may hold without being counted.
	uncountedRequestBytes = 32 << 10
	// firstBodyBytes is the size of the first buffer for a body of unknown length.
	firstBodyBytes = 16 << 10
	// defaultMaxBodyBytes is the greatest length of a body if the configuration sets
	// none.
	defaultMaxBodyBytes = 4 << 20
	// maxRequestBytesWait is how long a request waits for memory before it is refused.
	maxRequestBytesWait = 700 * time.Millisecond
)

// requestBudget bounds the bytes that the bodies of all requests hold in memory.
// Requests for which there is no room wait in the order of their arrival.
type requestBudget struct {
	limit int64
	free  *semaphore.Weighted
	held  atomic.Int64
}

func newRequestBudget(limit int64) *requestBudget {
	return &requestBudget{limit: limit, free: semaphore.NewWeighted(limit)}
}

// acquire sets aside bytes for a request, and returns how many it counted: a request
// larger than the budget gets the whole budget. It reports false if no room was free
// within maxRequestBytesWait or before the context ended.
func (b *requestBudget) acquire(ctx context.Context, count int64) (int64, bool) {
	if count <= 0 {
		return 0, true
	}
	count = min(count, b.limit)
	ctx, cancel := context.WithTimeout(ctx, maxRequestBytesWait)
	defer cancel()
	if b.free.Acquire(ctx, count) != nil {
		return 0, false
	}
	b.held.Add(count)
	return count, true
}

func (b *requestBudget) release(count int64) {
	b.held.Add(-count)
	b.free.Release(count)
}

// holdBytes counts further bytes for the request until releaseBytes. A request never
// holds more than the whole budget, so that one alone is always served.
func (e *clientExchange) holdBytes(ctx context.Context, count int64) bool {
	budget := e.gateway.requestBudget
	count, held := budget.acquire(ctx, min(count, budget.limit-e.heldBytes))
	e.heldBytes += count
	return held
}

// releaseBytes uncounts bytes until the request holds at most the given number.
func (e *clientExchange) releaseBytes(most int64) {
	if surplus := e.heldBytes - most; surplus > 0 {
		e.gateway.requestBudget.release(surplus)
		e.heldBytes = most
	}
}

// readBody reads the request's body within the time of the request. If it reports
// false, it has already written an error response.
func (e *clientExchange) readBody() bool {
	limit, tooLong := e.limitBody(e.r.ContentLength)
	if tooLong != nil {
		e.respondRefused(*tooLong)
		return false
	}
	if e.r.ContentLength == 0 {
		return true
	}
	deadline := e.request.Arrived.Add(e.request.Timeout)
	ctx, cancel := context.WithDeadline(e.r.Context(), deadline)
	defer cancel()
	control := http.NewResponseController(e.w)
	if err := control.SetReadDeadline(deadline); err != nil {
		e.log(slog.LevelWarn, "gateway: the time to read the body cannot be limited", "error", err)
	}
	body, err := e.readWithin(ctx, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		e.writeError(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body has more than %d bytes", limit))
		return false
	case errors.Is(err, errNoRequestBytes):
		e.refuse("no memory for the body of the request", retryAfterFull)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.w.Header().Set("Connection", "close") // the rest of the body may still arrive
		e.writeError(http.StatusRequestTimeout, "the body did not arrive within the time of the request")
		return false
	case err != nil:
		e.log(slog.LevelInfo, "gateway: reading the request body failed", "error", err)
		panic(http.ErrAbortHandler)
	}
	// The server goes on to read, to notice that the client leaves.
	_ = control.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	e.request.Body = body
	return true
}

// errNoRequestBytes reports that the budget has no room for a body.
var errNoRequestBytes = errors.New("the memory for requests is used up")

// readWithin reads the body, of which it counts what is above uncountedRequestBytes.
// A body whose length is not known counts as one of the greatest length until it has
// been read.
func (e *clientExchange) readWithin(ctx context.Context, limit int64) ([]byte, error) {
	if known := e.r.ContentLength; known > 0 {
		if !e.holdBytes(ctx, known-uncountedRequestBytes) {
			return nil, errNoRequestBytes
		}
		body := make([]byte, known)
		_, err := io.ReadFull(e.r.Body, body)
		return body, err
	}
	from := http.MaxBytesReader(e.w, e.r.Body, limit)
	body := make([]byte, 0, firstBodyBytes)
	for {
		count, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case err == io.EOF:
			e.releaseBytes(int64(len(body)))
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		case cap(body) == uncountedRequestBytes && !e.holdBytes(ctx, limit):
			return nil, errNoRequestBytes
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}
