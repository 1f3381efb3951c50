package node

import (
	"context"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/schedule"
)

// underway is a dispatched call. It waits for a slot, or runs on one backend
// server, or, hedged, on two until the first of them answers.
type underway struct {
	order
	copies []runningCopy
	lead   schedule.BackendID // the copy whose answer counts, once it answered
	hedged bool
	// waitingHedge is where a second copy goes once its cost is durable.
	waitingHedge schedule.BackendID
}

type runningCopy struct {
	backend schedule.BackendID
	cancel  context.CancelFunc
}

// launch sends a copy of a call to a backend server.
func (p *programs) launch(ctx context.Context, o *underway, to dispatch.Endpoint) {
	job := o.job
	job.Endpoint = to
	job.StartID = (*p.startIDs.Load())[to.Name]
	if len(o.copies) > 0 {
		job.RequestID += hedgeSuffix
	}
	var cancel context.CancelFunc
	job.Context, cancel = context.WithCancel(ctx)
	o.copies = append(o.copies, runningCopy{backend: to.Name, cancel: cancel})
	_ = p.jobs.Push(ctx, job)
}

// hedgeSuffix tells the second copy of a call from the first at the engines.
const hedgeSuffix = "~2"

// hedge handles a grant for a call that runs already or was withdrawn.
func (p *programs) hedge(ctx context.Context, id program.CallID, o *underway, d decision) {
	switch {
	case !d.granted:
	case o != nil && d.hedge && len(o.copies) == 1 && o.lead == "" && o.waitingHedge == "" && p.table.Hedge(id, &p.out):
		o.waitingHedge = d.backend
	default:
		p.giveBack(ctx, d.id, d.backend)
	}
}

// giveBack frees a granted slot that is not used.
func (p *programs) giveBack(ctx context.Context, id schedule.CallID, backend schedule.BackendID) {
	p.notifyScheduler(ctx, schedulerInput{kind: finishCall, id: id, backend: backend, timing: schedule.Timing{Cancelled: true}})
}

// sendHedge sends the second copy of a call, unless the first one answered
// meanwhile.
func (p *programs) sendHedge(ctx context.Context, id program.CallID) {
	o, ok := p.dispatched[id]
	if !ok || o.waitingHedge == "" {
		return
	}
	backend := o.waitingHedge
	o.waitingHedge = ""
	endpoint, declared := endpointOf(p.resources(), p.credentials, backend)
	if !declared || o.lead != "" || len(o.copies) != 1 {
		p.giveBack(ctx, o.request.ID, backend)
		return
	}
	o.hedged = true
	p.launch(ctx, o, endpoint)
}

// leads reports whether the answer of a copy counts. The first copy that
// answers leads, and the other one is stopped: their texts differ, so an
// answer must come from one of them.
func (o *underway) leads(backend schedule.BackendID) bool {
	if o == nil {
		return false
	}
	if o.lead != "" {
		return o.lead == backend
	}
	o.lead = backend
	for _, c := range o.copies {
		if c.backend != backend {
			c.cancel()
		}
	}
	return true
}

// finished notes the end of a copy and reports whether the call ended with it.
// A copy that failed before it answered leaves the call to the other one.
func (o *underway) finished(event dispatch.Event) bool {
	for i, c := range o.copies {
		if c.backend == event.Backend {
			c.cancel()
			o.copies = append(o.copies[:i], o.copies[i+1:]...)
			break
		}
	}
	if o.lead == "" && event.Result.Outcome.Code != outcome.Completed && len(o.copies) > 0 {
		return false
	}
	return o.leads(event.Backend)
}
