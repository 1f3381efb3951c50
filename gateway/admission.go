package gateway

import (
	"time"

	"dogwoodline.example/fleet"
	"dogwoodline.example/route"
	"dogwoodline.example/route/fairshare"
	"dogwoodline.example/waitqueue"
)

const (
	// admissionThreshold is the utilization at which the least urgent routes
	// admit no new programs: the model servers have no free capacity.
	admissionThreshold = 1.0
	// priorityHeadroom is added to the threshold for the most urgent routes
	// (priority 0). Routes of priority p get priorityHeadroom/(1+p).
	priorityHeadroom = 0.2
	// callTokensWeight is the weight of a new sample in the exponential moving
	// average of tokens per call, which thus covers about the last 20 calls.
	callTokensWeight = 0.05
)

// admission decides whether a new program may start. It admits whole programs
// and not single calls: when the model servers are full, programs that have
// started take precedence, because more concurrent programs would only evict
// each other's prompts from the KV cache. Only the scheduler goroutine may use
// it.
type admission struct {
	meanCallTokens map[string]float64 // moving average by service name
}

// observe records the number of KV cache tokens that a call does not share with
// other calls.
func (a *admission) observe(service string, tokens int) {
	if mean := a.meanCallTokens[service]; mean > 0 {
		a.meanCallTokens[service] = mean + callTokensWeight*(float64(tokens)-mean)
	} else {
		a.meanCallTokens[service] = float64(tokens)
	}
}

// utilization estimates the fraction of the model servers' capacity that
// running calls use. Clients choose fronts at random, so each front sees about
// an equal share of the calls: the calls of this front are multiplied by the
// number of fronts.
func (a *admission) utilization(f *fleet.Fleet, service route.Service, fronts int) float64 {
	utilization, _ := a.load(f, service, fronts)
	return utilization
}

// load returns the utilization, and how much of it one call of this front stands for.
func (a *admission) load(f *fleet.Fleet, service route.Service, fronts int) (utilization, step float64) {
	running, capacity := f.Occupancy(service.Name, a.callsInMemory(service))
	if capacity == 0 {
		return 0, 0
	}
	step = float64(max(1, fronts)) / capacity
	return float64(running) * step, step
}

// fairnessMargin is the part of the utilization that is left free for other organisations
// by one that has had more than its share, at least one call of this front.
const fairnessMargin = 0.1

// adjust returns the utilization and the priority with which an organisation of the given
// standing is admitted. One that is served much less often than all goes before the most
// urgent ones, or their demand alone could keep it out.
func adjust(utilization, step float64, priority int, standing fairshare.Standing) (float64, int) {
	margin := max(step, fairnessMargin*utilization)
	switch standing {
	case fairshare.Over:
		return utilization + margin, priority
	case fairshare.Under:
		return utilization - margin, 0
	default:
		return utilization, priority
	}
}

// placesView tells what all fronts together know of the places at the backend servers of
// a service. A front that knows nothing of the others estimates from its own calls.
type placesView interface {
	// Places returns the calls that run at the servers of a service, and the free slots
	// there; callsInMemory is the number of calls that fit into the memory of one server,
	// or 0. It reports false if that is not known at present.
	Places(service string, callsInMemory float64, now time.Time) (free, running int, known bool)
}

// callsInMemory returns the number of calls that fit into the KV cache of one server, or
// 0 if that is unknown.
func (a *admission) callsInMemory(service route.Service) float64 {
	if size := a.meanCallTokens[service.Name]; size > 0 && service.Engine != nil {
		return float64(service.Engine.KVCacheTokens) / size
	}
	return 0
}

// utilization returns the fraction of the capacity of a service's servers that running
// calls use.
func (s *Scheduler) utilization(service route.Service, now time.Time) float64 {
	if s.places != nil {
		callsInMemory := s.admission.callsInMemory(service)
		_, capacity := s.fleet.Occupancy(service.Name, callsInMemory)
		if _, running, known := s.places.Places(service.Name, callsInMemory, now); known && capacity > 0 {
			return float64(running) / capacity
		}
	}
	return s.admission.utilization(s.fleet, service, int(s.listedFronts.Load()))
}

// mayStart decides whether a call whose service is contended may go on, and fails the job
// if not.
func (s *Scheduler) mayStart(j *job, now time.Time) bool {
	if j.service.Engine == nil || j.tries > 0 {
		return true
	}
	s.admission.observe(j.service.Name, j.request.UnsharedTokens())
	if !j.startsProgram {
		return true
	}
	q := s.queues.of(j.service)
	verdict := s.judgeQueuedStart(j, q.queue.MayStart, s.standing(j, s.shares.Offer, now), now)
	if verdict.refused != "" {
		s.refuseStart(j, q, verdict.refused, verdict.wait, now)
		return false
	}
	q.returns.Started(now)
	if j.priorityLevels > 0 {
		s.shares.Admit(j.request.Organisation, now)
	}
	return true
}

// standByShare lets an organisation that has had more than its share of the programs go
// after all others, and one that is served much less often than all before them.
func standByShare(start *waitqueue.Start, standing fairshare.Standing) {
	switch standing {
	case fairshare.Over:
		start.Utilization *= 1 + fairnessMargin
		start.Level = max(start.Level, start.Levels-1)
		start.Slack = time.Duration((1 - fairnessMargin) * float64(start.Slack))
	case fairshare.Under:
		start.Utilization *= 1 - fairnessMargin
		start.Level = 0
	}
}

// refuseStart refuses a call that would start a program and tells its client when to
// return.
func (s *Scheduler) refuseStart(j *job, q *placeQueue, reason string, wait time.Duration, now time.Time) {
	q.notStarted++
	s.queues.notStarted.Add(1)
	refused := s.startRefusal(j, q, reason, wait, now)
	s.failJob(j, refused.reason, refused.after, now)
}

// startRefusal returns the refusal of a call that would start a program, and reserves the
// time of its return.
func (s *Scheduler) startRefusal(j *job, q *placeQueue, reason string, wait time.Duration, now time.Time) *refusal {
	return unavailable(reason, q.returns.Reserve(j.priority, wait, j.honoured(now), s.random.Float64(), now))
}

// honouredPart is the part of the time that a client has left up to which it honours the
// time after which it should return.
const honouredPart = 1.0 / 3

// honoured returns the longest time after which the client returns.
func (j *job) honoured(now time.Time) time.Duration {
	left := j.deadline.Sub(now)
	if finish := j.request.Arrived.Add(j.request.FinishWithin).Sub(now); j.request.FinishWithin > 0 {
		left = min(left, finish)
	}
	return time.Duration(honouredPart * float64(max(0, left)))
}

// admits reports whether a route of the given priority may start a program.
func admits(utilization float64, priority int) bool {
	return utilization < admissionLimit(priority)
}

// admissionLimit is the utilization from which routes of the given priority start no
// programs.
func admissionLimit(priority int) float64 {
	return admissionThreshold + priorityHeadroom/float64(1+max(0, priority))
}
