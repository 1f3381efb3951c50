package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// misstatedEvery is the pause between the requests of the client at one front.
	misstatedEvery = time.Second
	// misstatedFor is how long it sends them, of which the first part does not count.
	misstatedFor   = 30 * time.Second
	misstatedSince = 3 * time.Second
	// statedTokens is the length of a part of a prompt that the client states.
	statedTokens = 1_000_000_000_000_000
)

// misstatedTokens has a client state a far too long prompt in one request a second at each
// front, while ordinary callers hold conversations and read. Without the disruption, it
// states a usual length.
func misstatedTokens(d *deployment, trouble bool) (verdict, error) {
	_, err := startModelServers(d, 7, 30*time.Millisecond, false)
	if err == nil {
		err = startReadServers(d)
	}
	if err == nil {
		err = d.configure(keptRoute+","+readRoute, engineService+","+workService)
	}
	if err == nil {
		err = d.startAll(2)
	}
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	ordinary, readers := &callers{log: d.log}, &callers{log: d.log}
	ordinary.start(ctx, d.fronts(), 16, 2, 20*time.Millisecond)
	readers.startReaders(ctx, d.fronts(), 6)
	time.Sleep(4 * time.Second)

	tokens := 1030
	if trouble {
		tokens = statedTokens
	}
	begun := time.Now()
	var wg sync.WaitGroup
	for _, front := range d.fronts() {
		wg.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			for i := 0; time.Since(begun) < misstatedFor; i++ {
				id := fmt.Sprintf("41d07be2-%s-%d", front.name, i)
				got := send(client, front.front(), turn{id: id, path: keptPath, body: []byte("hello\n"), parts: fmt.Sprintf("5c1e07a2:2560,91bd3f06:%d", tokens)})
				d.log.line("client without control: %s at %s, %d tokens stated: %s", id, front.name, tokens, got)
				sleep(ctx, misstatedEvery)
			}
		})
	}
	wg.Wait()
	cancel()
	turns := sentBetween(ordinary.wait(), begun.Add(misstatedSince), begun.Add(misstatedFor))
	reads := sentBetween(readers.wait(), begun.Add(misstatedSince), begun.Add(misstatedFor))
	turnShare, allShare := servedShare(turns), servedShare(append(reads, turns...))
	return verdict{
		broken: turnShare < allShare/4,
		text: fmt.Sprintf("turns of ordinary callers %v, served %.3f; their reads %v; all their requests served %.3f; programs refused in all of %d tries: %d",
			summary(turns), turnShare, summary(reads), allShare, maxTries, len(ordinary.refused)),
	}, nil
}
