package gateway

import (
	"time"

	"dogwoodline.example/urgency"
)

const (
	// lostRank is the rank of calls whose programs cannot end in time at all. They go
	// last whatever their priority, so that they delay nothing that can still be worth
	// something.
	lostRank = 9
	// classesInRank is the number of urgency classes that the ranks of one priority tell
	// apart.
	classesInRank = 2
	// rankValues is the number of ranks that a model server tells apart.
	rankValues = 10
)

// rankOf returns the queueing priority of a call at a model server, where lower ranks
// go first. Where organisations and routes have more priorities than there are ranks,
// neighbouring ones share a rank, and calls that start programs are not told apart.
func rankOf(j *job) int {
	if j.urgency != nil {
		return orderedRank(j.priority, j.priorityLevels, j.urgency.ClassAt(time.Now()))
	}
	switch {
	case j.priorityLevels > rankValues:
		return j.priority * rankValues / j.priorityLevels
	case 2*j.priorityLevels > rankValues:
		return j.priority
	}
	rank := 2 * j.priority
	if j.startsProgram {
		rank++ // calls of started programs go first
	}
	return rank
}

// orderedRank returns the rank of a call by its priority, then by its urgency class. With
// more priorities than the ranks below lostRank can hold, neighbouring ones share a rank.
// levels is 0 if their number is not known.
func orderedRank(level, levels int, class urgency.Class) int {
	switch {
	case class == urgency.Lost:
		return lostRank
	case classesInRank*levels <= lostRank:
		return min(classesInRank*level+int(class), lostRank-1)
	case levels <= lostRank:
		return level
	default:
		return min(level*lostRank/levels, lostRank-1)
	}
}

// urgencyCall describes the call to the estimates of urgency.
func (j *job) urgencyCall() urgency.Call {
	return urgency.Call{
		Route: j.route.Name, Program: j.request.Program, Session: j.request.Session, Turn: j.turn, Arrived: j.request.Arrived, Deadline: j.deadline,
		FinishWithin: j.request.FinishWithin, LengthHint: j.request.LengthHint,
	}
}

// assess estimates the urgency of a job whose service is contended.
func (s *Scheduler) assess(j *job, now time.Time) {
	if j.urgency == nil && s.contended(j.service.Name) {
		assessment := s.estimates.Assess(j.urgencyCall(), now)
		j.urgency = &assessment
	}
}

// learnUrgency learns from a call that one backend server has answered as a whole.
func (s *Scheduler) learnUrgency(result attemptResult, now time.Time) {
	j := result.job
	if j.urgency != nil && j.possibleRuns == 0 && j.request.LastEventID == "" {
		s.estimates.Ended(j.urgencyCall(), result.started, now)
	}
}
