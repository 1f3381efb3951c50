package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"dogwoodline.example/duty"
	"dogwoodline.example/gateway"
	"dogwoodline.example/netdial"
	"dogwoodline.example/ring"
	"dogwoodline.example/route"
	"dogwoodline.example/tunnel"
	"dogwoodline.example/tunnel/tunnelpb"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/turnstore/turnpb"
)

const (
	// meshFronts and meshClients are the numbers of fronts and of clients of a run.
	meshFronts, meshClients = 5, 8
	// meshPhases is how often other fronts are cut off, and meshPhase for how long.
	// What is served counts from meshContact after the cut began, a third of the time
	// that the users allow.
	meshPhases  = 4
	meshPhase   = 2 * time.Second
	meshContact = time.Second
)

// linkMode is what becomes of the connections that a front opens to backend servers.
type linkMode int32

const (
	linkOpen linkMode = iota
	linkHangs
	linkRefuses
)

// meshFront is one of several fronts whose links to backend servers are cut one by one.
type meshFront struct {
	*fixture
	mode   atomic.Int32
	mu     sync.Mutex
	opened []net.Conn
}

// mesh is a set of fronts that share turn stores and backend servers.
type mesh struct {
	fronts []*meshFront
	stores *fakeTurnStore
}

// meshStore is the client of the shared turn stores of one front.
type meshStore struct {
	*fakeTurnStore
	own *ring.Ring[turnstore.Fact]
	all *[]*ring.Ring[turnstore.Fact]
}

func (s *meshStore) Announced() *ring.Ring[turnstore.Fact] { return s.own }

func (s *meshStore) Send(records ...*turnpb.Record) bool {
	for _, record := range records {
		if fact := record.GetFact(); fact != nil && fact.Announced {
			for _, to := range *s.all {
				_ = to.TryPush(turnstore.Fact{Key: fact.Key, Version: fact.Version, Value: fact.Value, Expires: time.UnixMilli(fact.ExpiresUnixMs)})
			}
		}
	}
	return s.fakeTurnStore.Send(records...)
}

// dial opens a connection as the mode of the front allows.
func (f *meshFront) dial(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	switch linkMode(f.mode.Load()) {
	case linkRefuses:
		return netdial.DialContext(ctx, "tcp", "127.0.0.1:1") // nobody listens there
	case linkHangs:
		select {
		case <-time.After(limit):
		case <-ctx.Done():
		}
		return nil, context.DeadlineExceeded
	}
	conn, err := netdial.Dialer{Timeout: limit}.DialContext(ctx, "tcp", address)
	if err == nil {
		f.mu.Lock()
		f.opened = append(f.opened, conn)
		f.mu.Unlock()
	}
	return conn, err
}

// cut changes the mode of the links, and resets the open connections.
func (f *meshFront) cut(mode linkMode) {
	f.mode.Store(int32(mode))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.opened {
		_ = conn.Close() // it may be closed already
	}
	f.opened = nil
}

// newMesh starts fronts with the given route before the backend servers.
func newMesh(r route.Route, versions []string, backends ...http.HandlerFunc) *mesh {
	first := newFixture(r, backends...)
	m := &mesh{stores: first.turnStore}
	var rings []*ring.Ring[turnstore.Fact]
	var known []gateway.Front
	for i := range meshFronts {
		f := &meshFront{fixture: &fixture{addresses: first.addresses, versions: versions, route: first.route}}
		group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
		client := tunnel.NewClient(slog.New(slog.DiscardHandler), func(address string) (grpc.ClientConnInterface, func(), error) {
			conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
			return conn, func() { conn.Close() }, err
		})
		// The other front opens connections over its own links.
		viaLinks := func(ctx context.Context, address string) (net.Conn, error) {
			return f.dial(ctx, address, 300*time.Millisecond)
		}
		cutOff := func() bool { return f.gateway.CutOff() }
		server := grpc.NewServer()
		tunnelpb.RegisterTunnelServer(server, tunnel.NewServer(group, slog.New(slog.DiscardHandler), viaLinks, func(string) bool { return true }, cutOff))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(listener)
		}()
		DeferCleanup(func() {
			client.Close()
			server.Stop()
			<-served
			group.Stop()
		})
		rings = append(rings, ring.New[turnstore.Fact](64))
		f.store = &meshStore{fakeTurnStore: first.turnStore, own: rings[i], all: &rings}
		address := fmt.Sprint("front-", i)
		f.startGateway(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: 32, Address: address, Detour: client, Dial: f.dial})
		known = append(known, gateway.Front{Address: address, Cores: 1, PeerAddress: listener.Addr().String()})
		m.fronts = append(m.fronts, f)
	}
	for _, f := range m.fronts {
		Expect(f.gateway.SetFronts(context.Background(), known)).To(Succeed())
	}
	return m
}

// run sends requests of clients while other fronts are cut off in each phase.
func (m *mesh) run(seed uint64, client func(ctx context.Context, name string, random *rand.Rand, counts func() bool)) {
	ctx, cancel := context.WithCancel(context.Background())
	var since atomic.Int64 // when the phase began
	counts := func() bool { return time.Since(time.Unix(0, since.Load())) > meshContact }
	var clients sync.WaitGroup
	for i := range meshClients {
		clients.Go(func() {
			defer GinkgoRecover()
			client(ctx, fmt.Sprint("c", i), rand.New(rand.NewPCG(seed, uint64(i))), counts)
		})
	}
	random := rand.New(rand.NewPCG(seed, 1000))
	for range meshPhases {
		since.Store(time.Now().UnixNano())
		order := random.Perm(len(m.fronts))
		count := 1 + random.IntN(len(m.fronts)-2)
		for place, i := range order {
			mode := linkOpen
			if place < count {
				mode = linkHangs + linkMode(random.IntN(2))
			}
			m.fronts[i].cut(mode)
		}
		time.Sleep(meshPhase)
	}
	cancel()
	clients.Wait()
}

