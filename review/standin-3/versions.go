package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// freezeTime is how long a front stands still.
	freezeTime = 4600 * time.Millisecond
	// serverCount is the number of servers, one of which starts again: 0.143 of them.
	serverCount = 7
	// The server ends beforeEnd after the freeze begins, and is down for downTime. The later
	// streams are asked for beforeWake before the front goes on.
	beforeEnd, downTime, beforeWake = 200 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond
	// streamTime is the time that a client has for a stream, and streamEvents the number of
	// its events, eventInterval apart.
	streamTime    = 4 * time.Second
	streamEvents  = 50
	eventInterval = 40 * time.Millisecond
	// earlyStreams are under way at the front when it is stopped. Of the laterStreams, every
	// second one loses its channel after breakAfter events.
	earlyStreams, laterStreams, breakAfter = 42, 84, 15
	// rounds is how often all of it is played at most, with calmBetween between two rounds.
	rounds, calmBetween = 4, 4 * time.Second
)

const versionsConfig = `{"Version":3,"Routes":[
	{"Name":"chat","Host":"site.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":4000,"GoalMs":200,"GapAimMs":500,"Priority":0,"Service":"llm","Attempts":1,"Sticky":true,"Resumable":true}],
	"Services":[{"Name":"llm","HealthPath":"/health","MaxConns":360,"Engine":{"Slots":64,"KvCapacity":230883,"TokensPerEvent":4,"Models":[{"Name":"m"}]}}],
	"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// versionedServer is a model server that can start again under its id with another
// software version.
type versionedServer struct {
	d       *deployment
	id      string
	address string
	version string
	born    int64
	server  *http.Server
	// events is the number of events of a stream, unless the prompt states after how many it
	// becomes slow. interval is the time from one to the next, and padding is added to each.
	events   int
	interval time.Duration
	padding  string
	slots    int
	runs     atomic.Int64
}

// begin starts the server, at the address that it had if it ran before, and registers it.
func (v *versionedServer) begin(ctx context.Context, version string) error {
	address := v.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	v.address, v.version, v.born = listener.Addr().String(), version, time.Now().UnixMilli()
	v.server = &http.Server{Handler: v.handler(version, v.born), ReadHeaderTimeout: 10 * time.Second}
	server := v.server
	go func() { _ = server.Serve(listener) }()
	v.d.record.line("server %s starts, version %s", v.id, version)
	return v.d.store.Put(ctx, "servers/"+v.id, map[string]any{
		"Service": "llm", "Version": version, "Address": v.address, "Zone": "a", "Slots": v.slots, "State": "ready", "born": v.born,
	})
}

// end ends the server as a crash does.
func (v *versionedServer) end() {
	v.d.record.line("server %s ends", v.id)
	_ = v.server.Close()
}

func (v *versionedServer) handler(version string, born int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			v.d.record.line("server %s, version %s, is asked for its state", v.id, version)
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(w, `{"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"CallSeq":0,"Queued":0,"Running":0,"KvUsed":0,"KvTotal":230883,"Handles":0,"born":%d}`, born)
			return
		}
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		if r.Header.Get("X-Expect-Instance") != v.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, _ := io.ReadAll(r.Body)
		v.runs.Add(1)
		events, stated := strconv.Atoi(string(body))
		if stated != nil {
			events = v.events
		}
		w.Header().Set(strings.TrimSpace(sealHeader), "seal-"+id)
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		v.d.record.line("server %s, version %s, runs %s after event %d", v.id, version, id, last)
		for event := last + 1; event <= events; event++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s%s\n\n", event, version, v.padding); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-time.After(v.interval):
			case <-r.Context().Done():
				return
			}
		}
		if stated == nil { // it is slow from here on, and its server ends first
			<-r.Context().Done()
		}
	}
}

var errChannelBroken = errors.New("the channel broke")

// clientStream is one stream of a client, over all its tries.
type clientStream struct {
	id       string
	versions map[string]bool
	last     int
	whole    bool
	tries    int
	// breakAfter is the event after which the channel of the first try breaks; 0 for none.
	breakAfter int
}

