package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// streamsAtOnce is how many streams with foreign bytes the client has under way at each front.
	streamsAtOnce = 4
	// streamsFor is how long it sends them, of which the first part does not count.
	streamsFor   = 14 * time.Second
	streamsSince = 3 * time.Second
)

// foreignBytes has a client send requests whose ids have a byte that is no UTF-8, while
// ordinary callers hold conversations and read: first streams on a route that may be resumed,
// then one request to each front on a route whose turns are kept besides. Without the
// disruption, the ids are ASCII.
func foreignBytes(d *deployment, trouble bool) (verdict, error) {
	servers, err := startModelServers(d, 7, 30*time.Millisecond, false)
	if err == nil {
		err = startReadServers(d)
	}
	if err == nil {
		err = d.configure(keptRoute+","+resumableRoute+","+bothRoute+","+readRoute, engineService+","+workService)
	}
	if err == nil {
		err = d.startAll(3)
	}
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	ordinary, readers := &callers{log: d.log}, &callers{log: d.log}
	ordinary.start(ctx, d.fronts(), 8, 3, 20*time.Millisecond)
	readers.startReaders(ctx, d.fronts(), 6)
	time.Sleep(4 * time.Second)

	begun := time.Now()
	sendStreams(ctx, d, trouble)
	ended := time.Now()
	time.Sleep(2 * time.Second)

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
	turns, reads := ordinary.wait(), readers.wait()
	own := d.ownEnds()
	lost := 0
	for _, r := range turns {
		if !r.answer.whole && ranAt(servers, r.turn.id) > 0 && !strings.Contains(fmt.Sprint(r.answer.err), "context") {
			lost++
			d.log.line("lost: %s was sent to %s on a kept connection, has run, and was closed without a complete answer", shorten(r.turn.id), r.front)
		}
	}
	turns, reads = sentBetween(turns, begun.Add(streamsSince), ended), sentBetween(reads, begun.Add(streamsSince), ended)
	turnShare, allShare := servedShare(turns), servedShare(append(reads, turns...))
	d.log.line("during the streams: turns of ordinary callers %v, their reads %v", summary(turns), summary(reads))
	return verdict{
		broken: len(own) > 0 || lost > 3 || turnShare < allShare/4,
		text: fmt.Sprintf("processes that ended by themselves: %v; requests of ordinary callers that ran and were closed without a complete answer: %d; during the streams, turns served %.3f, all requests served %.3f",
			own, lost, turnShare, allShare),
	}, nil
}

// sendStreams sends streams to all fronts for streamsFor.
func sendStreams(ctx context.Context, d *deployment, trouble bool) {
	ctx, cancel := context.WithTimeout(ctx, streamsFor)
	defer cancel()
	var wg sync.WaitGroup
	for _, front := range d.fronts() {
		for lane := range streamsAtOnce {
			wg.Go(func() {
				client := newClient()
				defer client.CloseIdleConnections()
				for i := 0; ctx.Err() == nil; i++ {
					id := fmt.Sprintf("e5b2907c-%s-%d-%d", front.name, lane, i)
					if trouble {
						id += "\xff"
					}
					got := send(client, front.front(), turn{id: id, path: resumablePath, body: []byte("hello\n"), ctx: ctx})
					d.log.line("client without control: %s at %s: %s", shorten(id), front.name, got)
					sleep(ctx, 20*time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
}

// ownEnds returns the names of the processes that have ended by themselves, and records
// what they said of it.
func (d *deployment) ownEnds() []string {
	var ended []string
	for _, n := range d.nodes {
		if n.endsOfItsOwn() > 0 {
			ended = append(ended, n.name)
			for _, line := range n.panicLines() {
				d.log.line("%s: %s", n.name, line)
			}
		}
	}
	return ended
}

// sentBetween returns the results of requests that were sent between two times.
func sentBetween(results []result, from, to time.Time) []result {
	var found []result
	for _, r := range results {
		if r.sent.After(from) && r.sent.Before(to) {
			found = append(found, r)
		}
	}
	return found
}

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
