package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// poisonedBatch has a client send streams whose ids have a byte that is no UTF-8, four at a
// time at each front, while ordinary callers hold conversations. Without the disruption,
// the ids are ASCII.
func poisonedBatch(d *deployment, trouble bool) (verdict, error) {
	_, err := startModelServers(d, 14, 7, 30*time.Millisecond, false)
	if err == nil {
		err = startReadServers(d)
	}
	if err == nil {
		err = d.configure(7, keptRoute+","+resumableRoute+","+readRoute, engineService+","+workService)
	}
	if err == nil {
		err = d.startAll(2)
	}
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	ordinary := &callers{log: d.log}
	ordinary.start(ctx, d.fronts(), 8, 3, 20*time.Millisecond)
	readers := &callers{log: d.log}
	for _, front := range d.fronts() {
		for number := range 6 {
			readers.wg.Go(func() { readers.read(ctx, front, number) })
		}
	}
	time.Sleep(5 * time.Second)
	var sent atomic.Int64
	var wg sync.WaitGroup
	for _, front := range d.fronts() {
		for lane := range 4 {
			wg.Go(func() {
				client := newClient()
				defer client.CloseIdleConnections()
				for i := 0; ctx.Err() == nil; i++ {
					id := fmt.Sprintf("e5b2907c-%s-%d-%d", front.name, lane, i)
					if trouble {
						id += "\xff"
					}
					got := send(client, front.front(), turn{id: id, path: resumablePath, body: []byte("hello\n"), ctx: ctx})
					sent.Add(1)
					d.log.line("client without control: %s at %s: %s", shorten(id), front.name, got)
					sleep(ctx, 20*time.Millisecond)
				}
			})
		}
	}
	time.Sleep(20 * time.Second)
	cancel()
	wg.Wait()
	since := d.log.started.Add(disruptedFrom)
	turns, reads := ordinary.since(since), readers.since(since)
	turnShare, allShare := servedShare(turns), servedShare(append(reads, turns...))
	return verdict{
		broken: turnShare < allShare/4,
		text: fmt.Sprintf("turns of ordinary callers: %v, served %.3f; their reads: %v; all their requests served %.3f; turns refused in all of %d tries: %d; requests of the other client %d",
			summary(turns), turnShare, summary(reads), allShare, maxTries, len(ordinary.refused), sent.Load()),
	}, nil
}

// disruptedFrom is when the answers begin to count, since the start of the case.
const disruptedFrom = 8 * time.Second

// servedShare returns the share of requests that were answered whole with success.
func servedShare(results []result) float64 {
	served := 0
	for _, r := range results {
		if r.answer.status == http.StatusOK && r.answer.whole {
			served++
		}
	}
	return float64(served) / float64(max(1, len(results)))
}
