package model

import (
	"time"

	"dogwoodline.example/load"
	"dogwoodline.example/outcome"
	"dogwoodline.example/schedule"
)

// startNextStep starts the next step of a program, or ends the program after
// its last step. The call of a step starts when the pause before it has passed
// and all its sub-agents have ended.
func (s *sim) startNextStep(p *program) {
	if p.nextStep == len(p.Steps) {
		p.done()
		return
	}
	step := &p.Steps[p.nextStep]
	p.nextStep++
	remaining := 1 + len(step.Children)
	finishOne := func() {
		remaining--
		if remaining == 0 {
			s.startCall(p, step)
		}
	}
	s.at(s.now+step.Pause.Seconds(), finishOne)
	for _, c := range step.Children {
		child := &program{Program: c, node: p.node, root: p.root, done: finishOne}
		s.at(s.now, func() { s.startNextStep(child) })
	}
}

// startCall submits the call of a step. A model call extends the history of the
// program by the step's input first.
func (s *sim) startCall(p *program, step *load.Step) {
	c := &call{program: p, step: step, readyAt: s.now}
	c.request = schedule.Request{
		Pool: string(step.Kind), Program: p.ID, Tenant: p.Tenant, Class: p.Class,
		Priority: p.Priority, Idempotent: step.Idempotent,
	}
	if step.Kind == load.Service {
		c.request.Class = step.Operation
	} else {
		if p.historyTokens == 0 {
			p.historyTokens = p.SystemTokens
		}
		p.historyTokens += step.InputTokens
		p.extendPrefix()
		c.prefix, c.promptTokens = p.prefix, p.historyTokens
		c.request.Prefix, c.request.PromptTokens, c.request.MaxTokens = p.prefix, p.historyTokens, 4*step.OutputTokens+100
	}
	s.submit(c)
}

// extendPrefix appends the hashes of the blocks of the history that have become
// full. Blocks of the system prompt have the same hashes in all programs of a
// class, all other blocks differ between programs.
func (p *program) extendPrefix() {
	for n := len(p.prefix); (n+1)*blockTokens <= p.historyTokens; n++ {
		owner := p.ID
		if (n+1)*blockTokens <= p.SystemTokens {
			owner = p.Class
		}
		hash := uint64(n)*0x9e3779b97f4a7c15 + 14695981039346656037
		for i := range len(owner) {
			hash = (hash ^ uint64(owner[i])) * 1099511628211
		}
		p.prefix = append(p.prefix, hash^hash>>29)
	}
}

// submit adds a call to its node, under a new id, and runs the scheduler.
func (s *sim) submit(c *call) {
	s.nextID++
	n := c.program.node
	c.request.ID, c.request.Attained = s.nextID, c.program.root.attained
	c.request.Arrived, c.request.Deadline = s.time(), s.time().Add(callDeadline)
	n.calls[s.nextID] = c
	n.submitted = append(n.submitted, s.nextID)
	if !n.stopped {
		n.scheduler.Submit(s.time(), c.request, &n.decisions)
		s.runScheduler(n)
	}
}

// runScheduler runs a node's scheduler, carries out its decisions and schedules
// the next run at the time that the scheduler asks for.
func (s *sim) runScheduler(n *node) {
	if n.stopped {
		return
	}
	n.scheduler.Next(s.time(), &n.decisions)
	grants, refusals := n.decisions.Grants, n.decisions.Refusals
	n.decisions = schedule.Decisions{}
	for _, r := range refusals {
		s.handleRefusal(n, r)
	}
	for _, g := range grants {
		s.handleGrant(n, g)
	}
	wake := n.scheduler.NextWake()
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(epoch).Seconds(), s.now) + 1e-6
	if n.wakeAt > s.now && n.wakeAt <= at {
		return
	}
	n.wakeAt = at
	s.at(at, func() {
		if n.wakeAt == at {
			s.runScheduler(n)
		}
	})
}

