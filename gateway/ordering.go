package gateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/duty"
	"dogwoodline.example/fleet"
	"dogwoodline.example/route"
	"dogwoodline.example/waitqueue"
)

const (
	// queueInterval is how often calls that wait for a free slot are looked at again. The
	// slots of other fronts become free without a message to this one.
	queueInterval = 20 * time.Millisecond
	// queueLineInterval is how often a line about the waiting calls of a service is logged.
	queueLineInterval = time.Second
	// maxRefusals is how often a call may be refused by full servers, and
	// maxRefusalsByOne by one of them, before that counts as a failed attempt: a server
	// may refuse for another reason.
	maxRefusals      = 24
	maxRefusalsByOne = 3
)

// placeQueue holds the calls to one contended service that wait for a free slot.
type placeQueue struct {
	service route.Service
	queue   *waitqueue.Queue[*job]
	returns waitqueue.Returns
	checked time.Time // when calls that would be sent too late were looked for
	share   waitqueue.Share
	// Counts since the last line.
	sent, refused, notStarted int
	logged                    time.Time
}

// placeQueues holds the waiting calls of all contended services. Only the scheduler
// goroutine may use it, except for the counts.
type placeQueues struct {
	byService                    map[string]*placeQueue
	due                          *time.Timer // fires when waiting calls should be looked at again
	waiting, refused, notStarted *atomic.Int64
}

func newPlaceQueues() placeQueues {
	return placeQueues{
		byService: map[string]*placeQueue{}, due: time.NewTimer(noLimitTimer),
		waiting: &atomic.Int64{}, refused: &atomic.Int64{}, notStarted: &atomic.Int64{},
	}
}

func (p placeQueues) register(group *duty.Group) {
	group.RegisterGauge("dogwoodline_calls_queued", func() int { return int(p.waiting.Load()) })
	group.RegisterGauge("dogwoodline_calls_refused_late_total", func() int { return int(p.refused.Load()) })
	group.RegisterGauge("dogwoodline_programs_not_started_total", func() int { return int(p.notStarted.Load()) })
}

// of returns the queue of a service and creates it when it is new.
func (p placeQueues) of(service route.Service) *placeQueue {
	q := p.byService[service.Name]
	if q == nil {
		q = &placeQueue{queue: waitqueue.New[*job]()}
		p.byService[service.Name] = q
	}
	q.service = service
	return q
}

// queue lets a job wait until it is its turn. It is sent in the same round of the
// scheduler if a slot is free.
func (s *Scheduler) queue(j *job, now time.Time) {
	s.queues.of(j.service).queue.Push(j.entry(), now)
}

// entry returns the job as an entry of a queue.
func (j *job) entry() waitqueue.Entry[*job] {
	return waitqueue.Entry[*job]{
		Level: j.priority, Organisation: j.request.Organisation, Weight: j.organisationLimit, Urgency: *j.urgency,
		StartsProgram: j.startsProgram || j.request.Program == "", Arrived: j.request.Arrived, Latest: j.deadline.Add(-j.urgency.CallTime), Value: j,
	}
}

// sendQueued sends the waiting jobs for which a slot is free, in their order, and refuses
// those that would be sent too late.
func (s *Scheduler) sendQueued(now time.Time) {
	waiting := 0
	for _, q := range s.queues.byService {
		if q.queue.Len() > 0 {
			s.sendFrom(q, now)
		}
		if q.queue.Len() > 0 && now.Sub(q.checked) >= queueInterval {
			s.refuseQueued(q, now)
		}
		s.logQueue(q, now)
		waiting += q.queue.Len()
	}
	if before := s.queues.waiting.Swap(int64(waiting)); waiting > 0 {
		s.queues.due.Reset(queueInterval)
	} else if before > 0 {
		s.queues.due.Reset(noLimitTimer)
	}
}

