package client

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// defaultDeadline bounds requests whose context has no deadline.
const defaultDeadline = time.Minute

// Start starts a program. A repeated start with the same values is answered
// again.
func (c *Client) Start(ctx context.Context, start api.StartRequest) (api.ProgramReply, error) {
	ctx, cancel := bound(ctx, start.DeadlineMS)
	defer cancel()
	return c.program(ctx, start.ID, func() request {
		start.DeadlineMS = remaining(ctx)
		return request{method: http.MethodPost, path: "/v1/programs", body: encode(start)}
	})
}

// History returns a program with its recorded calls.
func (c *Client) History(ctx context.Context, programID string) (api.ProgramReply, error) {
	ctx, cancel := bound(ctx, 0)
	defer cancel()
	return c.program(ctx, programID, func() request {
		return request{method: http.MethodGet, path: "/v1/programs/" + programID + "/history"}
	})
}

// End ends a program and its children.
func (c *Client) End(ctx context.Context, programID string) (api.ProgramReply, error) {
	ctx, cancel := bound(ctx, 0)
	defer cancel()
	return c.program(ctx, programID, func() request {
		return request{method: http.MethodDelete, path: "/v1/programs/" + programID}
	})
}

// program repeats a request about a program until it is answered with another
// outcome than not_run, or the deadline comes.
func (c *Client) program(ctx context.Context, id string, build func() request) (api.ProgramReply, error) {
	var reply api.ProgramReply
	var err error
	for t := (tries{single: c.cfg.SingleTry}); ; {
		reply = api.ProgramReply{}
		err = c.once(ctx, id, build(), &reply)
		if err != nil || reply.Moved || reply.Outcome.Code == outcome.NotRun {
			c.forget(id)
		}
		if err == nil && reply.Outcome.Code != outcome.NotRun {
			return reply, nil
		}
		if !t.wait(ctx, reply.Outcome) {
			return reply, err
		}
	}
}

func (c *Client) once(ctx context.Context, id string, r request, into any) error {
	opened, _, err := c.send(ctx, id, r)
	if err != nil {
		return err
	}
	defer opened.Body.Close()
	answer, err := readAll(opened)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return Error.New("%s", refusalOf(answer))
	}
	return nil
}

// send sends a request to the node of a program. When that cannot be
// connected to, it takes the second choice. A request whose connection broke
// is not sent to the second choice here, so that the caller learns of it. The
// second result tells whether a node may have got the request.
func (c *Client) send(ctx context.Context, id string, r request) (*http.Response, bool, error) {
	r.key = c.cfg.Key
	address, err := c.Address(ctx, id)
	if err != nil {
		return nil, false, err
	}
	opened, err := c.open(ctx, address.Address, r)
	if err != nil && neverSent(err) && address.Second != "" {
		opened, err = c.open(ctx, address.Second, r)
	}
	return opened, err == nil || !neverSent(err), err
}

// Result is how a call ended.
type Result struct {
	Outcome outcome.Outcome
	// Answer is the whole answer, also of a streamed call.
	Answer   []byte
	Recorded bool
	Attempt  int
	Spent    budget.Units
	// Tries is the number of requests that were sent.
	Tries int
	// Moved tells that another node owns the program now.
	Moved bool
}

// Call makes a call. It repeats the call after not_run and after a broken
// connection until the deadline, with the same request id, and resumes a
// broken stream where it broke.
//
// When stream is not nil it gets the answer in parts. A part with offset 0
// replaces all earlier parts, because it belongs to another attempt. An error from stream
// ends the call and is returned.
//
// The error is ErrUnreachable or another failure before any request was sent.
// After that the outcome tells what is known: not_run only if no try can have
// run.
func (c *Client) Call(
	ctx context.Context, programID string, body api.CallBody, stream func(program.Chunk) error,
) (Result, error) {
	ctx, cancel := bound(ctx, body.DeadlineMS)
	defer cancel()
	run := callRun{client: c, program: programID, body: body, stream: stream}
	run.body.Stream = stream != nil
	for t := (tries{single: c.cfg.SingleTry}); ; {
		result, err := run.try(ctx)
		if run.stopped != nil {
			return result, run.stopped
		}
		if err != nil || result.Moved || result.Outcome.Code == outcome.NotRun {
			c.forget(programID)
		}
		if err == nil && result.Outcome.Code != outcome.NotRun {
			return result, nil
		}
		if !t.wait(ctx, result.Outcome) {
			return run.giveUp(result, err)
		}
	}
}

// callRun is the state of a call over its tries.
type callRun struct {
	client  *Client
	program string
	body    api.CallBody
	stream  func(program.Chunk) error
	tries   int
	// lost tells that a try was sent and its answer did not arrive, so the
	// call may have run.
	lost     bool
	received []byte
	attempt  int
	stopped  error
}

func (r *callRun) try(ctx context.Context) (Result, error) {
	r.body.DeadlineMS = remaining(ctx)
	r.body.Offset, r.body.Attempt = len(r.received), r.attempt
	if r.body.Offset == 0 {
		r.body.Attempt = 0
	}
	accept := ""
	if r.stream != nil {
		accept = "text/event-stream"
	}
	path := "/v1/programs/" + r.program + "/calls"
	opened, sent, err := r.client.send(ctx, r.program, request{
		method: http.MethodPost, path: path, accept: accept, body: encode(r.body),
	})
	if err != nil {
		r.lost = r.lost || sent
		return Result{}, err
	}
	r.tries++
	defer opened.Body.Close()
	var reply api.CallReply
	if isEventStream(opened) {
		reply, err = r.follow(opened.Body)
	} else {
		reply, err = plainReply(opened)
	}
	if err != nil {
		r.lost = true
		return Result{}, err
	}
	result := Result{
		Outcome: reply.Outcome, Answer: reply.Raw(), Recorded: reply.Recorded,
		Attempt: reply.Attempt, Spent: reply.Spent, Tries: r.tries, Moved: reply.Moved,
	}
	if isEventStream(opened) && reply.Outcome.Code == outcome.Completed {
		result.Answer = r.received
	}
	return result, nil
}

// giveUp tells what is known when the deadline has come.
func (r *callRun) giveUp(result Result, err error) (Result, error) {
	result.Tries = r.tries
	switch {
	case r.lost:
		result.Outcome = outcome.Outcome{
			Code: outcome.Unknown, Reason: outcome.ConnectionLost, Detail: "the connection broke after the call was sent",
		}
		return result, nil
	case err != nil:
		return result, err
	}
	return result, nil
}

func plainReply(opened *http.Response) (api.CallReply, error) {
	var reply api.CallReply
	answer, err := readAll(opened)
	if err != nil {
		return reply, err
	}
	if json.Unmarshal(answer.body, &reply) != nil || reply.Outcome.Code == "" {
		return reply, Error.New("%s", refusalOf(answer))
	}
	return reply, nil
}

// bound gives ctx the deadline of a request.
func bound(ctx context.Context, deadlineMS int64) (context.Context, context.CancelFunc) {
	if deadlineMS > 0 {
		return context.WithTimeout(ctx, time.Duration(deadlineMS)*time.Millisecond)
	}
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

// remaining returns the time to the deadline of ctx in milliseconds, at least
// 1 because 0 means the default of the class.
func remaining(ctx context.Context) int64 {
	deadline, _ := ctx.Deadline()
	left := min(time.Until(deadline), api.MaxDeadline)
	return max(1, left.Milliseconds())
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("client: request of plain values failed to encode: " + err.Error())
	}
	return data
}
