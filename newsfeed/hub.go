// Package newsfeed passes the changes of the platform's store on from the few
// processes that watch it to the many that do not, because each watch is a
// call and the store's rates grow more slowly than the fleet.
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
	// hubSlots is the number of messages that may wait for the hub.
	hubSlots = 1024
	// mostEvents bounds the history; a reader that is further behind asks the
	// platform's store itself.
	mostEvents = 4096
	// StaleAfter is how old the last answer of the platform's store may be for
	// the hub to answer. It is two thirds of the time within which a host must
	// act on a change, so that a reader can still ask the store itself.
	StaleAfter = 2 * time.Second
	// answerEvery is how often the hub looks for waits that have ended.
	answerEvery = 50 * time.Millisecond
)

// Hub is the duty that keeps the newest changes and answers readers.
type Hub struct {
	feedpb.UnimplementedFeedServer

	messages *ring.Ring[message]

	// The fields below belong to the duty.
	history   []kvstore.Event
	from      kvstore.Version // all changes after it are in the history
	revision  kvstore.Version
	confirmed time.Time // when the platform's store last answered
	waiting   []ask
}

// message is an ask or news. Exactly one of its fields is set.
type message struct {
	ask  *ask
	news *news
}

type news struct {
	listed   bool // the history begins anew
	events   []kvstore.Event
	revision kvstore.Version
}

type ask struct {
	after kvstore.Version
	until time.Time
	reply chan<- *feedpb.WatchReply // one slot; nil when the hub cannot tell
}

// NewHub returns a hub whose duty runs in group.
func NewHub(group *duty.Group) *Hub {
	h := &Hub{messages: ring.New[message](hubSlots)}
	group.Go("news-hub", h.run)
	group.Depth("news-hub", "messages", h.messages.Len)
	return h
}

// Listed tells the hub that everything up to a revision is known elsewhere.
func (h *Hub) Listed(ctx context.Context, revision kvstore.Version) error {
	return h.messages.Push(ctx, message{news: &news{listed: true, revision: revision}})
}

// Changed tells the hub the changes up to a revision.
func (h *Hub) Changed(ctx context.Context, events []kvstore.Event, revision kvstore.Version) error {
	return h.messages.Push(ctx, message{news: &news{events: events, revision: revision}})
}

// Watch implements the protocol.
func (h *Hub) Watch(ctx context.Context, in *feedpb.WatchRequest) (*feedpb.WatchReply, error) {
	reply := make(chan *feedpb.WatchReply, 1)
	a := &ask{after: kvstore.Version(in.After), until: time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond), reply: reply}
	if h.messages.TryPush(message{ask: a}) != nil {
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
	ticker := time.NewTicker(answerEvery)
	defer ticker.Stop()
	for {
		for m, ok := h.messages.TryPop(); ok; m, ok = h.messages.TryPop() {
			if m.news != nil {
				h.learn(*m.news, time.Now())
			} else {
				h.waiting = append(h.waiting, *m.ask)
			}
		}
		h.answer(time.Now())
		select {
		case <-h.messages.Ready():
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (h *Hub) learn(n news, now time.Time) {
	if n.listed {
		h.history, h.from = nil, n.revision
	}
	h.history = append(h.history, n.events...)
	if surplus := len(h.history) - mostEvents; surplus > 0 {
		h.from = h.history[surplus-1].Version
		h.history = slices.Clone(h.history[surplus:])
	}
	h.revision, h.confirmed = n.revision, now
}

// answer replies to the readers for whom there is something, or whose wait has
// ended, or whom the hub cannot serve.
func (h *Hub) answer(now time.Time) {
	h.waiting = slices.DeleteFunc(h.waiting, func(a ask) bool {
		if h.confirmed.IsZero() || now.Sub(h.confirmed) > StaleAfter || a.after < h.from {
			a.reply <- nil
			return true
		}
		if h.revision <= a.after && now.Before(a.until) {
			return false
		}
		a.reply <- h.since(a.after, now)
		return true
	})
}

func (h *Hub) since(after kvstore.Version, now time.Time) *feedpb.WatchReply {
	out := &feedpb.WatchReply{Revision: uint64(max(after, h.revision)), AgeMs: now.Sub(h.confirmed).Milliseconds()}
	for _, e := range h.history {
		if e.Version > after {
			out.Events = append(out.Events, &feedpb.Event{
				Key: e.Key, Value: e.Value, Revision: uint64(e.Version), Lease: uint64(e.Lease), Deleted: e.Deleted,
			})
		}
	}
	return out
}