// handleRefusal submits a call that did not run again after a delay, if its
// program has already made progress or is a sub-agent, for up to maxRetryTime.
// Any other refusal ends the root program: it counts as refused if none of its
// calls has completed, and as failed otherwise.
func (s *sim) handleRefusal(n *node, r schedule.Refusal) {
	c := n.calls[r.ID]
	delete(n.calls, r.ID)
	p := c.program
	retry := max(float64(r.Outcome.RetryAfterMS)/1000, minRetryDelay)
	if r.Outcome.Code == outcome.NotRun && (p.root.attained > 0 || p != p.root) && s.now+retry-c.readyAt < maxRetryTime {
		s.at(s.now+retry, func() { s.submit(c) })
		return
	}
	measured := p.root.Start >= s.config.Scenario.Warmup
	switch {
	case !measured:
	case p.root.attained == 0:
		s.result.Refused++
	default:
		s.result.Failed++
	}
	s.openPrograms--
	p.root.done = func() {}
}

// handleGrant queues a copy of the call at the granted engine.
func (s *sim) handleGrant(n *node, g schedule.Grant) {
	c, e := n.calls[g.ID], s.byID[g.Backend]
	if g.Hedge {
		s.result.Hedges++
	}
	j := &job{call: c, engine: e, hedge: g.Hedge, sentAt: s.now}
	c.jobs = append(c.jobs, j)
	e.advance(s.now)
	e.queue = append(e.queue, j)
	s.updateEngine(e)
}

// updateEngine starts queued jobs of an engine and schedules its next event. It
// must follow every change of an engine, because the event scheduled before is
// then void.
func (s *sim) updateEngine(e *engine) {
	for _, j := range e.admit() {
		s.countPromptTokens(e, j)
	}
	e.eventVersion++
	version := e.eventVersion
	if wait, ok := e.nextEvent(); ok {
		s.at(s.now+wait, func() {
			if e.eventVersion == version {
				s.completeJobs(e)
			}
		})
	}
}

// countPromptTokens counts the prompt tokens of a job that starts. Tokens that
// another engine has cached but this one has not count as recomputed.
func (s *sim) countPromptTokens(e *engine, j *job) {
	if e.service {
		return
	}
	bestMatch := e.matchingBlocks(j.call.prefix)
	for _, other := range s.engines {
		if !other.service && !other.away && !other.Leaving {
			bestMatch = max(bestMatch, other.matchingBlocks(j.call.prefix))
		}
	}
	s.result.PromptTokens += int64(j.call.promptTokens)
	s.result.RecomputedTokens += int64(max(0, min(bestMatch*blockTokens, j.call.promptTokens-1)-j.cachedTokens))
}

// completeJobs handles the event of an engine: it completes the calls whose jobs
// have no output left.
func (s *sim) completeJobs(e *engine) {
	e.advance(s.now)
	var finished []*job
	for _, j := range e.batch {
		if j.prefillLeft == 0 && j.outputLeft < 1e-6 {
			finished = append(finished, j)
		}
	}
	for _, j := range finished {
		s.completeCall(j)
	}
	s.updateEngine(e)
}

// completeCall ends a call with the job that finished first. It cancels the
// other copies of the call and continues the program.
func (s *sim) completeCall(winner *job) {
	c := winner.call
	p, n := c.program, c.program.node
	if winner.engine.service {
		p.root.attained++
	} else {
		p.historyTokens += c.step.OutputTokens
		p.root.attained += int64(c.promptTokens + c.step.OutputTokens)
		p.extendPrefix()
		winner.engine.cachePrefix(p.prefix)
	}
	delete(n.calls, c.request.ID)
	for _, j := range c.jobs {
		j.engine.advance(s.now)
		j.engine.remove(j)
		s.jobSeconds += s.now - j.sentAt
		if len(c.jobs) > 1 && j != winner {
			s.hedgeSeconds += s.now - j.sentAt
		}
		if !n.stopped {
			t := j.timing(s.now)
			t.Cancelled = j != winner
			n.scheduler.Finish(s.time(), c.request.ID, j.engine.ID, t)
		}
		if j != winner {
			s.updateEngine(j.engine)
		}
	}
	if from, to := s.config.Scenario.Window(); s.time().Sub(epoch) >= from && s.time().Sub(epoch) < to {
		p.root.work += StepWork(c.step)
	}
	d := s.config.Deployment
	s.at(s.now+2*(d.ClientDelay+d.ZoneDelay).Seconds(), func() { s.startNextStep(p) })
	s.runScheduler(n)
}

