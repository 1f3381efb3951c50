package model

import (
	"time"

	"dogwoodline.example/load"
	"dogwoodline.example/outcome"
	"dogwoodline.example/schedule"
)

// step starts the next step of a program or ends it.
func (s *sim) step(p *program) {
	if p.next == len(p.Steps) {
		p.done()
		return
	}
	step := &p.Steps[p.next]
	p.next++
	waiting := 1 + len(step.Children)
	arrive := func() {
		waiting--
		if waiting == 0 {
			s.call(p, step)
		}
	}
	s.at(s.now+step.Pause.Seconds(), arrive)
	for _, c := range step.Children {
		child := &program{Program: c, node: p.node, root: p.root, done: arrive}
		s.at(s.now, func() { s.step(child) })
	}
}

func (s *sim) call(p *program, step *load.Step) {
	c := &call{program: p, step: step, ready: s.now}
	c.request = schedule.Request{
		Pool: string(step.Kind), Program: p.ID, Tenant: p.Tenant, Class: p.Class,
		Priority: p.Priority, Idempotent: step.Idempotent,
	}
	if step.Kind == load.Service {
		c.request.Class = step.Operation
	} else {
		if p.history == 0 {
			p.history = p.SystemTokens
		}
		p.history += step.InputTokens
		p.extend()
		c.prefix, c.prompt = p.prefix, p.history
		c.request.Prefix, c.request.PromptTokens, c.request.MaxTokens = p.prefix, p.history, 4*step.OutputTokens+100
	}
	s.submit(c)
}

// extend hashes the full blocks of the history. Blocks of the system prompt
// are the same in all programs of the class.
func (p *program) extend() {
	for n := len(p.prefix); (n+1)*blockTokens <= p.history; n++ {
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

func (s *sim) submit(c *call) {
	s.nextID++
	n := c.program.node
	c.request.ID, c.request.Attained = s.nextID, c.program.root.attained
	c.request.Arrived, c.request.Deadline = s.time(), s.time().Add(callDeadline)
	n.calls[s.nextID] = c
	n.order = append(n.order, s.nextID)
	if !n.stopped {
		n.scheduler.Submit(s.time(), c.request, &n.out)
		s.decide(n)
	}
}

// decide lets a node's scheduler decide and carries its decisions out.
func (s *sim) decide(n *node) {
	if n.stopped {
		return
	}
	n.scheduler.Next(s.time(), &n.out)
	grants, refusals := n.out.Grants, n.out.Refusals
	n.out = schedule.Decisions{}
	for _, r := range refusals {
		s.refused(n, r)
	}
	for _, g := range grants {
		s.granted(n, g)
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
			s.decide(n)
		}
	})
}

