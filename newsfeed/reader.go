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
	// feedWait is the longest wait of one question to a feed, and of the watch
	// that takes its place. Both fit into the time that a follower gives one
	// watch, so that a lost feed is not taken for a lost store.
	feedWait = time.Second
	// feedSlack is the time beyond the wait after which a feed counts as lost.
	feedSlack = 500 * time.Millisecond
	// feedPause is how long the store itself is watched after a feed was lost.
	feedPause = time.Second
)

// Reader is a store whose Watch of everything asks a feed, and the store itself
// while no feed can tell. One duty watches.
type Reader struct {
	kvstore.Store

	log     *slog.Logger
	connect func(address string) (grpc.ClientConnInterface, func(), error)
	feeds   atomic.Pointer[[]string]
	fed     atomic.Bool

	// The fields below belong to the duty that watches.
	client    feedpb.FeedClient
	closeConn func()
	connected string
	failures  int // also which of the feeds is asked
	resting   time.Time
}

// NewReader returns a reader of the store.
func NewReader(store kvstore.Store, log *slog.Logger, connect func(address string) (grpc.ClientConnInterface, func(), error)) *Reader {
	r := &Reader{Store: store, log: log, connect: connect}
	r.SetFeeds(nil)
	return r
}

// SetFeeds tells the addresses of the feeds, preferred ones first.
func (r *Reader) SetFeeds(addresses []string) { r.feeds.Store(&addresses) }

// Fed reports whether the last watch was answered by a feed.
func (r *Reader) Fed() bool { return r.fed.Load() }

// Watch implements kvstore.Store.
func (r *Reader) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	feeds := *r.feeds.Load()
	if prefix != "" || len(feeds) == 0 {
		return r.Store.Watch(ctx, prefix, after, wait)
	}
	wait = min(wait, feedWait)
	if now := time.Now(); !now.Before(r.resting) {
		address := feeds[r.failures%len(feeds)]
		reply, err := r.ask(ctx, address, after, wait)
		if err == nil {
			r.note(true, address, nil, reply.AgeMs)
			return decode(reply.Events), kvstore.Version(reply.Revision), nil
		}
		if ctx.Err() != nil {
			return nil, 0, kvstore.ErrUnavailable
		}
		r.note(false, address, err, 0)
		r.disconnect()
		r.failures++
		r.resting = time.Now().Add(feedPause)
	}
	return r.Store.Watch(ctx, prefix, after, wait)
}

// note logs when the feed is lost and regained.
func (r *Reader) note(fed bool, address string, err error, ageMS int64) {
	switch was := r.fed.Swap(fed); {
	case fed && !was:
		r.log.Info("newsfeed: feed followed", "feed", address, "age_ms", ageMS)
	case !fed:
		r.log.Warn("newsfeed: feed lost, watching the platform store", "feed", address, "error", err)
	}
}

func (r *Reader) ask(ctx context.Context, address string, after kvstore.Version, wait time.Duration) (*feedpb.WatchReply, error) {
	if r.connected != address {
		r.disconnect()
		conn, closeConn, err := r.connect(address)
		if err != nil {
			return nil, err
		}
		r.client, r.closeConn, r.connected = feedpb.NewFeedClient(conn), closeConn, address
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedSlack)
	defer cancel()
	reply, err := r.client.Watch(ctx, &feedpb.WatchRequest{After: uint64(after), WaitMs: wait.Milliseconds()})
	return reply, Error.Wrap(err)
}

func (r *Reader) disconnect() {
	if r.closeConn != nil {
		r.closeConn()
	}
	r.client, r.closeConn, r.connected = nil, nil, ""
}

func decode(events []*feedpb.Event) []kvstore.Event {
	decoded := make([]kvstore.Event, 0, len(events))
	for _, e := range events {
		decoded = append(decoded, kvstore.Event{
			Item:    kvstore.Item{Key: e.Key, Value: e.Value, Version: kvstore.Version(e.Revision), Lease: kvstore.LeaseID(e.Lease)},
			Deleted: e.Deleted,
		})
	}
	return decoded
}