// play asks for a stream at one of the fronts, and takes it up after its last event when
// it is broken off.
func (c *clientStream) play(ctx context.Context, d *deployment, fronts []string) {
	ctx, cancel := context.WithTimeout(ctx, streamTime)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for ; c.tries < 4 && ctx.Err() == nil && !c.whole; c.tries++ {
		front := fronts[c.tries%len(fronts)]
		status, err := c.try(ctx, d.front(front), time.Until(deadline))
		d.record.line("client: %s, try %d at %s: status %d, last event %d, versions %v, whole %t, %v", c.id, c.tries, front, status, c.last, c.versions, c.whole, err)
		if status == http.StatusServiceUnavailable {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (c *clientStream) try(ctx context.Context, front string, left time.Duration) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/chat/x", strings.NewReader("prompt of "+c.id))
	if err != nil {
		return 0, err
	}
	request.Host = usersplatform.SiteHost
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", c.id, c.tries))
	request.Header.Set("X-Session-Id", c.id)
	request.Header.Set("X-Token-Count", "10,200")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if c.last > 0 {
		request.Header.Set("Resumes", c.id+"-0")
		request.Header.Set("Last-Event-Id", strconv.Itoa(c.last))
	}
	transport := &http.Transport{DisableKeepAlives: true}
	reply, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return reply.StatusCode, nil
	}
	lines := bufio.NewReader(reply.Body)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			c.whole = true
			return reply.StatusCode, nil
		}
		if err != nil {
			return reply.StatusCode, err
		}
		if event, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			c.last, _ = strconv.Atoi(event)
		}
		if c.tries == 0 && c.breakAfter > 0 && c.last > c.breakAfter {
			c.last = c.breakAfter
			return reply.StatusCode, errChannelBroken
		}
		if version, found := strings.CutPrefix(strings.TrimSpace(line), "data: "); found {
			c.versions[version] = true
		}
	}
}

// softwareVersions freezes a front while one server starts again with another software
// version. Clients whose channels break then take their streams up at the other front.
func softwareVersions(s setup) error {
	d, err := newDeployment(s.binary, s.folder, usersplatform.Host{MemoryMB: 284, MaxFDs: 4100, ConfigMs: 2000}, s.record)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	var servers []*versionedServer
	for i := range serverCount {
		server := &versionedServer{d: d, id: fmt.Sprintf("i-%d", i+1), events: streamEvents, interval: eventInterval, slots: 64}
		if err := server.begin(ctx, "v1"); err != nil {
			return err
		}
		servers = append(servers, server)
	}
	if err := d.store.Put(ctx, "op/config", rawJSON(versionsConfig)); err != nil {
		return err
	}
	for _, name := range []string{"store-1", "store-2", "store-3", "store-4", "front-1", "front-2"} {
		if err := d.start(name); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all stores have joined

	var all []*clientStream
	var playing sync.WaitGroup
	begin := func(name string, count, breakAfter int) {
		for i := range count {
			c := &clientStream{id: fmt.Sprintf("%s-%d", name, i), versions: map[string]bool{}, breakAfter: breakAfter * (i % 2)}
			all = append(all, c)
			playing.Go(func() { c.play(ctx, d, []string{"front-1", "front-2"}) })
		}
	}
	for round := range rounds {
		begin(fmt.Sprintf("round%d-early", round), earlyStreams, 0)
		time.Sleep(600 * time.Millisecond)
		if s.trouble {
			d.signal("front-1", syscall.SIGSTOP)
		}
		time.Sleep(beforeEnd)
		servers[0].end()
		time.Sleep(downTime)
		if err := servers[0].begin(ctx, "v2"); err != nil {
			return err
		}
		time.Sleep(freezeTime - beforeEnd - downTime - beforeWake)
		begin(fmt.Sprintf("round%d-later", round), laterStreams, breakAfter)
		time.Sleep(beforeWake)
		if s.trouble {
			d.signal("front-1", syscall.SIGCONT)
		}
		playing.Wait()
		mixed := 0
		for _, c := range all {
			if len(c.versions) > 1 {
				mixed++
				s.record.line("stream %s holds events of the versions %v", c.id, c.versions)
			}
		}
		s.record.say("round %d: %d of %d streams hold events of two software versions", round, mixed, len(all))
		if mixed > 2 {
			return errBroken
		}
		// The server goes back to the first version, in calm.
		servers[0].end()
		time.Sleep(downTime)
		if err := servers[0].begin(ctx, "v1"); err != nil {
			return err
		}
		time.Sleep(calmBetween)
	}
	return nil
}
