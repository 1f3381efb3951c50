package role

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/copyset"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/newsfeed"
	"dogwoodline.example/platform"
)

// outageGracePeriod is the time after an outage of the platform's store in which
// missing entries may still come back, because live processes register again.
const outageGracePeriod = 2 * time.Second

// frontWatchWait is the longest wait of one watch call of a front. A watch may
// silently stop delivering changes while the store compacts its history, and
// three seconds after the store is stable again its changes must be in effect.
const frontWatchWait = 2 * time.Second

// storeWatchWait is the longest wait of one watch call of a store, which passes
// changes on to fronts. Together with the batch delay it is below
// newsfeed.StaleAfter.
const storeWatchWait = time.Second

// maxTableAge returns how long a front takes its configuration for the newest after the
// last answer to a watch: as long as a change may take, but longer than a watch waits.
// It is 0, which means for ever, in deployments that do not state the former.
func maxTableAge(host platform.Host) time.Duration {
	if host.MaxReactionTime <= 0 {
		return 0
	}
	return max(host.MaxReactionTime, frontWatchWait+watchAnswerDelay)
}

// watchAnswerDelay is how much longer than its wait the answer to a watch may take on a
// busy host.
const watchAnswerDelay = time.Second

const (
	// maxFrontBatchDelay and minFrontBatchDelay bound how long a front waits after
	// a change so that further changes arrive in the same batch; registrations
	// tend to change several at a time. The minimum applies to deployments that
	// do not state within what time a process must act on a change.
	maxFrontBatchDelay = 2 * time.Second
	minFrontBatchDelay = 200 * time.Millisecond
	// joinBatchDelay is the batch delay of a store while the copy set changes,
	// since stores join it one after the other. maxStoreBatchDelay bounds the
	// delay once the copy set is stable and the store only passes changes on.
	joinBatchDelay     = 200 * time.Millisecond
	maxStoreBatchDelay = 500 * time.Millisecond
	// feedDelayDivisor bounds the delay that a store adds to a change: at most a
	// sixth of the time within which a front must act on the change.
	feedDelayDivisor = 6
)

// frontBatchDelay returns how long a front that watches the platform's store
// itself waits for further changes. Each watch is a call to the store and there
// are many fronts, so the delay is half of the time within which the front must
// act on a change.
func frontBatchDelay(host platform.Host) time.Duration {
	return min(maxFrontBatchDelay, max(minFrontBatchDelay, host.MaxReactionTime/2))
}

// storeBatchDelay returns how long a store waits for further changes.
func storeBatchDelay(host platform.Host, copySetStable bool) time.Duration {
	if copySetStable {
		return min(maxStoreBatchDelay, max(joinBatchDelay, host.MaxReactionTime/feedDelayDivisor))
	}
	return joinBatchDelay
}

// subscription holds the callbacks for the keys with one prefix. The argument
// recentOutage tells that the platform's store was regained less than
// outageGracePeriod ago, so that entries of live processes may be missing.
type subscription struct {
	prefix string
	// onChange is called for each item of a listing, and for each item that was
	// put or deleted afterwards.
	onChange func(ctx context.Context, item kvstore.Item, deleted, recentOutage bool)
	// onList is called after each listing with all keys of the prefix. It may be
	// nil.
	onList func(ctx context.Context, keys map[string]bool, recentOutage bool)
	// onBatchEnd is called after each listing and after each batch of changes that
	// concerns the prefix. It may be nil.
	onBatchEnd func(ctx context.Context)
}

// follower passes the content of the platform's store on to subscriptions. It is
// used by one goroutine only.
type follower struct {
	log           *slog.Logger
	subscriptions []subscription
	storeLost     bool
	regainedAt    time.Time
	onStoreLost   func(ctx context.Context)
	feed          *newsfeed.Hub // receives all changes; nil if this process serves no feed
	// onWatched is called after each answer to a watch, which shows that this process knew all
	// changes at that time. A listing does not, since a replica that lags may have answered
	// it. It may be nil.
	onWatched func()
}

// followStore starts a goroutine that follows all keys of the platform's store
// with a single watch, because each pending watch is a call to the store.
func (p *process) followStore(store kvstore.Store, options membership.FollowOptions, f *follower) {
	f.log = p.log
	p.group.Go("follow", func(ctx context.Context) error {
		return membership.FollowWithOptions(ctx, store, clockwork.NewRealClock(), "", options, f)
	})
}

