package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Routes and services as on the site satamavirta-prod.
const (
	keptRoute      = `{"Name":"r-kept","Host":"ficu95.example","PathPrefix":"/lohu930/","Kind":"streaming","TimeoutMs":3000,"GoalMs":250,"Priority":1,"Service":"huvo11a","Attempts":1,"Retain":true,"RetentionS":60.0,"Sticky":true,"Resumable":false,"GapAimMs":300}`
	resumableRoute = `{"Name":"r-resumable","Host":"ficu95.example","PathPrefix":"/pufi791/","Kind":"streaming","TimeoutMs":3000,"GoalMs":250,"Priority":0,"Service":"huvo11a","Attempts":1,"Retain":false,"RetentionS":60.0,"Sticky":true,"Resumable":true,"GapAimMs":300}`
	bothRoute      = `{"Name":"r-both","Host":"ficu95.example","PathPrefix":"/zaro417/","Kind":"streaming","TimeoutMs":3000,"GoalMs":250,"Priority":1,"Service":"huvo11a","Attempts":1,"Retain":true,"RetentionS":60.0,"Sticky":true,"Resumable":true,"GapAimMs":300}`
	engineService  = `{"Name":"huvo11a","HealthPath":"/health","MaxConns":150,"Protocol":"h1","Tls":false,"Engine":{"Slots":12,"KvCapacity":164954,"KvTokenBytes":18432,"LinkMbps":88000.0,"Moves":true,"Backups":true,"TokensPerEvent":5,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}}`
	keptPath       = "/lohu930/2f"
	resumablePath  = "/pufi791/2f"
	bothPath       = "/zaro417/2f"
)

// modelServers is how many model servers there are, as on the site.
const modelServers = 14

// startModelServers starts and registers model servers.
func startModelServers(d *deployment, events int, interval time.Duration, quiet bool) ([]*modelServer, error) {
	var servers []*modelServer
	for i := range modelServers {
		s := newModelServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), events, interval, d.log)
		s.quiet = quiet
		address, err := serve(d.ctx, fmt.Sprintf("%s.%d", d.net, 100+i), s)
		if err == nil {
			err = register(d.ctx, d.platform, s.id, "huvo11a", zones[i%len(zones)], address, 12, s.born)
		}
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// result is what became of one attempt of a caller.
type result struct {
	turn   turn
	front  string
	answer answer
	sent   time.Time
	took   time.Duration
}

// callers are ordinary callers. Each of them sends conversations of a few turns, one turn
// after the other, over a connection that it keeps.
type callers struct {
	log *record
	wg  sync.WaitGroup

	mu      sync.Mutex
	results []result
	refused []string // turns that were refused in each of maxTries tries
}

// maxTries is how often a caller sends a turn that fails.
const maxTries = 5

// start starts callers at the fronts until ctx ends.
func (c *callers) start(ctx context.Context, fronts []*node, perFront, turnsEach int, pause time.Duration) {
	for _, front := range fronts {
		for number := range perFront {
			c.wg.Go(func() { c.converse(ctx, front, number, turnsEach, pause) })
		}
	}
}

func (c *callers) converse(ctx context.Context, front *node, number, turnsEach int, pause time.Duration) {
	client := newClient()
	defer client.CloseIdleConnections()
	for conversation := 0; ctx.Err() == nil; conversation++ {
		program := fmt.Sprintf("p-%s-%d-%d", front.name, number, conversation)
		previous := ""
		for i := 0; i < turnsEach && ctx.Err() == nil; i++ {
			t := turn{path: keptPath, body: []byte("input of " + program + "\n"), previous: previous, program: program, budget: 4000}
			answered := c.try(ctx, client, front, t, fmt.Sprintf("%s-%d", program, i))
			if answered == "" {
				break
			}
			previous = answered
			sleep(ctx, pause)
		}
		sleep(ctx, pause)
	}
}

// try sends a turn up to maxTries times, each with an id of its own, and returns the id of
// the one that was answered whole; empty if there was none. The pauses are those of requesters.
func (c *callers) try(ctx context.Context, client *http.Client, front *node, t turn, id string) string {
	refused := 0
	for number := range maxTries {
		t.id = id
		if number > 0 {
			t.id = fmt.Sprintf("%s.%d", id, number)
			sleep(ctx, 100*time.Millisecond+rand.N(300*time.Millisecond))
		}
		got := c.attempt(client, front, t)
		if got.status == http.StatusOK && got.whole {
			return t.id
		}
		if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
			refused++
		}
		if ctx.Err() != nil {
			return ""
		}
	}
	if refused == maxTries {
		c.log.line("refused in %d tries: %s at %s", maxTries, id, front.name)
		c.mu.Lock()
		c.refused = append(c.refused, id)
		c.mu.Unlock()
	}
	return ""
}

func (c *callers) attempt(client *http.Client, front *node, t turn) answer {
	sent := time.Now()
	got := send(client, front.front(), t)
	c.log.line("caller: %s at %s: %s", shorten(t.id), front.name, got)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result{turn: t, front: front.name, answer: got, sent: sent, took: time.Since(sent)})
	return got
}

// wait waits until all callers have ended, and returns what they got.
func (c *callers) wait() []result {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// summary counts answers by their kind.
func summary(results []result) map[string]int {
	counts := map[string]int{}
	for _, r := range results {
		kind := fmt.Sprint(r.answer.status)
		switch {
		case r.answer.status == 0:
			kind = "no answer"
		case !r.answer.whole:
			kind += " broken off"
		}
		counts[kind]++
	}
	return counts
}

// ranAt returns how often a request has run at all servers together.
func ranAt(servers []*modelServer, id string) int {
	runs := 0
	for _, s := range servers {
		runs += s.ran(id)
	}
	return runs
}

const (
	readRoute = `{"Name":"r-read","Host":"ficu95.example","PathPrefix":"/pule252/","Kind":"safe","TimeoutMs":2000,"GoalMs":400,"Priority":2,"Service":"wuno96b"}`
	readPath  = "/pule252/4b"
)

// startReadServers starts and registers plain servers, which answer with one event.
func startReadServers(d *deployment) error {
	for i := range 4 {
		s := newModelServer(fmt.Sprintf("i-%08x", 0x51c07be2+i), 1, 0, d.log)
		address, err := serve(d.ctx, fmt.Sprintf("%s.%d", d.net, 150+i), s)
		if err == nil {
			err = register(d.ctx, d.platform, s.id, "wuno96b", zones[i%len(zones)], address, 6, s.born)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// startReaders starts callers that read at the fronts until ctx ends.
func (c *callers) startReaders(ctx context.Context, fronts []*node, perFront int) {
	for _, front := range fronts {
		for number := range perFront {
			c.wg.Go(func() { c.read(ctx, front, number) })
		}
	}
}

// read sends safe requests, one after the other.
func (c *callers) read(ctx context.Context, front *node, number int) {
	client := newClient()
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		c.attempt(client, front, turn{id: fmt.Sprintf("r-%s-%d-%d", front.name, number, i), path: readPath, plain: true, deadline: 2 * time.Second})
		sleep(ctx, 100*time.Millisecond)
	}
}
