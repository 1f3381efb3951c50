package fencedlog

import (
	"context"
	"time"

	"dogwoodline.example/ring"
)

// storeCalls is the duty that does the calls of the platform store, one at a
// time, so that the journal duty goes on with its rings while the store hangs.
type storeCalls struct {
	requests *ring.Ring[func()]
	done     *ring.Ring[struct{}]
	started  bool
}

func newStoreCalls() storeCalls {
	return storeCalls{requests: ring.New[func()](1), done: ring.New[struct{}](1)} // one call is outstanding
}

// run ends when the ring of requests is closed, so that every request is done.
// A call whose context has ended takes no time.
func (s *storeCalls) run(ctx context.Context) error {
	for {
		call, err := s.requests.Pop(context.WithoutCancel(ctx))
		if err != nil {
			return nil
		}
		call()
		_ = s.done.TryPush(struct{}{}) // empty, as one call is outstanding
	}
}

// call does one call of the store, bounded by CallTimeout, and serves the rings
// meanwhile. A fenced writer needs no answer any more and ends the call early.
func (w *Writer) call(ctx context.Context, do func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, w.settings.CallTimeout)
	defer cancel()
	if !w.calls.started { // Open is called before Run
		do(ctx)
		return
	}
	if err := w.calls.requests.TryPush(func() { do(ctx) }); err != nil {
		panic("journal: two store calls at a time: " + err.Error())
	}
	for {
		if _, ok := w.calls.done.TryPop(); ok {
			return
		}
		serve(ctx, w, w.calls.done.Ready(), nil)
		if w.fencedByHolder() != nil {
			cancel()
		}
	}
}

// serve takes appends into the tail and copies it to holders until done or stop
// is ready, or returns early when one of the rings was. It reports whether done
// was ready.
func serve[T any](ctx context.Context, w *Writer, done <-chan T, stop <-chan struct{}) bool {
	w.collect(ctx)
	var wake <-chan time.Time
	if at := w.stepCopies(ctx); !at.IsZero() {
		timer := w.clock.NewTimer(at.Sub(w.clock.Now()))
		defer timer.Stop()
		wake = timer.Chan()
	}
	ready := w.appends.Ready()
	if !w.roomInTail() {
		ready = nil
	}
	select {
	case <-ready:
	case <-w.copyResults():
	case <-wake:
	case <-stop:
	case <-done:
		return true
	}
	return false
}

// copyResults is ready when a message to holders was answered. It is nil
// without holders.
func (w *Writer) copyResults() <-chan struct{} {
	if w.copier == nil {
		return nil
	}
	return w.copier.results.Ready()
}
