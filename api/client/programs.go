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

// defaultDeadline bounds requests that have no deadline and whose context has
// none.
const defaultDeadline = time.Minute

// Start starts a program. It is safe to repeat a start with the same values.
func (c *Client) Start(ctx context.Context, start api.StartRequest) (api.ProgramReply, error) {
	ctx, cancel := withDeadline(ctx, start.DeadlineMS)
	defer cancel()
	return c.sendWithRetry(ctx, start.ID, func() request {
		start.DeadlineMS = remainingMS(ctx)
		return request{method: http.MethodPost, path: "/v1/programs", body: mustMarshal(start)}
	})
}

// History returns a program with its recorded calls.
func (c *Client) History(ctx context.Context, programID string) (api.ProgramReply, error) {
	ctx, cancel := withDeadline(ctx, 0)
	defer cancel()
	return c.sendWithRetry(ctx, programID, func() request {
		return request{method: http.MethodGet, path: "/v1/programs/" + programID + "/history"}
	})
}

// End ends a program and its children.
func (c *Client) End(ctx context.Context, programID string) (api.ProgramReply, error) {
	ctx, cancel := withDeadline(ctx, 0)
	defer cancel()
	return c.sendWithRetry(ctx, programID, func() request {
		return request{method: http.MethodDelete, path: "/v1/programs/" + programID}
	})
}

// sendWithRetry sends a request to the node of a program and repeats it until
// its outcome differs from not_run or the deadline passes. build is called for
// each try.
func (c *Client) sendWithRetry(ctx context.Context, id string, build func() request) (api.ProgramReply, error) {
	var reply api.ProgramReply
	var err error
	for b := (backoff{noRetry: c.cfg.SingleTry}); ; {
		reply = api.ProgramReply{}
		err = c.sendOnce(ctx, id, build(), &reply)
		if err != nil || reply.Moved || reply.Outcome.Code == outcome.NotRun {
			c.dropAddress(id)
		}
		if err == nil && reply.Outcome.Code != outcome.NotRun {
			return reply, nil
		}
		if !b.wait(ctx, reply.Outcome) {
			return reply, err
		}
	}
}

// sendOnce sends a request to the node of a program and decodes the response.
func (c *Client) sendOnce(ctx context.Context, id string, r request, target any) error {
	httpResponse, _, err := c.send(ctx, id, r)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	resp, err := readAll(httpResponse)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, target); err != nil {
		return Error.New("%s", describeResponse(resp))
	}
	return nil
}

// send sends a request to the node of a program. If it cannot connect to that
// node, it uses the second address. A request whose connection broke later is not
// sent to the second address, so that the caller learns that it may have arrived.
// The second result reports whether a node may have received the request.
func (c *Client) send(ctx context.Context, id string, r request) (*http.Response, bool, error) {
	r.key = c.cfg.Key
	address, err := c.Address(ctx, id)
	if err != nil {
		return nil, false, err
	}
	httpResponse, err := c.do(ctx, address.Address, r)
	if err != nil && isDialError(err) && address.Second != "" {
		httpResponse, err = c.do(ctx, address.Second, r)
	}
	return httpResponse, err == nil || !isDialError(err), err
}

// Result is the result of a call.
type Result struct {
	Outcome outcome.Outcome
	// Answer is the whole answer, also for a streamed call.
	Answer   []byte
	Recorded bool
	Attempt  int
	Spent    budget.Units
	// Tries is the number of requests that were sent.
	Tries int
	// Moved reports that the node that responded does not own the program.
	Moved bool
}

