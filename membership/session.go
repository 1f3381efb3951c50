package membership

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/ring"
)

const (
	commandSlots = 16
	// sessionCallTimeout bounds one store call of the session.
	sessionCallTimeout = 2 * time.Second
)

// Command is a message to the Session: SetDraining or Leave.
type Command interface{ command() }

// SetDraining marks the member record as draining, or with Off no longer so.
type SetDraining struct{ Off bool }

// Leave ends the lease and the duty.
type Leave struct{}

func (SetDraining) command() {}
func (Leave) command()       {}

// SessionState is a snapshot of a Session.
type SessionState struct {
	Registered bool
	// LastAnswer is the time of the last successful renewal or registration.
	LastAnswer time.Time
	// Lapsed is when the member last learned that its lease had lapsed; zero if
	// it never did. Others may be taking over from it since before then.
	Lapsed time.Time
}

// Session is the duty that keeps this node's member record under its lease.
type Session struct {
	store    kvstore.Store
	clock    clockwork.Clock
	log      *slog.Logger
	ttl      time.Duration
	fenced   func(context.Context) (bool, error)
	commands *ring.Ring[Command]
	state    atomic.Pointer[SessionState]

	// The fields below belong to the duty.
	member Member
	lease  kvstore.LeaseID
	before bool // registered before in this incarnation
	stale  bool // the stored record differs from member
}

// NewSession returns the session of a member. Fenced tells whether the journal
// of the incarnation is sealed; it is asked before each registration.
func NewSession(store kvstore.Store, clock clockwork.Clock, log *slog.Logger, member Member, ttl time.Duration, fenced func(context.Context) (bool, error)) *Session {
	s := &Session{
		store:    store,
		clock:    clock,
		log:      log,
		ttl:      ttl,
		fenced:   fenced,
		commands: ring.New[Command](commandSlots),
		member:   member,
	}
	s.state.Store(&SessionState{})
	return s
}

// Commands returns the ring of commands.
func (s *Session) Commands() *ring.Ring[Command] { return s.commands }

// State returns the latest snapshot.
func (s *Session) State() SessionState { return *s.state.Load() }

// Run registers the member and renews its lease each third of the lease period,
// until Leave or the end of ctx. It returns ErrFenced or ErrSuperseded if this
// incarnation can no longer be a member. When ctx ends, the lease is left to
// lapse.
func (s *Session) Run(ctx context.Context) error {
	for {
		err := s.keep(ctx)
		wait := s.ttl / 3
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrFenced), errors.Is(err, ErrSuperseded):
			s.log.Warn("membership: registration refused", "member", s.member.ID, "error", err)
			return err
		case err != nil:
			// Half the renewal period, with jitter, so that the nodes do not
			// return together after an outage.
			wait = s.ttl/12 + rand.N(s.ttl/6)
			s.log.Warn("membership: lease not renewed, retrying", "member", s.member.ID, "error", err)
		}
		if left := s.rest(ctx, wait); left {
			return s.leave(ctx)
		}
	}
}

// rest waits for the next renewal and takes commands. It reports Leave.
func (s *Session) rest(ctx context.Context, wait time.Duration) bool {
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		draining := s.member.Draining
		for c, ok := s.commands.TryPop(); ok; c, ok = s.commands.TryPop() {
			switch command := c.(type) {
			case Leave:
				return true
			case SetDraining:
				draining = !command.Off
			}
		}
		if draining != s.member.Draining {
			s.member.Draining, s.stale = draining, true
			return false
		}
		select {
		case <-s.commands.Ready():
		case <-timer.Chan():
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// keep makes one attempt to renew the lease, or to register.
func (s *Session) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sessionCallTimeout)
	defer cancel()
	err := kvstore.ErrLeaseLost
	if s.lease != 0 {
		err = s.store.Renew(ctx, s.lease)
	}
	if errors.Is(err, kvstore.ErrLeaseLost) {
		s.lapsed()
		s.lease, s.stale = 0, true
		s.lease, err = s.store.Grant(ctx, s.ttl)
	}
	if err == nil && s.stale {
		err = s.register(ctx)
	}
	if err == nil {
		s.note(true)
	}
	return err
}

// register writes the member record under the lease. A lost answer or a
// conflict is an error; the next attempt reads the record again.
func (s *Session) register(ctx context.Context) error {
	fenced, err := s.fenced(ctx)
	if err != nil {
		return err
	}
	if fenced {
		return ErrFenced
	}
	item, err := s.store.Get(ctx, Prefix+s.member.ID)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	if err == nil && s.before {
		old, err := Decode(item)
		if err != nil || old.Incarnation != s.member.Incarnation {
			return ErrSuperseded
		}
	}
	value, err := json.Marshal(s.member)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := s.store.Put(ctx, Prefix+s.member.ID, value, item.Version, s.lease); err != nil {
		// The write may have taken effect, so a foreign record found later is
		// newer.
		s.before = s.before || errors.Is(err, kvstore.ErrAmbiguous)
		return err
	}
	s.before, s.stale = true, false
	return nil
}

func (s *Session) leave(ctx context.Context) error {
	s.note(false)
	if s.lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, sessionCallTimeout)
	defer cancel()
	err := s.store.Revoke(ctx, s.lease)
	if errors.Is(err, kvstore.ErrLeaseLost) {
		return nil
	}
	return Error.Wrap(err)
}

// lapsed notes that the member is not registered, and when that is because it
// lost its lease.
func (s *Session) lapsed() {
	next := s.State()
	next.Registered = false
	if s.lease != 0 {
		next.Lapsed = s.clock.Now()
	}
	s.state.Store(&next)
}

func (s *Session) note(registered bool) {
	next := s.State()
	next.Registered = registered
	if registered {
		next.LastAnswer = s.clock.Now()
	}
	s.state.Store(&next)
}
