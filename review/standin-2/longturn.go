package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// longTimeout is TimeoutMs of the route.
	longTimeout = 40 * time.Second
	// pauseBefore is the pause between the first and the second turn: less than RetentionS, which
	// is 60 s.
	pauseBefore = 56 * time.Second
	// longTurnOutput is the most tokens of a long second turn: 152 events, 38 s.
	longTurnOutput = 760
	// programAim is the time within which the programs should be finished.
	programAim = 3 * time.Minute
)

// agentProgram is a program with a conversation of three turns.
type agentProgram struct {
	name    string
	front   *node
	budget  int
	started time.Time
	client  *http.Client
	log     *record
}

// send sends a turn of the program.
func (p *agentProgram) send(id, previous string, output int, deadline time.Duration) answer {
	got := send(p.client, p.front.front(), turn{
		id: id, path: keptPath, body: []byte("input " + id + "\n"), previous: previous, program: p.name, budget: p.budget,
		output: output, deadline: deadline, finish: programAim - time.Since(p.started),
	})
	p.log.line("program %s: turn %s after %q at %s: %s", p.name, id, previous, p.front.name, got)
	return got
}

// longTurn has programs send a second turn less than RetentionS after their first one, whose
// answer takes 38 s, and then a third turn. Without the disruption, the answer to the second
// turn takes 2 s.
func longTurn(d *deployment, trouble bool) (verdict, error) {
	servers, err := startModelServers(d, 0, 250*time.Millisecond, false)
	if err == nil {
		err = d.configure(strings.Replace(keptRoute, `"TimeoutMs":3000`, fmt.Sprintf(`"TimeoutMs":%d`, longTimeout.Milliseconds()), 1), engineService)
	}
	if err == nil {
		err = d.startAll(2)
	}
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	output := 40
	if trouble {
		output = longTurnOutput
	}
	var mu sync.Mutex
	counts := map[string]int{}
	count := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		counts[what]++
	}
	var wg sync.WaitGroup
	triesFrom := time.Now().Add(2*time.Second + pauseBefore + 38*time.Second)
	for i := range 8 {
		p := &agentProgram{name: fmt.Sprintf("agent-%d", i), front: d.fronts()[i%2], budget: 4000, started: time.Now(), client: newClient(), log: d.log}
		wg.Go(func() {
			defer p.client.CloseIdleConnections()
			first, second := p.name+"-turn-1", p.name+"-turn-2"
			if got := p.send(first, "", 40, longTimeout); !got.whole || got.status != http.StatusOK {
				count("first turns that failed")
				return
			}
			sleep(ctx, pauseBefore)
			if got := p.send(second, first, output, longTimeout); !got.whole || got.status != http.StatusOK {
				count("second turns that failed")
				return
			}
			count("second turns answered whole")
			sleep(ctx, time.Until(triesFrom))
			for try := range maxTries {
				sleep(ctx, 100*time.Millisecond+rand.N(300*time.Millisecond))
				third := fmt.Sprintf("%s-turn-3.%d", p.name, try)
				got := p.send(third, second, 40, 3*time.Second)
				if ranAt(servers, third) > 0 {
					count("third turns that reached a server")
					return
				}
				count(fmt.Sprintf("tries of third turns answered %d", got.status))
			}
			d.log.line("LOST: the turn after %s, which was answered whole, reached no server in %d tries", second, maxTries)
			count("third turns that reached no server in five tries")
		})
	}
	sleep(ctx, time.Until(triesFrom.Add(-6*time.Second)))
	others := &callers{log: d.log}
	othersCtx, endOthers := context.WithCancel(ctx)
	defer endOthers()
	others.start(othersCtx, d.fronts(), 4, 1, 50*time.Millisecond)
	wg.Wait()
	endOthers()
	firstTurns, reached := others.wait(), 0
	for _, r := range firstTurns {
		if ranAt(servers, r.turn.id) > 0 {
			reached++
		}
	}
	lost := counts["third turns that reached no server in five tries"]
	if counts["second turns answered whole"] == 0 {
		return verdict{}, fmt.Errorf("no second turn was answered whole: %v", counts)
	}
	return verdict{
		broken: lost > 0 && 10*reached >= 9*len(firstTurns),
		text:   fmt.Sprintf("programs: %v; meanwhile %d of %d first turns of other programs reached a server", counts, reached, len(firstTurns)),
	}, nil
}
