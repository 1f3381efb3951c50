package gateway

import (
	"fmt"
	"time"

	"dogwoodline.example/route/fairshare"
	"dogwoodline.example/waitqueue"
)

// startVerdict tells whether a program may start, and by what that was decided.
type startVerdict struct {
	utilization, threshold float64
	wait, affordable       time.Duration // 0 if the service is not contended
	lateness               float64       // of first events, relative to their objective
	standing               fairshare.Standing
	refused                string // why the program may not start; empty if it may
}

// standing returns how the organisation of a job is served, by one of the methods of
// fairshare.Shares.
func (s *Scheduler) standing(j *job, look func(organisation string, limit float64, now time.Time) fairshare.Standing, now time.Time) fairshare.Standing {
	if j.priorityLevels == 0 {
		return fairshare.Within
	}
	return look(j.request.Organisation, j.organisationLimit, now)
}

// judgeQueuedStart decides whether a program may start whose service is contended: it must
// not if it would be late itself or make others late. mayStart is a method of its queue.
func (s *Scheduler) judgeQueuedStart(j *job, mayStart func(waitqueue.Start, time.Time) (time.Duration, bool), standing fairshare.Standing, now time.Time) startVerdict {
	start := waitqueue.Start{
		Level: j.priority, Levels: j.priorityLevels, Utilization: s.utilization(j.service, now), Slack: j.urgency.Slack(now), Calls: 1 + j.urgency.FurtherTurns,
	}
	if !j.urgency.Stated {
		start.Slack = time.Duration(startPatience * float64(start.Slack))
	}
	standByShare(&start, standing)
	wait, ok := mayStart(start, now)
	v := startVerdict{utilization: start.Utilization, threshold: start.Threshold(), wait: wait, affordable: start.Affordable(), standing: standing}
	late, tooLate := s.lateness.tooLate(j.service.Name, j.priority, now)
	v.lateness = late
	switch {
	case !ok:
		v.refused = fmt.Sprintf("model servers are full (%.2f) and calls wait for %d ms, programs under way go first", start.Utilization, wait.Milliseconds())
	case tooLate && s.fleet.HasLimited(j.service.Name):
		v.refused = tooLateReason(late)
	}
	return v
}

// judgeStart decides whether the utilization of the model servers lets a program begin
// whose service is not contended. While they are full, organisations that have had more
// than their share go after the others.
func (s *Scheduler) judgeStart(j *job, standing fairshare.Standing, now time.Time) startVerdict {
	utilization, step := s.admission.load(s.fleet, j.service, int(s.listedFronts.Load()))
	adjusted, priority := adjust(utilization, step, j.priority, standing)
	v := startVerdict{utilization: adjusted, threshold: admissionLimit(priority), standing: standing}
	// Slots do not tell how much more the servers without limits can take of what the
	// others do not.
	late, tooLate := s.lateness.tooLate(j.service.Name, j.priority, now)
	v.lateness = late
	switch {
	case !admits(adjusted, priority) && standing == fairshare.Over:
		v.refused = fmt.Sprintf("model servers are full (%.2f), and the organisation has had more than its share", utilization)
	case !admits(adjusted, priority):
		v.refused = fmt.Sprintf("model servers are full (%.2f), programs under way go first", utilization)
	case tooLate && s.fleet.HasLimited(j.service.Name):
		v.refused = tooLateReason(late)
	}
	return v
}

func tooLateReason(late float64) string {
	return fmt.Sprintf("backend servers name limits and first events take %.2f times their objective, programs under way go first", late)
}
