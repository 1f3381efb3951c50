package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
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
	"dogwoodline.example/route"
	"dogwoodline.example/tunnel"
	"dogwoodline.example/tunnel/tunnelpb"
)

// cutFront is a front whose direct connections to backend servers fail, and a front
// that reaches them.
type cutFront struct {
	*fixture
	tunnels *tunnel.Server
	peers   *grpc.Server
	cut     atomic.Bool
	refuses bool
}

func newCutFront(r route.Route, refuses bool, backends ...http.HandlerFunc) *cutFront {
	f := &cutFront{refuses: refuses, peers: grpc.NewServer()}
	f.cut.Store(true)
	group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
	f.tunnels = tunnel.NewServer(group, slog.New(slog.DiscardHandler), dialDirect, func(string) bool { return true }, func() bool { return false })
	tunnelpb.RegisterTunnelServer(f.peers, f.tunnels)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = f.peers.Serve(listener)
	}()
	client := tunnel.NewClient(slog.New(slog.DiscardHandler), func(address string) (grpc.ClientConnInterface, func(), error) {
		conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		return conn, func() { conn.Close() }, err
	})
	DeferCleanup(func() {
		client.Close()
		f.peers.Stop()
		<-served
		group.Stop()
	})
	f.fixture = newFixtureWith(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: 8, Detour: client, Dial: f.dial}, r, backends...)
	Expect(f.gateway.SetFronts(context.Background(), []gateway.Front{
		{Address: "self", Cores: 1, PeerAddress: "127.0.0.1:1"}, {Address: "other", Cores: 1, PeerAddress: listener.Addr().String()},
	})).To(Succeed())
	return f
}

func dialDirect(_ context.Context, address string) (net.Conn, error) { return net.Dial("tcp", address) }

// dial is the direct dial of the front. While it is cut off, opening packets get no
// answer, or a refusal.
func (f *cutFront) dial(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	switch {
	case f.cut.Load() && f.refuses:
		return netdial.DialContext(ctx, "tcp", "127.0.0.1:1") // nobody listens there
	case f.cut.Load():
		select {
		case <-time.After(limit):
		case <-ctx.Done():
		}
		return nil, context.DeadlineExceeded
	}
	return netdial.Dialer{Timeout: limit}.DialContext(ctx, "tcp", address)
}

var _ = Describe("A front without links to backend servers", func() {
	// Guards against clients of such a front that are served far worse than those of
	// the others (RECOVER, issue 26).
	DescribeTable("serves through another front, tells the others, and uses its own links when they are back", func(refuses bool) {
		var f *cutFront
		var runs atomic.Int64
		done := func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			fmt.Fprint(w, "done")
		}
		f = newCutFront(route.Route{Kind: route.Unsafe}, refuses, done, done, done)
		for i := range 30 {
			status, body, _ := f.post("/r/x", idHeader, fmt.Sprint("req-", i))
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("done"))
		}
		Expect(runs.Load()).To(BeEquivalentTo(30), "each ran once")
		addresses := func() []string {
			all, _ := f.gateway.Addresses("a")
			return all
		}
		Eventually(addresses, "2s", "20ms").Should(Equal([]string{"other"}))
		Expect(f.turnStore.facts.get("front/self").Version).To(BeNumerically(">", 0))
		f.cut.Store(false)
		Eventually(addresses, "4s", "20ms").Should(ConsistOf("self", "other"))
		Eventually(f.tunnels.Active, "1s", "5ms").Should(BeZero())
		f.peers.Stop()
		status, _, _ := f.post("/r/x", idHeader, "direct")
		Expect(status).To(Equal(http.StatusOK))
	},
		Entry("when opening packets get no answer", false),
		Entry("when connections are refused", true),
	)

	// Guards against a call that runs twice, or is said not to have run, because the
	// front that it leads through is lost.
	It("does not run a call again when the front that it leads through is lost", func() {
		var runs atomic.Int64
		running, end := make(chan struct{}, 4), make(chan struct{})
		wait := func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			running <- struct{}{}
			<-end
		}
		f := newCutFront(route.Route{Kind: route.Unsafe}, true, wait, wait)
		DeferCleanup(func() { close(end) }) // before the backend servers are closed, which wait for it
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _, _ := f.post("/r/x")
			answered <- status
		}()
		<-running
		f.peers.Stop()
		Eventually(answered, "2s").Should(Receive(Equal(http.StatusBadGateway)))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a refusal that is held until the time of the request is over, and
	// against one that is not true.
	It("refuses a call as not run when no front reaches the server", func() {
		var runs atomic.Int64
		f := newCutFront(route.Route{Kind: route.Unsafe}, true, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		f.peers.Stop()
		start := time.Now()
		status, _, _ := f.post("/r/x")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		Expect(runs.Load()).To(BeZero())
	})
})
