// Package duty starts, names, measures and stops the long-lived goroutines of
// a node.
//
// A duty owns its state alone and exchanges messages with other duties over
// rings. The set of duties is fixed when the node starts.
package duty

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Group is the fixed set of duties of one node.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	log    *slog.Logger
	set    *metrics.Set

	wait sync.WaitGroup
}

// NewGroup returns an empty group. Its duties end when ctx ends or Stop is
// called. Metrics of its duties are registered in set.
func NewGroup(ctx context.Context, log *slog.Logger, set *metrics.Set) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, log: log, set: set}
}

// Go starts a duty. The function runs until its context ends; an error it
// returns before that is logged, because other duties then miss its work.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.wait.Go(func() {
		labels := pprof.Labels("duty", name)
		pprof.Do(g.ctx, labels, func(ctx context.Context) {
			err := run(ctx)
			if err != nil && ctx.Err() == nil {
				g.log.Error("duty: ended early", "duty", name, "error", err)
			}
		})
	})
}

// Stop ends all duties and waits for them.
func (g *Group) Stop() {
	g.cancel()
	g.wait.Wait()
}

// Depth registers a gauge with the number of items that wait in a ring of the
// named duty.
func (g *Group) Depth(duty, ring string, depth func() int) {
	g.Gauge(fmt.Sprintf(`dogwoodline_ring_depth{duty=%q,ring=%q}`, duty, ring), depth)
}

// Gauge registers a gauge. It replaces one of the same name, which an earlier
// group of the same process may have left.
func (g *Group) Gauge(name string, value func() int) {
	g.set.UnregisterMetric(name)
	g.set.NewGauge(name, func() float64 { return float64(value()) })
}

// Timer measures the time that a duty spends on each item.
type Timer struct {
	histogram *metrics.Histogram
}

// Timer returns the item timer of the named duty.
func (g *Group) Timer(duty string) Timer {
	name := fmt.Sprintf(`dogwoodline_duty_item_seconds{duty=%q}`, duty)
	return Timer{histogram: g.set.GetOrCreateHistogram(name)}
}

// Observe records the time since start.
func (t Timer) Observe(start time.Time) {
	t.histogram.UpdateDuration(start)
}