var _ = Describe("Fronts that are cut off from all backend servers in turn", func() {
	// Guards against calls that run twice or although they were refused, and against
	// clients of fronts that are cut off who are served far worse, while cuts of several
	// fronts, silent ones and refusing ones, follow each other (RECOVER, issue 26).
	DescribeTable("run each call once at most, and serve their clients", func(seed uint64) {
		var mu sync.Mutex
		runs := map[string]int{}
		handle := func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			runs[r.Header.Get(idHeader)]++
			mu.Unlock()
			time.Sleep(3 * time.Millisecond)
			fmt.Fprint(w, "done")
		}
		m := newMesh(route.Route{Kind: route.Unsafe, Timeout: 3 * time.Second}, nil, handle, handle, handle, handle)
		refused := map[string]bool{}
		var cutFirst, cutDone, openFirst, openDone atomic.Int64
		m.run(seed, func(ctx context.Context, name string, random *rand.Rand, counts func() bool) {
			for i := 0; ctx.Err() == nil; i++ {
				f := m.fronts[random.IntN(len(m.fronts))]
				id, counted, cut := fmt.Sprint(name, "-", i), counts(), linkMode(f.mode.Load()) != linkOpen
				reply, err := f.send(ctx, "/r/x", idHeader, id)
				if err != nil {
					continue // the run is over
				}
				body, _ := io.ReadAll(reply.Body)
				reply.Body.Close()
				if reply.StatusCode == http.StatusServiceUnavailable {
					mu.Lock()
					refused[id] = true
					mu.Unlock()
				}
				served := reply.StatusCode == http.StatusOK && string(body) == "done"
				if !counted || !counts() {
					continue
				}
				first, done := &openFirst, &openDone
				if cut {
					first, done = &cutFirst, &cutDone
				}
				first.Add(1)
				if served {
					done.Add(1)
				}
			}
		})
		mu.Lock()
		defer mu.Unlock()
		for id, count := range runs {
			Expect(count).To(Equal(1), id)
			Expect(refused[id]).To(BeFalse(), "%s ran and was refused", id)
		}
		Expect(cutFirst.Load()).To(BeNumerically(">", 20))
		Expect(openFirst.Load()).To(BeNumerically(">", 20))
		share := func(done, first int64) float64 { return float64(done) / float64(first) }
		Expect(share(cutDone.Load(), cutFirst.Load())).To(BeNumerically(">=", 2.0/3*share(openDone.Load(), openFirst.Load())),
			"%d of %d, others %d of %d", cutDone.Load(), cutFirst.Load(), openDone.Load(), openFirst.Load())
	}, Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)))

	// Guards against streams that change their software version when they are taken up
	// at, or go on through, other fronts (ORDER, issue 26).
	DescribeTable("keep the software versions of streams", func(seed uint64) {
		versioned := func(version string) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get(resumeHeader)) // none for a stream from its start
				w.Header().Set("Content-Type", "text/event-stream")
				for id := last + 1; id <= 5; id++ {
					fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, version)
					w.(http.Flusher).Flush()
					if id < 5 && rand.Float64() < 0.15 {
						panic(http.ErrAbortHandler)
					}
				}
			}
		}
		versions := []string{"v1", "v2", "v1", "v2"}
		single := resumableRoute
		single.MaxBackendServers = 1
		m := newMesh(single, versions, versioned("v1"), versioned("v2"), versioned("v1"), versioned("v2"))
		var takenUp, goneOn, mixed atomic.Int64
		m.run(seed, func(ctx context.Context, name string, random *rand.Rand, _ func() bool) {
			for i := 0; ctx.Err() == nil; i++ {
				began, got := "", ""
				for try := range 5 {
					id := fmt.Sprint(name, "-", i, "-", try)
					header := []string{idHeader, id}
					if began != "" {
						header = append(header, resumesHeader, began, resumeHeader, strconv.Itoa(strings.Count(got, "id: ")))
						takenUp.Add(1)
					}
					reply, err := m.fronts[random.IntN(len(m.fronts))].send(ctx, "/r/x", header...)
					if err != nil {
						break
					}
					body, err := io.ReadAll(reply.Body)
					reply.Body.Close()
					if end := strings.LastIndex(string(body), "\n\n"); reply.StatusCode == http.StatusOK && end > 0 {
						if began == "" {
							began = id
						} else {
							goneOn.Add(1)
						}
						got += string(body[:end+2])
					}
					if err == nil && reply.StatusCode == http.StatusOK {
						break
					}
				}
				if strings.Contains(got, "v1") && strings.Contains(got, "v2") {
					mixed.Add(1)
				}
			}
		})
		Expect(mixed.Load()).To(BeZero())
		Expect(takenUp.Load()).To(BeNumerically(">", 20))
		Expect(goneOn.Load()).To(BeNumerically(">", takenUp.Load()/2))
	}, Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)))
})
