package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, in milliseconds.
const tcpUserTimeout = 0x12

var _ = Describe("A connection to a backend server", func() {
	// Guards against cutting off calls at a sound server that is silent for a second or
	// so: with TCP_USER_TIMEOUT, keep-alive gives up at the first probe that is due
	// after that time, whatever its count (RECOVER, issue 26).
	It("outlives a silence of up to two seconds, wherever it falls between the probes", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		socket, err := DialTCP(context.Background(), listener.Addr().String(), time.Second)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		raw, err := socket.(syscall.Conn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		option := func(name int) (value int) {
			Expect(raw.Control(func(fd uintptr) {
				value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
			})).To(Succeed())
			Expect(err).NotTo(HaveOccurred())
			return value
		}
		limit := time.Duration(option(tcpUserTimeout)) * time.Millisecond
		probe := time.Duration(option(syscall.TCP_KEEPIDLE)) * time.Second
		interval := time.Duration(option(syscall.TCP_KEEPINTVL)) * time.Second
		first := probe
		for probe+interval < limit {
			probe += interval // this one is sent, and an answer keeps the connection
		}
		Expect(probe-first).To(BeNumerically(">=", 2*time.Second), "a silence of two seconds does not cover all probes")
		Expect(limit).To(BeNumerically(">", 2*time.Second), "bytes that are sent meanwhile wait as long")
	})
})
