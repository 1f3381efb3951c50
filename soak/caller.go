package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/soak/check"
)

const (
	// A program gets a random number of turns, from minTurns up to but not
	// including maxTurns, or maxChildTurns for a sub-agent. It gets minTurns if
	// that range is empty.
	minTurns, maxTurns = 5, 14
	maxChildTurns      = 4
	callMaxTokens      = 20
	// callDeadline bounds one call, including the retries of the client. It is
	// longer than the takeover of a program by another node.
	callDeadline = 10 * time.Second
	// shortDeadline is so short that some calls end as not run during faults.
	shortDeadline = 700 * time.Millisecond
	// maxTurnTries bounds the calls that a caller makes for one turn.
	maxTurnTries = 6
	// requestDeadline bounds requests other than calls.
	requestDeadline = 15 * time.Second
)

// caller is a worker that runs one program after the other.
type caller struct {
	*run
	number    int
	random    *rand.Rand
	transport http.RoundTripper
	client    *client.Client
}

func newCaller(r *run, number int) *caller {
	return &caller{run: r, number: number, random: r.newRand(1000 + uint64(number)), transport: newTransport()}
}

// newTransport returns a transport with a dial timeout of 1 s.
func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute, DisableCompression: true}
}

// turn is a planned call of a program.
type turn struct {
	body   api.CallBody
	stream bool
	// earlyCopy is set when a copy of the request is sent before the call: one
	// turn ahead as planned, or together with the call. lateCopy is set when a
	// copy is sent after the call.
	earlyCopy, lateCopy bool
	// child is set when a sub-agent, a child program, runs before the call.
	child bool
}

// runPrograms runs one program after the other until startCtx ends. The last
// program is run to its end.
func (c *caller) runPrograms(ctx, startCtx context.Context) error {
	for k := 0; startCtx.Err() == nil && ctx.Err() == nil; k++ {
		c.client = client.New(client.Config{Nodes: c.deployment.urls(), Key: tenantKey, Transport: c.transport})
		c.runProgram(ctx, fmt.Sprintf("s%d-c%d-p%d", c.config.Seed, c.number, k), maxTurns)
	}
	return nil
}

// runProgram starts a program and makes its calls. It ends a child program; root
// programs are ended when the final state is collected.
func (c *caller) runProgram(ctx context.Context, id string, turnLimit int) {
	class, limit := agentClass, agentBudget
	if c.random.IntN(10) == 0 {
		class, limit = smallClass, smallBudget
	}
	start := api.StartRequest{ID: id, Class: class, DeadlineMS: requestDeadline.Milliseconds()}
	if program.Root(id) != id {
		start.Budget = budget.Units(limit / 10) // taken from the budget of the parent
	}
	reply, err := c.client.Start(ctx, start)
	if err != nil || reply.Outcome.Code != outcome.Completed {
		return
	}
	c.recorder.add(func(h *check.History) { h.Programs = append(h.Programs, check.Program{ID: id}) })
	turns := c.planTurns(id, minTurns+c.random.IntN(max(1, turnLimit-minTurns)))
	for i := range turns {
		if i+1 < len(turns) && turns[i+1].earlyCopy {
			c.sendCopy(id, turns[i+1], "early", 0)
		}
		if turns[i].child {
			c.runProgram(ctx, fmt.Sprintf("%s.%d", id, i+1), maxChildTurns)
		}
		if !c.completeTurn(ctx, id, &turns[i]) {
			break
		}
		if turns[i].lateCopy {
			c.sendCopy(id, turns[i], "repeat", c.random.IntN(3))
		}
		if !pause(ctx, time.Duration(c.random.IntN(60))*time.Millisecond) {
			return
		}
	}
	if program.Root(id) != id { // returns the unused budget to the parent
		ending, cancel := context.WithTimeout(ctx, requestDeadline)
		defer cancel()
		_, _ = c.client.End(ending, id) // collectProgram ends it again
	}
}

// planTurns chooses the calls of a program at random.
func (c *caller) planTurns(id string, count int) []turn {
	turns := make([]turn, count)
	for i := range turns {
		t := &turns[i]
		order := i + 1
		t.earlyCopy, t.lateCopy = c.random.IntN(8) == 0, c.random.IntN(5) == 0
		t.child = program.Root(id) == id && c.random.IntN(12) == 0
		if c.random.IntN(2) == 0 {
			t.body = postingCall(id, fmt.Sprintf("r%d", order), order)
		} else {
			t.body = modelCall(id, fmt.Sprintf("r%d", order), order, fmt.Sprintf("%s asks for turn %d", id, order))
			t.stream = c.random.IntN(2) == 0
		}
	}
	return turns
}

