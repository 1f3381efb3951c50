package coordination_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"dogwoodline.example/coordination"
	pb "dogwoodline.example/coordination/coordinationpb"
	"dogwoodline.example/duty"
)

func TestCoordination(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coordination")
}

// echo is a topic that notes which coordinators answered and who reported.
type echo struct {
	mu           sync.Mutex
	learnt       map[string]string
	reported     map[string]bool
	coordinators []string
}

func (*echo) Name() string { return "echo" }

func (*echo) Report(coordinator string, _ time.Time) []byte { return []byte("to " + coordinator) }

func (t *echo) Answer(front string, payload []byte, _ time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported[front] = true
	return append([]byte("heard "), payload...)
}

func (t *echo) Learn(coordinator string, payload []byte, _ time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learnt[coordinator] = string(payload)
}

func (t *echo) SetFronts(_ []coordination.Front, coordinators []string, _ time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coordinators = coordinators
}

func (t *echo) answers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for coordinator, payload := range t.learnt {
		Expect(payload).To(Equal("heard to " + coordinator))
		all = append(all, coordinator)
	}
	return all
}

func (t *echo) chosen() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coordinators
}

// runningFront is a front that serves the exchange.
type runningFront struct {
	topic  *echo
	server *grpc.Server
}

// startFronts starts fronts whose listeners are open; those for which old returns true
// serve gRPC without the exchange.
func startFronts(count int, old func(i int) bool) []*runningFront {
	var fronts []coordination.Front
	var running []*runningFront
	var listeners []net.Listener
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, listener)
		fronts = append(fronts, coordination.Front{Address: fmt.Sprint("front-", i), PeerAddress: listener.Addr().String(), Listed: true})
	}
	for i := range count {
		f := &runningFront{topic: &echo{learnt: map[string]string{}, reported: map[string]bool{}}, server: grpc.NewServer()}
		group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
		exchange := coordination.New(group, slog.New(slog.DiscardHandler), coordination.Settings{
			Self: fronts[i].Address, Topics: []coordination.Topic{f.topic}, Fronts: func() []coordination.Front { return fronts },
			Connect: func(address string) (grpc.ClientConnInterface, func(), error) {
				conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
				return conn, func() { conn.Close() }, err
			},
		})
		if !old(i) {
			pb.RegisterCoordinationServer(f.server, exchange)
		}
		served := make(chan struct{})
		go func() { defer close(served); _ = f.server.Serve(listeners[i]) }()
		DeferCleanup(func() { f.server.Stop(); <-served; group.Stop() })
		running = append(running, f)
	}
	return running
}

var _ = Describe("Coordinators", func() {
	// Guards against messages that grow with the fleet, and against a choice that the
	// order of the list decides.
	It("are at most eight of the listed fronts, the same whatever the order of the list", func() {
		var fronts []coordination.Front
		for i := range 72 {
			fronts = append(fronts, coordination.Front{Address: fmt.Sprint("f", i), PeerAddress: "p", Listed: i%2 == 0, Draining: i%10 == 0})
		}
		all := func(string) bool { return true }
		chosen := coordination.Coordinators(fronts, all)
		Expect(chosen).To(HaveLen(coordination.MaxCoordinators))
		for i := range fronts[:36] {
			fronts[i], fronts[71-i] = fronts[71-i], fronts[i]
		}
		Expect(coordination.Coordinators(fronts, all)).To(Equal(chosen))
		Expect(chosen).To(ContainElement(coordination.Owner(chosen, "acme")))
		Expect(coordination.Owner(nil, "acme")).To(BeEmpty())
	})
})

var _ = Describe("An exchange", func() {
	It("brings the reports of each front to each coordinator, its own included, and the answers back", func() {
		running := startFronts(3, func(int) bool { return false })
		for _, f := range running {
			Eventually(f.topic.answers, "5s", "20ms").Should(ConsistOf("front-0", "front-1", "front-2"))
		}
	})

	// Guards against subjects that belong to a front of an earlier release, which answers
	// Unimplemented, or to one that has been lost.
	It("takes fronts that do not serve it, or no longer, for no coordinators", func() {
		running := startFronts(3, func(i int) bool { return i == 0 })
		Eventually(running[1].topic.chosen, "5s", "20ms").Should(ConsistOf("front-1", "front-2"))
		running[2].server.Stop()
		Eventually(running[1].topic.chosen, "5s", "20ms").Should(ConsistOf("front-1"))
	})
})
