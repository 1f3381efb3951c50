package fencedlog

import (
	"context"
	"time"

	"dogwoodline.example/ring"
)

// storeCalls makes the calls to the platform store in a separate duty, one at a
// time, so that the writer can serve its rings while the store does not answer.
type storeCalls struct {
	requests *ring.Ring[func()]
	done     *ring.Ring[struct{}]
	started  bool
}

func newStoreCalls() storeCalls {
	return storeCalls{requests: ring.New[func()](1), done: ring.New[struct{}](1)} // at most one call is outstanding
}

// run makes the requested calls until the ring of requests is closed. It does
// not end with ctx, so that every request is answered; a call whose own context
// has ended returns at once.
func (s *storeCalls) run(ctx context.Context) error {
	for {
		call, err := s.requests.Pop(context.WithoutCancel(ctx))
		if err != nil {
			return nil
		}
		call()
		_ = s.done.TryPush(struct{}{}) // has room, because at most one call is outstanding
	}
}

// callStore makes one call to the store, bounded by CallTimeout, and meanwhile
// accepts appends and copies the tail to holders. If a holder fences the writer,
// callStore cancels the call, because its answer is not needed any more.
func (w *Writer) callStore(ctx context.Context, do func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, w.settings.CallTimeout)
	defer cancel()
	if !w.calls.started { // in Open, if it is called before Run
		do(ctx)
		return
	}
	if err := w.calls.requests.TryPush(func() { do(ctx) }); err != nil {
		panic("journal: concurrent store calls: " + err.Error())
	}
	for {
		if _, ok := w.calls.done.TryPop(); ok {
			return
		}
		serveUntil(ctx, w, w.calls.done.Ready(), nil)
		if w.fencedByHolder() != nil {
			cancel()
		}
	}
}

// serveUntil accepts appends and copies the tail to holders, then waits until
// done, stop, one of the rings or the next step of the copies is ready. It
// reports whether done was ready; otherwise the caller has to call it again.
func serveUntil[T any](ctx context.Context, w *Writer, done <-chan T, stop <-chan struct{}) bool {
	w.collectAppends(ctx)
	var wake <-chan time.Time
	if at := w.stepCopies(ctx); !at.IsZero() {
		timer := w.clock.NewTimer(at.Sub(w.clock.Now()))
		defer timer.Stop()
		wake = timer.Chan()
	}
	ready := w.appends.Ready()
	if !w.tailHasRoom() {
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

// copyResults returns the channel that is ready when the result of a message to
// holders is available. It is nil if EnableCopies was not called.
func (w *Writer) copyResults() <-chan struct{} {
	if w.copier == nil {
		return nil
	}
	return w.copier.results.Ready()
}
