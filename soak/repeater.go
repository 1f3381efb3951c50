package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/ring"
	"dogwoodline.example/soak/check"
)

// directRequest is a call that is sent to one node without the client, which
// would choose the owner and retry.
type directRequest struct {
	program    string
	body       api.CallBody
	via        string
	nodeChoice uint32 // random number that selects the node
	delay      time.Duration
}

// repeater is a worker that sends direct requests, each after its delay, and
// records their outcomes until ctx ends.
func (r *run) repeater(ctx context.Context, jobs *ring.Ring[directRequest]) error {
	httpClient := &http.Client{Transport: newTransport()}
	for {
		job, err := jobs.Pop(ctx)
		if err != nil {
			return err
		}
		if !pause(ctx, job.delay) {
			return ctx.Err()
		}
		urls := r.deployment.urls()
		r.recorder.addCall(r.send(ctx, httpClient, urls[int(job.nodeChoice)%len(urls)], job))
	}
}

// send sends one request to one node. Without a response the outcome is
// recorded as unknown.
func (r *run) send(ctx context.Context, httpClient *http.Client, url string, job directRequest) check.Call {
	observed := check.Call{
		Program: job.program, RequestID: job.body.RequestID, Order: job.body.Order, Model: job.body.Kind == program.Model,
		Origin: job.via, MaxTokens: job.body.MaxTokens, Invoked: r.since(), Code: outcome.Unknown,
	}
	reply, err := post(ctx, httpClient, url+"/v1/programs/"+job.program+"/calls", job.body)
	observed.Returned = r.since()
	if err != nil {
		observed.Detail = err.Error()
		return observed
	}
	observed.Code, observed.Reason, observed.Detail = reply.Outcome.Code, reply.Outcome.Reason, reply.Outcome.Detail
	observed.Answer, observed.Recorded, observed.Attempt = string(reply.Raw()), reply.Recorded, reply.Attempt
	return observed
}

// replyGrace is the time beyond its deadline that post waits for the response to
// a request.
const replyGrace = 2 * time.Second

// post sends a call to a node with the tenant key and decodes the reply. It
// returns an error if the response contains no outcome.
func post(ctx context.Context, httpClient *http.Client, url string, body api.CallBody) (api.CallReply, error) {
	var reply api.CallReply
	timeout := time.Duration(body.DeadlineMS)*time.Millisecond + replyGrace
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return reply, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return reply, Error.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	response, err := httpClient.Do(request)
	if err != nil {
		return reply, Error.Wrap(err)
	}
	defer response.Body.Close()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return reply, Error.Wrap(err)
	}
	if err := json.Unmarshal(data, &reply); err != nil || reply.Outcome.Code == "" {
		return reply, Error.New("HTTP status %d without an outcome", response.StatusCode)
	}
	return reply, nil
}
