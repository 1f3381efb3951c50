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

// TokenBytes is the number of bytes of text that count as one token, here and in
// the emulated engines.
const TokenBytes = 4

// programState is the state of a program during a run. The fields callCompleted
// and work are used only in root programs, where they include the sub-agents.
type programState struct {
	*Program
	root          *programState
	next          int // index of the next step; -1 in a root that was given up
	historyTokens int // length of the conversation so far
	callCompleted bool
	work          float64
	done          func() // called once when all steps have completed
}

// action tells which method of the target a request calls.
type action int

const (
	startProgram action = iota
	makeCall
	endProgram
)

// pendingRequest is a request to the target and, once a caller has sent it, its
// result.
type pendingRequest struct {
	action         action
	program        *programState
	step           *Step
	request        CallRequest
	reusableTokens int       // prompt tokens that some backend server has read or generated before
	createdAt      time.Time // when the request was first queued; retries keep it
	result         CallResult
	err            error
}

// startProgram queues the request that starts a program. Its first step begins
// after this request has completed, so that the sub-agents of that step find
// their parent.
func (d *driver) startProgram(p *programState) {
	d.backlog = append(d.backlog, &pendingRequest{action: startProgram, program: p, createdAt: time.Now()})
}

// startNextStep begins the next step of a program, or ends the program after the
// last one. The call of a step is queued after its pause has passed and its
// sub-agents have completed.
func (d *driver) startNextStep(p *programState) {
	if p.root.next < 0 {
		return // the root was given up
	}
	if p.next == len(p.Steps) {
		d.backlog = append(d.backlog, &pendingRequest{action: endProgram, program: p})
		p.done()
		return
	}
	step := &p.Steps[p.next]
	p.next++
	pending := 1 + len(step.Children)
	dependencyDone := func() {
		pending--
		if pending == 0 && p.root.next >= 0 {
			call := &pendingRequest{action: makeCall, program: p, step: step, createdAt: time.Now(), reusableTokens: p.historyTokens}
			if p.historyTokens == 0 && d.seenClasses[p.Class] {
				call.reusableTokens = p.SystemTokens
			}
			call.request = p.newCallRequest(step)
			call.request.DeadlineMS = max(d.scaled(callDeadline).Milliseconds(), 1)
			call.request.Stream = d.Stream && step.Kind == Model
			d.backlog = append(d.backlog, call)
		}
	}
	d.after(d.scaled(step.Pause), dependencyDone)
	for _, c := range step.Children {
		d.startProgram(&programState{Program: c, root: p.root, done: dependencyDone})
	}
}

// newCallRequest returns the request for the call of a step and advances the
// history. The target stores the conversation, so the messages hold only what is
// new.
func (p *programState) newCallRequest(step *Step) CallRequest {
	r := CallRequest{
		Program: p.ID, RequestID: fmt.Sprintf("%s-%d", p.ID, p.next), Order: p.next, Kind: step.Kind,
		Service: step.Service, Operation: step.Operation,
	}
	if step.Kind == Service {
		r.Body = fmt.Appendf(nil, `{"program":%q}`, p.ID)
		return r
	}
	if p.historyTokens == 0 {
		p.historyTokens = p.SystemTokens
		r.Messages = append(r.Messages, Message{Role: "system", Content: randomText(p.Class, p.SystemTokens)})
	}
	p.historyTokens += step.InputTokens
	r.Messages = append(r.Messages, Message{Role: "user", Content: randomText(r.RequestID, step.InputTokens)})
	r.MaxTokens, r.PromptTokens = step.OutputTokens, p.historyTokens
	p.historyTokens += step.OutputTokens
	return r
}

// randomText returns a text of the given number of tokens, each of them three
// hexadecimal digits and a space. It depends only on seed; different seeds give
// different texts, so that the text of one program is not in the prompt cache
// because of another.
func randomText(seed string, tokens int) string {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(seed)) // never fails
	random := rand.New(rand.NewPCG(hash.Sum64(), 0))
	var b strings.Builder
	for range tokens {
		fmt.Fprintf(&b, "%03x ", random.IntN(0x1000))
	}
	return b.String()
}