// Call makes a call. Until the deadline it repeats the call after not_run and
// after a broken connection, with the same request id. It resumes a broken
// stream where it broke off.
//
// If stream is not nil, it receives the answer in parts. A part with offset 0
// replaces all earlier parts, because it belongs to another attempt. An error
// from stream ends the call and is returned.
//
// Any other error means that no request was sent, for example ErrUnreachable.
// Once a request may have been sent, the outcome tells what is known. It is
// not_run only if no try can have run.
func (c *Client) Call(
	ctx context.Context, programID string, body api.CallBody, stream func(program.Chunk) error,
) (Result, error) {
	ctx, cancel := withDeadline(ctx, body.DeadlineMS)
	defer cancel()
	state := callState{client: c, program: programID, body: body, stream: stream}
	state.body.Stream = stream != nil
	for b := (backoff{noRetry: c.cfg.SingleTry}); ; {
		result, err := state.try(ctx)
		if state.streamErr != nil {
			return result, state.streamErr
		}
		if err != nil || result.Moved || result.Outcome.Code == outcome.NotRun {
			c.dropAddress(programID)
		}
		if err == nil && result.Outcome.Code != outcome.NotRun {
			return result, nil
		}
		if !b.wait(ctx, result.Outcome) {
			return state.giveUp(result, err)
		}
	}
}

// callState is the state of a call across its tries.
type callState struct {
	client  *Client
	program string
	body    api.CallBody
	stream  func(program.Chunk) error
	tries   int
	// mayHaveRun is set when a try was sent and no complete response arrived,
	// so the call may have run.
	mayHaveRun bool
	received   []byte // the streamed answer so far
	attempt    int    // the attempt that received belongs to
	streamErr  error  // the error that stream returned
}

// try sends the call once and reads the response.
func (s *callState) try(ctx context.Context) (Result, error) {
	s.body.DeadlineMS = remainingMS(ctx)
	s.body.Offset, s.body.Attempt = len(s.received), s.attempt
	if s.body.Offset == 0 {
		s.body.Attempt = 0
	}
	accept := ""
	if s.stream != nil {
		accept = "text/event-stream"
	}
	path := "/v1/programs/" + s.program + "/calls"
	httpResponse, sent, err := s.client.send(ctx, s.program, request{
		method: http.MethodPost, path: path, accept: accept, body: mustMarshal(s.body),
	})
	if err != nil {
		s.mayHaveRun = s.mayHaveRun || sent
		return Result{}, err
	}
	s.tries++
	defer httpResponse.Body.Close()
	var reply api.CallReply
	if isEventStream(httpResponse) {
		reply, err = s.readStream(httpResponse.Body)
	} else {
		reply, err = readReply(httpResponse)
	}
	if err != nil {
		s.mayHaveRun = true
		return Result{}, err
	}
	result := Result{
		Outcome: reply.Outcome, Answer: reply.Raw(), Recorded: reply.Recorded,
		Attempt: reply.Attempt, Spent: reply.Spent, Tries: s.tries, Moved: reply.Moved,
	}
	if isEventStream(httpResponse) && reply.Outcome.Code == outcome.Completed {
		result.Answer = s.received
	}
	return result, nil
}

// giveUp returns the result of a call after its last try has failed.
func (s *callState) giveUp(result Result, err error) (Result, error) {
	result.Tries = s.tries
	switch {
	case s.mayHaveRun:
		result.Outcome = outcome.Outcome{
			Code: outcome.Unknown, Reason: outcome.ConnectionLost, Detail: "the connection broke after the call was sent",
		}
		return result, nil
	case err != nil:
		return result, err
	}
	return result, nil
}

// readReply reads the response to a call that is not streamed.
func readReply(httpResponse *http.Response) (api.CallReply, error) {
	var reply api.CallReply
	resp, err := readAll(httpResponse)
	if err != nil {
		return reply, err
	}
	if json.Unmarshal(resp.body, &reply) != nil || reply.Outcome.Code == "" {
		return reply, Error.New("%s", describeResponse(resp))
	}
	return reply, nil
}

// withDeadline gives ctx the deadline of a request. If the request has none and
// ctx has none either, it applies defaultDeadline.
func withDeadline(ctx context.Context, deadlineMS int64) (context.Context, context.CancelFunc) {
	if deadlineMS > 0 {
		return context.WithTimeout(ctx, time.Duration(deadlineMS)*time.Millisecond)
	}
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

// remainingMS returns the time to the deadline of ctx in milliseconds. It is at
// least 1, because 0 means the default deadline of the class.
func remainingMS(ctx context.Context) int64 {
	deadline, _ := ctx.Deadline()
	remaining := min(time.Until(deadline), api.MaxDeadline)
	return max(1, remaining.Milliseconds())
}

func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("client: encode request body: " + err.Error())
	}
	return data
}
