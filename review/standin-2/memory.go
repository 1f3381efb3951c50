package main

import (
	"context"
	"sync"
	"time"
)

// memoryWatch notes the most memory that each node has held.
type memoryWatch struct {
	d  *deployment
	wg sync.WaitGroup

	mu        sync.Mutex
	anonymous map[string]float64
	over      map[string]time.Duration // since the start of the case, when it first exceeded its memory
}

// watchMemory looks at the memory of all nodes until ctx ends.
func watchMemory(ctx context.Context, d *deployment) *memoryWatch {
	w := &memoryWatch{d: d, anonymous: map[string]float64{}, over: map[string]time.Duration{}}
	w.wg.Go(func() {
		for ctx.Err() == nil {
			w.look()
			sleep(ctx, 50*time.Millisecond)
		}
	})
	return w
}

func (w *memoryWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.d.nodes {
		anonymous, resident := n.anonymousMB()
		w.anonymous[n.name] = max(w.anonymous[n.name], anonymous)
		if _, known := w.over[n.name]; !known && anonymous > float64(n.memoryMB) {
			w.over[n.name] = time.Since(w.d.log.started)
			w.d.log.line("%s holds %.0f MB that no file backs (%.0f MB resident), its memory is %d MB", n.name, anonymous, resident, n.memoryMB)
		}
	}
}

// most returns the most that each node has held, in MB.
func (w *memoryWatch) most() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	rounded := map[string]int{}
	for name, value := range w.anonymous {
		rounded[name] = int(value)
	}
	return rounded
}

// exceeded returns the names of the nodes that have held more than their memory.
func (w *memoryWatch) exceeded() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for _, n := range w.d.nodes {
		if _, over := w.over[n.name]; over {
			names = append(names, n.name)
		}
	}
	return names
}
