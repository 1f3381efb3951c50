package tunnel_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"dogwoodline.example/duty"
	"dogwoodline.example/tunnel"
	"dogwoodline.example/tunnel/tunnelpb"
)

func TestTunnel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tunnel")
}

// peer is another front that opens connections.
type peer struct {
	server  *tunnel.Server
	grpc    *grpc.Server
	address string
	cutOff  bool
	refused bool // its own connections are refused
}

func startPeer(known func(string) bool) *peer {
	p := &peer{grpc: grpc.NewServer()}
	group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		if p.refused {
			return nil, syscall.ECONNREFUSED
		}
		return dialDirect(ctx, address)
	}
	p.server = tunnel.NewServer(group, slog.New(slog.DiscardHandler), dial, known, func() bool { return p.cutOff })
	tunnelpb.RegisterTunnelServer(p.grpc, p.server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p.address = listener.Addr().String()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = p.grpc.Serve(listener)
	}()
	DeferCleanup(func() {
		p.grpc.Stop()
		<-served
		group.Stop()
	})
	return p
}

func newClient(peers ...string) *tunnel.Client {
	client := tunnel.NewClient(slog.New(slog.DiscardHandler), func(address string) (grpc.ClientConnInterface, func(), error) {
		conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		return conn, func() { conn.Close() }, err
	})
	client.SetPeers(peers)
	DeferCleanup(client.Close)
	return client
}

// serveBackend listens and passes each connection to handle.
func serveBackend(handle func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

func dialDirect(_ context.Context, address string) (net.Conn, error) { return net.Dial("tcp", address) }

func anyAddress(string) bool { return true }

var _ = Describe("A connection through another front", func() {
	ctx := context.Background()

	It("passes bytes both ways, and ends when the backend server closes it", func() {
		address := serveBackend(func(conn net.Conn) {
			defer conn.Close()
			question := make([]byte, 30_000)
			_, _ = io.ReadFull(conn, question)
			_, _ = conn.Write(question[29_990:])
		})
		p := startPeer(anyAddress)
		conn, err := newClient(p.address).Dial(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		question := make([]byte, 30_000)
		copy(question[29_990:], "0123456789")
		Expect(conn.Write(question)).To(Equal(len(question)))
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(Equal("0123456789"))
		Eventually(p.server.Active, "1s", "5ms").Should(BeZero())
	})

	// Guards against an answer without length that looks complete, because the backend
	// server's reset or the loss of the other front arrives as an end (MIXED).
	It("does not end as if the backend server had closed it when that was reset or the other front is lost", func() {
		reset := serveBackend(func(conn net.Conn) {
			_, _ = conn.Write([]byte("part"))
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
		p := startPeer(anyAddress)
		client := newClient(p.address)
		conn, err := client.Dial(ctx, reset)
		Expect(err).NotTo(HaveOccurred())
		part, err := io.ReadAll(conn)
		Expect(string(part)).To(Equal("part"))
		Expect(err).To(HaveOccurred())

		open := serveBackend(func(conn net.Conn) { _, _ = conn.Write([]byte("part")) })
		conn, err = client.Dial(ctx, open)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadFull(conn, make([]byte, 4))).To(Equal(4))
		p.grpc.Stop()
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, io.EOF)).To(BeFalse())
	})

	// Guards against backend servers that work on for a client that has left (GONE).
	It("is closed at the backend server when it is closed here", func() {
		closed := make(chan struct{})
		address := serveBackend(func(conn net.Conn) {
			_, _ = io.Copy(io.Discard, conn)
			close(closed)
		})
		conn, err := newClient(startPeer(anyAddress).address).Dial(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Eventually(closed, "500ms").Should(BeClosed())
	})

	// Guards against a front that takes what another one found while that is cut off
	// itself for the end of a backend server.
	It("tells a server that has ended from one that the other front does not reach", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		p := startPeer(anyAddress)
		client := newClient(p.address)
		_, err = client.Dial(ctx, listener.Addr().String())
		Expect(client.Refused(err)).To(BeTrue())
		p.cutOff = true
		_, err = client.Dial(ctx, listener.Addr().String())
		Expect(err).To(MatchError(tunnel.ErrSilent))
		Expect(client.Refused(err)).To(BeFalse())
	})

	// Guards against a front that opens connections to any address, for whoever asks.
	It("leads to registered backend servers only", func() {
		address := serveBackend(func(conn net.Conn) { conn.Close() })
		_, err := newClient(startPeer(func(string) bool { return false }).address).Dial(ctx, address)
		Expect(err).To(MatchError(tunnel.ErrNoPeer))
	})

	It("leads through another front when the first one is gone", func() {
		address := serveBackend(func(conn net.Conn) { conn.Close() })
		lost, left := startPeer(anyAddress), startPeer(anyAddress)
		lost.grpc.Stop()
		client := newClient(lost.address, left.address)
		for range 8 {
			_, err := client.Dial(ctx, address)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(newClient().HasPeers()).To(BeFalse())
	})

	// Guards against fronts that are cut off together, ask each other first, and take the
	// server for unreachable (RECOVER, issue 26).
	It("leads through the one front that reaches the server, while others are cut off and do not know it", func() {
		address := serveBackend(func(conn net.Conn) { conn.Close() })
		var peers []string
		for range 3 {
			p := startPeer(anyAddress)
			p.refused = true
			peers = append(peers, p.address)
		}
		client := newClient(append(peers, startPeer(anyAddress).address)...)
		for range 8 {
			_, err := client.Dial(ctx, address)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("is given up with the request that it was opened for", func() {
		ctx, cancel := context.WithCancel(ctx)
		cancel()
		_, err := newClient(startPeer(anyAddress).address).Dial(ctx, "127.0.0.1:1")
		Expect(err).To(MatchError(tunnel.ErrNoPeer))
	})
})
