package platformserver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Outage is a kind of platform outage.
type Outage string

const (
	// OutageNone means that there is no outage.
	OutageNone Outage = ""
	// OutageRefuse closes connections without a response. A server started
	// with Listen also closes its listener, so that new connections are
	// refused.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts calls but never responds to them. They have no
	// effect.
	OutageHang Outage = "hang"
)

// Faults holds the faults to inject, as in PUT /admin/faults.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMS is a delay in milliseconds that is added to every call.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of next successful writes whose response is
	// lost.
	LoseAnswers int `json:"lose_answers"`
	// LoseProbability is the probability, 0 to 1, that the response to any
	// other successful write is lost.
	LoseProbability float64 `json:"lose_probability"`
}

// faults holds the current Faults. It has a lock because the goroutines of all
// connections read it.
type faults struct {
	mu      sync.Mutex
	current Faults
	random  *rand.Rand
	changed chan struct{} // closed and replaced at each change
}

func newFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

func (f *faults) set(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
	close(f.changed)
	f.changed = make(chan struct{})
}

// get returns the current faults and a channel that is closed when they change.
func (f *faults) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// loseAnswer decides whether the response to a successful write is lost.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseAnswers > 0 {
		f.current.LoseAnswers--
		return true
	}
	return f.current.LoseProbability > 0 && f.random.Float64() < f.current.LoseProbability
}

// waitOutage reports whether a call may proceed. It returns true if there is no
// outage, false immediately in an OutageRefuse, and false after an OutageHang has
// ended or ctx is done.
func (f *faults) waitOutage(ctx context.Context) bool {
	hung := false
	for {
		current, changed := f.get()
		switch current.Outage {
		case OutageNone:
			return !hung
		case OutageRefuse:
			return false
		case OutageHang:
		}
		hung = true
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// untilOutage returns a context that is cancelled when an outage begins.
func (f *faults) untilOutage(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			current, changed := f.get()
			if current.Outage != OutageNone {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

func (f *faults) delay() time.Duration {
	current, _ := f.get()
	return time.Duration(current.DelayMS) * time.Millisecond
}
