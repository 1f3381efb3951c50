package newsfeed

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/newsfeed/feedpb"
)

const (
	// maxFeedWait is the longest wait of a watch at a feed, and of the watch at
	// the store that replaces it when the feed fails. Both together fit into the
	// timeout that membership.FollowWithOptions sets for one watch, so that a
	// lost feed is not taken for a lost store.
	maxFeedWait = time.Second
	// feedTimeoutSlack is how long after the end of the wait a feed may still
	// answer before it counts as lost.
	feedTimeoutSlack = 500 * time.Millisecond
	// feedRetryDelay is how long the store is watched directly after a feed was
	// lost.
	feedRetryDelay = time.Second
)

// Reader is a kvstore.Store that serves watches of all keys from a feed, and
// from the store itself while no feed can answer. Watches with a prefix always
// go to the store. Only one goroutine may call Watch.
type Reader struct {
	kvstore.Store

	log         *slog.Logger
	connect     func(address string) (grpc.ClientConnInterface, func(), error)
	feeds       atomic.Pointer[[]string] // addresses, preferred ones first
	followsFeed atomic.Bool
	watchAge    atomic.Int64 // of the last answer to a watch when it arrived, in ms

	// The fields below are accessed only by the goroutine that watches.
	client      feedpb.FeedClient
	closeConn   func()
	connectedTo string
	failures    int // modulo the number of feeds, the index of the feed to use
	feedRetryAt time.Time
}

// NewReader returns a reader that watches the store directly until SetFeeds is
// called. connect opens a connection to a feed and returns it with a function
// that closes it.
func NewReader(store kvstore.Store, log *slog.Logger, connect func(address string) (grpc.ClientConnInterface, func(), error)) *Reader {
	r := &Reader{Store: store, log: log, connect: connect}
	r.SetFeeds(nil)
	return r
}

// SetFeeds sets the addresses of the feeds, preferred ones first.
func (r *Reader) SetFeeds(addresses []string) { r.feeds.Store(&addresses) }

// FollowsFeed reports whether the last watch that was sent to a feed succeeded.
func (r *Reader) FollowsFeed() bool { return r.followsFeed.Load() }

// ListStale implements kvstore.StaleLister, with a List if the store has no
// replicas to read from.
func (r *Reader) ListStale(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	if store, ok := r.Store.(kvstore.StaleLister); ok {
		return store.ListStale(ctx, prefix)
	}
	return r.List(ctx, prefix)
}

// Watch implements kvstore.Store. The loss of a feed is not reported as an
// error: the reader watches the store in its place.
func (r *Reader) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	feeds := *r.feeds.Load()
	if prefix != "" || len(feeds) == 0 {
		r.watchAge.Store(0)
		return r.Store.Watch(ctx, prefix, after, wait)
	}
	wait = min(wait, maxFeedWait)
	if now := time.Now(); !now.Before(r.feedRetryAt) {
		address := feeds[r.failures%len(feeds)]
		reply, err := r.watchFeed(ctx, address, after, wait)
		if err == nil {
			r.watchAge.Store(reply.AgeMs)
			r.recordFeedResult(true, address, nil, reply.AgeMs)
			return decodeEvents(reply.Events), kvstore.Version(reply.Revision), nil
		}
		if ctx.Err() != nil {
			return nil, 0, kvstore.ErrUnavailable
		}
		r.recordFeedResult(false, address, err, 0)
		r.disconnect()
		r.failures++
		r.feedRetryAt = time.Now().Add(feedRetryDelay)
	}
	r.watchAge.Store(0)
	return r.Store.Watch(ctx, prefix, after, wait)
}

// WatchAge returns how long before the last answer to a watch of all keys the platform's
// store had confirmed what it says. The answer of a feed may be as old as StaleAfter.
func (r *Reader) WatchAge() time.Duration {
	return time.Duration(r.watchAge.Load()) * time.Millisecond
}

// recordFeedResult records whether a feed answered the last watch. It logs each
// failure of a feed, and the first answer after a failure.
func (r *Reader) recordFeedResult(follows bool, address string, err error, ageMS int64) {
	switch followed := r.followsFeed.Swap(follows); {
	case follows && !followed:
		r.log.Info("newsfeed: feed followed", "feed", address, "age_ms", ageMS)
	case !follows:
		r.log.Warn("newsfeed: feed lost, watching the platform store", "feed", address, "error", err)
	}
}

// watchFeed watches all keys at a feed. It keeps the connection open for the
// next call with the same address.
func (r *Reader) watchFeed(ctx context.Context, address string, after kvstore.Version, wait time.Duration) (*feedpb.WatchReply, error) {
	if r.connectedTo != address {
		r.disconnect()
		conn, closeConn, err := r.connect(address)
		if err != nil {
			return nil, err
		}
		r.client, r.closeConn, r.connectedTo = feedpb.NewFeedClient(conn), closeConn, address
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedTimeoutSlack)
	defer cancel()
	reply, err := r.client.Watch(ctx, &feedpb.WatchRequest{After: uint64(after), WaitMs: wait.Milliseconds()})
	return reply, Error.Wrap(err)
}

func (r *Reader) disconnect() {
	if r.closeConn != nil {
		r.closeConn()
	}
	r.client, r.closeConn, r.connectedTo = nil, nil, ""
}

func decodeEvents(events []*feedpb.Event) []kvstore.Event {
	decoded := make([]kvstore.Event, 0, len(events))
	for _, e := range events {
		decoded = append(decoded, kvstore.Event{
			Item:    kvstore.Item{Key: e.Key, Value: e.Value, Version: kvstore.Version(e.Revision), Lease: kvstore.LeaseID(e.Lease)},
			Deleted: e.Deleted,
		})
	}
	return decoded
}
