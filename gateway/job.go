package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/ring"
	"dogwoodline.example/route"
)

const (
	// partSlots is the number of parts of an answer that wait for the client.
	partSlots = 64
	// mostTries bounds how often a call that has not run is offered again.
	mostTries = 6
	// defaultServers is how many backend servers a safe call may run on when
	// the operator set no limit.
	defaultServers = 3
)

// phase tells whether a job may still be refused as not run.
type phase int32

const (
	phaseWaiting   phase = iota // no byte has been sent anywhere
	phaseSent                   // a backend server may have it
	phaseAbandoned              // nobody waits; it must not be sent
)

// job is one call on its way through the scheduler and the callers.
type job struct {
	ctx      context.Context
	request  *call.Request
	route    *route.Route
	service  route.Service
	body     []byte
	deadline time.Time
	fresh    bool // it begins a program
	parts    *ring.Ring[part]
	phase    atomic.Int32

	// The fields below belong to whichever duty holds the job.
	exclude     []string
	tries       int
	ran         int // backend servers that may have run it
	lost        int // of those, the ones that ended or were cut off
	events      int
	resumeAfter string
	headSent    bool
	lastReason  string
	crashes     int // backend servers that ended while they ran it
}

// refusable reports whether the call has certainly not run.
func (j *job) refusable() bool { return phase(j.phase.Load()) != phaseSent }

// abandon ends a job that waits. It reports false if a backend server may
// already have it.
func (j *job) abandon() bool {
	return j.phase.CompareAndSwap(int32(phaseWaiting), int32(phaseAbandoned))
}

// claim marks the job as sent. It reports false if nobody waits for it.
func (j *job) claim() bool {
	return j.phase.CompareAndSwap(int32(phaseWaiting), int32(phaseSent)) || phase(j.phase.Load()) == phaseSent && j.ctx.Err() == nil
}

// release marks the job as not run, after a backend server said so.
func (j *job) release() {
	if j.ran == 0 && !j.headSent {
		j.phase.CompareAndSwap(int32(phaseSent), int32(phaseWaiting))
	}
}

// maxServers is how many backend servers the call may run on.
func (j *job) maxServers() int {
	if j.route.MaxServers > 0 {
		return j.route.MaxServers
	}
	return defaultServers
}

// mayRunAgain reports whether the call may go to another backend server after
// it may have run.
func (j *job) mayRunAgain() bool {
	if j.ran-j.lost >= j.maxServers() || j.tries >= mostTries {
		return false
	}
	return j.route.MayRepeat() && !j.headSent || j.route.Resumable
}

// part is a piece of the answer. Exactly one of the fields is meaningful.
type part struct {
	head *call.Answer // begins the answer; body follows if whole is set
	body []byte       // with head: the whole body
	// whole says that body is all there is.
	whole bool
	event []byte // one event of a stream, as the backend server sent it
	end   bool   // the stream is complete
	// failure ends a job without an answer.
	failure *failure
}

// failure says why a call was not answered by a backend server.
type failure struct {
	notRun bool
	reason string
	// retryAfter is when the client should come back, if the call has not run.
	retryAfter time.Duration
}
