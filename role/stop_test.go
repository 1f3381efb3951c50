package role

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/duty"
	"dogwoodline.example/platform"
)

var _ = Describe("A process that stops", func() {
	// Guards against processes that are still there at the end of the grace time: a gRPC
	// server waits for connections on which the other side has sent nothing yet, such as
	// that of a front that was frozen, for two minutes by default.
	It("does not wait for a peer that has connected and sends nothing", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := newGRPCServer()
		var served sync.WaitGroup
		served.Go(func() { _ = server.Serve(listener) })
		for range 3 {
			conn, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
		}
		time.Sleep(50 * time.Millisecond) // the connections are accepted in another goroutine
		started := time.Now()
		stopGRPC(server)
		served.Wait()
		Expect(time.Since(started)).To(BeNumerically("<", handshakeTimeout+storeStopTimeout+time.Second))
	})

	// Guards against a duty that does not end, such as one that waits for a disk: what the
	// process has acknowledged is on disks, so it has nothing to wait for.
	It("exits at the end of its time although a duty does not end, and names it", func() {
		exited := make(chan struct{})
		stuck := make(chan struct{})
		p := &process{
			host: platform.Host{StopWindow: exitReserve + 100*time.Millisecond}, log: slog.New(slog.DiscardHandler),
			exit: func() { close(exited) },
		}
		p.group = duty.NewGroup(context.Background(), p.log, metrics.NewSet())
		p.group.Go("stuck", func(context.Context) error { <-stuck; return nil })
		p.group.Go("ends", func(context.Context) error { return nil })
		p.limitStop()
		Eventually(exited, "2s").Should(BeClosed())
		Eventually(p.group.Running).Should(Equal([]string{"stuck"}))
		close(stuck)
		p.group.Stop()
	})
})
