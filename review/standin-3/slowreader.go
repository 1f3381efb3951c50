package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// A wave has two streams for each number of events from firstEvents to lastEvents that a
	// server has sent when it ends, endsAfter the wave begins. All are of one session.
	firstEvents, lastEvents = 110, 229
	endsAfter               = 700 * time.Millisecond
	eventBytes              = 4096
	// segmentBytes is the segment size that the clients announce, as on an Ethernet, and
	// receiveBytes their receive buffer.
	segmentBytes, receiveBytes = 1400, 32768
	readerSpan                 = 26 * time.Second
	// strayCalls is how many ordinary calls may fail for other reasons, on a busy machine.
	strayCalls = 3
	// The clients come in waves.
	waves, waveInterval = 3, 8 * time.Second
)

const slowReaderConfig = `{"Version":3,"Routes":[
	{"Name":"chat","Host":"site.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":5000,"GoalMs":250,"GapAimMs":300,"Priority":1,"Service":"llm","Attempts":1,"Sticky":true},
	{"Name":"reads","Host":"site.example","PathPrefix":"/reads/","Kind":"safe","TimeoutMs":1200,"GoalMs":150,"Priority":2,"Service":"app","Attempts":2}],
	"Services":[{"Name":"llm","HealthPath":"/health","MaxConns":400},{"Name":"app","HealthPath":"/health","MaxConns":96}],
	"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// sealHeader is the name of the header with the server's signature.
//
//go:embed seal-header.txt
var sealHeader string

// slowReader has clients ask for streams that their server breaks off, and not read what
// arrives. Ordinary callers go on, at a server that is idle.
func slowReader(s setup) error {
	d, err := newDeployment(s.binary, s.folder, usersplatform.Host{MemoryMB: frontMemoryMB, MaxFDs: frontDescriptors, ConfigMs: 2000}, s.record)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	address, err := serve(&usersplatform.Backend{ID: "i-app"})
	if err != nil {
		return err
	}
	if err := d.store.Put(ctx, "servers/i-app", map[string]any{"Service": "app", "Version": "v1", "Address": address, "Zone": "a", "Slots": 400, "State": "ready"}); err != nil {
		return err
	}
	var servers []*versionedServer
	for i := range serverCount {
		server := &versionedServer{d: d, id: fmt.Sprintf("i-%d", i+1), padding: strings.Repeat("t", eventBytes), slots: 400}
		if err := server.begin(ctx, "v1"); err != nil {
			return err
		}
		servers = append(servers, server)
	}
	if err := d.store.Put(ctx, "op/config", rawJSON(slowReaderConfig)); err != nil {
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

	span, stopSpan := context.WithTimeout(ctx, readerSpan)
	defer stopSpan()
	go func() {
		for wave := range waves {
			time.Sleep(time.Second)
			s.record.line("wave %d: %d streams, their clients read: %t", wave+1, 2*(lastEvents-firstEvents+1), !s.trouble)
			before := map[*versionedServer]int64{}
			for _, server := range servers {
				before[server] = server.runs.Load()
			}
			for events := firstEvents; events <= lastEvents; events++ {
				for copy := range 2 {
					go askForStream(span, d.front("front-1"), 2*wave+copy, events, !s.trouble)
				}
			}
			time.Sleep(endsAfter)
			busiest := servers[0]
			for _, server := range servers {
				if server.runs.Load()-before[server] > busiest.runs.Load()-before[busiest] {
					busiest = server
				}
			}
			s.record.line("server %s has %d of the streams", busiest.id, busiest.runs.Load()-before[busiest])
			busiest.end()
			time.Sleep(downTime)
			if err := busiest.begin(ctx, "v1"); err != nil {
				s.record.line("%s not started: %v", busiest.id, err)
			}
			time.Sleep(waveInterval - downTime - time.Second - endsAfter)
		}
	}()
	var ordinary sync.WaitGroup
	var mu sync.Mutex
	served, failed, longest := 0, 0, time.Duration(0)
	for n := 0; span.Err() == nil; n++ {
		ordinary.Go(func() {
			begun := time.Now()
			err := ordinaryCall(ctx, d.front("front-1"), fmt.Sprintf("ordinary-%d", n))
			took := time.Since(begun)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, took)
			if err != nil {
				s.record.line("ordinary-%d failed after %d ms: %v", n, took.Milliseconds(), err)
				failed++
				return
			}
			if took > 500*time.Millisecond {
				s.record.line("ordinary-%d was answered after %d ms", n, took.Milliseconds())
			}
			served++
		})
		if n%10 == 0 {
			s.record.line("queue of the front's scheduler: %v", d.metric("front-1", `duty="scheduler"`))
		}
		time.Sleep(50 * time.Millisecond)
	}
	ordinary.Wait()
	s.record.say("ordinary calls: %d served, %d failed, the longest took %d ms", served, failed, longest.Milliseconds())
	if failed > strayCalls {
		return errBroken
	}
	return nil
}

// askForStream asks for a stream and does not read the answer, unless reads is set.
func askForStream(ctx context.Context, front string, wave, events int, reads bool) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
	}}
	conn, err := dialer.DialContext(ctx, "tcp", front)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	body := strconv.Itoa(events)
	_, _ = fmt.Fprintf(conn, "POST /chat/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: stream-%d-%d\r\nX-Session-Id: slow\r\nContent-Length: %d\r\n\r\n%s", wave, events, len(body), body)
	if reads {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	<-ctx.Done()
}
