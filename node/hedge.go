package node

import (
	"context"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/schedule"
)

// activeCall is a dispatched call. It waits for a slot or runs on one backend
// server; a hedged call runs on two until the first of them answers.
type activeCall struct {
	preparedCall
	copies []runningCopy
	winner schedule.BackendID // the copy whose answer is used; empty until a copy answers
	hedged bool
	// pendingHedge is the backend server that gets the second copy once the
	// cost of that copy is durable.
	pendingHedge schedule.BackendID
}

// runningCopy is a copy of a call that was sent to a backend server.
type runningCopy struct {
	backend schedule.BackendID
	cancel  context.CancelFunc
}

// startCopy sends a copy of a call to a backend server.
func (p *programs) startCopy(ctx context.Context, call *activeCall, to dispatch.Endpoint) {
	job := call.job
	job.Endpoint = to
	job.StartID = (*p.startIDs.Load())[to.Name]
	if len(call.copies) > 0 {
		job.RequestID += hedgeSuffix
	}
	var cancel context.CancelFunc
	job.Context, cancel = context.WithCancel(ctx)
	call.copies = append(call.copies, runningCopy{backend: to.Name, cancel: cancel})
	_ = p.jobs.Push(ctx, job)
}

// hedgeSuffix is added to the request id of the second copy of a call, so that
// engines distinguish it from the first.
const hedgeSuffix = "~2"

// handleLateDecision handles a decision for a call that already runs or was
// withdrawn. A grant of a hedge is kept if a second copy may run, any other
// slot is released.
func (p *programs) handleLateDecision(ctx context.Context, id program.CallID, call *activeCall, d decision) {
	switch {
	case !d.granted:
	case call != nil && d.hedge && len(call.copies) == 1 && call.winner == "" && call.pendingHedge == "" && p.table.Hedge(id, &p.out):
		call.pendingHedge = d.backend
	default:
		p.releaseSlot(ctx, d.id, d.backend)
	}
}

// releaseSlot frees a granted slot that is not used.
func (p *programs) releaseSlot(ctx context.Context, id schedule.CallID, backend schedule.BackendID) {
	p.notifyScheduler(ctx, schedulerInput{kind: finishCall, id: id, backend: backend, timing: schedule.Timing{Cancelled: true}})
}

// startHedge starts the second copy of a call, unless the first one has answered
// or ended in the meantime.
func (p *programs) startHedge(ctx context.Context, id program.CallID) {
	call, ok := p.dispatched[id]
	if !ok || call.pendingHedge == "" {
		return
	}
	backend := call.pendingHedge
	call.pendingHedge = ""
	endpoint, declared := endpointOf(p.resources(), p.credentials, backend)
	if !declared || call.winner != "" || len(call.copies) != 1 {
		p.releaseSlot(ctx, call.request.ID, backend)
		return
	}
	call.hedged = true
	p.startCopy(ctx, call, endpoint)
}

// acceptAnswer reports whether the answer of a copy is used. The first copy that
// answers wins and the other one is cancelled: the copies generate different
// texts, so all parts of an answer must come from the same one.
func (a *activeCall) acceptAnswer(backend schedule.BackendID) bool {
	if a == nil {
		return false
	}
	if a.winner != "" {
		return a.winner == backend
	}
	a.winner = backend
	for _, c := range a.copies {
		if c.backend != backend {
			c.cancel()
		}
	}
	return true
}

// copyFinished records the end of a copy and reports whether the call ended with
// it. If a copy fails before either has answered, the call goes on with the
// other one.
func (a *activeCall) copyFinished(event dispatch.Event) bool {
	for i, c := range a.copies {
		if c.backend == event.Backend {
			c.cancel()
			a.copies = append(a.copies[:i], a.copies[i+1:]...)
			break
		}
	}
	if a.winner == "" && event.Result.Outcome.Code != outcome.Completed && len(a.copies) > 0 {
		return false
	}
	return a.acceptAnswer(event.Backend)
}
