package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// foreignBytes sends one request whose id has a byte that is no UTF-8 to one front after
// the other, while ordinary callers hold conversations. Without the disruption, the id is
// ASCII.
func foreignBytes(d *deployment, trouble bool) (verdict, error) {
	servers, err := startModelServers(d, 14, 7, 30*time.Millisecond, false)
	if err == nil {
		err = d.configure(7, keptRoute+","+bothRoute, engineService)
	}
	if err == nil {
		err = d.startAll(3)
	}
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	ordinary := &callers{log: d.log}
	ordinary.start(ctx, d.fronts(), 8, 3, 20*time.Millisecond)
	time.Sleep(4 * time.Second)
	for i, front := range d.fronts() {
		id := fmt.Sprintf("9c41d07be2a35f6%d", i)
		if trouble {
			id = "9c41d07be2a35f\xff" + fmt.Sprint(i)
		}
		client := newClient()
		got := send(client, front.front(), turn{id: id, path: bothPath, body: []byte("hello\n")})
		client.CloseIdleConnections()
		d.log.line("client without control: %s at %s: %s", shorten(id), front.name, got)
		time.Sleep(4 * time.Second)
	}
	cancel()
	results := ordinary.wait()
	var ended []string
	for _, n := range d.nodes {
		if n.endsOfItsOwn() > 0 {
			ended = append(ended, n.name)
			for _, line := range n.panicLines() {
				d.log.line("%s: %s", n.name, line)
			}
		}
	}
	lost := 0
	for _, r := range results {
		if !r.answer.whole && ranAt(servers, r.turn.id) > 0 && !strings.Contains(fmt.Sprint(r.answer.err), "context") {
			lost++
			d.log.line("lost: %s was sent to %s on a kept connection, has run, and was ended without a complete answer", shorten(r.turn.id), r.front)
		}
	}
	return verdict{
		broken: len(ended) > 0 || lost > 3,
		text:   fmt.Sprintf("processes that ended by themselves: %v; requests of ordinary callers that ran and were closed without a complete answer: %d; their answers: %v", ended, lost, summary(results)),
	}, nil
}
