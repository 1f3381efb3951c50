package membership

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/ring"
)

const (
	suspectSlots = 1024
	pingSlots    = 64
	// pingFailures is the number of direct pings in a row that must fail
	// before a lapsed member counts as dead.
	pingFailures = 2
)

// Pinger asks a member directly for a sign of life.
type Pinger interface {
	// Ping returns an error if the member does not answer in time, or if
	// another incarnation answers. StoreReachable is false only if the member
	// says that it has not reached the store for two lease periods.
	Ping(ctx context.Context, m Member) (storeReachable bool, err error)
}

// Dead tells that a lapsed member is confirmed dead or cut off from the store,
// so that its shards may be taken over.
type Dead struct{ Member Member }

// Detector is the duty that confirms lapsed members dead. The pings are done by
// a fixed number of further duties, each running RunPinger.
type Detector struct {
	clock    clockwork.Clock
	log      *slog.Logger
	interval time.Duration
	pinger   Pinger
	suspects *ring.Ring[Lapsed]
	dead     *ring.Ring[Dead]
	pings    *ring.Ring[Member]
	answers  *ring.Ring[answer]

	waiting map[string]*suspicion // by incarnation; belongs to the duty
}

type suspicion struct {
	member   Member
	failures int
	asked    bool
}

type answer struct {
	incarnation string
	reachable   bool
	err         error
}

// NewDetector returns a detector that pings each suspect at every sixth of the
// lease period.
func NewDetector(clock clockwork.Clock, log *slog.Logger, ttl time.Duration, pinger Pinger) *Detector {
	return &Detector{
		clock:    clock,
		log:      log,
		interval: ttl / 6,
		pinger:   pinger,
		suspects: ring.New[Lapsed](suspectSlots),
		dead:     ring.New[Dead](suspectSlots),
		pings:    ring.New[Member](pingSlots),
		// One slot for each ping that can be outstanding: waiting or running.
		answers: ring.New[answer](2 * pingSlots),
		waiting: map[string]*suspicion{},
	}
}

// Suspects returns the ring of lapsed members.
func (d *Detector) Suspects() *ring.Ring[Lapsed] { return d.suspects }

// Dead returns the ring of confirmed members.
func (d *Detector) Dead() *ring.Ring[Dead] { return d.dead }

// Run confirms suspects until ctx ends. View returns the latest view.
func (d *Detector) Run(ctx context.Context, view func() *View) error {
	ticker := d.clock.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		select {
		case <-d.suspects.Ready():
			d.takeSuspects()
		case <-d.answers.Ready():
			d.takeAnswers(ctx, view())
		case <-ticker.Chan():
			d.round(ctx, view())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// RunPinger does the pings of the detector, one at a time, until ctx ends.
// At most 64 duties run it.
func (d *Detector) RunPinger(ctx context.Context) error {
	for {
		m, err := d.pings.Pop(ctx)
		if err != nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, d.interval)
		reachable, err := d.pinger.Ping(call, m)
		cancel()
		if err := d.answers.Push(ctx, answer{m.Incarnation, reachable, err}); err != nil {
			return err
		}
	}
}

func (d *Detector) takeSuspects() {
	for l, ok := d.suspects.TryPop(); ok; l, ok = d.suspects.TryPop() {
		if _, known := d.waiting[l.Member.Incarnation]; !known {
			d.waiting[l.Member.Incarnation] = &suspicion{member: l.Member}
		}
	}
}

// round pings every suspect. Nobody is suspected while the store is down and
// for one lease period after that.
func (d *Detector) round(ctx context.Context, view *View) {
	quiet := d.quiet(view)
	for name, s := range d.waiting {
		// The same version means that the view does not show the lapse yet.
		if m, ok := view.Incarnation(name); ok && m.Version > s.member.Version {
			delete(d.waiting, name)
			continue
		}
		switch {
		case quiet:
			s.failures = 0
		case s.asked:
		case s.member.GRPC == "":
			// Never seen alive by this node, so there is no address to ping.
			d.takeAnswer(ctx, s, answer{err: Error.New("no address")})
		default:
			// A full ring leaves the suspect for the next round.
			s.asked = d.pings.TryPush(s.member) == nil
		}
	}
}

func (d *Detector) quiet(view *View) bool {
	return view.StoreDown || d.clock.Now().Before(view.SuspectAfter)
}

func (d *Detector) takeAnswers(ctx context.Context, view *View) {
	for a, ok := d.answers.TryPop(); ok; a, ok = d.answers.TryPop() {
		s, known := d.waiting[a.incarnation]
		if !known {
			continue
		}
		s.asked = false
		if !d.quiet(view) {
			d.takeAnswer(ctx, s, a)
		}
	}
}

func (d *Detector) takeAnswer(ctx context.Context, s *suspicion, a answer) {
	if a.err == nil && a.reachable {
		s.failures = 0
		return
	}
	s.failures++
	if a.err != nil && s.failures < pingFailures {
		return
	}
	d.log.Info("membership: member confirmed dead", "member", s.member.ID, "incarnation", s.member.Incarnation,
		"store_reachable", a.reachable, "error", a.err)
	delete(d.waiting, s.member.Incarnation)
	_ = d.dead.Push(ctx, Dead{Member: s.member}) // fails only when the node stops
}
