package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/kvstore"
)

const (
	// pollWait is the longest wait of one watch call. It makes an idle watch
	// cost 0.1 reads a second.
	pollWait = 10 * time.Second
	// pollGrace is added to pollWait for the answer to arrive.
	pollGrace = 2 * time.Second
	// followRetry bounds the wait after a failed call, in both directions
	// from its half by jitter.
	followRetry = 500 * time.Millisecond
)

// Follower receives the content of a prefix and its changes, in order, from
// one goroutine.
type Follower interface {
	// Listed replaces everything known so far.
	Listed(ctx context.Context, items []kvstore.Item, revision kvstore.Version)
	// Changed gives the changes since the last call. It is also called
	// without events when a wait ended.
	Changed(ctx context.Context, events []kvstore.Event, revision kvstore.Version)
	// Failed tells that the store did not answer.
	Failed(ctx context.Context, err error)
}

// Follow lists and then watches a prefix of the store until ctx ends. After a
// failure it lists again, so that no deletion is missed.
func Follow(ctx context.Context, store kvstore.Store, clock clockwork.Clock, prefix string, f Follower) error {
	return FollowEvery(ctx, store, clock, prefix, Pace{Wait: pollWait}, f)
}

// Pace says how often a store is watched.
type Pace struct {
	// Wait is the longest wait of one watch call.
	Wait time.Duration
	// Gather returns the pause after news in which further news gather, because
	// each watch is a call. It is asked after each news; nil means no pause.
	Gather func() time.Duration
}

// FollowEvery is Follow at another pace. A watch that the store silently
// stopped serving is noticed after the longest wait.
func FollowEvery(ctx context.Context, store kvstore.Store, clock clockwork.Clock, prefix string, pace Pace, f Follower) error {
	for ctx.Err() == nil {
		err := followOnce(ctx, store, clock, prefix, pace, f)
		if ctx.Err() != nil {
			break
		}
		f.Failed(ctx, err)
		wait := followRetry/2 + rand.N(followRetry)
		select {
		case <-clock.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func followOnce(ctx context.Context, store kvstore.Store, clock clockwork.Clock, prefix string, pace Pace, f Follower) error {
	items, revision, err := store.List(ctx, prefix)
	if err != nil {
		return err
	}
	f.Listed(ctx, items, revision)
	for {
		events, next, err := watchOnce(ctx, store, prefix, revision, pace.Wait)
		if err != nil {
			return err
		}
		revision = next
		f.Changed(ctx, events, revision)
		if len(events) > 0 && pace.Gather != nil {
			select {
			case <-clock.After(pace.Gather()):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

func watchOnce(ctx context.Context, store kvstore.Store, prefix string, after kvstore.Version, poll time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	call, cancel := context.WithTimeout(ctx, poll+pollGrace)
	defer cancel()
	return store.Watch(call, prefix, after, poll)
}
