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

// serviceAnswerLimit bounds the answer of a service in bytes.
const serviceAnswerLimit = 1 << 20

// ServiceCaller calls plain services.
type ServiceCaller struct{ transport *Transport }

// NewServiceCaller returns a caller that uses the transport's connections.
func NewServiceCaller(transport *Transport) *ServiceCaller {
	return &ServiceCaller{transport: transport}
}

// Call sends an operation, or looks up its request id, and reads the answer.
// It streams nothing.
func (s *ServiceCaller) Call(
	ctx context.Context, job Job, _ func(string, int64, schedule.Timing),
) Result {
	started := time.Now()
	method, path, body := http.MethodPost, "/do/"+url.PathEscape(job.Operation), []byte(job.Body)
	if job.Lookup {
		method, path, body = http.MethodGet, "/requests/"+url.PathEscape(job.RequestID), nil
	}
	var x exchange
	fresh := !job.Idempotent || job.Lookup
	response, err := s.transport.send(ctx, &x, method, "http://"+job.Endpoint.Address+path, baseHeader(job), body, fresh)
	if err != nil {
		mayHaveRun := x.mayHaveRun()
		result := ended(job, broken(ctx, job, mayHaveRun, err), mayHaveRun)
		result.Timing.Total = time.Since(started)
		return result
	}
	defer response.Body.Close()
	result := readServiceAnswer(ctx, job, response)
	result.Timing.Total = time.Since(started)
	result.Timing.Failed = result.Outcome.Code != outcome.Completed
	return result
}

func readServiceAnswer(ctx context.Context, job Job, response *http.Response) Result {
	if response.StatusCode != http.StatusOK {
		return refused(job, response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, serviceAnswerLimit))
	if err != nil {
		return ended(job, broken(ctx, job, true, err), true)
	}
	var receipt struct {
		RequestID string `json:"request_id"`
		State     string `json:"state"`
	}
	if err := json.Unmarshal(data, &receipt); err != nil {
		return ended(job, uncertain(job, outcome.Malformed, err.Error()), true)
	}
	if receipt.RequestID != job.RequestID {
		return ended(job, uncertain(job, outcome.Conflict, "the answer belongs to another request"), true)
	}
	if receipt.State != "done" {
		return ended(job, uncertain(job, "", "the service has not finished the request"), true)
	}
	return Result{Outcome: outcome.Outcome{Code: outcome.Completed}, Answer: data, Cost: job.WorstCost}
}
