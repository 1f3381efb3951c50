package netdial_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/netdial"
)

func TestNetdial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "netdial")
}

var _ = Describe("Usable", func() {
	pair := func() (near, far net.Conn) {
		listener, err := netdial.Listen(context.Background(), "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		accepted := make(chan net.Conn, 1)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				accepted <- conn
			}
		}()
		near, err = netdial.Context(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Eventually(accepted).Should(Receive(&far))
		DeferCleanup(near.Close)
		DeferCleanup(func() { _ = far.Close() })
		return near, far
	}

	It("is true for an idle connection, also asked again", func() {
		near, _ := pair()
		Expect(netdial.Usable(near)).To(BeTrue())
		Expect(netdial.Usable(near)).To(BeTrue())
	})

	It("is false once the peer has closed, so that no request is lost on it", func() {
		near, far := pair()
		far.Close()
		Eventually(func() bool { return netdial.Usable(near) }, time.Second, time.Millisecond).Should(BeFalse())
	})

	It("is false when bytes wait that nobody asked for", func() {
		near, far := pair()
		_, err := far.Write([]byte("HTTP/1.1 200 OK\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return netdial.Usable(near) }, time.Second, time.Millisecond).Should(BeFalse())
	})
})
