package limiter_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"dogwoodline.example/coordination"
	"dogwoodline.example/coordination/coordinationpb"
	"dogwoodline.example/duty"
	"dogwoodline.example/quota"
	"dogwoodline.example/quota/limiter"
)

func TestLimiter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limiter")
}

var bounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func connect(address string) (grpc.ClientConnInterface, func(), error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	return conn, func() { conn.Close() }, err
}

// startLimiters starts the limiters of fronts that exchange reports over loopback.
func startLimiters(count int, limits map[string]quota.Limit) []*limiter.Limiter {
	var fronts []coordination.Front
	var listeners []net.Listener
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, listener)
		fronts = append(fronts, coordination.Front{Address: fmt.Sprint("front-", i), PeerAddress: listener.Addr().String(), Listed: true})
	}
	var all []*limiter.Limiter
	for i, front := range fronts {
		l := limiter.New(front.Address, bounds, uint64(i)<<32, time.Now())
		l.SetLimits(limits)
		group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
		exchange := coordination.New(group, slog.New(slog.DiscardHandler), coordination.Settings{
			Self: front.Address, Topics: []coordination.Topic{l}, Fronts: func() []coordination.Front { return fronts }, Connect: connect,
		})
		l.SetWake(exchange.Wake)
		server := grpc.NewServer()
		coordinationpb.RegisterCoordinationServer(server, exchange)
		served := make(chan struct{})
		go func() { defer close(served); _ = server.Serve(listeners[i]) }()
		DeferCleanup(func() { server.Stop(); <-served; group.Stop() })
		all = append(all, l)
	}
	return all
}

var _ = Describe("Limiters of several fronts", func() {
	// Guards against messages, locks or answers to waiting requests that keep the decisions
	// of package quota from taking effect. The bound holds however slow the machine is.
	It("admit together what one quota allows", func() {
		limit := quota.Limit{RatePerSecond: 100, Burst: 10}
		all := startLimiters(4, map[string]quota.Limit{"acme": limit})
		Eventually(func() bool { admitted, _ := all[0].Take("acme", time.Now()); return admitted }, "5s", "50ms").Should(BeTrue())
		start := time.Now()
		var admitted, refused atomic.Int64
		var clients sync.WaitGroup
		for i := range 40 {
			clients.Go(func() {
				for time.Since(start) < 2*time.Second {
					ok, after := all[i%len(all)].Take("acme", time.Now())
					if ok {
						admitted.Add(1)
					} else {
						refused.Add(1)
						Expect(after).To(BeNumerically(">", 0))
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		clients.Wait()
		most := (limit.RatePerSecond*time.Since(start).Seconds()+limit.Burst)*(1+bounds.Overage) + bounds.Slack +
			bounds.Overage*limit.RatePerSecond*(bounds.Window-time.Since(start)).Seconds()
		GinkgoWriter.Printf("admitted %d refused %d bound %.0f\n", admitted.Load(), refused.Load(), most)
		Expect(float64(admitted.Load())).To(BeNumerically("<=", most))
		Expect(refused.Load()).To(BeNumerically(">", 0))
	})

	// Guards against a limit on organisations that have none, and against requests that
	// wait for coordinators that do not exist.
	It("admit organisations without a limit, and decide alone when no front answers", func() {
		l := limiter.New("front", bounds, 1, time.Now())
		l.SetLimits(map[string]quota.Limit{"small": {RatePerSecond: 1}})
		for range 100 {
			admitted, _ := l.Take("unlimited", time.Now())
			Expect(admitted).To(BeTrue())
		}
		fronts := []coordination.Front{{Address: "front", Listed: true}}
		now := time.Now()
		l.SetFronts(fronts, nil, now)
		admitted, _ := l.Take("small", now)
		Expect(admitted).To(BeFalse()) // its predecessor may have spent the share
		admitted, _ = l.Take("small", now.Add(10*time.Second))
		Expect(admitted).To(BeTrue())
	})

	// Guards against another build that creates tokens by what it reports.
	It("do not answer reports that cannot be", func() {
		l := limiter.New("front", bounds, 1, time.Now())
		Expect(l.Answer("other", []byte{0xff}, time.Now())).To(BeNil())
	})
})
