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
	// connect returns both ends of a new connection.
	connect := func() (client, server net.Conn) {
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
		client, err = netdial.DialContext(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Eventually(accepted).Should(Receive(&server))
		DeferCleanup(client.Close)
		DeferCleanup(func() { _ = server.Close() })
		return client, server
	}

	It("is true for an idle connection, also when called again", func() {
		client, _ := connect()
		Expect(netdial.IdleConnUsable(client)).To(BeTrue())
		Expect(netdial.IdleConnUsable(client)).To(BeTrue())
	})

	It("is false once the peer has closed the connection, so that no request is lost on it", func() {
		client, server := connect()
		server.Close()
		Eventually(func() bool { return netdial.IdleConnUsable(client) }, time.Second, time.Millisecond).Should(BeFalse())
	})

	It("is false when unexpected bytes have arrived", func() {
		client, server := connect()
		_, err := server.Write([]byte("HTTP/1.1 200 OK\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return netdial.IdleConnUsable(client) }, time.Second, time.Millisecond).Should(BeFalse())
	})
})