// recentOutage reports whether the platform's store was regained less than
// outageGracePeriod ago.
func (f *follower) recentOutage() bool {
	return !f.regainedAt.IsZero() && time.Since(f.regainedAt) < outageGracePeriod
}

// Listed implements membership.Follower.
func (f *follower) Listed(ctx context.Context, items []kvstore.Item, revision kvstore.Version) {
	if f.storeLost {
		f.storeLost, f.regainedAt = false, time.Now()
		f.log.Info("role: platform store regained", "revision", revision)
	}
	if f.feed != nil {
		_ = f.feed.Listed(ctx, revision) // fails only when the process stops
	}
	for _, sub := range f.subscriptions {
		keys := map[string]bool{}
		for _, item := range items {
			if strings.HasPrefix(item.Key, sub.prefix) {
				keys[item.Key] = true
				sub.onChange(ctx, item, false, f.recentOutage())
			}
		}
		if sub.onList != nil {
			sub.onList(ctx, keys, f.recentOutage())
		}
		if sub.onBatchEnd != nil {
			sub.onBatchEnd(ctx)
		}
	}
}

// Changed implements membership.Follower.
func (f *follower) Changed(ctx context.Context, events []kvstore.Event, revision kvstore.Version) {
	if f.feed != nil {
		_ = f.feed.Changed(ctx, events, revision) // fails only when the process stops
	}
	for _, sub := range f.subscriptions {
		matched := false
		for _, event := range events {
			if strings.HasPrefix(event.Key, sub.prefix) {
				sub.onChange(ctx, event.Item, event.Deleted, f.recentOutage())
				matched = true
			}
		}
		if matched && sub.onBatchEnd != nil {
			sub.onBatchEnd(ctx)
		}
	}
	if f.onWatched != nil {
		f.onWatched()
	}
}

// Failed implements membership.Follower.
func (f *follower) Failed(ctx context.Context, err error) {
	if errors.Is(err, kvstore.ErrCompacted) {
		f.log.Info("role: platform store compacted its history, listing again") // no outage, so a missing entry is really gone
		return
	}
	if !f.storeLost {
		f.storeLost = true
		f.log.Warn("role: platform store lost", "error", err)
		if f.onStoreLost != nil {
			f.onStoreLost(ctx)
		}
	}
}

// copySetSubscription passes each version of the copy set to apply.
func copySetSubscription(log *slog.Logger, apply func(ctx context.Context, set copyset.Set)) subscription {
	return subscription{prefix: copyset.Key, onChange: func(ctx context.Context, item kvstore.Item, deleted, _ bool) {
		if deleted || item.Key != copyset.Key {
			return
		}
		set, err := copyset.Decode(item.Value, uint64(item.Version))
		if err != nil {
			log.Error("role: copy set not decoded", "version", item.Version, "error", err)
			return
		}
		apply(ctx, set)
	}}
}

// membersSubscription passes the registered processes to update after each
// change.
func membersSubscription(log *slog.Logger, update func(ctx context.Context, members map[string]membership.Member)) subscription {
	members := map[string]membership.Member{}
	return subscription{
		prefix: membership.KeyPrefix,
		onChange: func(_ context.Context, item kvstore.Item, deleted, _ bool) {
			if deleted {
				log.Info("role: process left", "member", strings.TrimPrefix(item.Key, membership.KeyPrefix), "revision", item.Version)
				delete(members, item.Key)
				return
			}
			member, err := membership.Decode(item)
			if err != nil {
				log.Error("role: member record not decoded", "key", item.Key, "error", err)
				return
			}
			if known, ok := members[item.Key]; !ok || known.Draining != member.Draining || known.Incarnation != member.Incarnation {
				log.Info("role: process registered", "member", member.ID, "incarnation", member.Incarnation, "draining", member.Draining)
			}
			members[item.Key] = member
		},
		onList: func(_ context.Context, keys map[string]bool, _ bool) {
			for key := range members {
				if !keys[key] {
					delete(members, key)
				}
			}
		},
		onBatchEnd: func(ctx context.Context) { update(ctx, members) },
	}
}

// configSubscription passes each version of the operator's configuration to
// apply.
func configSubscription(log *slog.Logger, apply func(value []byte) error) subscription {
	return subscription{prefix: platform.ConfigKey, onChange: func(_ context.Context, item kvstore.Item, deleted, _ bool) {
		if deleted || item.Key != platform.ConfigKey {
			return
		}
		if err := apply(item.Value); err != nil {
			log.Error("role: configuration not decoded, keeping the previous one", "revision", item.Version, "error", err)
		}
	}}
}
