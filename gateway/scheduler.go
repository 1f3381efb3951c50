package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/duty"
	"dogwoodline.example/fleet"
	"dogwoodline.example/ring"
	"dogwoodline.example/route/fairshare"
	"dogwoodline.example/serverstats"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/upstream"
	"dogwoodline.example/urgency"
)

const (
	// schedulerRingSize is the capacity of the scheduler's message queue.
	schedulerRingSize = 4096
	// retryAfterFull is the Retry-After when a queue is full or no backend
	// server takes the call. A slot becomes free every few tens of ms.
	retryAfterFull = 100 * time.Millisecond
	// retryAfterNotAdmitted is the Retry-After of a program that may not start
	// yet: about the time that two turns take.
	retryAfterNotAdmitted = 500 * time.Millisecond
	// expireInterval is how often expired crash records are removed, and backend
	// servers that were not registered again after an outage of the platform's
	// store.
	expireInterval = 250 * time.Millisecond

	reasonCallersBusy = "all callers are busy"
)

// attempt is a job with the backend server chosen for it.
type attempt struct {
	job     *job
	backend fleet.Backend
	started time.Time
	limited bool // the backend server had named a limit when it was chosen
}

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	attempt
	verdict call.Verdict
	report  fleet.CallResult // what the fleet learns from the attempt
	reason  string
	// done says that no further attempt is needed: the response is complete, the
	// client has left, or the deadline has passed.
	done bool
	// serverLost says that the backend server crashed or became unreachable. The
	// attempt then does not count towards the number of backend servers that may
	// run the call.
	serverLost bool
	// found says how the backend server of an interrupted call on a resumable route
	// was found right after.
	found upstream.Reachability
	// firstEvent is how long the first event of a stream took; 0 if none came.
	firstEvent time.Duration
	// incomplete says that the exchange ended without a complete response although
	// the client was waiting; the backend server may have crashed.
	incomplete bool
}

// schedulerMessage is an input of the scheduler. Exactly one field is set.
type schedulerMessage struct {
	job    *job
	result *attemptResult
	update *FleetUpdate
	probe  *probedServer
	said   *fleet.Statement
	fronts *knownFronts
	table  *serverstats.Table
	asked  *whereQuery
}

// knownFronts holds the addresses of the fronts that clients are sent to, and of
// the others.
type knownFronts struct{ listed, unlisted []string }

// Scheduler chooses the backend server for each call. A single goroutine runs it
// and owns the fleet.
type Scheduler struct {
	log             *slog.Logger
	self            string // address of this front
	zone            string // of this front
	messages        *ring.Ring[schedulerMessage]
	attempts        *ring.Ring[attempt]
	fleet           *fleet.Fleet
	random          *rand.Rand
	dropConnections func(address string)
	// hasIdleConnection reports whether an idle connection to an address is open that may
	// carry a request.
	hasIdleConnection func(address, requestID string) bool
	contendedCapacity bool // the settings say that callers compete for places
	backendCount      atomic.Int64
	slotCount         atomic.Int64
	addresses         atomic.Pointer[map[string]bool] // of the registered backend servers
	listedFronts      atomic.Int64                    // number of fronts that clients are sent to
	waiting           waitingCalls
	admission         admission
	views             map[string]*sharedView // by service
	statistics        *ServerStatistics
	zoneDemand        atomic.Pointer[zoneDemand]
	shared            sharedCounts
	sharedAt          time.Time // of the last report
	lateness          lateness
	estimates         *urgency.Estimates
	queues            placeQueues
	places            placesView        // nil if fronts do not share what they know
	shares            *fairshare.Shares // of organisations in the programs that may begin
	crashes           crashRecords
	answered          answeredCalls
	ends              *serverEnds
	reportedCrashes   *ring.Ring[turnstore.Crash] // reported by fronts through the turn stores
	reportCrash       func(turnstore.Crash) bool
}

