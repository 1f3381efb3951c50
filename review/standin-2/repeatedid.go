package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// keptFor is how long a turn can be continued: RetentionS of the route, and half a minute that
	// the stores add.
	keptFor = 90 * time.Second
	// comesBefore is how long before the end of that time the client comes again.
	comesBefore = 300 * time.Millisecond
	// longOutput is the most tokens of the client's turns: 27 events, about 2.7 s.
	longOutput = 135
	// judgedFor is how long requests of ordinary callers are judged after the client's second answer.
	judgedFor = 8 * time.Second
)

// repeatedID has one client send two turns of a conversation, the second one a minute and a
// half after the first, while ordinary callers hold conversations and read. The client gives
// both turns the same id. Without the disruption, the second one has an id of its own.
func repeatedID(d *deployment, trouble bool) (verdict, error) {
	servers, err := startModelServers(d, 0, 100*time.Millisecond, false)
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
	const first = "9c41d07be2a35f68"
	second := first
	if !trouble {
		second = "5a07c1e94b8d2f36"
	}
	front := d.fronts()[0]
	client := newClient()
	defer client.CloseIdleConnections()
	t := turn{id: first, path: keptPath, body: []byte("hello\n"), output: longOutput}
	got := send(client, front.front(), t)
	until := time.Now().Add(keptFor)
	d.log.line("client without control: turn %s at %s: %s", t.id, front.name, got)
	if !got.whole || got.status != 200 {
		return verdict{}, fmt.Errorf("the first turn was answered %s", got)
	}

	sleep(ctx, time.Until(until.Add(-8*time.Second)))
	ordinary, readers := &callers{log: d.log}, &callers{log: d.log}
	ordinary.start(ctx, d.fronts(), 6, 3, 50*time.Millisecond)
	readers.startReaders(ctx, d.fronts(), 3)

	sleep(ctx, time.Until(until.Add(-comesBefore)))
	calmFrom, calmTo := until.Add(-7*time.Second), time.Now()
	t.id, t.previous = second, first
	got = send(client, front.front(), t)
	d.log.line("client without control: turn %s, which names %s as the turn before, at %s: %s", t.id, t.previous, front.name, got)

	sleep(ctx, time.Second)
	begun, used := time.Now(), d.storeSeconds()
	sleep(ctx, judgedFor)
	took := time.Since(begun)
	busy := map[string]string{}
	for name, seconds := range d.storeSeconds() {
		busy[name] = fmt.Sprintf("%.2f", (seconds-used[name])/took.Seconds())
	}
	cancel()
	turns, reads := ordinary.wait(), readers.wait()
	d.log.line("before: turns of ordinary callers %v", summary(sentBetween(turns, calmFrom, calmTo)))
	turns, reads = sentBetween(turns, begun, begun.Add(judgedFor-3*time.Second)), sentBetween(reads, begun, begun.Add(judgedFor-3*time.Second))
	d.log.line("after: turns of ordinary callers %v, their reads %v; cores that the stores use: %v", summary(turns), summary(reads), busy)
	turnShare, allShare := servedShare(turns), servedShare(append(reads, turns...))
	ran := 0
	for _, s := range servers {
		ran += s.total()
	}
	return verdict{
		broken: turnShare < allShare/4,
		text: fmt.Sprintf("after the client's second turn: turns of ordinary callers served %.3f of %d, all requests served %.3f; cores that the stores use: %v; processes that ended by themselves: %v; turns run in all %d",
			turnShare, len(turns), allShare, busy, d.ownEnds(), ran),
	}, nil
}

// storeSeconds returns the processor time that each store has used, in seconds.
func (d *deployment) storeSeconds() map[string]float64 {
	const ticksPerSecond = 100 // of the files below
	used := map[string]float64{}
	for _, n := range d.nodes {
		n.mu.Lock()
		pid := n.command.Process.Pid
		n.mu.Unlock()
		content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil || n.role != "store" {
			continue
		}
		_, rest, _ := strings.Cut(string(content), ") ") // the name of the program may have spaces
		fields := strings.Fields(rest)
		if len(fields) < 13 {
			continue
		}
		user, _ := strconv.ParseFloat(fields[11], 64) // numbers, by the format of the file
		system, _ := strconv.ParseFloat(fields[12], 64)
		used[n.name] = (user + system) / ticksPerSecond
	}
	return used
}
