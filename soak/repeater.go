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

// repeat is a request that is sent to any node, beside the client.
type repeat struct {
	program string
	body    api.CallBody
	via     string
	node    uint32 // chooses the node
	delay   time.Duration
}

// repeater is a duty that sends repeats until ctx ends.
func (r *run) repeater(ctx context.Context, jobs *ring.Ring[repeat]) error {
	sender := &http.Client{Transport: newTransport()}
	for {
		job, err := jobs.Pop(ctx)
		if err != nil {
			return err
		}
		if !pause(ctx, job.delay) {
			return ctx.Err()
		}
		urls := r.deploy.urls()
		r.record.call(r.send(ctx, sender, urls[int(job.node)%len(urls)], job))
	}
}

// send sends one request to one node. Without an answer the outcome is
// unknown.
func (r *run) send(ctx context.Context, sender *http.Client, url string, job repeat) check.Call {
	told := check.Call{
		Program: job.program, RequestID: job.body.RequestID, Order: job.body.Order, Model: job.body.Kind == program.Model,
		Via: job.via, MaxTokens: job.body.MaxTokens, Invoked: r.since(), Code: outcome.Unknown,
	}
	reply, err := post(ctx, sender, url+"/v1/programs/"+job.program+"/calls", job.body)
	told.Returned = r.since()
	if err != nil {
		told.Detail = err.Error()
		return told
	}
	told.Code, told.Reason, told.Detail = reply.Outcome.Code, reply.Outcome.Reason, reply.Outcome.Detail
	told.Answer, told.Recorded, told.Attempt = string(reply.Raw()), reply.Recorded, reply.Attempt
	return told
}

// replyGrace is how much longer than its deadline a request is waited for.
const replyGrace = 2 * time.Second

func post(ctx context.Context, sender *http.Client, url string, body api.CallBody) (api.CallReply, error) {
	var reply api.CallReply
	wait := time.Duration(body.DeadlineMS)*time.Millisecond + replyGrace
	ctx, cancel := context.WithTimeout(ctx, wait)
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
	answer, err := sender.Do(request)
	if err != nil {
		return reply, Error.Wrap(err)
	}
	defer answer.Body.Close()
	data, err = io.ReadAll(answer.Body)
	if err != nil {
		return reply, Error.Wrap(err)
	}
	if err := json.Unmarshal(data, &reply); err != nil || reply.Outcome.Code == "" {
		return reply, Error.New("HTTP status %d without an outcome", answer.StatusCode)
	}
	return reply, nil
}
