package gateway

import (
	"maps"
	"slices"
	"time"

	"dogwoodline.example/fleet"
	"dogwoodline.example/route"
	"dogwoodline.example/waitqueue"
)

// whereQuery asks the scheduler what it would do with a job that is not dispatched. The
// reply channel has a buffer of one, so that the scheduler does not wait.
type whereQuery struct {
	job   *job
	reply chan preview
}

// preview is what the scheduler would do with a job now.
type preview struct {
	contended  bool
	servers    int
	start      *startVerdict // nil if the job starts no program at a model server
	queue      *waitqueue.Outlook
	waiting    int
	waits      bool
	refusal    *refusal
	candidates *fleet.Candidates // nil if the job is refused before
	zoneShares map[string]float64
	zoneDemand map[string]float64
}

// answer replies to a query, unless nobody waits for the reply any more.
func (s *Scheduler) answer(q whereQuery, now time.Time) {
	if q.job.ctx.Err() == nil {
		q.reply <- s.preview(q.job, now)
	}
}

// preview makes the decisions of dispatch without dispatching the job. Nothing but the
// random numbers changes.
func (s *Scheduler) preview(j *job, now time.Time) preview {
	defer s.fleet.Trial(j.service.Name)()
	if j.service.Engine != nil {
		defer s.admission.tryObserve(j.service.Name, j.request.UnsharedTokens())()
	}
	p := preview{contended: s.contended(j.service.Name), servers: s.fleet.Size(j.service.Name), zoneShares: s.fleet.ZoneShares(j.service.Name)}
	if v := s.views[j.service.Name]; v != nil && v.valid(now) {
		p.zoneDemand = maps.Clone(v.table.ZoneDemand)
	}
	if s.assess(j, now); j.urgency != nil {
		s.previewQueue(j, &p, now)
	} else {
		s.previewStart(j, &p, now)
	}
	if p.refusal != nil && p.queue == nil {
		return p // its program may not start
	}
	candidates := s.fleet.Explain(s.serverRequest(j), now)
	p.candidates = &candidates
	switch {
	case p.refusal != nil || p.waits:
	case !candidates.Found:
		s.previewLimits(j, &p, now)
	case s.attempts.Len() >= s.attempts.Cap():
		p.refusal = unavailable(reasonCallersBusy, retryAfterFull)
	}
	return p
}

// tryObserve observes a call until the returned function is called.
func (a *admission) tryObserve(service string, tokens int) (undo func()) {
	before, known := a.meanCallTokens[service]
	a.observe(service, tokens)
	return func() {
		if a.meanCallTokens[service] = before; !known {
			delete(a.meanCallTokens, service)
		}
	}
}

// previewStart decides whether a program may start at a service that is not contended.
func (s *Scheduler) previewStart(j *job, p *preview, now time.Time) {
	if j.service.Engine == nil || !j.startsProgram {
		return
	}
	verdict := s.judgeStart(j, s.standing(j, s.shares.Peek, now), now)
	p.start = &verdict
	if verdict.refused != "" {
		p.refusal = unavailable(verdict.refused, retryAfterNotAdmitted)
	}
}

// previewQueue decides whether a call to a contended service may start its program, and
// whether it waits for a free slot.
func (s *Scheduler) previewQueue(j *job, p *preview, now time.Time) {
	q := s.queues.trial(j.service)
	if j.service.Engine != nil && j.startsProgram {
		verdict := s.judgeQueuedStart(j, q.queue.TryStart, s.standing(j, s.shares.Peek, now), now)
		p.start = &verdict
		if verdict.refused != "" {
			p.refusal = s.startRefusal(j, q, verdict.refused, verdict.wait, now)
			return
		}
	}
	outlook := q.queue.Outlook(j.entry(), func(other *job) bool { return other == j }, now)
	p.queue, p.waiting = &outlook, q.queue.Len()
	if outlook.Ahead == 0 && s.mayTakePlace(q, now) {
		free, left := s.mayPlace(q, j.fleetRequest(), now)
		if !left {
			p.refusal = unavailable(j.noServerLeft(), retryAfterFull)
			return
		}
		if free {
			return
		}
	}
	if !outlook.TooLate {
		p.waits = true
		return
	}
	reason := noSlotReason(p.waiting + 1)
	if j.startsProgram {
		p.refusal = s.startRefusal(j, q, reason, outlook.Wait, now)
	} else {
		p.refusal = unavailable(reason, waitqueue.Spread(outlook.Wait, j.honoured(now), s.random.Float64()))
	}
}

// previewLimits decides whether a call waits for the limits of the backend servers.
func (s *Scheduler) previewLimits(j *job, p *preview, now time.Time) {
	list := s.waiting.byService[j.service.Name]
	at, _ := slices.BinarySearchFunc(list, j, compareUrgency)
	wait, refused := s.limitWait(j, at, now)
	p.queue, p.waiting = &waitqueue.Outlook{Ahead: at, Wait: wait}, len(list)
	p.waits, p.refusal = refused == nil, refused
}

// trial returns a copy of what is known of a service's queue. The waiting calls themselves
// are not copied and must not be changed.
func (p placeQueues) trial(service route.Service) *placeQueue {
	known := p.byService[service.Name]
	if known == nil {
		return &placeQueue{service: service, queue: waitqueue.New[*job]()}
	}
	trial := *known
	trial.service = service
	return &trial
}
