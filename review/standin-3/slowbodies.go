package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// slowClients is how many connections the clients hold that send their bodies slowly.
	slowClients = 2000
	// slowHeadBytes and slowBodyBytes are within the limits of the configuration, 16,384
	// and 4,194,304 bytes.
	slowHeadBytes, slowBodyBytes = 15000, 32 << 10
	slowSpan                     = 20 * time.Second
)

const slowBodiesConfig = `{"Version":3,"Routes":[
	{"Name":"posts","Host":"site.example","PathPrefix":"/posts/","Kind":"unsafe","TimeoutMs":6000,"GoalMs":1200,"Priority":2,"Service":"app","Attempts":1},
	{"Name":"reads","Host":"site.example","PathPrefix":"/reads/","Kind":"safe","TimeoutMs":1200,"GoalMs":150,"Priority":2,"Service":"app","Attempts":2}],
	"Services":[{"Name":"app","HealthPath":"/health","MaxConns":96}],
	"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// slowBodies has clients that the users don't control send requests whose heads and
// bodies are within the limits, but whose bodies come slowly. Ordinary callers go on.
func slowBodies(s setup) error {
	d, err := newDeployment(s.binary, s.folder, usersplatform.Host{MemoryMB: frontMemoryMB, MaxFDs: frontDescriptors, ConfigMs: 2000}, s.record)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	backend := &usersplatform.Backend{ID: "i-1"}
	address, err := serve(backend)
	if err != nil {
		return err
	}
	if err := d.store.Put(ctx, "servers/i-1", map[string]any{"Service": "app", "Version": "v1", "Address": address, "Zone": "a", "Slots": 64, "State": "ready"}); err != nil {
		return err
	}
	if err := d.store.Put(ctx, "op/config", rawJSON(slowBodiesConfig)); err != nil {
		return err
	}
	for _, name := range []string{"store-1", "store-2", "store-3", "front-1"} {
		if err := d.start(name); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)

	attack, stopAttack := context.WithTimeout(ctx, slowSpan)
	defer stopAttack()
	var open, answered atomic.Int64
	var wg sync.WaitGroup
	if s.trouble {
		for i := range slowClients {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				for n := 0; attack.Err() == nil; n++ {
					slowClient(attack, d.front("front-1"), fmt.Sprintf("slow-%d-%d", i, n), &open, &answered)
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	peak, served, failed, over := 0.0, 0, 0, false
	var ordinary sync.WaitGroup
	var mu sync.Mutex
	for n := 0; attack.Err() == nil; n++ {
		ordinary.Go(func() {
			if err := ordinaryCall(ctx, d.front("front-1"), fmt.Sprintf("ordinary-%d", n)); err != nil {
				s.record.line("ordinary-%d failed: %v", n, err)
				mu.Lock()
				failed++
				mu.Unlock()
				return
			}
			mu.Lock()
			served++
			mu.Unlock()
		})
		now, killed := d.enforceMemory("front-1", frontMemoryMB)
		peak, over = max(peak, now), over || killed
		if n%10 == 0 {
			s.record.line("front-1 has %.1f MB, %d slow connections, %d answers to them, ordinary calls so far: %d served, %d failed", now, open.Load(), answered.Load(), served, failed)
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	ordinary.Wait()
	s.record.say("front-1 may use %d MB and used %.1f MB at its peak; it runs: %t; ordinary calls: %d served, %d failed", frontMemoryMB, peak, d.alive("front-1"), served, failed)
	if over || !d.alive("front-1") {
		return errBroken
	}
	return nil
}

// slowClient sends one request but the last byte of its body, and waits.
func slowClient(ctx context.Context, front, id string, open, answered *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	open.Add(1)
	defer open.Add(-1)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var head strings.Builder
	fmt.Fprintf(&head, "POST /posts/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n", id, slowBodyBytes)
	for i := 0; head.Len() < slowHeadBytes; i++ {
		fmt.Fprintf(&head, "X-Field-%d: %s\r\n", i, strings.Repeat("x", 400))
	}
	head.WriteString("\r\n")
	// The last byte of the body does not come.
	if _, err := io.WriteString(conn, head.String()+strings.Repeat("y", slowBodyBytes-1)); err != nil {
		return
	}
	if count, _ := conn.Read(make([]byte, 256)); count > 0 {
		answered.Add(1)
	}
}
