package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeMemory has one client send turns with long request ids, over eight connections. The
// heads stay within the limit of the configuration. Without the disruption, the ids are
// short.
func storeMemory(d *deployment, trouble bool) (verdict, error) {
	servers, err := startModelServers(d, 2, 2*time.Millisecond, true)
	if err == nil {
		err = d.configure(keptRoute, engineService)
	}
	if err == nil {
		err = d.startAll(2)
	}
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	watch := watchMemory(ctx, d)
	fill := ""
	if trouble {
		fill = strings.Repeat("f", 14_000)
	}
	var sent, whole atomic.Int64
	var wg sync.WaitGroup
	fronts := d.fronts()
	for lane := range 16 {
		wg.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil && i < 500; i++ {
				id := fmt.Sprintf("%d-%d-%s", lane, i, fill)
				got := send(client, fronts[lane%len(fronts)].front(), turn{
					id: id, path: keptPath, body: []byte("hello\n"), ctx: ctx, program: fmt.Sprintf("p-%d-%d", lane, i), budget: 1000,
				})
				sent.Add(1)
				if got.whole && got.status == 200 {
					whole.Add(1)
				} else if ctx.Err() == nil {
					d.log.line("client: %s: %s", shorten(id), got)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(80 * time.Second):
	}
	d.log.line("%d turns sent, %d answered whole; most memory in MB: %v", sent.Load(), whole.Load(), watch.most())
	cancel()
	wg.Wait()
	watch.wg.Wait()
	ran := 0
	for _, s := range servers {
		ran += s.total()
	}
	over := watch.exceeded()
	return verdict{
		broken: len(over) > 0,
		text: fmt.Sprintf("processes that held more than their memory (stores %d MB, fronts %d MB): %v; most in MB: %v; turns sent %d, run %d, answered whole %d",
			storeMemoryMB, frontMemoryMB, over, watch.most(), sent.Load(), ran, whole.Load()),
	}, nil
}
