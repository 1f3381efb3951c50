package coordination

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	pb "dogwoodline.example/coordination/coordinationpb"
	"dogwoodline.example/duty"
	"dogwoodline.example/ring"
)

const (
	// ReportInterval is the time between two regular reports to one coordinator.
	ReportInterval = 250 * time.Millisecond
	// CallTimeout bounds one report. A coordinator that takes longer counts as lost.
	CallTimeout = 300 * time.Millisecond
	// checkInterval is how often the exchange looks whether reports are due.
	checkInterval = 25 * time.Millisecond
	// idleInterval replaces checkInterval once no topic has had anything to say for
	// idleAfter. Each of some hundred fronts would otherwise wake up 40 times a second in
	// deployments that use no topic.
	idleInterval = time.Second
	idleAfter    = 2 * time.Second
	// frontsInterval is how often the list of fronts is read. A front that has just started
	// refuses requests of organisations until it knows the list.
	frontsInterval = 250 * time.Millisecond
	// probeInterval is how often a lost coordinator is asked whether it answers again.
	probeInterval = time.Second
	// leavingTime is how long a front that is no coordinator any more still gets what
	// topics have to say to it.
	leavingTime = 2 * time.Second
	// queueCapacity bounds the messages to the exchange: reports of all fronts and the
	// answers to its own.
	queueCapacity = 2048
	// callers is the number of goroutines that call coordinators, so that one that does
	// not answer holds up no other. At most half of them can be held up by coordinators
	// that are leaving or lost.
	callers = 2 * MaxCoordinators
)

// Settings configures an exchange.
type Settings struct {
	// Self is the address under which clients reach this front, and Incarnation differs
	// after each start.
	Self        string
	Incarnation string
	Topics      []Topic
	// Fronts returns the known fronts. It is called by the coordination duty.
	Fronts func() []Front
	// Connect opens a connection to another front and returns it with a function that
	// closes it.
	Connect func(address string) (grpc.ClientConnInterface, func(), error)
}

// Exchange reports to the coordinators and answers the fronts that report to this one.
// A single goroutine runs it and calls the topics.
type Exchange struct {
	pb.UnimplementedCoordinationServer

	settings Settings
	log      *slog.Logger
	messages *ring.Ring[message]
	calls    *ring.Ring[outgoing]
	woken    atomic.Bool
	answered atomic.Int64 // reports of other fronts
	sent     atomic.Int64 // reports to other fronts
	failed   atomic.Int64 // those without an answer

	// The fields below are accessed only by run.
	links        map[string]*link // by address
	coordinators []string
	fronts       []Front
	frontsRead   time.Time
	lastPart     time.Time // when a topic had something to say last, here or at another front
}

// link is what the exchange knows of a front that is or was a coordinator.
type link struct {
	address, peer string
	client        pb.CoordinationClient
	close         func()
	inFlight      bool
	due           time.Time // of the next regular report, or of the next probe
	lost          bool      // it did not answer
	left          time.Time // since when it is no coordinator; zero while it is
}

// message is an input of the exchange. One of report, result and woken is set.
type message struct {
	report *incoming
	result *result
	woken  bool
}

// incoming is the report of another front.
type incoming struct {
	ctx     context.Context // ends when the front no longer waits
	request *pb.ReportRequest
	reply   chan<- *pb.ReportReply // has a buffer of one
}

// outgoing is a report to a coordinator.
type outgoing struct {
	link    *link
	client  pb.CoordinationClient
	request *pb.ReportRequest
}

// result is the answer to a report, or why there is none.
type result struct {
	link  *link
	reply *pb.ReportReply
	err   error
}

// New returns an exchange whose goroutines run in group.
func New(group *duty.Group, log *slog.Logger, settings Settings) *Exchange {
	e := &Exchange{
		settings: settings, log: log, messages: ring.New[message](queueCapacity), calls: ring.New[outgoing](callers), links: map[string]*link{},
	}
	group.Go("coordination", e.run)
	for range callers {
		group.Go("coordination-caller", e.call)
	}
	group.RegisterRingDepth("coordination", "messages", e.messages.Len)
	group.RegisterGauge("dogwoodline_coordination_reports_answered_total", func() int { return int(e.answered.Load()) })
	group.RegisterGauge("dogwoodline_coordination_reports_sent_total", func() int { return int(e.sent.Load()) })
	group.RegisterGauge("dogwoodline_coordination_reports_failed_total", func() int { return int(e.failed.Load()) })
	return e
}

