package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// storeMemoryMB is the machine of a store in the deployment satamavirta-prod.
	storeMemoryMB = 144
	// longIDBytes is the length of the ids; a head may have 16,384 bytes. longIDClients is how
	// many requests are under way at a time.
	longIDBytes, longIDClients = 14_000, 16
	longIDSpan                 = 60 * time.Second
	// ordinaryTurnInterval is the time from one turn of an ordinary caller to the next.
	ordinaryTurnInterval = 250 * time.Millisecond
)

// longIDs has one client that the users don't control send turns with long ids. Ordinary
// callers go on.
func longIDs(s setup) error {
	d, err := newDeployment(s.binary, s.folder, usersplatform.Host{MemoryMB: storeMemoryMB, MaxFDs: 8200, ConfigMs: 2000}, s.record)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	fronts := []string{"front-1", "front-2"}
	if err := d.startTurns(ctx, fronts...); err != nil {
		return err
	}
	span, stopSpan := context.WithTimeout(ctx, longIDSpan)
	defer stopSpan()
	var served, failed, long atomic.Int64
	var clients sync.WaitGroup
	for i := range longIDClients {
		clients.Go(func() {
			for n := 0; span.Err() == nil; n++ {
				id := fmt.Sprintf("long-%d-%d-", i, n)
				if s.trouble {
					id += strings.Repeat("i", longIDBytes-len(id))
				}
				status, _, err := usersplatform.Send(span, d.front(fronts[i%2]), usersplatform.SiteHost, "/turns/x", usersplatform.Request{ID: id, Body: "text", Turn: true})
				if err != nil || status != 200 {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				long.Add(1)
			}
		})
	}
	clients.Go(func() {
		for n := 0; span.Err() == nil; n++ {
			id := fmt.Sprintf("ordinary-%d", n)
			if d.turn(ctx, usersplatform.Request{ID: id, Body: "text", Turn: true, Program: "p-" + id, Budget: 500}, fronts[n%2]) {
				served.Add(1)
			} else {
				failed.Add(1)
			}
			time.Sleep(ordinaryTurnInterval)
		}
	})
	peaks, killed := map[string]float64{}, map[string]bool{}
	for n := 0; span.Err() == nil; n++ {
		for _, name := range d.order {
			used, tooMuch := d.enforceMemory(name, storeMemoryMB)
			peaks[name], killed[name] = max(peaks[name], used), killed[name] || tooMuch
		}
		if n%50 == 0 {
			s.record.line("memory at the most so far: %v; turns with long ids: %d; ordinary turns: %d served, %d not", peaks, long.Load(), served.Load(), failed.Load())
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	count := 0
	for _, name := range d.order {
		if killed[name] {
			count++
		}
		s.record.say("%s may use %d MB and used %.1f MB at its peak", name, storeMemoryMB, peaks[name])
	}
	s.record.say("%d of %d processes exceeded their memory and were killed; ordinary turns: %d served, %d not", count, len(d.order), served.Load(), failed.Load())
	if count > 0 {
		return errBroken
	}
	return nil
}
