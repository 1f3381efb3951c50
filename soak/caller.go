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
	fewestTurns, mostTurns = 5, 14
	mostChildTurns         = 4
	callTokens             = 20
	// callDeadline bounds one call with the tries of the client. It exceeds
	// the time of a takeover.
	callDeadline = 10 * time.Second
	// shortDeadline makes some calls end as not run during faults.
	shortDeadline = 700 * time.Millisecond
	// turnTries bounds how often a caller asks for one turn.
	turnTries = 6
	// requestDeadline bounds requests that are not calls.
	requestDeadline = 15 * time.Second
)

// caller is the duty that runs one program after the other.
type caller struct {
	*run
	number    int
	random    *rand.Rand
	transport http.RoundTripper
	client    *client.Client
}

func newCaller(r *run, number int) *caller {
	return &caller{run: r, number: number, random: r.random(1000 + uint64(number)), transport: newTransport()}
}

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute, DisableCompression: true}
}

// turn is a call that a program will make.
type turn struct {
	body   api.CallBody
	stream bool
	// early sends a copy before the call in front of it, late one after it.
	early, late bool
	// child runs a sub-agent before this call.
	child bool
}

// work starts programs until the context until ends, and finishes the last.
func (c *caller) work(ctx, until context.Context) error {
	for k := 0; until.Err() == nil && ctx.Err() == nil; k++ {
		c.client = client.New(client.Config{Nodes: c.deploy.urls(), Key: tenantKey, Transport: c.transport})
		c.program(ctx, fmt.Sprintf("s%d-c%d-p%d", c.config.Seed, c.number, k), mostTurns)
	}
	return nil
}

// program runs a program to its end.
func (c *caller) program(ctx context.Context, id string, most int) {
	class, limit := agentClass, agentBudget
	if c.random.IntN(10) == 0 {
		class, limit = smallClass, smallBudget
	}
	start := api.StartRequest{ID: id, Class: class, DeadlineMS: requestDeadline.Milliseconds()}
	if program.Root(id) != id {
		start.Budget = budget.Units(limit / 10) // a share of what the parent has
	}
	reply, err := c.client.Start(ctx, start)
	if err != nil || reply.Outcome.Code != outcome.Completed {
		return
	}
	c.record.add(func(h *check.History) { h.Programs = append(h.Programs, check.Program{ID: id}) })
	turns := c.plan(id, fewestTurns+c.random.IntN(max(1, most-fewestTurns)))
	for i := range turns {
		if i+1 < len(turns) && turns[i+1].early {
			c.again(id, turns[i+1], "early", 0)
		}
		if turns[i].child {
			c.program(ctx, fmt.Sprintf("%s.%d", id, i+1), mostChildTurns)
		}
		if !c.take(ctx, id, &turns[i]) {
			break
		}
		if turns[i].late {
			c.again(id, turns[i], "repeat", c.random.IntN(3))
		}
		if !pause(ctx, time.Duration(c.random.IntN(60))*time.Millisecond) {
			return
		}
	}
	if program.Root(id) != id { // its share returns to the parent
		ending, cancel := context.WithTimeout(ctx, requestDeadline)
		defer cancel()
		_, _ = c.client.End(ending, id) // asked for again at the end of the run
	}
}

// plan chooses the calls of a program.
func (c *caller) plan(id string, count int) []turn {
	turns := make([]turn, count)
	for i := range turns {
		t := &turns[i]
		order := i + 1
		t.early, t.late = c.random.IntN(8) == 0, c.random.IntN(5) == 0
		t.child = program.Root(id) == id && c.random.IntN(12) == 0
		if c.random.IntN(2) == 0 {
			t.body = posting(id, fmt.Sprintf("r%d", order), order)
		} else {
			t.body = question(id, fmt.Sprintf("r%d", order), order, fmt.Sprintf("%s asks for turn %d", id, order))
			t.stream = c.random.IntN(2) == 0
		}
	}
	return turns
}