// Wake makes the exchange send what topics find urgent. It never waits.
func (e *Exchange) Wake() {
	if e.woken.CompareAndSwap(false, true) && e.messages.TryPush(message{woken: true}) != nil {
		e.woken.Store(false) // the ring is full, so that the exchange is awake
	}
}

func (e *Exchange) run(ctx context.Context) error {
	defer func() {
		for _, l := range e.links {
			l.close()
		}
	}()
	e.lastPart = time.Now() // the first reports of topics must not wait
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	for {
		e.refreshFronts(time.Now())
		for m, ok := e.messages.TryPop(); ok; m, ok = e.messages.TryPop() {
			e.handle(m, time.Now())
		}
		e.reportDue(time.Now())
		timer.Reset(e.nextCheck(time.Now()))
		select {
		case <-e.messages.Ready():
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextCheck returns the time until the exchange looks again whether reports are due.
func (e *Exchange) nextCheck(now time.Time) time.Duration {
	if now.Sub(e.lastPart) > idleAfter {
		return idleInterval
	}
	return checkInterval
}

func (e *Exchange) handle(m message, now time.Time) {
	switch {
	case m.report != nil && m.report.ctx.Err() != nil:
		// This process stood still. The front has taken what it said for lost.
	case m.report != nil:
		e.lastPart = now
		m.report.reply <- &pb.ReportReply{Parts: e.answer(m.report.request.Front, m.report.request.Parts, now)}
		e.answered.Add(1)
	case m.result != nil:
		e.handleResult(*m.result, now)
	case m.woken:
		e.woken.Store(false)
		for _, l := range e.links {
			e.reportUrgent(l, now)
		}
	}
}

// handleResult takes in an answer. A coordinator that did not answer is replaced until
// it answers again.
func (e *Exchange) handleResult(r result, now time.Time) {
	r.link.inFlight = false
	if r.err != nil {
		e.failed.Add(1)
	}
	switch {
	case r.err != nil && !r.link.lost:
		e.log.Info("coordination: coordinator lost", "front", r.link.address, "error", r.err)
		r.link.lost, r.link.due = true, now.Add(probeInterval)
		e.chooseCoordinators(now)
	case r.err != nil:
	case r.link.lost:
		e.log.Info("coordination: front answers again", "front", r.link.address)
		r.link.lost, r.link.due = false, now
		e.chooseCoordinators(now)
	default:
		e.learn(r.link.address, r.reply.Parts, now)
		e.reportUrgent(r.link, now)
	}
}

// answer returns what the topics tell a front that has reported.
func (e *Exchange) answer(front string, parts []*pb.Part, now time.Time) []*pb.Part {
	var answers []*pb.Part
	for _, part := range parts {
		if topic := e.topic(part.Topic); topic != nil {
			if payload := topic.Answer(front, part.Payload, now); payload != nil {
				answers = append(answers, &pb.Part{Topic: part.Topic, Payload: payload})
			}
		}
	}
	return answers
}

// learn passes the answer of a coordinator to the topics.
func (e *Exchange) learn(coordinator string, parts []*pb.Part, now time.Time) {
	for _, part := range parts {
		if topic := e.topic(part.Topic); topic != nil {
			topic.Learn(coordinator, part.Payload, now)
		}
	}
}

// topic returns the topic with a name; nil if this build has none.
func (e *Exchange) topic(name string) Topic {
	for _, t := range e.settings.Topics {
		if t.Name() == name {
			return t
		}
	}
	return nil
}

// reportDue sends the regular reports that are due, and asks lost coordinators whether
// they answer again.
func (e *Exchange) reportDue(now time.Time) {
	for address, l := range e.links {
		switch {
		case l.inFlight || now.Before(l.due):
		case !l.left.IsZero() && now.Sub(l.left) > leavingTime && (!l.lost || !e.known(address)):
			l.close()
			delete(e.links, address)
		case l.lost:
			l.due = now.Add(probeInterval)
			e.send(l, nil)
		default:
			l.due = now.Add(ReportInterval)
			e.report(l, now)
		}
	}
}

// reportUrgent reports to a coordinator if a topic cannot wait.
func (e *Exchange) reportUrgent(l *link, now time.Time) {
	if l.inFlight || l.lost {
		return
	}
	for _, t := range e.settings.Topics {
		if urgent, ok := t.(Urgent); ok && urgent.Urgent(l.address) {
			l.due = now.Add(ReportInterval)
			e.report(l, now)
			return
		}
	}
}

// report sends what the topics have to say to a coordinator. What this front says to
// itself needs no message.
func (e *Exchange) report(l *link, now time.Time) {
	var parts []*pb.Part
	for _, t := range e.settings.Topics {
		if payload := t.Report(l.address, now); payload != nil {
			parts = append(parts, &pb.Part{Topic: t.Name(), Payload: payload})
		}
	}
	if len(parts) > 0 {
		e.lastPart = now
	}
	switch {
	case len(parts) == 0:
	case l.address == e.settings.Self:
		e.learn(l.address, e.answer(l.address, parts, now), now)
	default:
		e.send(l, parts)
	}
}

// send passes a report to the callers.
func (e *Exchange) send(l *link, parts []*pb.Part) {
	request := &pb.ReportRequest{Front: e.settings.Self, Incarnation: e.settings.Incarnation, Parts: parts}
	if e.calls.TryPush(outgoing{link: l, client: l.client, request: request}) != nil {
		e.log.Warn("coordination: report not sent, too many are under way", "front", l.address)
		return
	}
	l.inFlight = true
	e.sent.Add(1)
}

// refreshFronts reads the list of fronts when it is due.
func (e *Exchange) refreshFronts(now time.Time) {
	if now.Sub(e.frontsRead) < frontsInterval {
		return
	}
	e.frontsRead = now
	e.fronts = e.settings.Fronts()
	e.chooseCoordinators(now)
}

// chooseCoordinators chooses the coordinators among the fronts that are not lost and
// tells the topics.
func (e *Exchange) chooseCoordinators(now time.Time) {
	chosen := Coordinators(e.fronts, func(address string) bool {
		l := e.links[address]
		return l == nil || !l.lost
	})
	if !slices.Equal(chosen, e.coordinators) {
		e.log.Info("coordination: coordinators changed", "coordinators", len(chosen), "fronts", len(e.fronts), "self", slices.Contains(chosen, e.settings.Self))
	}
	e.coordinators = chosen
	for _, address := range chosen {
		e.openLink(address, now)
	}
	for address, l := range e.links {
		switch {
		case slices.Contains(chosen, address):
			l.left = time.Time{}
		case l.left.IsZero():
			l.left = now
		}
	}
	for _, t := range e.settings.Topics {
		if follower, ok := t.(FrontsFollower); ok {
			follower.SetFronts(e.fronts, chosen, now)
		}
	}
}

// openLink prepares the connection to a coordinator, which opens with the first report.
func (e *Exchange) openLink(address string, now time.Time) {
	peer := ""
	for _, f := range e.fronts {
		if f.Address == address {
			peer = f.PeerAddress
		}
	}
	if l := e.links[address]; l != nil {
		if l.peer == peer || l.inFlight {
			return
		}
		l.close()
	}
	l := &link{address: address, peer: peer, close: func() {}, due: now}
	if address != e.settings.Self {
		conn, closeConn, err := e.settings.Connect(peer)
		if err != nil {
			e.log.Warn("coordination: no connection to coordinator", "front", address, "error", err)
			return
		}
		l.client, l.close = pb.NewCoordinationClient(conn), closeConn
	}
	e.links[address] = l
}

// known reports whether a front is in the list.
func (e *Exchange) known(address string) bool {
	return slices.ContainsFunc(e.fronts, func(f Front) bool { return f.Address == address })
}
