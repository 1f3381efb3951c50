package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// retireS is the time of an order to empty a store.
	retireS, retireTime = 8.6, 8600 * time.Millisecond
	// betweenRetirements is the pause after a store was taken away.
	betweenRetirements = 6 * time.Second
	// successorDelay is the time from the loss of a store to the start of its successor.
	successorDelay = time.Second
	// calm is above CatchUpS and ContactMs, and recovery is above RecoveryS.
	calm, recovery = 10 * time.Second, 15 * time.Second
	// ordinaryTurnCount is how many turns ordinary callers send at a time.
	ordinaryTurnCount = 30
)

// deadMember has two stores retired, and then a third one replaced. Then the fourth one loses
// its disk.
func deadMember(s setup) error {
	d, err := newDeployment(s.binary, s.folder, usersplatform.Host{MemoryMB: 284, MaxFDs: 8200, ConfigMs: 2000}, s.record)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	if err := d.startTurns(ctx, "front-1", "front-2"); err != nil {
		return err
	}
	if before := d.ordinaryTurns(ctx, "before"); before < ordinaryTurnCount {
		return fmt.Errorf("only %d of %d turns were served before", before, ordinaryTurnCount)
	}
	for _, name := range []string{"store-1", "store-2"} {
		if err := d.retire(ctx, name); err != nil {
			return err
		}
		time.Sleep(betweenRetirements)
	}
	if s.trouble {
		d.kill("store-3") // for good
		time.Sleep(successorDelay)
		if err := d.start("store-5"); err != nil {
			return err
		}
	}
	time.Sleep(calm)
	between := d.ordinaryTurns(ctx, "between")
	d.kill("store-4")
	if err := os.RemoveAll(filepath.Join(s.folder, "store-4")); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := d.start("store-4"); err != nil {
		return err
	}
	time.Sleep(recovery)
	after := d.ordinaryTurns(ctx, "after")
	s.record.say("turns of ordinary callers: %d of %d served before the lost disk, %d of %d afterwards", between, ordinaryTurnCount, after, ordinaryTurnCount)
	if between < ordinaryTurnCount/4 {
		return errors.New("too few turns were served before the fault")
	}
	if after < ordinaryTurnCount/4 {
		return errBroken
	}
	return nil
}

// retire orders a store to be emptied, and takes it away when it reports that it is empty.
func (d *deployment) retire(ctx context.Context, name string) error {
	if err := d.store.Put(ctx, "op/retire/"+name, map[string]any{"DurationS": retireS}); err != nil {
		return err
	}
	d.record.line("%s is to be emptied", name)
	for end := time.Now().Add(2 * retireTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		item, err := d.store.Get(ctx, "status/retire/"+name)
		if err == nil && strings.Contains(string(item.Value), "completed") {
			d.record.line("%s is empty and is taken away", name)
			d.kill(name)
			return nil
		}
	}
	return fmt.Errorf("%s was not emptied", name)
}

// ordinaryTurns sends first turns of programs, each up to three times, and returns how many were
// served.
func (d *deployment) ordinaryTurns(ctx context.Context, name string) int {
	served := 0
	for i := range ordinaryTurnCount {
		for try := range 3 {
			id := fmt.Sprintf("%s-%d-%d", name, i, try)
			request := usersplatform.Request{ID: id, Method: http.MethodPost, Body: "text", Turn: true, Program: "p-" + id, Budget: 500}
			if d.turn(ctx, request, []string{"front-1", "front-2"}[(i+try)%2]) {
				served++
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return served
}
