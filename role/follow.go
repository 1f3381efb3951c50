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

// returnGrace is how long after an outage of the platform's store missing
// entries may still come back.
const returnGrace = 2 * time.Second

// watchWait is the longest wait of one watch. A watch may go deaf while the
// store drops its history; three seconds after the store is stable again its
// news must be in force.
const watchWait = 2 * time.Second

// storeWatchWait is that of a store, which passes the news on to fronts: with
// the pause in which news gather it is below newsfeed.StaleAfter.
const storeWatchWait = time.Second

const (
	// mostGather and leastGather bound how long a front lets further news gather
	// after some came; registrations change several at a time. The second is
	// that of a deployment that does not say within what time it must act.
	mostGather  = 2 * time.Second
	leastGather = 200 * time.Millisecond
	// joinGather is that of a store while the copy set changes, since stores
	// join it in turn; mostFeedGather bounds that of a store at rest, which only
	// passes news on.
	joinGather     = 200 * time.Millisecond
	mostFeedGather = 500 * time.Millisecond
	// feedGatherShare is the part of the time within which a front must act that
	// its news may spend in a store.
	feedGatherShare = 6
)

// frontGather is how long a front without a feed lets news gather, because
// each watch is a call and there are many fronts: half of the time within which
// it must act.
func frontGather(host platform.Host) time.Duration {
	return min(mostGather, max(leastGather, host.NewsWithin/2))
}

// storeGather is how long a store lets news gather.
func storeGather(host platform.Host, settled bool) time.Duration {
	if settled {
		return min(mostFeedGather, max(joinGather, host.NewsWithin/feedGatherShare))
	}
	return joinGather
}

// topic is what a process wants to know of keys with one prefix.
type topic struct {
	prefix string
	// changed is called for each item, and for a key that was deleted.
	changed func(ctx context.Context, item kvstore.Item, deleted, storeWasAway bool)
	// listed is called after a listing, with all keys of the prefix.
	listed func(ctx context.Context, keys map[string]bool, storeWasAway bool)
	// settled is called after each batch of changes.
	settled func(ctx context.Context)
}

// follower passes the content of the platform's store on to topics. It belongs
// to one duty.
type follower struct {
	log    *slog.Logger
	topics []topic
	lost   bool
	back   time.Time
	onLost func(ctx context.Context)
	feed   *newsfeed.Hub // is told everything; nil for none
}

// follow is a duty that follows everything in the platform's store with one
// watch, because each waiting watch is a call.
func (p *process) follow(store kvstore.Store, pace membership.Pace, f *follower) {
	f.log = p.log
	p.group.Go("follow", func(ctx context.Context) error {
		return membership.FollowEvery(ctx, store, clockwork.NewRealClock(), "", pace, f)
	})
}

func (f *follower) storeWasAway() bool { return !f.back.IsZero() && time.Since(f.back) < returnGrace }

// Listed implements membership.Follower.
func (f *follower) Listed(ctx context.Context, items []kvstore.Item, revision kvstore.Version) {
	if f.lost {
		f.lost, f.back = false, time.Now()
		f.log.Info("role: platform store regained", "revision", revision)
	}
	if f.feed != nil {
		_ = f.feed.Listed(ctx, revision) // fails only when the process ends
	}
	for _, t := range f.topics {
		keys := map[string]bool{}
		for _, item := range items {
			if strings.HasPrefix(item.Key, t.prefix) {
				keys[item.Key] = true
				t.changed(ctx, item, false, f.storeWasAway())
			}
		}
		if t.listed != nil {
			t.listed(ctx, keys, f.storeWasAway())
		}
		if t.settled != nil {
			t.settled(ctx)
		}
	}
}

// Changed implements membership.Follower.
func (f *follower) Changed(ctx context.Context, events []kvstore.Event, revision kvstore.Version) {
	if f.feed != nil {
		_ = f.feed.Changed(ctx, events, revision) // fails only when the process ends
	}
	for _, t := range f.topics {
		touched := false
		for _, event := range events {
			if strings.HasPrefix(event.Key, t.prefix) {
				t.changed(ctx, event.Item, event.Deleted, f.storeWasAway())
				touched = true
			}
		}
		if touched && t.settled != nil {
			t.settled(ctx)
		}
	}
}

// Failed implements membership.Follower.
func (f *follower) Failed(ctx context.Context, err error) {
	if errors.Is(err, kvstore.ErrCompacted) {
		f.log.Info("role: platform store dropped changes, listing again") // it answers, so nothing may be missing
		return
	}
	if !f.lost {
		f.lost = true
		f.log.Warn("role: platform store lost", "error", err)
		if f.onLost != nil {
			f.onLost(ctx)
		}
	}
}

// copiesTopic follows the copy set.
func copiesTopic(log *slog.Logger, adopt func(ctx context.Context, set copyset.Set)) topic {
	return topic{prefix: copyset.Key, changed: func(ctx context.Context, item kvstore.Item, deleted, _ bool) {
		if deleted || item.Key != copyset.Key {
			return
		}
		set, err := copyset.Decode(item.Value, uint64(item.Version))
		if err != nil {
			log.Error("role: copy set not decoded", "version", item.Version, "error", err)
			return
		}
		adopt(ctx, set)
	}}
}

// membersTopic follows the registered processes. Records that vanished while
// the store was away are kept for a moment, as their processes return.
func membersTopic(log *slog.Logger, settled func(ctx context.Context, members map[string]membership.Member)) topic {
	members := map[string]membership.Member{}
	return topic{
		prefix: membership.Prefix,
		changed: func(_ context.Context, item kvstore.Item, deleted, _ bool) {
			if deleted {
				log.Info("role: process left", "member", strings.TrimPrefix(item.Key, membership.Prefix), "revision", item.Version)
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
		listed: func(_ context.Context, keys map[string]bool, _ bool) {
			for key := range members {
				if !keys[key] {
					delete(members, key)
				}
			}
		},
		settled: func(ctx context.Context) { settled(ctx, members) },
	}
}

// configTopic follows the operator's configuration.
func configTopic(log *slog.Logger, adopt func(value []byte) error) topic {
	return topic{prefix: platform.ConfigKey, changed: func(_ context.Context, item kvstore.Item, deleted, _ bool) {
		if deleted || item.Key != platform.ConfigKey {
			return
		}
		if err := adopt(item.Value); err != nil {
			log.Error("role: configuration not decoded, the old one stays", "revision", item.Version, "error", err)
		}
	}}
}
