package platformserver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Outage is the kind of an outage.
type Outage string

const (
	// OutageNone means that the platform answers.
	OutageNone Outage = ""
	// OutageRefuse closes connections without an answer. A server started
	// with Listen also closes its listener, so new connections are refused.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts calls and never answers them. They have no effect.
	OutageHang Outage = "hang"
)

// Faults are the switches for faults at run time, as in PUT /admin/faults.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMS is added to every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of coming writes that take effect and whose
	// answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// LoseProbability is the chance, 0 to 1, that the answer to a write that
	// took effect is lost.
	LoseProbability float64 `json:"lose_probability"`
}

// faults holds the switches. It has a lock because each connection reads it.
type faults struct {
	mu      sync.Mutex
	now     Faults
	random  *rand.Rand
	changed chan struct{} // closed and replaced at each change
}

func newFaults(seed uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

func (f *faults) set(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = next
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faults) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now, f.changed
}

// loseAnswer decides whether the answer to a write that took effect is lost.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.LoseAnswers > 0 {
		f.now.LoseAnswers--
		return true
	}
	return f.now.LoseProbability > 0 && f.random.Float64() < f.now.LoseProbability
}

// waitOutage returns false at once in a refusing outage, and false at the end
// of a hanging one. It returns true when there is no outage.
func (f *faults) waitOutage(ctx context.Context) bool {
	hung := false
	for {
		now, changed := f.get()
		switch now.Outage {
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

// untilOutage returns a context that ends when an outage begins.
func (f *faults) untilOutage(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			now, changed := f.get()
			if now.Outage != OutageNone {
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
	now, _ := f.get()
	return time.Duration(now.DelayMS) * time.Millisecond
}
