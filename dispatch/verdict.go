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
	// errorBodyLimit bounds what is read of an error answer, in bytes.
	errorBodyLimit = 64 << 10
	// refusedRetry is the suggested wait after a refusal without Retry-After.
	refusedRetry = 100 * time.Millisecond
)

// Reasons that backend servers and services give in error answers.
const (
	reasonLeaving   = "leaving"
	reasonDuplicate = "duplicate"
	reasonCancelled = "cancelled"
)

// refusals are the reasons by which a server states that it did not start the
// request.
var refusals = map[string]outcome.Reason{
	reasonLeaving:       outcome.NoBackend,
	"model_not_loaded":  outcome.NoBackend,
	"overloaded":        outcome.Overloaded,
	"deadline_exceeded": outcome.DeadlineExceeded,
	"fenced":            outcome.Fenced,
}

// broken returns the outcome of a request without a complete answer.
func broken(ctx context.Context, job Job, mayHaveRun bool, err error) outcome.Outcome {
	reason := outcome.ConnectionLost
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return withdrawn(job, mayHaveRun)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = outcome.DeadlineExceeded
	case !mayHaveRun:
		reason = outcome.NoBackend
	}
	if !mayHaveRun {
		return notRun(job, reason, refusedRetry, err.Error())
	}
	return uncertain(job, reason, err.Error())
}

// withdrawn returns the outcome of a job whose context was cancelled.
func withdrawn(job Job, mayHaveRun bool) outcome.Outcome {
	if job.Lookup || (!job.Idempotent && (mayHaveRun || job.Offset > 0)) {
		return outcome.Outcome{Code: outcome.Unknown, Detail: "cancelled after the request may have been sent"}
	}
	return outcome.Outcome{Code: outcome.Cancelled}
}

// uncertain returns the outcome of a request that may or may not have run.
func uncertain(job Job, reason outcome.Reason, detail string) outcome.Outcome {
	code := outcome.Unknown
	if job.Idempotent && !job.Lookup {
		code = outcome.Failed
	}
	return outcome.Outcome{Code: code, Reason: reason, Detail: detail}
}

// notRun returns the outcome of a request that was not started. A resumed
// stream and a looked-up request may have run earlier, so that nothing is
// known about them now.
func notRun(job Job, reason outcome.Reason, retry time.Duration, detail string) outcome.Outcome {
	if job.Offset > 0 || job.Lookup {
		return uncertain(job, reason, detail)
	}
	result := outcome.NewNotRun(reason, retry)
	result.Detail = detail
	return result
}

// errorBody is the form of error answers.
type errorBody struct {
	Error *struct {
		Reason string `json:"reason"`
	} `json:"error"`
}

// errorReason returns the reason in an error answer, or nothing.
func errorReason(data []byte) string {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return ""
	}
	return body.Error.Reason
}

// refused returns the result of an error answer.
func refused(job Job, response *http.Response) Result {
	data, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyLimit)) // the status alone is enough
	reason := errorReason(data)
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

func errorOutcome(job Job, response *http.Response, reason string) outcome.Outcome {
	if job.Lookup {
		// "Not found" does not prove that the request never runs: it may still
		// be on its way.
		return uncertain(job, "", "lookup: "+response.Status+" "+reason)
	}
	status := response.StatusCode
	mapped, known := refusals[reason]
	if known && (status == http.StatusServiceUnavailable || status == http.StatusConflict) {
		return notRun(job, mapped, retryAfter(response), reason)
	}
	return failure(job, reason, response.Status)
}

// failure returns the outcome of an error that is no refusal.
func failure(job Job, reason, detail string) outcome.Outcome {
	switch reason {
	case reasonDuplicate:
		return uncertain(job, outcome.Conflict, "the backend server already has this attempt")
	case reasonCancelled:
		return withdrawn(job, true)
	}
	if reason != "" {
		detail += ": " + reason
	}
	return outcome.Outcome{Code: outcome.Failed, Detail: detail}
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return refusedRetry
	}
	return time.Duration(seconds) * time.Second
}