// modelCall returns the request of a model call with one user message.
func modelCall(_, request string, order int, text string) api.CallBody {
	return api.CallBody{CallRequest: api.CallRequest{RequestID: request, Order: order, Kind: program.Model,
		MaxTokens: callMaxTokens, Messages: []program.Message{{Role: "user", Content: text}}}}
}

// postingInput is the input of a posting. The ledger keeps it, so that the order
// of its entries can be checked.
type postingInput struct {
	Program string `json:"program"`
	Order   int    `json:"order"`
}

// postingCall returns the request of a posting to the ledger, which is a
// non-idempotent service call.
func postingCall(id, request string, order int) api.CallBody {
	body, err := json.Marshal(postingInput{Program: id, Order: order})
	if err != nil {
		panic("soak: posting cannot be encoded: " + err.Error())
	}
	return api.CallBody{CallRequest: api.CallRequest{RequestID: request, Order: order, Kind: program.Service,
		Service: "ledger", Operation: "post"}, Body: body}
}

// completeTurn repeats the call of a turn until its outcome is final, at most
// maxTurnTries times. It reports false when the program cannot continue.
func (c *caller) completeTurn(ctx context.Context, id string, t *turn) bool {
	if c.random.IntN(20) == 0 {
		c.sendWrongOrder(id, t.body.Order)
	}
	for try := range maxTurnTries {
		t.body.DeadlineMS = callDeadline.Milliseconds()
		if try == 0 && c.random.IntN(6) == 0 {
			t.body.DeadlineMS = shortDeadline.Milliseconds()
		}
		if c.random.IntN(10) == 0 {
			c.sendCopy(id, *t, "repeat", 0) // is in flight at the same time as the call itself
			t.earlyCopy = true
		}
		observed, err := c.call(ctx, id, *t)
		switch {
		case err != nil:
			return false
		case observed.Code == outcome.Completed || observed.Code == outcome.Failed || observed.Recorded:
			return true
		case observed.Code == outcome.NotRun && !t.earlyCopy && c.random.IntN(2) == 0:
			// The caller abandons this request, so it must never run. It tries
			// again under a new request id, which it may do only if no copy of
			// the old request can be in flight.
			t.body.RequestID += "n"
		case observed.Code == outcome.NotRun, observed.Unanswered():
		default:
			return false
		}
	}
	return false
}

// call makes one call through the client and records the outcome that it got.
func (c *caller) call(ctx context.Context, id string, t turn) (check.Call, error) {
	observed := check.Call{
		Program: id, RequestID: t.body.RequestID, Order: t.body.Order, Model: t.body.Kind == program.Model, Origin: "main",
		MaxTokens: t.body.MaxTokens, Invoked: c.since(),
	}
	var onChunk func(program.Chunk) error
	if t.stream {
		observed.Origin = "streamed"
		onChunk = func(program.Chunk) error { return nil }
	}
	result, err := c.client.Call(ctx, id, t.body, onChunk)
	if ctx.Err() != nil {
		return observed, ctx.Err()
	}
	if err != nil { // no node responded, so the call was not sent
		result.Outcome = outcome.NewNotRun(outcome.NoOwner, 0)
	}
	observed.Returned = c.since()
	observed.Code, observed.Reason, observed.Detail = result.Outcome.Code, result.Outcome.Reason, result.Outcome.Detail
	observed.Answer, observed.Recorded, observed.Attempt = string(result.Answer), result.Recorded, result.Attempt
	c.recorder.addCall(observed)
	return observed, nil
}

// sendCopy asks a repeater to send a copy of the request to a random node, after
// a delay given in units of 10 ms.
func (c *caller) sendCopy(id string, t turn, via string, delayTens int) {
	t.body.DeadlineMS = callDeadline.Milliseconds()
	c.enqueue(directRequest{program: id, body: t.body, via: via, nodeChoice: c.random.Uint32(), delay: time.Duration(delayTens) * 10 * time.Millisecond})
}

// sendWrongOrder asks a repeater to send a posting whose order number is already
// used or far ahead.
func (c *caller) sendWrongOrder(id string, order int) {
	wrongOrder := order + 100
	if order > 1 && c.random.IntN(2) == 0 {
		wrongOrder = order - 1
	}
	body := postingCall(id, fmt.Sprintf("w%d", order), wrongOrder)
	body.DeadlineMS = shortDeadline.Milliseconds()
	c.enqueue(directRequest{program: id, body: body, via: "wrong", nodeChoice: c.random.Uint32()})
}

// enqueue passes a request to a random repeater. The request is dropped if the
// ring of the repeater is full.
func (c *caller) enqueue(job directRequest) {
	_ = c.repeaterRings[c.random.IntN(len(c.repeaterRings))].TryPush(job)
}
