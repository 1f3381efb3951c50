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
	// targetNodes and targetBackends are the sizes that the system is designed
	// for.
	targetNodes    = 420
	targetBackends = 12_000
	// callsPerNode is the load on each node, in calls per second.
	callsPerNode = 10
)

// sample holds the counters of a deployment at one time.
type sample struct {
	at            time.Time
	counters      map[string]int64
	platformBytes int64
	peerBytes     int64
	cpu           time.Duration
}

// sample reads the counters of the deployment.
func (t *testbed) sample() sample {
	return sample{
		at: time.Now(), counters: t.Platform().Counters(), platformBytes: t.platformBytes.bytes.Load(),
		peerBytes: t.peerBytes.bytes.Load(), cpu: cpuTime(),
	}
}

// rates returns the differences between two samples per second and node, in the
// order of controlSeries. The CPU time is in percent of a core.
func rates(from, to sample, nodes int) []float64 {
	nodeSeconds := to.at.Sub(from.at).Seconds() * float64(nodes)
	sum := func(kinds ...string) float64 {
		total := int64(0)
		for _, kind := range kinds {
			total += to.counters[kind] - from.counters[kind]
		}
		return float64(total) / nodeSeconds
	}
	return []float64{
		sum("renew", "grant", "revoke"), sum("put", "delete"), sum("watch"), sum("hosts"), sum("get", "list"),
		float64(to.platformBytes-from.platformBytes) / nodeSeconds, float64(to.peerBytes-from.peerBytes) / nodeSeconds,
		100 * (to.cpu - from.cpu).Seconds() / nodeSeconds,
	}
}

// controlSeries returns the series of rates, with a prefix for their names.
func controlSeries(when string) []series {
	named := func(what, unit string) series { return series{when + ": " + what, unit} }
	return []series{
		named("lease writes", "1/s a node"), named("put, delete", "1/s a node"), named("watch", "1/s a node"),
		named("host list", "1/s a node"), named("get, list", "1/s a node"), named("platform bytes", "B/s a node"),
		named("peer bytes", "B/s a node"), named("CPU of the whole process", "% of a core a node"),
	}
}

// measureControl measures deployments of several sizes, first idle, without any
// resources or callers, and then with a fixed load on each node.
func measureControl(ctx context.Context, options Options) ([]Slope, error) {
	sizes := []int{3, 6, 12, 24}
	idle := sweep{size: "nodes", target: targetNodes, series: controlSeries("idle")}.newCollection()
	loaded := sweep{size: "nodes", target: targetNodes,
		series: append(controlSeries("loaded"), series{"loaded: calls", "1/s a node"})}.newCollection()
	memory := sweep{size: "nodes", target: targetNodes,
		series: []series{{"idle: heap", "B a node"}, {"idle: goroutines", "a node"}, {"idle: peer connections", "a node"}}}.newCollection()
	for _, nodes := range sizes {
		if err := measureControlAt(ctx, options, nodes, idle, loaded, memory); err != nil {
			return nil, err
		}
	}
	return append(append(idle.slopes(), loaded.slopes()...), memory.slopes()...), nil
}

// measureControlAt adds the measurements of a deployment of one size.
func measureControlAt(ctx context.Context, options Options, nodes int, idle, loaded, memory *collection) error {
	t, err := startTestbed(ctx, options, nodes, 2)
	if err != nil {
		return err
	}
	defer t.Close()
	for range Repeats {
		before := t.sample()
		if err := sleep(ctx, options.Window); err != nil {
			return err
		}
		idle.add(nodes, rates(before, t.sample(), nodes))
		memory.add(nodes, []float64{heapBytes() / float64(nodes), float64(runtime.NumGoroutine()) / float64(nodes),
			float64(t.peerBytes.connections.Load()) / float64(nodes)})
	}
	if err := t.declare(ctx, t.engineAddresses()); err != nil {
		return err
	}
	for range Repeats {
		before := t.sample()
		loadCtx, stop := context.WithTimeout(ctx, options.Window)
		calls := <-t.startLoad(loadCtx, 2*nodes, 2*time.Second/callsPerNode)
		stop()
		after := t.sample()
		seconds := after.at.Sub(before.at).Seconds()
		loaded.add(nodes, append(rates(before, after, nodes), float64(calls)/seconds/float64(nodes)))
	}
	return ctx.Err()
}

// countingProxy is a proxy in front of an engine that counts requests.
type countingProxy struct {
	server      *http.Server
	addr        string
	statusPolls atomic.Int64 // of load reports and cache events
	heldPolls   atomic.Int64 // of the KV cache that each program holds
}

// startCountingProxy starts a proxy that counts its traffic in bytes.
func startCountingProxy(engineURL string, bytes *counter) (*countingProxy, error) {
	target, err := url.Parse(engineURL)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &countingProxy{addr: listener.Addr().String()}
	proxy := httputil.NewSingleHostReverseProxy(target)
	p.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/held" {
			p.heldPolls.Add(1)
		} else {
			p.statusPolls.Add(1)
		}
		proxy.ServeHTTP(w, request)
	})}
	go func() { _ = p.server.Serve(bytes.wrap(listener)) }() // ends with Close
	return p, nil
}

// measurePolling measures how often idle nodes poll the backend servers, and the
// bytes that this takes.
func measurePolling(ctx context.Context, options Options) ([]Slope, error) {
	const nodes = 3
	collected := sweep{size: "backend servers", target: targetBackends, series: []series{
		{"polls of load and cache", "1/s, all nodes"}, {"polls of held memory", "1/s, all nodes"}, {"poll bytes", "B/s, all nodes"},
	}}.newCollection()
	for _, engines := range []int{2, 4, 8, 16} {
		if err := measurePollingAt(ctx, options, nodes, engines, collected); err != nil {
			return nil, err
		}
	}
	return collected.slopes(), nil
}

// measurePollingAt adds the measurements with one number of engines.
func measurePollingAt(ctx context.Context, options Options, nodes, engines int, collected *collection) error {
	t, err := startTestbed(ctx, options, nodes, engines)
	if err != nil {
		return err
	}
	defer t.Close()
	var bytes counter
	var proxies []*countingProxy
	var addresses []string
	for _, e := range t.Engines {
		p, err := startCountingProxy(e.URL(), &bytes)
		if err != nil {
			return err
		}
		defer func() { _ = p.server.Close() }() // only closes connections
		proxies, addresses = append(proxies, p), append(addresses, p.addr)
	}
	if err := t.declare(ctx, addresses); err != nil {
		return err
	}
	counts := func() []float64 {
		values := []float64{0, 0, float64(bytes.bytes.Load())}
		for _, p := range proxies {
			values[0] += float64(p.statusPolls.Load())
			values[1] += float64(p.heldPolls.Load())
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
		collected.add(engines, after)
	}
	return nil
}