func question(_, request string, order int, text string) api.CallBody {
	return api.CallBody{CallRequest: api.CallRequest{RequestID: request, Order: order, Kind: program.Model,
		MaxTokens: callTokens, Messages: []program.Message{{Role: "user", Content: text}}}}
}

// effectBody is the input of a posting. The ledger keeps it, so that the order
// of effects can be checked.
type effectBody struct {
	Program string `json:"program"`
	Order   int    `json:"order"`
}

func posting(id, request string, order int) api.CallBody {
	body, err := json.Marshal(effectBody{Program: id, Order: order})
	if err != nil {
		panic("soak: posting cannot be encoded: " + err.Error())
	}
	return api.CallBody{CallRequest: api.CallRequest{RequestID: request, Order: order, Kind: program.Service,
		Service: "ledger", Operation: "post"}, Body: body}
}

// take makes a call until its end is known. It reports false when the program
// cannot go on.
func (c *caller) take(ctx context.Context, id string, t *turn) bool {
	if c.random.IntN(20) == 0 {
		c.wrong(id, t.body.Order)
	}
	for try := range turnTries {
		t.body.DeadlineMS = callDeadline.Milliseconds()
		if try == 0 && c.random.IntN(6) == 0 {
			t.body.DeadlineMS = shortDeadline.Milliseconds()
		}
		if c.random.IntN(10) == 0 {
			c.again(id, *t, "repeat", 0) // crosses the request itself
			t.early = true
		}
		told, err := c.call(ctx, id, *t)
		switch {
		case err != nil:
			return false
		case told.Code == outcome.Completed || told.Code == outcome.Failed || told.Recorded:
			return true
		case told.Code == outcome.NotRun && !t.early && c.random.IntN(2) == 0:
			// The caller gives this request up, so it must never run.
			t.body.RequestID += "n"
		case told.Code == outcome.NotRun, told.Lost():
		default:
			return false
		}
	}
	return false
}

// call makes one call through the client and records what it was told.
func (c *caller) call(ctx context.Context, id string, t turn) (check.Call, error) {
	told := check.Call{
		Program: id, RequestID: t.body.RequestID, Order: t.body.Order, Model: t.body.Kind == program.Model, Via: "main",
		MaxTokens: t.body.MaxTokens, Invoked: c.since(),
	}
	var parts func(program.Chunk) error
	if t.stream {
		told.Via = "streamed"
		parts = func(program.Chunk) error { return nil }
	}
	result, err := c.client.Call(ctx, id, t.body, parts)
	if ctx.Err() != nil {
		return told, ctx.Err()
	}
	if err != nil { // no node answered, so nothing was sent
		result.Outcome = outcome.NewNotRun(outcome.NoOwner, 0)
	}
	told.Returned = c.since()
	told.Code, told.Reason, told.Detail = result.Outcome.Code, result.Outcome.Reason, result.Outcome.Detail
	told.Answer, told.Recorded, told.Attempt = string(result.Answer), result.Recorded, result.Attempt
	c.record.call(told)
	return told, nil
}

// again asks a repeater to send a copy of the request through any node.
func (c *caller) again(id string, t turn, via string, delayTens int) {
	t.body.DeadlineMS = callDeadline.Milliseconds()
	c.pass(repeat{program: id, body: t.body, via: via, node: c.random.Uint32(), delay: time.Duration(delayTens) * 10 * time.Millisecond})
}

// wrong asks a repeater for a posting whose order number is used or far ahead.
func (c *caller) wrong(id string, order int) {
	used := order + 100
	if order > 1 && c.random.IntN(2) == 0 {
		used = order - 1
	}
	body := posting(id, fmt.Sprintf("w%d", order), used)
	body.DeadlineMS = shortDeadline.Milliseconds()
	c.pass(repeat{program: id, body: body, via: "wrong", node: c.random.Uint32()})
}

// pass hands a repeat to a repeater. A full ring leaves the repeat out.
func (c *caller) pass(job repeat) {
	_ = c.repeats[c.random.IntN(len(c.repeats))].TryPush(job)
}
