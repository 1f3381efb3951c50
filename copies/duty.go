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
	// requestSlots bounds the requests that wait. Each owner has at most one
	// message under way at a holder, and a takeover asks once for each source.
	requestSlots = 256
	// releaseInterval is the time between two looks at copies that nothing
	// needs any more.
	releaseInterval = time.Minute
)

// ErrBusy reports that too many requests wait. The request had no effect.
var ErrBusy = Error.New("too many requests wait")

// Duty owns the copies that a node holds for others. It lives as long as the
// process, also when the node starts a new incarnation.
type Duty struct {
	clock    clockwork.Clock
	needed   func(incarnation string) bool
	requests *ring.Ring[request]
	state    *State // belongs to the duty
}

// request is a message to the duty: it works on the state and answers.
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

// NewDuty returns the duty. Needed reports whether a journal may still be
// replayed or written by its owner.
func NewDuty(clock clockwork.Clock, limits Limits, needed func(incarnation string) bool) *Duty {
	return &Duty{clock: clock, needed: needed, requests: ring.New[request](requestSlots), state: NewState(limits)}
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
				_ = r.reply.TryPush(d.handle(r)) // has room for its one reply
			}
		}
	}
}

// Depth returns the number of requests that wait.
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

// ask waits for the duty's answer. It returns ErrBusy, or the error of ctx when
// the request may have had its effect.
func (d *Duty) ask(ctx context.Context, r request) (reply, error) {
	r.reply = ring.New[reply](1)
	if err := d.requests.TryPush(r); err != nil {
		return reply{}, errors.Join(ErrBusy, err)
	}
	return r.reply.Pop(ctx)
}

// Hold takes a copy of the tail of a journal.
func (d *Duty) Hold(ctx context.Context, incarnation string, c fencedlog.Copy) (Verdict, error) {
	answer, err := d.ask(ctx, request{kind: holdCopy, incarnation: incarnation, copy: c})
	return answer.verdict, err
}

// Collect returns the copies of a journal and refuses further ones.
func (d *Duty) Collect(ctx context.Context, incarnation string) ([]fencedlog.Copy, error) {
	answer, err := d.ask(ctx, request{kind: collectCopies, incarnation: incarnation})
	return answer.copies, err
}

// Drop removes the copies that the store has, up to a commit number.
func (d *Duty) Drop(ctx context.Context, incarnation string, commit uint64) error {
	_, err := d.ask(ctx, request{kind: dropCopies, incarnation: incarnation, commit: commit})
	return err
}
