package slopes

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// targetNodes and targetBackends are the sizes of the design page.
	targetNodes    = 420
	targetBackends = 12_000
	// callsPerNode is the load on each node, in calls a second.
	callsPerNode = 10
)

// sample is what the counters of a deployment show at a time.
type sample struct {
	at        time.Time
	counters  map[string]int64
	platform  int64
	peers     int64
	processor time.Duration
}

func (r *rig) sample() sample {
	return sample{
		at: time.Now(), counters: r.Platform().Counters(), platform: r.platformBytes.bytes.Load(),
		peers: r.peerBytes.bytes.Load(), processor: cpuTime(),
	}
}

// rates returns the differences per second and node.
func rates(from, to sample, nodes int) []float64 {
	per := to.at.Sub(from.at).Seconds() * float64(nodes)
	sum := func(kinds ...string) float64 {
		total := int64(0)
		for _, kind := range kinds {
			total += to.counters[kind] - from.counters[kind]
		}
		return float64(total) / per
	}
	return []float64{
		sum("renew", "grant", "revoke"), sum("put", "delete"), sum("watch"), sum("hosts"), sum("get", "list"),
		float64(to.platform-from.platform) / per, float64(to.peers-from.peers) / per,
		100 * (to.processor - from.processor).Seconds() / per,
	}
}

func controlSeries(when string) []series {
	named := func(what, unit string) series { return series{when + ": " + what, unit} }
	return []series{
		named("lease writes", "1/s a node"), named("put, delete", "1/s a node"), named("watch", "1/s a node"),
		named("host list", "1/s a node"), named("get, list", "1/s a node"), named("platform bytes", "B/s a node"),
		named("peer bytes", "B/s a node"), named("CPU of the whole process", "% of a core a node"),
	}
}

// measureControl measures deployments of several sizes, first without any
// resource or caller, then with a fixed load on each node.
func measureControl(ctx context.Context, options Options) ([]Slope, error) {
	sizes := []int{3, 6, 12, 24}
	idle := sweep{size: "nodes", target: targetNodes, series: controlSeries("idle")}.empty()
	loaded := sweep{size: "nodes", target: targetNodes,
		series: append(controlSeries("loaded"), series{"loaded: calls", "1/s a node"})}.empty()
	memory := sweep{size: "nodes", target: targetNodes,
		series: []series{{"idle: heap", "B a node"}, {"idle: goroutines", "a node"}, {"idle: peer connections", "a node"}}}.empty()
	for _, nodes := range sizes {
		if err := controlAt(ctx, options, nodes, idle, loaded, memory); err != nil {
			return nil, err
		}
	}
	return append(append(idle.slopes(), loaded.slopes()...), memory.slopes()...), nil
}

func controlAt(ctx context.Context, options Options, nodes int, idle, loaded, memory *collection) error {
	r, err := startRig(ctx, options, nodes, 2)
	if err != nil {
		return err
	}
	defer r.Close()
	for range Repeats {
		before := r.sample()
		if err := sleep(ctx, options.Window); err != nil {
			return err
		}
		idle.add(nodes, rates(before, r.sample(), nodes))
		memory.add(nodes, []float64{heapBytes() / float64(nodes), float64(runtime.NumGoroutine()) / float64(nodes),
			float64(r.peerBytes.connections.Load()) / float64(nodes)})
	}
	if err := r.declare(ctx, r.engineAddresses()); err != nil {
		return err
	}
	for range Repeats {
		before := r.sample()
		running, stop := context.WithTimeout(ctx, options.Window)
		calls := <-r.load(running, 2*nodes, 2*time.Second/callsPerNode)
		stop()
		after := r.sample()
		seconds := after.at.Sub(before.at).Seconds()
		loaded.add(nodes, append(rates(before, after, nodes), float64(calls)/seconds/float64(nodes)))
	}
	return ctx.Err()
}

// frontedEngine is a proxy before an engine that counts requests.
type frontedEngine struct {
	server *http.Server
	addr   string
	load   atomic.Int64 // load reports and cache events
	held   atomic.Int64 // reports of held memory
}

func startFront(engineURL string, bytes *counter) (*frontedEngine, error) {
	target, err := url.Parse(engineURL)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f := &frontedEngine{addr: socket.Addr().String()}
	proxy := httputil.NewSingleHostReverseProxy(target)
	f.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/held" {
			f.held.Add(1)
		} else {
			f.load.Add(1)
		}
		proxy.ServeHTTP(w, q)
	})}
	go func() { _ = f.server.Serve(bytes.wrap(socket)) }() // ends with Close
	return f, nil
}

// measurePolling measures what nodes without calls ask of backend servers.
func measurePolling(ctx context.Context, options Options) ([]Slope, error) {
	const nodes = 3
	found := sweep{size: "backend servers", target: targetBackends, series: []series{
		{"polls of load and cache", "1/s, all nodes"}, {"polls of held memory", "1/s, all nodes"}, {"poll bytes", "B/s, all nodes"},
	}}.empty()
	for _, engines := range []int{2, 4, 8, 16} {
		if err := pollingAt(ctx, options, nodes, engines, found); err != nil {
			return nil, err
		}
	}
	return found.slopes(), nil
}

func pollingAt(ctx context.Context, options Options, nodes, engines int, found *collection) error {
	r, err := startRig(ctx, options, nodes, engines)
	if err != nil {
		return err
	}
	defer r.Close()
	var bytes counter
	var fronts []*frontedEngine
	var addresses []string
	for _, e := range r.Engines {
		f, err := startFront(e.URL(), &bytes)
		if err != nil {
			return err
		}
		defer func() { _ = f.server.Close() }() // it holds nothing but connections
		fronts, addresses = append(fronts, f), append(addresses, f.addr)
	}
	if err := r.declare(ctx, addresses); err != nil {
		return err
	}
	counts := func() []float64 {
		values := []float64{0, 0, float64(bytes.bytes.Load())}
		for _, f := range fronts {
			values[0] += float64(f.load.Load())
			values[1] += float64(f.held.Load())
		}
		return values
	}
	for range Repeats {
		before, begin := counts(), time.Now()
		if err := sleep(ctx, options.Window); err != nil {
			return err
		}
		after, seconds := counts(), time.Since(begin).Seconds()
		for i := range after {
			after[i] = (after[i] - before[i]) / seconds
		}
		found.add(engines, after)
	}
	return nil
}
