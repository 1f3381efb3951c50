package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"
)

// longHistory holds one conversation of 12 turns whose inputs are nearly as long as the
// configuration allows, one turn after the other. Without the disruption, the inputs are
// short.
func longHistory(d *deployment, trouble bool) (verdict, error) {
	if _, err := startModelServers(d, 7, 10*time.Millisecond, false); err != nil {
		return verdict{}, err
	}
	if err := d.configure(keptRoute, engineService); err != nil {
		return verdict{}, err
	}
	if err := d.startAll(2); err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	watch := watchMemory(ctx, d)
	size := 5_100
	if trouble {
		size = 4_100_000
	}
	client := newClient()
	defer client.CloseIdleConnections()
	previous, whole := "", 0
	for i := range 12 {
		id := fmt.Sprintf("long-%d", i)
		got := send(client, d.fronts()[0].front(), turn{id: id, path: keptPath, body: append(bytes.Repeat([]byte("x"), size), '\n'), previous: previous})
		d.log.line("caller: turn %s after %q with an input of %d bytes: %s; most memory so far in MB: %v", id, previous, size, got, watch.most())
		if got.status != http.StatusOK || !got.whole {
			time.Sleep(time.Second)
			continue
		}
		whole++
		previous = id
		time.Sleep(300 * time.Millisecond)
	}
	cancel()
	watch.wg.Wait()
	over := watch.exceeded()
	return verdict{
		broken: len(over) > 0,
		text: fmt.Sprintf("processes that held more than their memory (stores %d MB, fronts %d MB): %v; most in MB: %v; turns answered whole: %d of 12",
			storeMemoryMB, frontMemoryMB, over, watch.most(), whole),
	}, nil
}
