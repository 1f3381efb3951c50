package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/kvstore"
)

const (
	// defaultWatchWait is the longest wait of one watch call of Follow. An idle
	// watch then costs 0.1 reads a second.
	defaultWatchWait = 10 * time.Second
	// watchGrace is added to the wait of a watch call to get its timeout, so that
	// the answer has time to arrive.
	watchGrace = 2 * time.Second
	// meanRetryDelay is the mean wait after a failed call. Jitter makes the wait
	// half to one and a half times as long.
	meanRetryDelay = 500 * time.Millisecond
)

// Follower receives the items under a key prefix and then their changes, in
// order. All calls come from one goroutine.
type Follower interface {
	// Listed gives all items, which replace those of earlier calls.
	Listed(ctx context.Context, items []kvstore.Item, revision kvstore.Version)
	// Changed gives the changes since the last call. It is called without
	// events when the wait of a watch call ended without a change.
	Changed(ctx context.Context, events []kvstore.Event, revision kvstore.Version)
	// Failed reports that listing or watching failed. The prefix is then listed
	// again.
	Failed(ctx context.Context, err error)
}

// Follow lists and then watches the keys with a prefix in the store, until ctx
// ends. After a failure it lists again, so that no deletion is missed.
func Follow(ctx context.Context, store kvstore.Store, clock clockwork.Clock, prefix string, f Follower) error {
	return FollowWithOptions(ctx, store, clock, prefix, FollowOptions{WatchWait: defaultWatchWait}, f)
}

// FollowOptions determines how often FollowWithOptions calls the store.
type FollowOptions struct {
	// WatchWait is the longest wait of one watch call.
	WatchWait time.Duration
	// BatchDelay returns the pause after a watch that returned events, in which
	// further events accumulate, because each watch counts as a call to the
	// store. It is called after each such watch; nil means no pause.
	BatchDelay func() time.Duration
	// StaleFirstList allows the first listing to be some seconds old, if the store
	// is a kvstore.StaleLister. Its age lasts for one watch call, and a process
	// that has just started knows nothing newer. It keeps the load on the store
	// low when many processes start at once.
	StaleFirstList bool
}

// FollowWithOptions is Follow with a given pace. If the store silently stops
// delivering events to a watch, that is noticed when the wait of the watch
// ends.
func FollowWithOptions(ctx context.Context, store kvstore.Store, clock clockwork.Clock, prefix string, pace FollowOptions, f Follower) error {
	list := store.List
	if lister, ok := store.(kvstore.StaleLister); ok && pace.StaleFirstList {
		list = lister.ListStale
	}
	for ctx.Err() == nil {
		err := listAndWatch(ctx, store, list, clock, prefix, pace, f)
		list = store.List
		if ctx.Err() != nil {
			break
		}
		f.Failed(ctx, err)
		wait := meanRetryDelay/2 + rand.N(meanRetryDelay)
		select {
		case <-clock.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// listFunc is the type of kvstore.Store.List.
type listFunc func(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error)

// listAndWatch lists the prefix once and then watches it until a call fails.
func listAndWatch(ctx context.Context, store kvstore.Store, list listFunc, clock clockwork.Clock, prefix string, pace FollowOptions, f Follower) error {
	items, revision, err := list(ctx, prefix)
	if err != nil {
		return err
	}
	f.Listed(ctx, items, revision)
	for {
		events, next, err := watchOnce(ctx, store, prefix, revision, pace.WatchWait)
		if err != nil {
			return err
		}
		revision = next
		f.Changed(ctx, events, revision)
		if len(events) > 0 && pace.BatchDelay != nil {
			select {
			case <-clock.After(pace.BatchDelay()):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

func watchOnce(ctx context.Context, store kvstore.Store, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	return store.Watch(callCtx, prefix, after, wait)
}
