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
	// conversationBytes is the text of the turn that many turns continue. It fits into the
	// memory of one engine of satamavirta-prod, 164,954 tokens, with four bytes a token.
	conversationBytes = 600_000
	// branches is how many turns continue it at the same time.
	branches = 100
	fanSpan  = 15 * time.Second
)

// fanOut has one client continue a long turn with many turns at once.
func fanOut(s setup) error {
	d, err := newDeployment(s.binary, s.folder, usersplatform.Host{MemoryMB: frontMemoryMB, MaxFDs: frontDescriptors, ConfigMs: 2000}, s.record)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	if err := d.startTurns(ctx, "front-1"); err != nil {
		return err
	}
	if !d.turn(ctx, usersplatform.Request{ID: "long", Body: strings.Repeat("long text ", conversationBytes/10), Turn: true}, "front-1") {
		return fmt.Errorf("the first turn was not served")
	}
	peaks, broken := map[string]float64{}, false
	var served atomic.Int64
	var sent sync.WaitGroup
	count := branches
	if !s.trouble {
		count = 2
	}
	begun := time.Now()
	for n := 0; time.Since(begun) < fanSpan; n++ {
		if n == 10 || n == 60 {
			for i := range count {
				sent.Go(func() {
					if d.turn(ctx, usersplatform.Request{ID: fmt.Sprintf("branch-%d-%d", n, i), Previous: "long", Body: "go on", Turn: true}, "front-1") {
						served.Add(1)
					}
				})
			}
		}
		for _, name := range d.order {
			now, killed := d.enforceMemory(name, frontMemoryMB)
			peaks[name], broken = max(peaks[name], now), broken || killed
		}
		time.Sleep(20 * time.Millisecond)
	}
	sent.Wait()
	for _, name := range d.order {
		s.record.say("%s may use %d MB and used %.1f MB at its peak, runs: %t", name, frontMemoryMB, peaks[name], d.alive(name))
	}
	s.record.say("%d of the branches were served", served.Load())
	if broken {
		return errBroken
	}
	return nil
}

// startTurns starts four stores, the given fronts, and two servers of turns.
func (d *deployment) startTurns(ctx context.Context, fronts ...string) error {
	for _, id := range []string{"i-1", "i-2"} {
		address, err := serve(&usersplatform.Backend{ID: id, Events: 5})
		if err != nil {
			return err
		}
		if err := d.store.Put(ctx, "servers/"+id, map[string]any{"Service": "llm", "Version": "v1", "Address": address, "Zone": "a", "Slots": 12, "State": "ready"}); err != nil {
			return err
		}
	}
	if err := d.store.Put(ctx, "op/config", rawJSON(turnsConfig)); err != nil {
		return err
	}
	for _, name := range append([]string{"store-1", "store-2", "store-3", "store-4"}, fronts...) {
		if err := d.start(name); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all stores have joined
	return nil
}