// sendFrom sends the waiting jobs of a service while a slot is free. Those that may not
// use it keep their place.
func (s *Scheduler) sendFrom(q *placeQueue, now time.Time) {
	var kept []waitqueue.Entry[*job]
	for q.queue.Len() > 0 && s.mayTakePlace(q, now) {
		e, ok := q.queue.Pop(now)
		if !ok {
			break
		}
		j, request := e.Value, e.Value.fleetRequest()
		if j.ctx.Err() != nil {
			continue // the handler has already ended the request
		}
		free, left := s.mayPlace(q, request, now)
		if !left {
			s.failJob(j, j.noServerLeft(), retryAfterFull, now)
			continue
		}
		if !free {
			kept = append(kept, e)
			continue
		}
		q.sent++
		s.place(j, now)
	}
	for _, e := range kept {
		q.queue.PutBack(e, now)
	}
}

// mayPlace reports whether a free slot may take a call, and whether a backend server is
// left for it at all. The caller has checked mayTakePlace.
func (s *Scheduler) mayPlace(q *placeQueue, request fleet.Request, now time.Time) (free, left bool) {
	if len(request.Exclude) == 0 && request.SoftwareVersion == "" && s.fleet.Size(request.Service) > 0 {
		return true, true
	}
	if _, left := s.fleet.LimitWait(request, now); !left {
		return false, false
	}
	return s.fleet.HasFree(request, s.admission.callsInMemory(q.service), now), true
}

// mayTakePlace reports whether this front may send another call to a service.
func (s *Scheduler) mayTakePlace(q *placeQueue, now time.Time) bool {
	service := q.service
	callsInMemory := s.admission.callsInMemory(service)
	if !s.fleet.HasFree(fleet.Request{Service: service.Name}, callsInMemory, now) {
		return false
	}
	if s.places == nil {
		return true
	}
	_, running, known := s.places.Places(service.Name, callsInMemory, now)
	own, capacity := s.fleet.Occupancy(service.Name, callsInMemory)
	return !known || q.share.MayTake(capacity, running, own, int(s.listedFronts.Load()), s.random.Float64(), now)
}

// refuseQueued refuses the waiting jobs that would be sent too late.
func (s *Scheduler) refuseQueued(q *placeQueue, now time.Time) {
	q.checked = now
	q.queue.Remove(func(j *job) bool { return j.ctx.Err() != nil }, now) // their handlers have already ended the requests
	waiting := q.queue.Len()
	for _, e := range q.queue.Refuse(now) {
		j := e.Value
		reason := noSlotReason(waiting)
		if j.startsProgram {
			s.refuseStart(j, q, reason, e.Wait, now)
			continue
		}
		q.refused++
		s.queues.refused.Add(1)
		s.failJob(j, reason, waitqueue.Spread(e.Wait, j.honoured(now), s.random.Float64()), now)
	}
}

func noSlotReason(waiting int) string {
	return fmt.Sprintf("no slot is free for it in time, %d calls wait", waiting)
}

// logQueue logs a line about the calls of a service that wait or were refused.
func (s *Scheduler) logQueue(q *placeQueue, now time.Time) {
	if now.Sub(q.logged) < queueLineInterval || q.queue.Len() == 0 && q.refused+q.notStarted == 0 {
		return
	}
	s.log.Info("gateway: calls wait for a free slot", "service", q.service.Name, "waiting", q.queue.Len(), "sent", q.sent, "refused", q.refused,
		"programs_not_started", q.notStarted)
	q.sent, q.refused, q.notStarted, q.logged = 0, 0, 0, now
}

// wasFull reports whether the backend server of an attempt refused the job because it was
// full, and the job may wait for a slot there.
func (s *Scheduler) wasFull(result attemptResult) bool {
	j := result.job
	if j.urgency == nil || result.verdict != call.NotRun || !result.report.AtCapacity || j.headSent || j.possibleRuns > 0 {
		return false
	}
	byOne := 1
	for _, id := range j.refusedBy {
		if id == result.backend.ID {
			byOne++
		}
	}
	if byOne >= maxRefusalsByOne || len(j.refusedBy) >= maxRefusals {
		return false
	}
	j.refusedBy = append(j.refusedBy, result.backend.ID)
	return true
}
