package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// freezeTime is how long a front stands still.
	freezeTime = 4600 * time.Millisecond
	// A server ends beforeEnd after that begins, and is down for downTime. The other streams
	// begin beforeWake before the front goes on.
	beforeEnd, downTime, beforeWake = 200 * time.Millisecond, 2 * time.Second, 800 * time.Millisecond
	// streamTime is the time that a client has for a stream, and streamEvents the number of
	// its events, eventInterval apart.
	streamTime    = 4 * time.Second
	streamEvents  = 50
	eventInterval = 40 * time.Millisecond
	// rounds is how often all of it is played at most, with calmBetween between two rounds.
	rounds, calmBetween = 4, 4 * time.Second
	// streamsEach is how many streams begin at a time.
	streamsEach = 24
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
		"Service": "llm", "Version": version, "Address": v.address, "Zone": "a", "Slots": 64, "State": "ready", "born": v.born,
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
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(strings.TrimSpace(sealHeader), "seal-"+id)
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		v.d.record.line("server %s, version %s, runs %s after event %d", v.id, version, id, last)
		for event := last + 1; event <= streamEvents; event++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, version); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-time.After(eventInterval):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// clientStream is one stream of a client, over all its tries.
type clientStream struct {
	id       string
	versions map[string]bool
	last     int
	whole    bool
	tries    int
}

// play asks for a stream at one of the fronts, and takes it up after its last event when
// it is broken off.
func (c *clientStream) play(ctx context.Context, d *deployment, fronts []string) {
	ctx, cancel := context.WithTimeout(ctx, streamTime)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for ; c.tries < 4 && ctx.Err() == nil && !c.whole; c.tries++ {
		front := fronts[rand.IntN(len(fronts))]
		if c.tries == 0 {
			front = fronts[0]
		}
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
		if version, found := strings.CutPrefix(strings.TrimSpace(line), "data: "); found {
			c.versions[version] = true
		}
	}
}

// softwareVersions freezes a front while one server starts again with another software
// version, and has the other server do so when the front goes on.
func softwareVersions(s setup) error {
	d, err := newDeployment(s.binary, s.folder, usersplatform.Host{MemoryMB: 284, MaxFDs: 4100, ConfigMs: 2000}, s.record)
	if err != nil {
		return err
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	first, second := &versionedServer{d: d, id: "i-1"}, &versionedServer{d: d, id: "i-2"}
	for _, server := range []*versionedServer{first, second} {
		if err := server.begin(ctx, "v1"); err != nil {
			return err
		}
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
	begin := func(name string, fronts ...string) {
		for i := range streamsEach {
			c := &clientStream{id: fmt.Sprintf("%s-%d", name, i), versions: map[string]bool{}}
			all = append(all, c)
			playing.Go(func() { c.play(ctx, d, fronts) })
		}
	}
	for round := range rounds {
		name := fmt.Sprintf("round%d", round)
		begin(name+"-a", "front-1", "front-2")
		time.Sleep(600 * time.Millisecond)
		if s.trouble {
			d.signal("front-1", syscall.SIGSTOP)
		}
		time.Sleep(beforeEnd)
		first.end()
		time.Sleep(downTime)
		if err := first.begin(ctx, "v2"); err != nil {
			return err
		}
		time.Sleep(freezeTime - beforeEnd - downTime - beforeWake)
		begin(name+"-b", "front-2", "front-1")
		time.Sleep(beforeWake)
		if s.trouble {
			d.signal("front-1", syscall.SIGCONT)
		}
		time.Sleep(10 * time.Millisecond)
		second.end()
		time.Sleep(downTime)
		if err := second.begin(ctx, "v2"); err != nil {
			return err
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
		// Both go back to the first version, in calm.
		for _, server := range []*versionedServer{first, second} {
			server.end()
			time.Sleep(downTime)
			if err := server.begin(ctx, "v1"); err != nil {
				return err
			}
		}
		time.Sleep(calmBetween)
	}
	return nil
}
