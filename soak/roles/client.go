package roles

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dogwoodline.example/emulator/usersplatform"
	"dogwoodline.example/ring"
)

const (
	// tokensPerTurn is what a whole turn of the stand-in generates, which is
	// also the most that one may.
	tokensPerTurn = eventCount * 5
	// turnsPerProgram is how many turns a program takes; its budget is for
	// fewer, so that some are refused.
	turnsPerProgram  = 6
	turnsInBudget    = 4
	requestTimeout   = 6 * time.Second
	pauseAfterTurn   = 20 * time.Millisecond
	pauseAfterDenial = 100 * time.Millisecond
	// mostTries bounds how often a turn is sent again.
	mostTries = 60
)

// client is a duty that runs one program after the other.
type client struct {
	fronts   []string
	recorder *recorder
	name     string
	random   *rand.Rand
	sent     int
	programs int
}

func (c *client) run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.program(ctx)
	}
	return ctx.Err()
}

// program takes its turns, with a call between them, until its budget is spent.
func (c *client) program(ctx context.Context) {
	c.programs++
	name := fmt.Sprintf("%s-p%d", c.name, c.programs)
	previous, conversation := "", ""
	for step := 1; step <= turnsPerProgram; step++ {
		input := fmt.Sprintf("%s-in%d\n", name, step)
		id, output, ok := c.turn(ctx, usersplatform.Request{
			Body: input, Previous: previous, Program: name, Budget: turnsInBudget * tokensPerTurn,
		}, conversation+input)
		if !ok {
			return
		}
		previous, conversation = id, conversation+input+output
		c.call(ctx, name, step)
		if pause(ctx, pauseAfterTurn) != nil {
			return
		}
	}
}

// turn sends a turn until it is answered whole. It reports false when the
// program cannot go on.
func (c *client) turn(ctx context.Context, request usersplatform.Request, prompt string) (id, output string, ok bool) {
	for range mostTries {
		request.ID = c.nextID()
		s := sent{id: request.ID, program: request.Program, previous: request.Previous, turn: true, prompt: prompt, budget: request.Budget}
		s.status, s.body, s.err = c.send(ctx, turn, request)
		c.recorder.add(s)
		switch {
		case s.whole():
			return request.ID, strings.Join(wantedEvents(request.ID), "\n") + "\n", true
		case s.err == nil && s.status >= 400 && s.status < 500 && s.status != http.StatusTooManyRequests:
			return "", "", false
		}
		if pause(ctx, pauseAfterDenial) != nil {
			return "", "", false
		}
	}
	return "", "", false
}

// call sends a call that may run once, again only after a promise that it has
// not run.
func (c *client) call(ctx context.Context, program string, step int) {
	for range mostTries {
		request := usersplatform.Request{ID: c.nextID(), Body: fmt.Sprintf("%s-post%d", program, step)}
		s := sent{id: request.ID, prompt: request.Body}
		s.status, s.body, s.err = c.send(ctx, plainCall, request)
		c.recorder.add(s)
		if !s.promised() || pause(ctx, pauseAfterDenial) != nil {
			return
		}
	}
}

func (c *client) nextID() string {
	c.sent++
	return fmt.Sprintf("%s-r%d", c.name, c.sent)
}

type send func(ctx context.Context, front string, request usersplatform.Request) (int, string, error)

func (c *client) send(ctx context.Context, send send, request usersplatform.Request) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return send(ctx, c.fronts[c.random.IntN(len(c.fronts))], request)
}

// recorder is the duty that owns what clients saw.
type recorder struct {
	inbox *ring.Ring[sent]
	seen  history
}

// recordSlots is the number of observations that wait for the recorder.
const recordSlots = 1024

func newRecorder() *recorder { return &recorder{inbox: ring.New[sent](recordSlots)} }

func (r *recorder) run(ctx context.Context) error {
	for {
		s, err := r.inbox.Pop(ctx)
		if err != nil {
			return err
		}
		r.seen = append(r.seen, s)
	}
}

// add waits while the ring is full, so that nothing is lost.
func (r *recorder) add(s sent) { _ = r.inbox.Push(context.Background(), s) } // fails only on a closed ring

// take returns what was seen, after the duty has ended.
func (r *recorder) take() history {
	for s, ok := r.inbox.TryPop(); ok; s, ok = r.inbox.TryPop() {
		r.seen = append(r.seen, s)
	}
	return r.seen
}
