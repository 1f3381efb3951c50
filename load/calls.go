package load

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"

	"dogwoodline.example/outcome"
)

// TokenBytes is the number of bytes of text that count as one token, as in the
// engines.
const TokenBytes = 4

type liveProgram struct {
	*Program
	root    *liveProgram
	next    int
	history int
	ran     bool // a call of it or of its children ran
	work    float64
	done    func()
}

type action int

const (
	startProgram action = iota
	makeCall
	endProgram
)

// liveCall is a request about a program that a caller carries.
type liveCall struct {
	action   action
	program  *liveProgram
	step     *Step
	request  CallRequest
	reusable int // prompt tokens that a backend server has seen before
	since    time.Time
	result   CallResult
	err      error
}

// start starts a program. A parent is started before its first step, so that
// the sub-agents of that step find it.
func (d *driver) start(p *liveProgram) {
	d.backlog = append(d.backlog, &liveCall{action: startProgram, program: p, since: time.Now()})
}

// step starts the next step of a program or ends the program.
func (d *driver) step(p *liveProgram) {
	if p.root.next < 0 {
		return // given up
	}
	if p.next == len(p.Steps) {
		d.backlog = append(d.backlog, &liveCall{action: endProgram, program: p})
		p.done()
		return
	}
	step := &p.Steps[p.next]
	p.next++
	waiting := 1 + len(step.Children)
	arrive := func() {
		waiting--
		if waiting == 0 && p.root.next >= 0 {
			call := &liveCall{action: makeCall, program: p, step: step, since: time.Now(), reusable: p.history}
			if p.history == 0 && d.classes[p.Class] {
				call.reusable = p.SystemTokens
			}
			call.request = p.request(step)
			call.request.DeadlineMS = max(d.scaled(callDeadline).Milliseconds(), 1)
			call.request.Stream = d.Stream && step.Kind == Model
			d.backlog = append(d.backlog, call)
		}
	}
	d.after(d.scaled(step.Pause), arrive)
	for _, c := range step.Children {
		d.start(&liveProgram{Program: c, root: p.root, done: arrive})
	}
}

// request builds the call of a step. The target keeps the history, so the
// messages hold only what is new.
func (p *liveProgram) request(step *Step) CallRequest {
	r := CallRequest{
		Program: p.ID, RequestID: fmt.Sprintf("%s-%d", p.ID, p.next), Order: p.next, Kind: step.Kind,
		Service: step.Service, Operation: step.Operation,
	}
	if step.Kind == Service {
		r.Body = fmt.Appendf(nil, `{"program":%q}`, p.ID)
		return r
	}
	if p.history == 0 {
		p.history = p.SystemTokens
		r.Messages = append(r.Messages, Message{Role: "system", Content: text(p.Class, p.SystemTokens)})
	}
	p.history += step.InputTokens
	r.Messages = append(r.Messages, Message{Role: "user", Content: text(r.RequestID, step.InputTokens)})
	r.MaxTokens, r.PromptTokens = step.OutputTokens, p.history
	p.history += step.OutputTokens
	return r
}

// text returns a text of the given number of tokens that no other seed has,
// so that prompt caches do not find it in other programs.
func text(seed string, tokens int) string {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(seed)) // never fails
	random := rand.New(rand.NewPCG(hash.Sum64(), 0))
	var b strings.Builder
	for range tokens {
		fmt.Fprintf(&b, "%03x ", random.IntN(0x1000))
	}
	return b.String()
}

// carry is the duty of a caller: it does one request after the other.
func (d *driver) carry(ctx context.Context) error {
	for {
		call, err := d.ready.Pop(ctx)
		if err != nil {
			return err
		}
		call.err = d.exchange(ctx, call)
		if err := d.completed.Push(ctx, call); err != nil {
			return err
		}
	}
}

func (d *driver) exchange(ctx context.Context, c *liveCall) error {
	p := c.program
	var err error
	switch c.action {
	case endProgram:
		return d.Target.EndProgram(ctx, p.ID)
	case startProgram:
		start := ProgramStart{ID: p.ID, Tenant: p.Tenant, Class: p.Class, Parent: p.Parent, Budget: d.Budget}
		if p.Parent != "" {
			start.Budget = d.ChildBudget
		}
		c.result.Outcome, err = d.Target.StartProgram(ctx, start)
	default:
		c.result, err = d.Target.Call(ctx, c.request)
	}
	return err
}

// ended takes the result of a request. Requests that did not run, or whose
// answer was lost, are sent again with the same request id.
func (d *driver) ended(c *liveCall) {
	if c.action == endProgram {
		return
	}
	p, o := c.program, c.result.Outcome
	// A program that did not begin is refused early. A change of its owner or
	// a backend server that leaves is no refusal.
	refused := o.Code == outcome.NotRun && (o.Reason == outcome.Overloaded || o.Reason == outcome.DeadlineExceeded)
	switch {
	case c.err == nil && o.Code == outcome.Completed:
		d.completedCall(c)
		d.step(p)
	case c.err == nil && refused && !p.root.ran && p == p.root:
		d.end(p.root, &d.result.Refused, &d.progress.Refused)
	case (c.err != nil || o.Code == outcome.NotRun) && time.Since(c.since) < d.scaled(patience):
		wait := time.Duration(o.RetryAfterMS) * time.Millisecond
		d.after(max(wait, d.scaled(minRetryAfter)), func() { d.backlog = append(d.backlog, c) })
	default:
		if p.root.next >= 0 {
			d.Log.Warn("load: program failed", "program", p.ID, "order", c.request.Order,
				"code", o.Code, "reason", o.Reason, "detail", o.Detail, "error", c.err)
		}
		d.end(p.root, &d.result.Failed, &d.progress.Failed)
	}
}

// completedCall counts what a call did.
func (d *driver) completedCall(c *liveCall) {
	if c.action != makeCall {
		return
	}
	p := c.program
	p.root.ran = true
	if c.step.Kind == Model {
		d.classes[p.Class] = true
		d.result.PromptTokens += int64(c.request.PromptTokens)
		d.result.ReusableTokens += int64(c.reusable)
	}
	at := time.Duration(float64(time.Since(d.began)) / d.TimeScale)
	if from, to := d.Scenario.Window(); d.Work != nil && at >= from && at < to {
		p.root.work += d.Work(c.step)
	}
}

// end gives a program up; late calls of its children change nothing more.
func (d *driver) end(root *liveProgram, result, progress *int) {
	if root.next < 0 {
		return
	}
	root.next, root.done = -1, func() {}
	d.open--
	d.backlog = append(d.backlog, &liveCall{action: endProgram, program: root})
	*progress++
	if root.Start >= d.Scenario.Warmup {
		*result++
	}
}
