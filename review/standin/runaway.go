package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	runawayLines     = 64 // sub-agents of the looping program at any time
	runawayBudget    = 1088
	runawaySends     = 3 // the first one, and twice more after a 402
	runawayLength    = 95 * time.Second
	ordinaryPosters  = 12
	ordinaryPrograms = 6
	ordinaryPause    = 500 * time.Millisecond
	enoughLost       = 20 // the case ends early then
)

// runawayCase is the state of the case.
type runawayCase struct {
	*chat
	posts                     []*postServer
	stop                      atomic.Bool
	looped, told              atomic.Int64 // turns of the looping program, and those answered 402
	posted, lost              atomic.Int64 // ordinary postings, and those that ran and were never answered
	turnsBefore, failedBefore atomic.Int64 // ordinary turns while no front had been killed
	turnsAfter, failedAfter   atomic.Int64
	peak, kills               atomic.Int64
	everKilled                atomic.Bool
	running, watching         sync.WaitGroup
}

// loop is one line of the looping program, which starts a sub-agent after the other.
func (c *runawayCase) loop(line int) {
	for !c.stop.Load() {
		for range runawaySends {
			id := fmt.Sprintf("loop-%d-%x", line, c.looped.Add(1))
			answer := send(c.fronts[rand.IntN(len(c.fronts))].front(), clientRequest{
				id: id, method: http.MethodPost, path: "/turns/4b", body: "go on\n", deadline: turnDeadline, header: map[string]string{
					"program": "loop", "session": id, "finish": "110000", "budget": fmt.Sprint(runawayBudget), "tokens": "1840,68",
				},
			})
			if answer.status == http.StatusPaymentRequired {
				c.told.Add(1)
			}
			time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
			if answer.ok() {
				break
			}
		}
	}
}

// post sends ordinary postings, one after the other.
func (c *runawayCase) post(client int) {
	for number := 0; !c.stop.Load(); number++ {
		id := fmt.Sprintf("c%02d-%d", client, number)
		front := c.fronts[rand.IntN(len(c.fronts))]
		c.posted.Add(1)
		answer := send(front.front(), clientRequest{
			id: id, method: http.MethodPost, path: "/posts/4b", body: strings.Repeat("x", 600), deadline: bodyDeadline,
		})
		if answer.ok() {
			continue
		}
		ran := false
		for _, s := range c.posts {
			s.mu.Lock()
			_, here := s.runs[id]
			s.mu.Unlock()
			ran = ran || here
		}
		c.record.event("client: %s at %s, ran: %v: %s", id, front.name, ran, answer)
		if ran && answer.status == 0 && answer.kept {
			c.lost.Add(1)
			c.record.event("LOST: %s came on a kept channel and was passed on to a server, and the channel ended without an answer", id)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// talk lets ordinary programs follow each other.
func (c *runawayCase) talk(number int) {
	for round := 0; !c.stop.Load(); round++ {
		p := newConversation(fmt.Sprintf("p%02d-%d", number, round))
		for p.turns < 8 && !c.stop.Load() {
			_, _, whole := c.turn(p)
			turns, failed := &c.turnsBefore, &c.failedBefore
			if c.everKilled.Load() {
				turns, failed = &c.turnsAfter, &c.failedAfter
			}
			turns.Add(1)
			if !whole {
				failed.Add(1)
				break
			}
			time.Sleep(ordinaryPause)
		}
	}
}

// startPosts starts servers of postings and adds their route.
func (c *runawayCase) startPosts() error {
	for i := range bodyServers {
		s := &postServer{record: c.record, id: fmt.Sprintf("b-%d", i+1), runs: map[string]int{}, quiet: true}
		address, err := serve(s)
		if err != nil {
			return err
		}
		c.platform.put("servers/"+s.id, map[string]any{
			"Service": "billing-app", "Address": address, "Zone": "ist-a", "Version": "v1", "Slots": 6, "State": "ready",
			"ColdLeftMs": 0, "CallSeq": 0, "born": time.Now().UnixMilli(),
		})
		c.posts = append(c.posts, s)
	}
	config, posts := turnsConfig(), postConfig()
	config["Version"] = 4
	config["Routes"] = append(config["Routes"].([]any), posts["Routes"].([]any)...)
	config["Services"] = append(config["Services"].([]any), posts["Services"].([]any)...)
	c.platform.put("op/config", config)
	time.Sleep(2 * time.Second) // until the configuration is in force
	return nil
}

// playRunaway lets one program loop without end beside ordinary clients.
func playRunaway(rec *record, binary string, trouble bool) (bool, error) {
	talking, err := startChatOf(rec, binary, shape{stores: 4, fronts: 2, memoryMB: memoryLimitMB})
	c := &runawayCase{chat: talking}
	defer c.deployment.stop()
	if err != nil {
		return false, err
	}
	if err := c.startPosts(); err != nil {
		return false, err
	}
	for _, h := range c.fronts {
		c.watching.Go(func() {
			if err := enforceMemory(c.deployment, h, &c.stop, &c.peak, &c.kills); err != nil {
				rec.event("%s could not be started again: %v", h.name, err)
			}
		})
	}
	for i := range ordinaryPosters {
		c.running.Go(func() { c.post(i) })
	}
	for i := range ordinaryPrograms {
		c.running.Go(func() { c.talk(i) })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		rec.event("disruption: a program begins to loop, with %d sub-agents at a time", runawayLines)
		for line := range runawayLines {
			c.running.Go(func() { c.loop(line) })
		}
	}
	for end := time.Now().Add(runawayLength); time.Now().Before(end) && c.lost.Load() < enoughLost; time.Sleep(100 * time.Millisecond) {
		c.everKilled.Store(c.kills.Load() > 0)
	}
	c.stop.Store(true)
	c.running.Wait()
	c.watching.Wait()
	rec.event("result: the looping program sent %d turns, %d answered 402; %d postings, %d ran and were never answered; ordinary turns that failed: %d of %d, "+
		"after the first kill %d of %d; fronts were killed %d times, at most %d MB of %d MB were seen", c.looped.Load(), c.told.Load(), c.posted.Load(), c.lost.Load(),
		c.failedBefore.Load(), c.turnsBefore.Load(), c.failedAfter.Load(), c.turnsAfter.Load(), c.kills.Load(), c.peak.Load(), memoryLimitMB)
	return c.lost.Load() <= 3, nil
}
