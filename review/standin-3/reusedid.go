package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// reusedIDs is how many ids the client uses twice for each store that is restarted.
	reusedIDs = 40
	// reuseSpan is how long it repeats the second use after a store was started.
	reuseSpan = 4 * time.Second
	// calmSpan is above ContactMs and CatchUpS of the small deployments.
	calmSpan = 8 * time.Second
	// calmTurns is how many turns ordinary callers send then.
	calmTurns   = 40
	turnTimeout = 3 * time.Second
)

const turnsConfig = `{"Version":3,"Routes":[
	{"Name":"turns","Host":"site.example","PathPrefix":"/turns/","Kind":"streaming","TimeoutMs":3000,"GoalMs":250,"GapAimMs":300,"Priority":1,"Service":"llm","Attempts":1,"Retain":true,"RetentionS":60}],
	"Services":[{"Name":"llm","HealthPath":"/health","MaxConns":150,"Engine":{"Slots":12,"KvCapacity":164954,"TokensPerEvent":5,"Models":[{"Name":"m"}]}}],
	"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// reusedID has a client that the users don't control send a second request with the id of
// its first one, as the turn that the second one continues, while two stores are
// restarted one after the other.
func reusedID(s setup) error {
	d, err := newDeployment(s.binary, s.folder, usersplatform.Host{MemoryMB: 144, MaxFDs: 8200, ConfigMs: 2000}, s.record)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	if err := d.startTurns(ctx, "front-1", "front-2"); err != nil {
		return err
	}
	before := d.ordinaryTurns(ctx, "before")
	if before < calmTurns {
		return fmt.Errorf("only %d of %d turns were served before", before, calmTurns)
	}
	for _, store := range []string{"store-4", "store-3"} {
		d.kill(store)
		if s.trouble {
			d.reuse(ctx, store, "", reusedIDs)
		}
		time.Sleep(500 * time.Millisecond)
		if err := d.start(store); err != nil {
			return err
		}
		for end := time.Now().Add(reuseSpan); time.Now().Before(end); {
			if s.trouble {
				d.reuse(ctx, store, store, reusedIDs)
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(calmSpan)
	}
	after := d.ordinaryTurns(ctx, "after")
	for _, name := range d.order {
		s.record.line("%s runs: %t", name, d.alive(name))
	}
	s.record.say("turns of ordinary callers: %d of %d served before, %d of %d in calm afterwards", before, calmTurns, after, calmTurns)
	if after < calmTurns/4 {
		return errBroken
	}
	return nil
}

// reuse sends requests with ids that begin with the name of a store. With a text in
// second they name the turn with their own id as the one before.
func (d *deployment) reuse(ctx context.Context, store, second string, count int) {
	var sent sync.WaitGroup
	for i := range count {
		sent.Go(func() {
			id := fmt.Sprintf("reused-%s-%d", store, i)
			request := usersplatform.Request{ID: id, Body: "text", Turn: true}
			if second != "" {
				request.Previous = id
			}
			d.turn(ctx, request, "front-1")
		})
	}
	sent.Wait()
}

// turn sends a turn and reports whether it was answered whole with success.
func (d *deployment) turn(ctx context.Context, request usersplatform.Request, front string) bool {
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	status, body, err := usersplatform.Send(ctx, d.front(front), usersplatform.SiteHost, "/turns/x", request)
	d.record.line("%s, previous %q, at %s: %d, %d bytes, %v", request.ID, request.Previous, front, status, len(body), err)
	return err == nil && status == http.StatusOK
}

// ordinaryTurns sends turns of ordinary callers, each of which tries again within its
// time, and returns how many were served.
func (d *deployment) ordinaryTurns(ctx context.Context, name string) int {
	served := 0
	for i := range calmTurns {
		for try := range 3 {
			id := fmt.Sprintf("%s-%d-%d", name, i, try)
			if d.turn(ctx, usersplatform.Request{ID: id, Body: "text", Turn: true, Program: "p-" + id, Budget: 500}, []string{"front-1", "front-2"}[(i+try)%2]) {
				served++
				break
			}
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return served
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return served
}
