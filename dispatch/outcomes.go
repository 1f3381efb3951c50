package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"dogwoodline.example/outcome"
)

const (
	// maxErrorBodyBytes bounds how much of an error response is read.
	maxErrorBodyBytes = 64 << 10
	// defaultRetryAfter is the suggested wait if the server gave no valid
	// Retry-After header.
	defaultRetryAfter = 100 * time.Millisecond
)

// Reasons in the error responses of backend servers and services.
const (
	reasonLeaving   = "leaving"
	reasonDuplicate = "duplicate"
	reasonCancelled = "cancelled"
)

// refusalReasons maps the reasons with which a server states that it did not
// start the request to outcome reasons.
var refusalReasons = map[string]outcome.Reason{
	reasonLeaving:       outcome.NoBackend,
	"model_not_loaded":  outcome.NoBackend,
	"overloaded":        outcome.Overloaded,
	"deadline_exceeded": outcome.DeadlineExceeded,
	"fenced":            outcome.Fenced,
}

// incompleteOutcome returns the outcome of a request that was not sent or whose
// answer was not received completely. mayHaveRun states whether a byte of the
// request can have reached the server.
func incompleteOutcome(ctx context.Context, job Job, mayHaveRun bool, err error) outcome.Outcome {
	reason := outcome.ConnectionLost
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return cancelledOutcome(job, mayHaveRun)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = outcome.DeadlineExceeded
	case !mayHaveRun:
		reason = outcome.NoBackend
	}
	if !mayHaveRun {
		return notRunOutcome(job, reason, defaultRetryAfter, err.Error())
	}
	return uncertainOutcome(job, reason, err.Error())
}

// cancelledOutcome returns the outcome of a job whose context was cancelled. It
// is Unknown for a lookup, and for a non-idempotent call that may have run.
func cancelledOutcome(job Job, mayHaveRun bool) outcome.Outcome {
	if job.LookupOnly || (!job.Idempotent && (mayHaveRun || job.Offset > 0)) {
		return outcome.Outcome{Code: outcome.Unknown, Detail: "cancelled after the request may have been sent"}
	}
	return outcome.Outcome{Code: outcome.Cancelled}
}

// uncertainOutcome returns the outcome of a request that may or may not have
// run: Failed for an idempotent call, Unknown for any other call and for a
// lookup.
func uncertainOutcome(job Job, reason outcome.Reason, detail string) outcome.Outcome {
	code := outcome.Unknown
	if job.Idempotent && !job.LookupOnly {
		code = outcome.Failed
	}
	return outcome.Outcome{Code: code, Reason: reason, Detail: detail}
}

// notRunOutcome returns the outcome of a request that was not started. Resumed
// streams and lookups are about a request that may have run earlier, so their
// outcome is uncertain.
func notRunOutcome(job Job, reason outcome.Reason, retry time.Duration, detail string) outcome.Outcome {
	if job.Offset > 0 || job.LookupOnly {
		return uncertainOutcome(job, reason, detail)
	}
	result := outcome.NewNotRun(reason, retry)
	result.Detail = detail
	return result
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *struct {
		Reason string `json:"reason"`
	} `json:"error"`
}

// parseErrorReason returns the reason in an error response, or "" if it has
// none.
func parseErrorReason(data []byte) string {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return ""
	}
	return body.Error.Reason
}

// errorResult returns the result of a call that got an error response. One that was
// broken off says nothing: its body may have had the reason of a refusal.
func errorResult(ctx context.Context, job Job, response *http.Response) Result {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		return resultWithoutAnswer(job, incompleteOutcome(ctx, job, true, err), true)
	}
	reason := parseErrorReason(data)
	result := Result{Outcome: errorOutcome(job, response, reason), StartID: response.Header.Get(headerStart)}
	result.Leaving = reason == reasonLeaving
	if json.Valid(data) {
		result.Answer = data
	}
	if result.Outcome.Code != outcome.NotRun {
		result.Cost = job.WorstCost
	}
	return result
}

// errorOutcome returns the outcome of a call that got an error response with
// the given reason.
func errorOutcome(job Job, response *http.Response, reason string) outcome.Outcome {
	if job.LookupOnly {
		// "Not found" does not prove that the request will not run: it may still
		// be in transit.
		return uncertainOutcome(job, "", "lookup: "+response.Status+" "+reason)
	}
	status := response.StatusCode
	mapped, known := refusalReasons[reason]
	if known && (status == http.StatusServiceUnavailable || status == http.StatusConflict) {
		return notRunOutcome(job, mapped, retryAfter(response), reason)
	}
	return failureOutcome(job, reason, response.Status)
}

// failureOutcome returns the outcome of an error that is not a refusal.
func failureOutcome(job Job, reason, detail string) outcome.Outcome {
	switch reason {
	case reasonDuplicate:
		return uncertainOutcome(job, outcome.Conflict, "the backend server already has this attempt")
	case reasonCancelled:
		return cancelledOutcome(job, true)
	}
	if reason != "" {
		detail += ": " + reason
	}
	return outcome.Outcome{Code: outcome.Failed, Detail: detail}
}

// retryAfter returns the wait that the Retry-After header asks for.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
