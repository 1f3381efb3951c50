package roles

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dogwoodline.example/emulator/usersplatform"
	"dogwoodline.example/ring"
)

const (
	// tokensPerTurn is the number of tokens that a complete turn generates on
	// the emulated backend server. It is also the limit that clients state for
	// a turn.
	tokensPerTurn = eventCount * 5
	// turnsPerProgram is the number of turns of a program. Its budget covers
	// only turnsInBudget of them, so that some are refused.
	turnsPerProgram = 6
	turnsInBudget   = 4
	requestTimeout  = 6 * time.Second
	pauseAfterTurn  = 20 * time.Millisecond
	retryPause      = 100 * time.Millisecond
	// maxAttempts bounds the attempts for one turn or call.
	maxAttempts = 60
)

// client is a worker that runs one program after the other.
type client struct {
	fronts   []string
	recorder *recorder
	name     string
	random   *rand.Rand
	requests int // sent so far
	programs int // started so far
	// organisation is the one whose key the client sends; empty for none.
	organisation string
}

// run runs programs until the context ends.
func (c *client) run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.runProgram(ctx)
	}
	return ctx.Err()
}

// runProgram sends the turns of a new program, with a plain call after each,
// until a turn fails because the budget is spent or for another reason.
func (c *client) runProgram(ctx context.Context) {
	c.programs++
	name := fmt.Sprintf("%s-p%d", c.name, c.programs)
	previous, conversation := "", ""
	for step := 1; step <= turnsPerProgram; step++ {
		input := fmt.Sprintf("%s-in%d\n", name, step)
		id, output, ok := c.runTurn(ctx, usersplatform.Request{
			Body: input, Previous: previous, Program: name, Budget: turnsInBudget * tokensPerTurn,
		}, conversation+input)
		if !ok {
			return
		}
		previous, conversation = id, conversation+input+output
		c.runForeignTurn(ctx, previous)
		c.runCall(ctx, name, step)
		if pause(ctx, pauseAfterTurn) != nil {
			return
		}
	}
}

// runTurn sends a turn until it is answered completely. The streams of every second
// program may be resumed, and are taken up where they broke off. It returns false if the
// program cannot continue.
func (c *client) runTurn(ctx context.Context, request usersplatform.Request, prompt string) (id, output string, ok bool) {
	send := sendTurn
	if c.resumable() {
		send = sendResumableTurn
	}
	var events []string // of the attempts that the next one takes up
	for range maxAttempts {
		request.ID = c.nextID()
		request.Key = keyOf(c.organisation)
		a := attempt{id: request.ID, organisation: c.organisation, program: request.Program, previous: request.Previous, turn: true, prompt: prompt, budget: request.Budget, after: len(events)}
		a.status, a.body, a.err = c.send(ctx, send, request)
		c.recorder.add(a)
		received := a.completeEvents()
		events = append(events, received...)
		switch {
		case a.succeeded():
			return request.ID, strings.Join(events, "\n") + "\n", true
		case a.err == nil && a.status >= 400 && a.status < 500 && a.status != http.StatusTooManyRequests:
			return "", "", false
		case len(received) > 0 && c.resumable():
			if request.Resumes == "" {
				request.Resumes = request.ID
			}
			request.LastEventID = strconv.Itoa(len(events))
		case len(received) > 0 || a.saysNotRun():
			// A front that does not know the stream refuses to take it up.
			request.Resumes, request.LastEventID, events = "", "", nil
		}
		if pause(ctx, retryPause) != nil {
			return "", "", false
		}
	}
	return "", "", false
}

// runCall sends a call that may run at most once. It sends the call again only
// if the answer guarantees that the call has not run.
func (c *client) runCall(ctx context.Context, program string, step int) {
	for range maxAttempts {
		request := usersplatform.Request{ID: c.nextID(), Body: fmt.Sprintf("%s-post%d", program, step)}
		request.Key = keyOf(c.organisation)
		a := attempt{id: request.ID, organisation: c.organisation, prompt: request.Body}
		a.status, a.body, a.err = c.send(ctx, sendCall, request)
		c.recorder.add(a)
		if !a.saysNotRun() || pause(ctx, retryPause) != nil {
			return
		}
	}
}

// resumable reports whether the streams of the current program may be resumed.
func (c *client) resumable() bool { return c.programs%2 == 0 }

func (c *client) nextID() string {
	c.requests++
	return fmt.Sprintf("%s-r%d", c.name, c.requests)
}

// sendFunc sends a request to a front and returns status and body.
type sendFunc func(ctx context.Context, front string, request usersplatform.Request) (int, string, error)

// send sends a request to a random front.
func (c *client) send(ctx context.Context, send sendFunc, request usersplatform.Request) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return send(ctx, c.fronts[c.random.IntN(len(c.fronts))], request)
}

// recorder is the worker that collects the attempts of all clients.
type recorder struct {
	inbox    *ring.Ring[attempt]
	attempts history
	answered atomic.Int64 // turns that were answered completely
}

// answerPollInterval is how often awaitAnswer looks for an answer.
const answerPollInterval = 50 * time.Millisecond

// recorderSlots is the number of attempts that can wait for the recorder.
const recorderSlots = 1024

func newRecorder() *recorder { return &recorder{inbox: ring.New[attempt](recorderSlots)} }

func (r *recorder) run(ctx context.Context) error {
	for {
		a, err := r.inbox.Pop(ctx)
		if err != nil {
			return err
		}
		r.attempts = append(r.attempts, a)
	}
}

// add records an attempt. It waits while the ring is full, so that no attempt
// is lost.
func (r *recorder) add(a attempt) {
	if a.turn && a.succeeded() {
		r.answered.Add(1)
	}
	_ = r.inbox.Push(context.Background(), a) // fails only on a closed ring
}

// awaitAnswer waits until one more turn has been answered. It returns an error
// if that takes longer than limit.
func (r *recorder) awaitAnswer(ctx context.Context, limit time.Duration) error {
	before := r.answered.Load()
	for deadline := time.Now().Add(limit); r.answered.Load() == before; {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return Error.New("no turn was answered within %s after the faults, although all fronts are ready", limit)
		}
		time.Sleep(answerPollInterval)
	}
	return nil
}

// drain returns all recorded attempts. It may be called only after the worker
// has ended.
func (r *recorder) drain() history {
	for a, ok := r.inbox.TryPop(); ok; a, ok = r.inbox.TryPop() {
		r.attempts = append(r.attempts, a)
	}
	return r.attempts
}
