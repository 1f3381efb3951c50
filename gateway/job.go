package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/fleet"
	"dogwoodline.example/ring"
	"dogwoodline.example/route"
	"dogwoodline.example/urgency"
)

const (
	// partRingSize is the number of response parts buffered for the client.
	partRingSize = 64
	// maxTries is the maximum number of attempts for one call.
	maxTries = 6
	// defaultMaxServers is how many backend servers a call may run on if its
	// route sets no limit.
	defaultMaxServers = 3
)

// phase tells whether a backend server may have received a job.
type phase int32

const (
	phaseWaiting   phase = iota // not sent, or refused by every backend server that got it
	phaseSent                   // a backend server may have received it
	phaseAbandoned              // the handler has given up; it must not be sent
)

// job is one call as it passes between the handler, the scheduler and the call
// workers.
type job struct {
	ctx           context.Context
	request       *call.Request
	route         *route.Route
	service       route.Service
	body          []byte
	deadline      time.Time
	startsProgram bool // it starts a program
	turn          int  // turns of the conversation before it; urgency.NotTurn if it is none
	// priority is that of the organisation and the route, of priorityLevels values; 0 is
	// the most urgent. priorityLevels is 0 if the configuration has no organisations.
	priority       int
	priorityLevels int
	// organisationLimit is the limit of its organisation, in requests per second; 0 for none.
	organisationLimit float64
	parts             *ring.Ring[responsePart]
	answer            *answerBytes // what is held in memory of its answer
	phase             atomic.Int32

	// The fields below are not synchronized: only the goroutine that currently
	// processes the job (scheduler or call worker) may use them.
	exclude      []string
	refusedBy    []string // servers that refused it because they were full, and may be chosen again
	tries        int
	possibleRuns int // attempts in which a backend server may have run it
	lostRuns     int // of those, the ones whose backend server crashed or became unreachable
	events       int
	firstEvent   time.Time // when the first event arrived
	resumeAfter  string
	headSent     bool
	lastReason   string
	// urgency is set if the calls to its service compete for places.
	urgency *urgency.Assessment
	// origin limits the backend servers that may send the rest of the stream; nil
	// before its first event.
	origin       *streamOrigin
	originRecord originRecord
	home         string        // the ID of the backend server that generated the turn before; empty if not known
	pieces       *turnPieces   // of a turn that can be taken up; nil for none
	waits        *waitingPlace // its place among those that wait for the limits of the backend servers; nil if it has none yet
}

// fleetRequest describes which backend servers may get the call.
func (j *job) fleetRequest() fleet.Request {
	request := fleet.Request{Service: j.service.Name, Exclude: j.exclude}
	if j.origin != nil {
		request.SoftwareVersion = j.origin.version
	}
	return request
}

// optionalAttributes returns the attributes of the line about an offer that most calls lack.
func (j *job) optionalAttributes(backendID string) []any {
	var attributes []any
	if j.request.Organisation != "" {
		attributes = append(attributes, "organisation", j.request.Organisation)
	}
	if j.startsProgram {
		attributes = append(attributes, "starts_program", true)
	}
	if slices.Contains(j.refusedBy, backendID) {
		attributes = append(attributes, "same_server", true)
	}
	return attributes
}

// noServerLeft says why no backend server may get the call.
func (j *job) noServerLeft() string {
	if j.origin != nil {
		return "no backend server of software version " + j.origin.version + " is left for the rest of this stream"
	}
	return "no backend server is left for this call"
}

// certainlyNotRun reports whether the call has certainly not run.
func (j *job) certainlyNotRun() bool { return phase(j.phase.Load()) != phaseSent }

// abandon gives up a job that has not run. It reports false if a backend server
// may have run it.
func (j *job) abandon() bool {
	return j.phase.CompareAndSwap(int32(phaseWaiting), int32(phaseAbandoned))
}

// claim marks the job as sent. It reports false if the handler has given up.
func (j *job) claim() bool {
	return j.phase.CompareAndSwap(int32(phaseWaiting), int32(phaseSent)) || phase(j.phase.Load()) == phaseSent && j.ctx.Err() == nil
}

// release marks the job as not run after a backend server refused it, unless an
// earlier attempt may have run it.
func (j *job) release() {
	if j.possibleRuns == 0 && !j.headSent {
		j.phase.CompareAndSwap(int32(phaseSent), int32(phaseWaiting))
	}
}

// maxServers is how many backend servers the call may run on.
func (j *job) maxServers() int {
	if j.route.MaxBackendServers > 0 {
		return j.route.MaxBackendServers
	}
	return defaultMaxServers
}

// mayRunAgain reports whether a call that may have run may be sent to another
// backend server.
func (j *job) mayRunAgain() bool {
	if j.possibleRuns-j.lostRuns >= j.maxServers() || j.tries >= maxTries {
		return false
	}
	return j.route.MayRepeat() && !j.headSent || j.route.Resumable
}

// responsePart is a piece of the response, passed from a call worker or the
// scheduler to the handler: a header (with the complete body if hasBody is set),
// an event, the end of a stream, or a failure.
type responsePart struct {
	head *call.Response // begins the response; with body if hasBody is set
	body []byte         // the complete body
	// hasBody says that head and body are the complete response.
	hasBody bool
	event   []byte // one event, as the backend server sent it
	end     bool   // the stream is complete
	backend string // with end: the ID of the backend server that sent the last part of the stream
	// failure ends a job without a complete response.
	failure *failure
}

// failure says why no backend server gave a complete response.
type failure struct {
	notRun bool
	reason string
	// retryAfter is when the client should retry, if the call has not run.
	retryAfter time.Duration
}