// timing returns the measurements of a job so far.
func (j *job) timing(now float64) schedule.Timing {
	t := schedule.Timing{
		Total: time.Duration((now - j.sentAt) * float64(time.Second)), Tokens: j.generatedTokens(),
		PromptTokens: j.call.promptTokens, CachedTokens: j.cachedTokens,
	}
	if j.firstTokenAt > 0 {
		t.FirstToken = time.Duration((j.firstTokenAt - j.sentAt) * float64(time.Second))
	}
	return t
}

// sendProgress reports the measurements of running model calls to the
// schedulers of their nodes.
func (s *sim) sendProgress() {
	for _, e := range s.engines {
		if e.service {
			continue
		}
		e.advance(s.now)
		for _, j := range e.batch {
			if n := j.call.program.node; !n.stopped && j.firstTokenAt > 0 {
				n.scheduler.Progress(s.time(), j.call.request.ID, e.ID, j.timing(s.now))
			}
		}
		s.updateEngine(e)
	}
	for _, n := range s.nodes {
		s.runScheduler(n)
	}
}

// sendReports delivers the load reports and cache events of the engines to all
// schedulers after their delays. It loses a random share cacheEventLoss of the
// cache events.
func (s *sim) sendReports() {
	for _, e := range s.engines {
		if e.away {
			continue
		}
		r := schedule.LoadReport{Backend: e.ID, Running: len(e.batch), Waiting: len(e.queue), TakenAt: s.time()}
		s.at(s.now+reportLag, func() {
			for _, n := range s.nodes {
				n.scheduler.ApplyLoadReport(s.time(), r)
			}
		})
		events := e.cacheEvents
		e.cacheEvents = nil
		s.at(s.now+cacheEventLag, func() {
			for _, event := range events {
				if s.random.Float64() < cacheEventLoss {
					continue
				}
				for _, n := range s.nodes {
					n.scheduler.ApplyCacheEvent(s.time(), event)
				}
			}
		})
	}
}

// restartScheduler gives a node a new scheduler and hands it the node's running
// and queued calls, as the nodes that own the programs do when another node
// takes over scheduling.
func (s *sim) restartScheduler(n *node) error {
	scheduler, err := schedule.New(s.config.Policy, s.config.Settings)
	if err != nil {
		return err
	}
	n.scheduler, n.stopped, n.wakeAt = scheduler, false, 0
	scheduler.SetBackends(s.time(), s.backends())
	submitted := n.submitted
	n.submitted = nil
	for _, id := range submitted {
		c := n.calls[id]
		if c == nil {
			continue
		}
		n.submitted = append(n.submitted, id)
		for _, j := range c.jobs {
			scheduler.Adopt(s.time(), c.request, j.engine.ID)
		}
		if len(c.jobs) == 0 {
			scheduler.Submit(s.time(), c.request, &n.decisions)
		}
	}
	s.runScheduler(n)
	return nil
}

// backends returns the backend servers as the schedulers see them.
func (s *sim) backends() []schedule.Backend {
	var list []schedule.Backend
	for _, e := range s.engines {
		if e.away {
			continue
		}
		b := e.Backend
		if s.config.SplitSlots {
			b.Slots = max(1, b.Slots/len(s.nodes))
		}
		list = append(list, b)
	}
	return list
}

// scheduleFault schedules the start and the end of a fault. A backend server
// that returns has an empty cache.
func (s *sim) scheduleFault(f load.Fault) {
	n := s.nodes[f.Index%len(s.nodes)]
	e := s.engines[f.Index]
	begin, end := func() {}, func() {}
	switch f.Kind {
	case load.SlowBackend:
		begin = func() { s.setSlow(e, f.Factor) }
		end = func() { s.setSlow(e, 1) }
	case load.LeaveBackend:
		begin = func() { e.Leaving = true; s.setBackends() }
		end = func() { e.Leaving = false; e.clearCache(); s.setBackends() }
	case load.StopNode:
		begin = func() { n.stopped = true }
		end = func() { _ = s.restartScheduler(n) }
	}
	s.at(f.Start.Seconds(), begin)
	s.at(f.End.Seconds(), end)
}

func (s *sim) setSlow(e *engine, factor float64) {
	e.advance(s.now)
	e.slowFactor = factor
	s.updateEngine(e)
}

func (s *sim) setBackends() {
	for _, n := range s.nodes {
		n.scheduler.SetBackends(s.time(), s.backends())
		s.runScheduler(n)
	}
}
