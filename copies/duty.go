package copies

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/ring"
)

const (
	// queueCapacity bounds the queued requests. Each owner has at most one
	// request in flight at a holder, and a takeover sends one for each source.
	queueCapacity = 256
	// releaseInterval is how often copies that are no longer needed are
	// released.
	releaseInterval = time.Minute
)

// ErrBusy reports that the request queue is full, or closed because Run has
// returned. The request had no effect.
var ErrBusy = Error.New("too many requests wait")

// Duty owns the copies that a node holds for others and serves requests to hold,
// collect and drop them. It lives as long as the process, across all
// incarnations of the node.
type Duty struct {
	clock    clockwork.Clock
	needed   func(incarnation string) bool
	requests *ring.Ring[request]
	state    *State // accessed only by Run
}

// request is an operation on the state and the ring that its result is sent to.
type request struct {
	kind        requestKind
	incarnation string
	copy        fencedlog.Copy
	commit      uint64
	reply       *ring.Ring[reply] // has one slot
}

type requestKind int

const (
	holdCopy requestKind = iota
	collectCopies
	dropCopies
)

type reply struct {
	verdict Verdict
	copies  []fencedlog.Copy
}

// NewDuty returns a Duty without copies, to be started with Run. needed reports
// whether a journal may still be written by its owner or replayed.
func NewDuty(clock clockwork.Clock, limits Limits, needed func(incarnation string) bool) *Duty {
	return &Duty{clock: clock, needed: needed, requests: ring.New[request](queueCapacity), state: NewState(limits)}
}

// Run serves requests until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer d.requests.Close()
	ticker := d.clock.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			d.state.Release(d.clock.Now(), d.needed)
		case <-d.requests.Ready():
			for r, ok := d.requests.TryPop(); ok; r, ok = d.requests.TryPop() {
				_ = r.reply.TryPush(d.handle(r)) // cannot fail, the ring has a slot for the one reply
			}
		}
	}
}

// Depth returns the number of queued requests.
func (d *Duty) Depth() int { return d.requests.Len() }

func (d *Duty) handle(r request) reply {
	switch r.kind {
	case holdCopy:
		return reply{verdict: d.state.Hold(d.clock.Now(), r.incarnation, r.copy)}
	case collectCopies:
		return reply{copies: d.state.Collect(d.clock.Now(), r.incarnation)}
	default:
		d.state.Drop(r.incarnation, r.commit)
		return reply{}
	}
}

// roundTrip sends a request to Run and waits for the reply. It returns ErrBusy,
// or the error of ctx, after which the request may have taken effect.
func (d *Duty) roundTrip(ctx context.Context, r request) (reply, error) {
	r.reply = ring.New[reply](1)
	if err := d.requests.TryPush(r); err != nil {
		return reply{}, errors.Join(ErrBusy, err)
	}
	return r.reply.Pop(ctx)
}

// Hold stores a copy of the tail of a journal.
func (d *Duty) Hold(ctx context.Context, incarnation string, c fencedlog.Copy) (Verdict, error) {
	answer, err := d.roundTrip(ctx, request{kind: holdCopy, incarnation: incarnation, copy: c})
	return answer.verdict, err
}

// Collect returns the copies of a journal. Further copies of it are refused.
func (d *Duty) Collect(ctx context.Context, incarnation string) ([]fencedlog.Copy, error) {
	answer, err := d.roundTrip(ctx, request{kind: collectCopies, incarnation: incarnation})
	return answer.copies, err
}

// Drop removes the copies up to a commit number, which the platform's store has.
func (d *Duty) Drop(ctx context.Context, incarnation string, commit uint64) error {
	_, err := d.roundTrip(ctx, request{kind: dropCopies, incarnation: incarnation, commit: commit})
	return err
}
