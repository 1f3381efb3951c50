// Package newsfeed relays changes of the platform's store from the few
// processes that watch it to the many others. Each watch counts as a call
// against the store's rate limits, and these limits grow more slowly than the
// number of processes.
package newsfeed

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dogwoodline.example/duty"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/newsfeed/feedpb"
	"dogwoodline.example/ring"
)

// Error is the class of all errors of this package.
var Error = errs.Class("newsfeed")

const (
	// queueCapacity is the number of messages that may be queued for the hub.
	queueCapacity = 1024
	// maxHistoryEvents bounds the history. A reader that is further behind
	// watches the platform's store directly.
	maxHistoryEvents = 4096
	// maxHistoryBytes bounds its values, except for the newest event: a configuration with
	// 39,000 organisations is 5.8 MB, so 4096 changes of it would exceed any memory.
	maxHistoryBytes = 16 << 20
	// StaleAfter is the age of the platform store's last answer above which the
	// hub refuses watches. It is two thirds of the time within which a host must
	// act on a change, so that a refused reader can still watch the store
	// directly in time.
	StaleAfter = 2 * time.Second
	// answerInterval is how often the hub checks for watches whose deadline has
	// passed.
	answerInterval = 50 * time.Millisecond
)

// Hub keeps the most recent changes and serves them to readers over gRPC. A
// single goroutine owns its state.
type Hub struct {
	feedpb.UnimplementedFeedServer

	messages *ring.Ring[message]

	// The fields below are accessed only by run.
	history      []kvstore.Event
	historyStart kvstore.Version // all changes after it are in the history
	revision     kvstore.Version // the latest one that the platform's store has confirmed
	confirmedAt  time.Time       // when the platform's store last answered
	pending      []pendingWatch
}

// message is a watch or an update. Exactly one of its fields is set.
type message struct {
	watch  *pendingWatch
	update *update
}

// update is an answer of the platform's store to a list or a watch.
type update struct {
	reset    bool // the history starts again, after revision
	events   []kvstore.Event
	revision kvstore.Version
}

// pendingWatch is a watch that has not been answered yet.
type pendingWatch struct {
	after    kvstore.Version
	deadline time.Time
	reply    chan<- *feedpb.WatchReply // has a buffer of one; nil is sent if the hub cannot answer
}

// NewHub returns a hub and starts its goroutine in group.
func NewHub(group *duty.Group) *Hub {
	h := &Hub{messages: ring.New[message](queueCapacity)}
	group.Go("news-hub", h.run)
	group.RegisterRingDepth("news-hub", "messages", h.messages.Len)
	return h
}

// Listed discards the history after the store has been listed at a revision.
// Watches that start before that revision are refused from then on.
func (h *Hub) Listed(ctx context.Context, revision kvstore.Version) error {
	return h.messages.Push(ctx, message{update: &update{reset: true, revision: revision}})
}

// Changed adds the changes up to a revision to the history. A call without
// events still confirms that the platform's store has answered.
func (h *Hub) Changed(ctx context.Context, events []kvstore.Event, revision kvstore.Version) error {
	return h.messages.Push(ctx, message{update: &update{events: events, revision: revision}})
}

// Watch implements feedpb.FeedServer.
func (h *Hub) Watch(ctx context.Context, in *feedpb.WatchRequest) (*feedpb.WatchReply, error) {
	reply := make(chan *feedpb.WatchReply, 1)
	w := &pendingWatch{after: kvstore.Version(in.After), deadline: time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond), reply: reply}
	if h.messages.TryPush(message{watch: w}) != nil {
		return nil, status.Error(codes.ResourceExhausted, "too many readers wait")
	}
	select {
	case out := <-reply:
		if out == nil {
			return nil, status.Error(codes.Unavailable, "the feed does not know the changes")
		}
		return out, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

func (h *Hub) run(ctx context.Context) error {
	ticker := time.NewTicker(answerInterval)
	defer ticker.Stop()
	for {
		for m, ok := h.messages.TryPop(); ok; m, ok = h.messages.TryPop() {
			if m.update != nil {
				h.apply(*m.update, time.Now())
			} else {
				h.pending = append(h.pending, *m.watch)
			}
		}
		h.answerPending(time.Now())
		select {
		case <-h.messages.Ready():
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// apply adds an update to the history and drops the oldest events that exceed
// its bound.
func (h *Hub) apply(u update, now time.Time) {
	if u.reset {
		h.history, h.historyStart = nil, u.revision
	}
	h.history = append(h.history, u.events...)
	surplus := max(0, len(h.history)-maxHistoryEvents)
	size := 0
	for i := len(h.history) - 1; i >= surplus; i-- {
		if size += len(h.history[i].Value); size > maxHistoryBytes && i < len(h.history)-1 {
			surplus = i + 1
		}
	}
	if surplus > 0 {
		h.historyStart = h.history[surplus-1].Version
		h.history = slices.Clone(h.history[surplus:])
	}
	h.revision, h.confirmedAt = u.revision, now
}

// answerPending replies to the watches that have changes to return or whose
// deadline has passed, and refuses those that the hub cannot serve.
func (h *Hub) answerPending(now time.Time) {
	h.pending = slices.DeleteFunc(h.pending, func(w pendingWatch) bool {
		if h.confirmedAt.IsZero() || now.Sub(h.confirmedAt) > StaleAfter || w.after < h.historyStart {
			w.reply <- nil
			return true
		}
		if h.revision <= w.after && now.Before(w.deadline) {
			return false
		}
		w.reply <- h.replySince(w.after, now)
		return true
	})
}

// replySince returns the changes after a revision. The revision of the reply is
// never below the reader's, so that a reader that is ahead of the hub does not
// go back.
func (h *Hub) replySince(after kvstore.Version, now time.Time) *feedpb.WatchReply {
	out := &feedpb.WatchReply{Revision: uint64(max(after, h.revision)), AgeMs: now.Sub(h.confirmedAt).Milliseconds()}
	for _, e := range h.history {
		if e.Version > after {
			out.Events = append(out.Events, &feedpb.Event{
				Key: e.Key, Value: e.Value, Revision: uint64(e.Version), Lease: uint64(e.Lease), Deleted: e.Deleted,
			})
		}
	}
	return out
}
