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
	commandRingSize = 16
	// sessionCallTimeout bounds the store calls of one attempt to renew, register
	// or leave.
	sessionCallTimeout = 2 * time.Second
)

// Command is a message to a Session: SetDraining or Leave.
type Command interface{ command() }

// SetDraining marks the member record as draining, or, if Off is set, as not
// draining.
type SetDraining struct{ Off bool }

// Leave revokes the lease and ends the session.
type Leave struct{}

func (SetDraining) command() {}
func (Leave) command()       {}

// SessionState is a snapshot of the state of a Session.
type SessionState struct {
	Registered bool
	// LastRenewal is the time at which the last successful renewal or registration
	// was sent; zero if there was none. The answer may have been read much later,
	// by a process that was suspended meanwhile.
	LastRenewal time.Time
	// LapsedAt is the time when the member last learned that its lease had
	// lapsed; zero if it never did. Other nodes may have begun to take over its
	// shards before that time.
	LapsedAt time.Time
}

// Session is the duty that registers this node's member record under a lease
// and renews the lease.
type Session struct {
	store    kvstore.Store
	clock    clockwork.Clock
	log      *slog.Logger
	ttl      time.Duration
	isFenced func(context.Context) (bool, error)
	commands *ring.Ring[Command]
	state    atomic.Pointer[SessionState]

	// The fields below are used only by Run.
	member           Member
	lease            kvstore.LeaseID
	registeredBefore bool // this incarnation registered, or may have
	recordStale      bool // the record in the store must be written again
}

// NewSession returns the session of a member. isFenced reports whether the
// journal of its incarnation is sealed; it is called before each registration.
func NewSession(store kvstore.Store, clock clockwork.Clock, log *slog.Logger, member Member, ttl time.Duration, isFenced func(context.Context) (bool, error)) *Session {
	s := &Session{
		store:    store,
		clock:    clock,
		log:      log,
		ttl:      ttl,
		isFenced: isFenced,
		commands: ring.New[Command](commandRingSize),
		member:   member,
	}
	s.state.Store(&SessionState{})
	return s
}

// Commands returns the ring through which the session receives commands.
func (s *Session) Commands() *ring.Ring[Command] { return s.commands }

// State returns the current state of the session.
func (s *Session) State() SessionState { return *s.state.Load() }

// Run registers the member and renews its lease every third of the lease
// period, until it receives Leave or ctx ends. It returns ErrFenced or
// ErrSuperseded if this incarnation can no longer be a member. When ctx ends,
// Run does not revoke the lease, which then lapses.
func (s *Session) Run(ctx context.Context) error {
	for {
		err := s.renewOrRegister(ctx)
		wait := s.ttl / 3
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrFenced), errors.Is(err, ErrSuperseded):
			s.log.Warn("membership: registration refused", "member", s.member.ID, "error", err)
			return err
		case err != nil:
			// Half the renewal period on average, with jitter so that the nodes do
			// not all retry at the same time after an outage.
			wait = s.ttl/12 + rand.N(s.ttl/6)
			s.log.Warn("membership: lease not renewed, retrying", "member", s.member.ID, "error", err)
		}
		if leaving := s.waitForRenewal(ctx, wait); leaving {
			return s.leave(ctx)
		}
	}
}

// waitForRenewal waits until the next renewal and handles commands meanwhile.
// It returns true when it receives Leave, and returns early when Draining
// changes, so that the record is written at once.
func (s *Session) waitForRenewal(ctx context.Context, wait time.Duration) bool {
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
			s.member.Draining, s.recordStale = draining, true
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

// renewOrRegister makes one attempt to renew the lease. If there is none or it
// is lost, it gets a new one. It then writes the member record if that is
// necessary.
func (s *Session) renewOrRegister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sessionCallTimeout)
	defer cancel()
	sent := s.clock.Now()
	err := kvstore.ErrLeaseLost
	if s.lease != 0 {
		err = s.store.Renew(ctx, s.lease)
	}
	if errors.Is(err, kvstore.ErrLeaseLost) {
		s.markUnregistered()
		s.lease, s.recordStale = 0, true
		s.lease, err = s.store.Grant(ctx, s.ttl)
	}
	if err == nil && s.recordStale {
		err = s.register(ctx)
	}
	if err == nil {
		s.setRegistered(true, sent)
	}
	return err
}

// register writes the member record under the lease. After a lost answer or a
// conflict it returns an error, and the next attempt reads the record again.
func (s *Session) register(ctx context.Context) error {
	fenced, err := s.isFenced(ctx)
	if err != nil {
		return err
	}
	if fenced {
		return ErrFenced
	}
	item, err := s.store.Get(ctx, KeyPrefix+s.member.ID)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	if err == nil && s.registeredBefore {
		old, err := Decode(item)
		if err != nil || old.Incarnation != s.member.Incarnation {
			return ErrSuperseded
		}
	}
	value, err := json.Marshal(s.member)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := s.store.Put(ctx, KeyPrefix+s.member.ID, value, item.Version, s.lease); err != nil {
		// If the answer was lost, the write may have taken effect, so a record of
		// another incarnation that is found later is treated as newer.
		s.registeredBefore = s.registeredBefore || errors.Is(err, kvstore.ErrAmbiguous)
		return err
	}
	s.registeredBefore, s.recordStale = true, false
	return nil
}

// leave revokes the lease, which deletes the member record.
func (s *Session) leave(ctx context.Context) error {
	s.setRegistered(false, time.Time{})
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

// markUnregistered sets the state to not registered and, if the member had a
// lease, records the time at which it learned of the loss.
func (s *Session) markUnregistered() {
	next := s.State()
	next.Registered = false
	if s.lease != 0 {
		next.LapsedAt = s.clock.Now()
	}
	s.state.Store(&next)
}

// setRegistered updates the state after a successful attempt, which was sent at
// the given time, or a leave.
func (s *Session) setRegistered(registered bool, sent time.Time) {
	next := s.State()
	next.Registered = registered
	if registered {
		next.LastRenewal = sent
	}
	s.state.Store(&next)
}
