package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case, from the pages of a small deployment.
const (
	contact       = 3 * time.Second
	catchUp       = 4600 * time.Millisecond
	turnDeadline  = 4 * time.Second
	turnPause     = 150 * time.Millisecond // the mean pause of a program between its turns
	sendsOfTurn   = 3                      // the first one, and at most two more
	attemptsPer   = 2                      // the first one, and one retry
	programCount  = 12
	turnEvents    = 17 // twice the mean of a turn
	turnInterval  = 70 * time.Millisecond
	restartDelay  = time.Second
	freshPrograms = 20
	programAim    = 110 * time.Second
)

// turnsConfig is a configuration with one route of turns that are kept.
func turnsConfig() map[string]any {
	return map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "turns", "Host": siteHost, names["prefix"]: "/turns/", "Kind": "streaming", "TimeoutMs": 4000, "GoalMs": 200, "Priority": 1,
			"Service": "llm", "Attempts": 1, "Retain": true, "RetentionS": 60, "Sticky": true, "GapAimMs": 500,
		}},
		"Services": []any{map[string]any{
			"Name": "llm", "HealthPath": "/health", "MaxConns": 360, "Engine": map[string]any{"Slots": 12, "KvCapacity": 230883, "TokensPerEvent": 4},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	}
}

// conversation is a program with one line of turns.
type conversation struct {
	name     string
	turns    int
	previous string    // the last turn that was answered whole
	history  string    // what a server is to receive before the next input
	failed   string    // why the program has ended, if it has
	finish   time.Time // when the program should be finished
	input    string    // of its next turn; empty for one of its own
}

// newConversation returns a program that begins now.
func newConversation(name string) *conversation {
	return &conversation{name: name, finish: time.Now().Add(programAim)}
}

// chat is a deployment with servers that take turns.
type chat struct {
	*deployment
	mu       sync.Mutex // guards servers
	servers  []*streamServer
	attempts atomic.Int64
	wrong    atomic.Int64 // turns that ran with another body than they should have
}

// startChat starts a small deployment with three servers.
func startChat(rec *record, binary string) (*chat, error) {
	return startChatOf(rec, binary, smallShape)
}

// startChatOf starts a deployment with three servers.
func startChatOf(rec *record, binary string, size shape) (*chat, error) {
	d, err := deploy(rec, binary, size)
	c := &chat{deployment: d}
	if err != nil {
		return c, err
	}
	for i := range 3 {
		s := newStreamServer(rec, fmt.Sprintf("i-%d", i+1), "v1", turnEvents, turnInterval)
		address, err := serve(s)
		if err != nil {
			return c, err
		}
		s.register(d.platform, "llm", address)
		c.servers = append(c.servers, s)
	}
	d.platform.put("op/config", turnsConfig())
	return c, d.awaitReady()
}

// turn sends the next turn of a program, with the retries and further sends of a
// client. It returns how many tries it took, how many of them reached a server, and
// whether the turn was answered whole.
func (c *chat) turn(p *conversation) (tries, reached int, whole bool) {
	input := p.input
	if input == "" {
		input = fmt.Sprintf("input of turn %d of %s\n", p.turns+1, p.name)
	}
	for range sendsOfTurn {
		for range attemptsPer {
			tries++
			id := fmt.Sprintf("%s-%d-%x", p.name, p.turns+1, c.attempts.Add(1))
			header := map[string]string{
				"program": p.name, "session": p.name + "-line", "finish": strconv.FormatInt(time.Until(p.finish).Milliseconds(), 10), "budget": "100000", "tokens": "1840,68",
			}
			if p.previous != "" {
				header["previous"] = p.previous
			}
			front := c.fronts[rand.IntN(len(c.fronts))]
			answer := send(front.front(), clientRequest{
				id: id, method: http.MethodPost, path: "/turns/4b", body: input, header: header, deadline: turnDeadline,
			})
			ran := c.ranWith(id, p.history+input)
			c.record.event("client: turn %d of %s, attempt %s after %q at %s: %s", p.turns+1, p.name, id, p.previous, front.name, answer)
			if ran {
				reached++
			}
			if answer.ok() {
				p.turns, p.previous = p.turns+1, id
				p.history += input + c.servers[0].output(id)
				return tries, reached, true
			}
			if answer.status != http.StatusServiceUnavailable {
				break // only after a promise may the same turn be tried again at once
			}
			time.Sleep(min(answer.retryAfter, turnDeadline/3))
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
	return tries, reached, false
}

// ranWith reports whether a request ran, and counts it if it ran with another body.
func (c *chat) ranWith(id, body string) bool {
	c.mu.Lock()
	servers := c.servers
	c.mu.Unlock()
	for _, s := range servers {
		if got, ok := s.ran(id); ok {
			if got != body {
				c.wrong.Add(1)
				c.record.event("server %s ran %s with a wrong body of %d bytes instead of %d", s.id, id, len(got), len(body))
			}
			return true
		}
	}
	return false
}

// playRollingStores restarts the stores one after the other while programs go on,
// and then lets each program send its next turn.
func playRollingStores(rec *record, binary string, trouble bool) (bool, error) {
	c, err := startChat(rec, binary)
	defer c.stop()
	if err != nil {
		return false, err
	}
	var programs []*conversation
	var running sync.WaitGroup
	stop := make(chan struct{})
	for i := range programCount {
		p := newConversation(fmt.Sprintf("p%02d", i))
		programs = append(programs, p)
		running.Go(func() {
			for {
				if _, _, whole := c.turn(p); !whole {
					p.failed = "a turn failed three times while the stores were restarted"
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(turnPause):
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, h := range c.stores {
		if trouble {
			if err := c.restart(h, syscall.SIGTERM, restartDelay); err != nil {
				return false, err
			}
		} else {
			time.Sleep(restartDelay)
		}
		// The next one goes once this one no longer counts as lost.
		time.Sleep(catchUp + time.Second)
	}
	close(stop)
	running.Wait()
	time.Sleep(contact)
	rec.event("all stores have been back for longer than the pages ask for; each program sends its next turn")
	return c.judge(programs)
}

// judge lets new programs and those under way send a turn each. The rule is broken
// if a turn under way reaches no server although nine tenths of the first turns do.
func (c *chat) judge(programs []*conversation) (bool, error) {
	fresh := 0
	for i := range freshPrograms {
		if _, reached, _ := c.turn(newConversation(fmt.Sprintf("new%02d", i))); reached > 0 {
			fresh++
		}
	}
	lost, asked := 0, 0
	var mutex sync.Mutex
	var turns sync.WaitGroup
	for _, p := range programs {
		if p.failed != "" {
			c.record.event("program %s ended after %d turns: %s", p.name, p.turns, p.failed)
		}
		turns.Go(func() {
			last := p.previous
			tries, reached, _ := c.turn(p)
			mutex.Lock()
			defer mutex.Unlock()
			asked++
			if reached == 0 && tries >= 5 {
				lost++
				c.record.event("LOST: the turn of %s after %s reached no server in %d tries", p.name, last, tries)
			}
		})
	}
	turns.Wait()
	c.record.event("result: %d of %d first turns reached a server; of %d turns that name a kept turn, %d reached none; %d ran with a wrong body",
		fresh, freshPrograms, asked, lost, c.wrong.Load())
	if fresh*10 < freshPrograms*9 {
		return false, fmt.Errorf("too few first turns reach a server to judge")
	}
	return lost == 0 && c.wrong.Load() == 0, nil
}