func newScheduler(group *duty.Group, log *slog.Logger, self, zone string, attempts *ring.Ring[attempt], pool *upstream.Pool, turnStore TurnStore) *Scheduler {
	s := &Scheduler{
		log: log, self: self, zone: zone, views: map[string]*sharedView{}, waiting: newWaitingCalls(), messages: ring.New[schedulerMessage](schedulerRingSize), attempts: attempts, fleet: fleet.New(zone),
		admission: admission{meanCallTokens: map[string]float64{}}, lateness: lateness{}, shares: fairshare.New(time.Now()), estimates: urgency.New(), queues: newPlaceQueues(), dropConnections: pool.CloseIdle, hasIdleConnection: pool.HasIdle,
		crashes: crashRecords{}, ends: newServerEnds(), reportedCrashes: turnStore.Crashes(), reportCrash: turnStore.ReportCrash,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.addresses.Store(&map[string]bool{})
	s.zoneDemand.Store(&zoneDemand{})
	s.places = s.fleet
	s.statistics = newServerStatistics(zone, func(table serverstats.Table) bool {
		return s.messages.TryPush(schedulerMessage{table: &table}) == nil
	})
	group.Go("scheduler", s.run)
	group.RegisterRingDepth("scheduler", "items", s.messages.Len)
	group.RegisterGauge("dogwoodline_calls_waiting", func() int { return int(s.waiting.count.Load()) })
	s.queues.register(group)
	s.shared.register(group)
	group.RegisterGauge("dogwoodline_backend_servers", func() int { return int(s.backendCount.Load()) })
	return s
}

func (s *Scheduler) run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	defer s.waiting.due.Stop()
	defer s.queues.due.Stop()
	for {
		for message, ok := s.messages.TryPop(); ok; message, ok = s.messages.TryPop() {
			s.handle(message, time.Now())
		}
		s.receiveCrashes(time.Now())
		s.placeWaiting(time.Now())
		s.sendQueued(time.Now())
		select {
		case <-s.messages.Ready():
		case <-s.reportedCrashes.Ready():
		case <-s.waiting.due.C:
		case <-s.queues.due.C:
		case now := <-ticker.C:
			for _, gone := range s.fleet.Expire(now) {
				s.recordEnd(gone, "did not register again", now)
			}
			s.crashes.expire(now)
			s.ends.expire(now)
			s.shareStatistics(now)
			s.publishFleetSize()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Scheduler) handle(message schedulerMessage, now time.Time) {
	switch {
	case message.job != nil:
		s.dispatch(message.job, now)
	case message.result != nil:
		s.handleResult(*message.result, now)
	case message.probe != nil:
		s.handleProbe(*message.probe, now)
	case message.said != nil:
		s.noteStatement(*message.said, now)
	case message.fronts != nil:
		s.listedFronts.Store(int64(len(message.fronts.listed)))
		s.fleet.SetFronts(s.self, message.fronts.listed, message.fronts.unlisted, now)
	case message.table != nil:
		s.learnTable(*message.table, now)
	case message.asked != nil:
		s.answer(*message.asked, now)
	case message.update != nil:
		s.applyFleetUpdate(*message.update, now)
		s.publishFleetSize()
	}
}

// dispatch chooses a backend server for a job and queues the attempt for a call
// worker. It fails the job if none may get it.
func (s *Scheduler) dispatch(j *job, now time.Time) {
	if j.ctx.Err() != nil {
		return // the handler has already ended the request
	}
	crashes := s.crashes.countFor(j.request, now)
	if crashes >= maxCrashes || crashes > 0 && crashes+j.possibleRuns >= maxCrashes { // a run of this job may be a crash that is not known yet
		s.failJob(j, fmt.Sprintf("this call has ended %d backend servers", crashes), retryAfterCrashes, now)
		return
	}
	if s.assess(j, now); j.urgency != nil {
		if s.mayStart(j, now) {
			s.queue(j, now)
		}
		return
	}
	if j.service.Engine != nil && j.tries == 0 {
		s.admission.observe(j.service.Name, j.request.UnsharedTokens())
		if j.startsProgram && !s.admitProgram(j, now) {
			return
		}
	}
	s.place(j, now)
}

// admitProgram reports whether a program may begin whose service is not contended, and
// fails the job if not.
func (s *Scheduler) admitProgram(j *job, now time.Time) bool {
	if verdict := s.judgeStart(j, s.standing(j, s.shares.Offer, now), now); verdict.refused != "" {
		s.failJob(j, verdict.refused, retryAfterNotAdmitted, now)
		return false
	}
	if j.priorityLevels > 0 {
		s.shares.Admit(j.request.Organisation, now)
	}
	return true
}

// serverRequest describes the backend server that a job needs.
func (s *Scheduler) serverRequest(j *job) fleet.Request {
	request := j.fleetRequest()
	request.TieBreak = s.random.Uint64()
	if j.service.Engine == nil { // for model servers, cached prompts matter more than an open connection
		request.Connected = func(address string) bool { return s.hasIdleConnection(address, j.request.ID) }
	}
	if j.route.Sticky {
		request.Affinity = j.request.LocalityKey()
	}
	if s.contended(j.service.Name) {
		s.chooseBySpeed(j, &request)
	}
	return request
}

// place chooses a backend server for a job that may be sent. The job waits, or
// fails, if none may get it now.
func (s *Scheduler) place(j *job, now time.Time) {
	request := s.serverRequest(j)
	if request.Contended {
		s.view(j.service.Name).noteCall(len(j.body), request.CallsInMemory)
	}
	backend, running, ok := s.fleet.Choose(request, now)
	if !ok {
		s.await(j, request, now)
		return
	}
	limit, _ := s.fleet.Limit(backend.ID)
	// From the push on, the job belongs to the call worker.
	j.tries++
	offered := []any{"request", j.request.ID, "route", j.route.Name, "backend", backend.ID, "running", running, "slots", backend.Slots, "try", j.tries,
		"waited_ms", now.Sub(j.request.Arrived).Milliseconds(), "choices", s.fleet.Size(j.service.Name), "resume_after", j.resumeAfter,
		"resumed_attempt", j.request.ResumedAttempt, "software", backend.SoftwareVersion, "zone", backend.AvailabilityZone, "home", j.home,
		"front_zone", s.zone, "priority", j.priority, "turn", j.turn}
	offered = append(offered, j.optionalAttributes(backend.ID)...)
	if err := s.attempts.TryPush(attempt{job: j, backend: backend, started: now, limited: limit > 0}); err != nil {
		s.failJob(j, reasonCallersBusy, retryAfterFull, now)
		return
	}
	s.fleet.CallStarted(backend.ID, now)
	if backend.AvailabilityZone != s.zone {
		s.shared.crossed.Add(1)
	}
	s.log.Info("gateway: call offered", offered...)
}

// failJob ends a job without a complete response and tells the handler whether
// the call has certainly not run.
func (s *Scheduler) failJob(j *job, reason string, after time.Duration, now time.Time) {
	if j.lastReason != "" {
		reason += ": " + j.lastReason
	}
	f := &failure{notRun: j.possibleRuns == 0 && !j.headSent && j.certainlyNotRun(), reason: reason, retryAfter: after}
	s.log.Warn("gateway: call not answered", "request", j.request.ID, "route", j.route.Name, "tries", j.tries, "ran", j.possibleRuns,
		"not_run", f.notRun, "reason", reason, "age_ms", now.Sub(j.request.Arrived).Milliseconds())
	pushLast(j, responsePart{failure: f})
}

// pushLast pushes the last part of a response to the handler. An error means
// that the job's context ended, and then the handler no longer waits for it.
func pushLast(j *job, last responsePart) {
	_ = j.parts.Push(j.ctx, last)
}

// handleResult records the outcome of an attempt, then retries or fails the job
// if it has no complete response.
func (s *Scheduler) handleResult(result attemptResult, now time.Time) {
	s.fleet.CallEnded(result.report, now)
	j := result.job
	s.lateness.observe(j.service.Name, result.firstEvent, j.route.LatencyObjective, now)
	if result.done {
		if result.verdict != call.Answered {
			s.log.Info("gateway: attempt ended with its request", "request", j.request.ID, "backend", result.backend.ID,
				"verdict", result.verdict.String(), "events", j.events, "took_ms", now.Sub(result.started).Milliseconds(),
				"past_deadline", !now.Before(j.deadline))
			if result.verdict == call.Unknown {
				s.recordInterruption(result, now)
			}
			return
		}
		s.recordAnswered(j.request, now)
		s.learnUrgency(result, now)
		return
	}
	if result.verdict == call.Unknown {
		s.recordInterruption(result, now)
	}
	j.lastReason = result.reason
	if !s.wasFull(result) {
		j.exclude = append(j.exclude, result.backend.ID)
	}
	s.log.Info("gateway: attempt failed", "request", j.request.ID, "backend", result.backend.ID, "verdict", result.verdict.String(),
		"reason", result.reason, "server_lost", result.serverLost, "events", j.events, "took_ms", now.Sub(result.started).Milliseconds())
	switch result.verdict {
	case call.NotRun:
		j.release()
		if j.tries-len(j.refusedBy) < maxTries {
			s.dispatch(j, now)
			return
		}
	default:
		j.possibleRuns++
		if result.serverLost {
			j.lostRuns++
		}
		if j.mayRunAgain() {
			s.dispatch(j, now)
			return
		}
	}
	s.failJob(j, "gave up", retryAfterFull, now)
}
