package soak

import (
	"context"

	"dogwoodline.example/ring"
	"dogwoodline.example/soak/check"
)

// recorderRingSize is the number of observations that can wait for the recorder.
const recorderRingSize = 4096

// observation is a function that adds to the history what a worker observed.
type observation func(*check.History)

// recorder is the worker that owns the history. Other workers pass it
// observations.
type recorder struct {
	inbox   *ring.Ring[observation]
	history check.History
}

func newRecorder() *recorder {
	return &recorder{inbox: ring.New[observation](recorderRingSize)}
}

// run applies observations to the history until ctx ends.
func (r *recorder) run(ctx context.Context) error {
	for {
		o, err := r.inbox.Pop(ctx)
		if err != nil {
			return err
		}
		o(&r.history)
	}
}

// add passes an observation to the recorder. It waits while the ring is full, so
// that no observation is lost.
func (r *recorder) add(o observation) {
	_ = r.inbox.Push(context.Background(), o) // fails only when the ring is closed
}

func (r *recorder) addCall(c check.Call) {
	r.add(func(h *check.History) { h.Calls = append(h.Calls, c) })
}

func (r *recorder) addFault(f check.Fault) {
	r.add(func(h *check.History) { h.Faults = append(h.Faults, f) })
}

// drain applies the observations that are still queued and returns the history.
// It must be called after run has returned.
func (r *recorder) drain() check.History {
	for {
		o, ok := r.inbox.TryPop()
		if !ok {
			return r.history
		}
		o(&r.history)
	}
}
