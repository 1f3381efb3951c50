package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case.
const (
	modelServers   = 20 // 0.15 of them crash
	crashedServers = 3
	crashAfter     = 400 * time.Millisecond // a third of a stream
	backAfter      = 3 * time.Second
	pingInterval   = 1200 * time.Millisecond
	laterPrograms  = 6
	sameInput      = "post the invoices of this month\n"
)

// modelServer is a streamServer that can crash.
type modelServer struct {
	*streamServer
	server  *http.Server
	address string
}

// startModel starts and registers a server.
func startModel(d *deployment, id string) (*modelServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &modelServer{streamServer: newStreamServer(d.record, id, "v1", turnEvents, turnInterval), address: listener.Addr().String()}
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func() { _ = m.server.Serve(listener) }() // ends with the server
	m.register(d.platform, "llm", m.address)
	return m, nil
}

// crashModels ends servers without notice. The platform removes their entries after
// three ping intervals of silence; others take their places some seconds later.
func crashModels(d *deployment, crashing []*modelServer) ([]*streamServer, error) {
	for _, m := range crashing {
		d.record.event("disruption: server %s crashes", m.id)
	}
	var ended sync.WaitGroup
	for _, m := range crashing {
		ended.Go(func() { _ = m.server.Close() }) // its connections end
	}
	ended.Wait()
	time.Sleep(backAfter)
	var back []*streamServer
	for _, m := range crashing {
		next, err := startModel(d, m.id+"-again")
		if err != nil {
			return nil, err
		}
		d.record.event("server %s is back as %s", m.id, next.id)
		back = append(back, next.streamServer)
	}
	time.Sleep(3*pingInterval - backAfter)
	for _, m := range crashing {
		d.platform.remove("servers/" + m.id)
	}
	return back, nil
}

// programsOnDistinctServers lets programs begin until enough of them are on servers
// of their own.
func (c *chat) programsOnDistinctServers(models []*modelServer) ([]*conversation, []*modelServer) {
	var programs []*conversation
	var used []*modelServer
	taken := map[string]bool{}
	for i := 0; len(programs) < crashedServers && i < 30; i++ {
		p := newConversation(fmt.Sprintf("a%02d", i))
		if _, _, whole := c.turn(p); !whole {
			continue
		}
		for _, m := range models {
			if _, ran := m.ran(p.previous); ran && !taken[m.id] {
				taken[m.id] = true
				programs, used = append(programs, p), append(used, m)
			}
		}
	}
	return programs, used
}

// playSameInput lets three servers crash while each runs a turn of another program
// with the same input, and looks at what becomes of that input later.
func playSameInput(rec *record, binary string, trouble bool) (bool, error) {
	d, err := deploy(rec, binary, smallShape)
	c := &chat{deployment: d}
	defer d.stop()
	if err != nil {
		return false, err
	}
	var models []*modelServer
	for i := range modelServers {
		m, err := startModel(d, fmt.Sprintf("i-%02d", i+1))
		if err != nil {
			return false, err
		}
		models = append(models, m)
		c.servers = append(c.servers, m.streamServer)
	}
	d.platform.put("op/config", turnsConfig())
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	programs, used := c.programsOnDistinctServers(models)
	if len(programs) < crashedServers {
		return false, fmt.Errorf("the programs were not spread over servers")
	}
	var running sync.WaitGroup
	for _, p := range programs {
		p.input = sameInput
		running.Go(func() { c.turn(p) })
	}
	time.Sleep(crashAfter)
	if trouble {
		back, err := crashModels(d, used)
		if err != nil {
			return false, err
		}
		c.mu.Lock()
		c.servers = append(c.servers, back...)
		c.mu.Unlock()
	}
	running.Wait()
	time.Sleep(contact + 2*time.Second)
	rec.event("all servers have been back for longer than the pages ask for; other programs send a turn with that input")
	var later []*conversation
	for i := range laterPrograms {
		p := newConversation(fmt.Sprintf("b%02d", i))
		if _, _, whole := c.turn(p); whole {
			p.input = sameInput
			later = append(later, p)
		}
	}
	return c.judge(later)
}
