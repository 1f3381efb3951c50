package soak

import (
	"context"

	"dogwoodline.example/ring"
	"dogwoodline.example/soak/check"
)

// recordSlots is the number of observations that wait for the recorder.
const recordSlots = 4096

// observation adds what a duty saw to the history.
type observation func(*check.History)

// recorder is the duty that owns the history.
type recorder struct {
	inbox   *ring.Ring[observation]
	history check.History
}

func newRecorder() *recorder {
	return &recorder{inbox: ring.New[observation](recordSlots)}
}

// run takes observations until ctx ends.
func (r *recorder) run(ctx context.Context) error {
	for {
		o, err := r.inbox.Pop(ctx)
		if err != nil {
			return err
		}
		o(&r.history)
	}
}

// add passes an observation on. It waits while the ring is full, so that none
// is lost.
func (r *recorder) add(o observation) {
	_ = r.inbox.Push(context.Background(), o) // fails only when the ring is closed
}

func (r *recorder) call(c check.Call) {
	r.add(func(h *check.History) { h.Calls = append(h.Calls, c) })
}

func (r *recorder) fault(f check.Fault) {
	r.add(func(h *check.History) { h.Faults = append(h.Faults, f) })
}

// take returns the history after the duty has ended.
func (r *recorder) take() check.History {
	for {
		o, ok := r.inbox.TryPop()
		if !ok {
			return r.history
		}
		o(&r.history)
	}
}
