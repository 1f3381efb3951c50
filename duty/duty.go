// Package duty starts, names, measures and stops the long-lived worker
// goroutines of a process.
//
// The label "duty" of metrics, profiles and log lines carries the name of such
// a worker. A worker alone uses its state and exchanges messages with others
// over rings, which are bounded queues. The set of workers is fixed when the
// process, or the component that owns the group, starts.
package duty

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"runtime/pprof"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Group is a set of workers that are stopped together.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	log    *slog.Logger
	set    *metrics.Set

	wg sync.WaitGroup

	mu      sync.Mutex
	running map[string]int // workers that have not returned, by name
}

// NewGroup returns an empty group. The context of its workers ends when ctx
// ends or Stop is called. Their metrics are registered in set.
func NewGroup(ctx context.Context, log *slog.Logger, set *metrics.Set) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, log: log, set: set, running: map[string]int{}}
}

// Go starts run as a worker with the given name. It is expected to run until
// its context ends. An error that it returns before that is logged, because
// nothing restarts the worker and others depend on it.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.count(name, 1)
	g.wg.Go(func() {
		defer g.count(name, -1)
		labels := pprof.Labels("duty", name)
		pprof.Do(g.ctx, labels, func(ctx context.Context) {
			err := run(ctx)
			if err != nil && ctx.Err() == nil {
				g.log.Error("duty: ended early", "duty", name, "error", err)
			}
		})
	})
}

func (g *Group) count(name string, change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[name] += change; g.running[name] == 0 {
		delete(g.running, name)
	}
}

// Running returns the names of the workers that have not returned, in order.
func (g *Group) Running() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.running))
}

// Stop cancels the context of all workers and waits until they have returned.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}

// RegisterRingDepth registers a gauge for the number of items queued in a ring of the named
// worker. The gauge calls depth each time the metrics are read.
func (g *Group) RegisterRingDepth(duty, ring string, depth func() int) {
	g.RegisterGauge(fmt.Sprintf(`dogwoodline_ring_depth{duty=%q,ring=%q}`, duty, ring), depth)
}

// RegisterGauge registers a gauge that calls value each time the metrics are read. It
// replaces a gauge of the same name, which an earlier group of the same process
// may have left in the set.
func (g *Group) RegisterGauge(name string, value func() int) {
	g.set.UnregisterMetric(name)
	g.set.NewGauge(name, func() float64 { return float64(value()) })
}

// Timer records the time that a worker spends on each item in a histogram.
type Timer struct {
	histogram *metrics.Histogram
}

// Timer returns the item timer of the named worker.
func (g *Group) Timer(duty string) Timer {
	name := fmt.Sprintf(`dogwoodline_duty_item_seconds{duty=%q}`, duty)
	return Timer{histogram: g.set.GetOrCreateHistogram(name)}
}

// Observe records the time since start as the time spent on one item.
func (t Timer) Observe(start time.Time) {
	t.histogram.UpdateDuration(start)
}
