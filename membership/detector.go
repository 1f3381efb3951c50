package membership

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/ring"
)

const (
	suspectRingSize = 1024
	pingRingSize    = 64
	// pingFailures is the number of consecutive direct pings that must fail
	// before a lapsed member is confirmed dead.
	pingFailures = 2
)

// Pinger checks directly, without the platform store, whether a member is alive.
type Pinger interface {
	// Ping returns an error if the member does not answer in time, or if
	// another incarnation answers. storeReachable is false only if the member
	// reports that it has not reached the store for two lease periods.
	Ping(ctx context.Context, m Member) (storeReachable bool, err error)
}

// Dead reports that a lapsed member is confirmed dead, or alive but cut off
// from the store, so that its shards may be taken over.
type Dead struct{ Member Member }

// Detector is the duty that confirms that lapsed members are dead. A fixed
// number of other duties, each running RunPinger, send the pings.
type Detector struct {
	clock       clockwork.Clock
	log         *slog.Logger
	interval    time.Duration
	pinger      Pinger
	suspects    *ring.Ring[Lapsed]
	dead        *ring.Ring[Dead]
	pings       *ring.Ring[Member]
	pingResults *ring.Ring[pingResult]

	suspicions map[string]*suspicion // by incarnation; used only by Run
}

// suspicion is the state of a lapsed member that is not yet confirmed dead.
type suspicion struct {
	member      Member
	failures    int  // failed pings in a row
	pingPending bool // a ping is queued or running
}

// pingResult is the result of one ping. storeReachable and err are as returned
// by Pinger.Ping.
type pingResult struct {
	incarnation    string
	storeReachable bool
	err            error
}

// NewDetector returns a detector that pings each suspect every ttl/6, where ttl
// is the lease period. A ping may take as long as that interval.
func NewDetector(clock clockwork.Clock, log *slog.Logger, ttl time.Duration, pinger Pinger) *Detector {
	return &Detector{
		clock:    clock,
		log:      log,
		interval: ttl / 6,
		pinger:   pinger,
		suspects: ring.New[Lapsed](suspectRingSize),
		dead:     ring.New[Dead](suspectRingSize),
		pings:    ring.New[Member](pingRingSize),
		// One slot for each ping that is queued or running.
		pingResults: ring.New[pingResult](2 * pingRingSize),
		suspicions:  map[string]*suspicion{},
	}
}

// Suspects returns the ring through which the detector receives lapsed members.
func (d *Detector) Suspects() *ring.Ring[Lapsed] { return d.suspects }

// Dead returns the ring through which the detector reports confirmed members.
func (d *Detector) Dead() *ring.Ring[Dead] { return d.dead }

// Run processes suspects until ctx ends. view returns the latest view.
func (d *Detector) Run(ctx context.Context, view func() *View) error {
	ticker := d.clock.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		select {
		case <-d.suspects.Ready():
			d.addSuspects()
		case <-d.pingResults.Ready():
			d.handlePingResults(ctx, view())
		case <-ticker.Chan():
			d.pingSuspects(ctx, view())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// RunPinger sends the pings of the detector, one at a time, until ctx ends. At
// most 64 duties (pingRingSize) may run it, so that the ring of results has a
// slot for each ping.
func (d *Detector) RunPinger(ctx context.Context) error {
	for {
		m, err := d.pings.Pop(ctx)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, d.interval)
		storeReachable, err := d.pinger.Ping(callCtx, m)
		cancel()
		if err := d.pingResults.Push(ctx, pingResult{m.Incarnation, storeReachable, err}); err != nil {
			return err
		}
	}
}

func (d *Detector) addSuspects() {
	for l, ok := d.suspects.TryPop(); ok; l, ok = d.suspects.TryPop() {
		if _, known := d.suspicions[l.Member.Incarnation]; !known {
			d.suspicions[l.Member.Incarnation] = &suspicion{member: l.Member}
		}
	}
}

// pingSuspects queues a ping for each suspect that has none pending, and drops
// suspects that have registered again. While confirmation is paused it sends no
// pings and resets the failures.
func (d *Detector) pingSuspects(ctx context.Context, view *View) {
	paused := d.confirmationPaused(view)
	for name, s := range d.suspicions {
		// A newer version of the record means that the member registered again.
		// With the same version the view does not show the lapse yet.
		if m, ok := view.ByIncarnation(name); ok && m.Version > s.member.Version {
			delete(d.suspicions, name)
			continue
		}
		switch {
		case paused:
			s.failures = 0
		case s.pingPending:
		case s.member.GRPC == "":
			// This node has never seen the member alive, so it has no address to
			// ping.
			d.handlePingResult(ctx, s, pingResult{err: Error.New("no address of the member is known")})
		default:
			// If the ring is full, the suspect is pinged at a later tick.
			s.pingPending = d.pings.TryPush(s.member) == nil
		}
	}
}

// confirmationPaused reports whether no member may be confirmed dead, which is
// the case while the store is down and for one lease period after that.
func (d *Detector) confirmationPaused(view *View) bool {
	return view.StoreDown || d.clock.Now().Before(view.NoDeathsBefore)
}

func (d *Detector) handlePingResults(ctx context.Context, view *View) {
	for result, ok := d.pingResults.TryPop(); ok; result, ok = d.pingResults.TryPop() {
		s, known := d.suspicions[result.incarnation]
		if !known {
			continue
		}
		s.pingPending = false
		if !d.confirmationPaused(view) {
			d.handlePingResult(ctx, s, result)
		}
	}
}

// handlePingResult confirms a suspect dead after pingFailures failed pings in a
// row, and at once if it answers that it cannot reach the store.
func (d *Detector) handlePingResult(ctx context.Context, s *suspicion, result pingResult) {
	if result.err == nil && result.storeReachable {
		s.failures = 0
		return
	}
	s.failures++
	if result.err != nil && s.failures < pingFailures {
		return
	}
	d.log.Info("membership: member confirmed dead", "member", s.member.ID, "incarnation", s.member.Incarnation,
		"store_reachable", result.storeReachable, "error", result.err)
	delete(d.suspicions, s.member.Incarnation)
	_ = d.dead.Push(ctx, Dead{Member: s.member}) // fails only when ctx ends
}