// runCaller sends one queued request after the other until ctx ends.
func (d *driver) runCaller(ctx context.Context) error {
	for {
		request, err := d.ready.Pop(ctx)
		if err != nil {
			return err
		}
		request.err = d.send(ctx, request)
		if err := d.completed.Push(ctx, request); err != nil {
			return err
		}
	}
}

// send sends a request to the target and sets its result.
func (d *driver) send(ctx context.Context, r *pendingRequest) error {
	p := r.program
	var err error
	switch r.action {
	case endProgram:
		return d.Target.EndProgram(ctx, p.ID)
	case startProgram:
		start := ProgramStart{ID: p.ID, Tenant: p.Tenant, Class: p.Class, Parent: p.Parent, Budget: d.Budget}
		if p.Parent != "" {
			start.Budget = d.ChildBudget
		}
		r.result.Outcome, err = d.Target.StartProgram(ctx, start)
	default:
		r.result, err = d.Target.Call(ctx, r.request)
	}
	return err
}

// handleResult continues the program after a request has returned. Requests that
// did not run, or whose answer was lost, are sent again with the same request
// id.
func (d *driver) handleResult(r *pendingRequest) {
	if r.action == endProgram {
		return
	}
	p, o := r.program, r.result.Outcome
	// A root program counts as refused if the target rejects it for overload or a
	// passed deadline before any of its calls has completed. A change of the
	// program's owner or a backend server that leaves is not a refusal.
	refused := o.Code == outcome.NotRun && (o.Reason == outcome.Overloaded || o.Reason == outcome.DeadlineExceeded)
	switch {
	case r.err == nil && o.Code == outcome.Completed:
		d.countCompletedCall(r)
		d.startNextStep(p)
	case r.err == nil && refused && !p.root.callCompleted && p == p.root:
		d.giveUp(p.root, &d.result.Refused, &d.progress.Refused)
	case (r.err != nil || o.Code == outcome.NotRun) && time.Since(r.createdAt) < d.scaled(retryPeriod):
		wait := time.Duration(o.RetryAfterMS) * time.Millisecond
		d.after(max(wait, d.scaled(minRetryDelay)), func() { d.backlog = append(d.backlog, r) })
	default:
		if p.root.next >= 0 {
			d.Log.Warn("load: program failed", "program", p.ID, "order", r.request.Order,
				"code", o.Code, "reason", o.Reason, "detail", o.Detail, "error", r.err)
		}
		d.giveUp(p.root, &d.result.Failed, &d.progress.Failed)
	}
}

// countCompletedCall adds the tokens and the work of a completed call to the
// results.
func (d *driver) countCompletedCall(r *pendingRequest) {
	if r.action != makeCall {
		return
	}
	p := r.program
	p.root.callCompleted = true
	if r.step.Kind == Model {
		d.seenClasses[p.Class] = true
		d.result.PromptTokens += int64(r.request.PromptTokens)
		d.result.ReusableTokens += int64(r.reusableTokens)
	}
	at := time.Duration(float64(time.Since(d.began)) / d.TimeScale)
	if from, to := d.Scenario.Window(); d.StepWork != nil && at >= from && at < to {
		p.root.work += d.StepWork(r.step)
	}
}

// giveUp ends a root program that was refused or failed and increments the
// counters result, if the program is measured, and progress. Results of its
// sub-agents that arrive later start no further steps and do not count the
// program again.
func (d *driver) giveUp(root *programState, result, progress *int) {
	if root.next < 0 {
		return
	}
	root.next, root.done = -1, func() {}
	d.openPrograms--
	d.backlog = append(d.backlog, &pendingRequest{action: endProgram, program: root})
	*progress++
	if root.Start >= d.Scenario.Warmup {
		*result++
	}
}
