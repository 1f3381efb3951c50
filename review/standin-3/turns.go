package main

import (
	"context"
	"net/http"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

// turnTimeout is the time that a client has for a turn.
const turnTimeout = 3 * time.Second

const turnsConfig = `{"Version":3,"Routes":[
	{"Name":"turns","Host":"site.example","PathPrefix":"/turns/","Kind":"streaming","TimeoutMs":3000,"GoalMs":250,"GapAimMs":300,"Priority":1,"Service":"llm","Attempts":1,"Retain":true,"RetentionS":60}],
	"Services":[{"Name":"llm","HealthPath":"/health","MaxConns":150,"Engine":{"Slots":12,"KvCapacity":164954,"TokensPerEvent":5,"Models":[{"Name":"m"}]}}],
	"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

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

// turn sends a turn and reports whether it was answered whole with success.
func (d *deployment) turn(ctx context.Context, request usersplatform.Request, front string) bool {
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	status, body, err := usersplatform.Send(ctx, d.front(front), usersplatform.SiteHost, "/turns/x", request)
	d.record.line("%s, previous %q, at %s: %d, %d bytes, %v", request.ID, request.Previous, front, status, len(body), err)
	return err == nil && status == http.StatusOK
}