func (s *sim) refused(n *node, r schedule.Refusal) {
	c := n.calls[r.ID]
	delete(n.calls, r.ID)
	p := c.program
	retry := max(float64(r.Outcome.RetryAfterMS)/1000, minRetry)
	if r.Outcome.Code == outcome.NotRun && (p.root.attained > 0 || p != p.root) && s.now+retry-c.ready < patience {
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
	s.open--
	p.root.done = func() {}
}

func (s *sim) granted(n *node, g schedule.Grant) {
	c, e := n.calls[g.ID], s.byID[g.Backend]
	if g.Hedge {
		s.result.Hedges++
	}
	j := &job{call: c, engine: e, hedge: g.Hedge, sent: s.now}
	c.jobs = append(c.jobs, j)
	e.advance(s.now)
	e.queue = append(e.queue, j)
	s.touch(e)
}

// touch starts queued jobs and schedules the next change of an engine.
func (s *sim) touch(e *engine) {
	for _, j := range e.admit() {
		s.countPrompt(e, j)
	}
	e.version++
	version := e.version
	if in, ok := e.nextChange(); ok {
		s.at(s.now+in, func() {
			if e.version == version {
				s.change(e)
			}
		})
	}
}

func (s *sim) countPrompt(e *engine, j *job) {
	if e.service {
		return
	}
	best := e.match(j.call.prefix)
	for _, other := range s.engines {
		if !other.service && !other.away && !other.Leaving {
			best = max(best, other.match(j.call.prefix))
		}
	}
	s.result.PromptTokens += int64(j.call.prompt)
	s.result.RecomputedTokens += int64(max(0, min(best*blockTokens, j.call.prompt-1)-j.cached))
}

func (s *sim) change(e *engine) {
	e.advance(s.now)
	var ended []*job
	for _, j := range e.batch {
		if j.prefill == 0 && j.left < 1e-6 {
			ended = append(ended, j)
		}
	}
	for _, j := range ended {
		s.completed(j)
	}
	s.touch(e)
}

// completed ends a call: the other copy is cancelled and the program goes on.
func (s *sim) completed(winner *job) {
	c := winner.call
	p, n := c.program, c.program.node
	if winner.engine.service {
		p.root.attained++
	} else {
		p.history += c.step.OutputTokens
		p.root.attained += int64(c.prompt + c.step.OutputTokens)
		p.extend()
		winner.engine.store(p.prefix)
	}
	delete(n.calls, c.request.ID)
	for _, j := range c.jobs {
		j.engine.advance(s.now)
		j.engine.drop(j)
		s.spent += s.now - j.sent
		if len(c.jobs) > 1 && j != winner {
			s.hedged += s.now - j.sent
		}
		if !n.stopped {
			t := j.timing(s.now)
			t.Cancelled = j != winner
			n.scheduler.Finish(s.time(), c.request.ID, j.engine.ID, t)
		}
		if j != winner {
			s.touch(j.engine)
		}
	}
	if from, to := s.config.Scenario.Window(); s.time().Sub(epoch) >= from && s.time().Sub(epoch) < to {
		p.root.work += Work(c.step)
	}
	d := s.config.Deployment
	s.at(s.now+2*(d.ClientDelay+d.ZoneDelay).Seconds(), func() { s.step(p) })
	s.decide(n)
}

func (j *job) timing(now float64) schedule.Timing {
	t := schedule.Timing{
		Total: time.Duration((now - j.sent) * float64(time.Second)), Tokens: j.generated(),
		PromptTokens: j.call.prompt, CachedTokens: j.cached,
	}
	if j.first > 0 {
		t.FirstToken = time.Duration((j.first - j.sent) * float64(time.Second))
	}
	return t
}

// progress sends the measurements of running calls to their nodes.
func (s *sim) progress() {
	for _, e := range s.engines {
		if e.service {
			continue
		}
		e.advance(s.now)
		for _, j := range e.batch {
			if n := j.call.program.node; !n.stopped && j.first > 0 {
				n.scheduler.Progress(s.time(), j.call.request.ID, e.ID, j.timing(s.now))
			}
		}
		s.touch(e)
	}
	for _, n := range s.nodes {
		s.decide(n)
	}
}

// report sends load reports and cache events late and, the latter, with gaps.
func (s *sim) report() {
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
		events := e.events
		e.events = nil
		s.at(s.now+cacheEventLag, func() {
			for _, event := range events {
				if s.random.Float64() < cacheEventGaps {
					continue
				}
				for _, n := range s.nodes {
					n.scheduler.ApplyCacheEvent(s.time(), event)
				}
			}
		})
	}
}

// restart gives a node a new scheduler that knows the running and waiting
// calls from their owners, as after a change of the granting node.
func (s *sim) restart(n *node) error {
	scheduler, err := schedule.New(s.config.Policy, s.config.Settings)
	if err != nil {
		return err
	}
	n.scheduler, n.stopped, n.wakeAt = scheduler, false, 0
	scheduler.SetBackends(s.time(), s.backends())
	order := n.order
	n.order = nil
	for _, id := range order {
		c := n.calls[id]
		if c == nil {
			continue
		}
		n.order = append(n.order, id)
		for _, j := range c.jobs {
			scheduler.Adopt(s.time(), c.request, j.engine.ID)
		}
		if len(c.jobs) == 0 {
			scheduler.Submit(s.time(), c.request, &n.out)
		}
	}
	s.decide(n)
	return nil
}

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

func (s *sim) addFault(f load.Fault) {
	n := s.nodes[f.Index%len(s.nodes)]
	e := s.engines[f.Index]
	begin, end := func() {}, func() {}
	switch f.Kind {
	case load.SlowBackend:
		begin = func() { s.setSlow(e, f.Factor) }
		end = func() { s.setSlow(e, 1) }
	case load.LeaveBackend:
		begin = func() { e.Leaving = true; s.setBackends() }
		end = func() { e.Leaving = false; e.forget(); s.setBackends() }
	case load.StopNode:
		begin = func() { n.stopped = true }
		end = func() { _ = s.restart(n) }
	}
	s.at(f.Start.Seconds(), begin)
	s.at(f.End.Seconds(), end)
}

func (s *sim) setSlow(e *engine, factor float64) {
	e.advance(s.now)
	e.slow = factor
	s.touch(e)
}

func (s *sim) setBackends() {
	for _, n := range s.nodes {
		n.scheduler.SetBackends(s.time(), s.backends())
		s.decide(n)
	}
}
