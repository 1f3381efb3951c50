package netdial_test

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/netdial"
)

var _ = Describe("ReportLoss", func() {
	// connect returns a connection whose peer runs handle.
	connect := func(handle func(peer *net.TCPConn)) net.Conn {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		go func() {
			peer, err := listener.Accept()
			if err == nil {
				defer peer.Close()
				handle(peer.(*net.TCPConn))
			}
		}()
		conn, err := netdial.DialContext(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}

	// Guards against a connection that looks ended in order because another call than the read got the reset.
	DescribeTable("reports a reset that a write has got", func(wrap func(net.Conn) net.Conn, wanted error) {
		conn := wrap(connect(func(peer *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			_ = peer.SetLinger(0)
		}))
		for err := error(nil); err == nil; {
			_, err = conn.Write(make([]byte, 64<<10))
		}
		_, err := conn.Read(make([]byte, 1))
		if wanted != nil {
			Expect(err).To(Equal(wanted))
			return
		}
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(io.EOF))
	},
		Entry("unlike a plain connection", func(conn net.Conn) net.Conn { return conn }, io.EOF),
		Entry("as an error", netdial.ReportLoss, nil),
	)

	It("returns io.EOF when the peer has ended its side, whether or not it reads on", func() {
		conn := netdial.ReportLoss(connect(func(peer *net.TCPConn) {
			_, _ = peer.Write([]byte("all"))
			_ = peer.CloseWrite()
			_, _ = io.Copy(io.Discard, peer)
		}))
		content, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal("all"))
		Expect(conn.Write([]byte("x"))).To(Equal(1))
	})

	It("returns io.EOF when the peer has closed the connection", func() {
		conn := netdial.ReportLoss(connect(func(peer *net.TCPConn) { _, _ = peer.Write([]byte("all")) }))
		time.Sleep(20 * time.Millisecond)
		content, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal("all"))
	})

	It("leaves other kinds of connections as they are, and keeps the check of idle connections", func() {
		one, _ := net.Pipe()
		Expect(netdial.ReportLoss(one)).To(BeIdenticalTo(one))
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		Expect(netdial.IdleConnUsable(netdial.ReportLoss(connect(func(*net.TCPConn) { <-release })))).To(BeTrue())
	})
})
