package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"dogwoodline.example/outcome"
	"dogwoodline.example/schedule"
)

// maxServiceResponseBytes bounds the response of a service.
const maxServiceResponseBytes = 1 << 20

// ServiceCaller calls services.
type ServiceCaller struct{ transport *Transport }

// NewServiceCaller returns a ServiceCaller that uses the transport's connections.
func NewServiceCaller(transport *Transport) *ServiceCaller {
	return &ServiceCaller{transport: transport}
}

// Call calls an operation, or looks up its request ID, and reads the response.
// Services do not stream, so the chunk function is not used.
func (s *ServiceCaller) Call(
	ctx context.Context, job Job, _ func(string, int64, schedule.Timing),
) Result {
	started := time.Now()
	method, path, body := http.MethodPost, "/do/"+url.PathEscape(job.Operation), []byte(job.Body)
	if job.LookupOnly {
		method, path, body = http.MethodGet, "/requests/"+url.PathEscape(job.RequestID), nil
	}
	var tracker sendTracker
	singleUse := !job.Idempotent || job.LookupOnly
	response, err := s.transport.send(
		ctx, &tracker, method, "http://"+job.Endpoint.Address+path, requestHeader(job), body, singleUse)
	if err != nil {
		mayHaveRun := tracker.mayHaveRun()
		result := resultWithoutAnswer(job, incompleteOutcome(ctx, job, mayHaveRun, err), mayHaveRun)
		result.Timing.Total = time.Since(started)
		return result
	}
	defer response.Body.Close()
	result := readServiceResponse(ctx, job, response)
	result.Timing.Total = time.Since(started)
	result.Timing.Failed = result.Outcome.Code != outcome.Completed
	return result
}

// readServiceResponse returns the result that a response stands for. A call is
// completed only if the response names its request ID and the state "done".
func readServiceResponse(ctx context.Context, job Job, response *http.Response) Result {
	if response.StatusCode != http.StatusOK {
		return errorResult(ctx, job, response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxServiceResponseBytes))
	if err != nil {
		return resultWithoutAnswer(job, incompleteOutcome(ctx, job, true, err), true)
	}
	var receipt struct {
		RequestID string `json:"request_id"`
		State     string `json:"state"`
	}
	if err := json.Unmarshal(data, &receipt); err != nil {
		return resultWithoutAnswer(job, uncertainOutcome(job, outcome.Malformed, err.Error()), true)
	}
	if receipt.RequestID != job.RequestID {
		return resultWithoutAnswer(
			job, uncertainOutcome(job, outcome.Conflict, "the answer belongs to another request"), true)
	}
	if receipt.State != "done" {
		return resultWithoutAnswer(job, uncertainOutcome(job, "", "the service has not finished the request"), true)
	}
	return Result{Outcome: outcome.Outcome{Code: outcome.Completed}, Answer: data, Cost: job.WorstCost}
}
