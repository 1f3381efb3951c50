package upstream

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/duty"
)

var _ = Describe("The probe of a backend server", func() {
	newPool := func() *Pool {
		group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
		DeferCleanup(group.Stop)
		return NewPool(group, nil, Settings{})
	}

	It("tells one that listens from one that has ended", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		pool := newPool()
		Expect(pool.Probe(context.Background(), listener.Addr().String())).To(Equal(Accepting))
		Expect(listener.Close()).To(Succeed())
		Expect(pool.Probe(context.Background(), listener.Addr().String())).To(Equal(Refusing))
	})

	// Guards against a server that is taken for ended, and calls that are held for
	// it, because a front has no path to it: opening packets that nobody answers.
	It("tells one that is cut off from one that has ended", func() {
		socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(syscall.Close, socket)
		Expect(syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
		Expect(syscall.Listen(socket, 0)).To(Succeed())
		name, err := syscall.Getsockname(socket)
		Expect(err).NotTo(HaveOccurred())
		address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
		// The queue of connections that are not accepted is full after a few.
		for range 8 {
			if waiting, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
				DeferCleanup(waiting.Close)
			}
		}
		Expect(newPool().Probe(context.Background(), address)).To(Equal(Silent))
	})
})
