// Package netdial opens and accepts TCP connections that fail soon after their
// peer becomes unreachable, by keep-alive probes and TCP_USER_TIMEOUT.
package netdial

import (
	"cmp"
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// ConnectTimeout bounds the opening of a connection. A lost SYN packet is
	// retransmitted only after a second, so waiting longer rarely helps.
	ConnectTimeout = 800 * time.Millisecond
	// SilenceLimit is how long sent bytes may stay unacknowledged before the
	// connection fails. It is half of the 3 s within which a host that can be
	// reached must act on a change of the platform's configuration.
	SilenceLimit = 1500 * time.Millisecond
	// Keep-alive probes with these values detect an unreachable peer on an idle
	// connection. Where TCP_USER_TIMEOUT is set, it decides when they give up, and
	// the count does not: with SilenceLimit after two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, whose value is
	// in milliseconds.
	tcpUserTimeout = 0x12
)

// Dialer opens connections. Its zero value has the timeouts of this package.
type Dialer struct {
	// Timeout bounds the opening of a connection; 0 means ConnectTimeout.
	Timeout time.Duration
	// SilenceLimit is how long sent bytes may stay unacknowledged; 0 means the
	// constant of this name. As soon as a keep-alive probe is due after that time
	// without an answer, the connection fails, however many probes are left.
	SilenceLimit time.Duration
}

// DialContext opens a connection. It has the signature of net.Dialer.DialContext.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: cmp.Or(d.Timeout, ConnectTimeout), KeepAliveConfig: keepAlive(), Control: userTimeout(cmp.Or(d.SilenceLimit, SilenceLimit)),
	}
	return dialer.DialContext(ctx, network, address)
}

// DialContext opens a connection with the timeouts of this package.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return Dialer{}.DialContext(ctx, network, address)
}

// Listen listens on a TCP address. Accepted connections have the timeouts of
// this package.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: userTimeout(SilenceLimit)}
	return config.Listen(ctx, "tcp", address)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// userTimeout returns the Control function of net.Dialer and net.ListenConfig that
// sets TCP_USER_TIMEOUT on a socket before it connects or listens.
func userTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// IdleConnUsable reports whether an idle connection can carry another request: the peer
// has not closed it and no unexpected bytes have arrived. It peeks at the socket
// without waiting. A connection that is not a socket counts as usable.
func IdleConnUsable(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = err == syscall.EAGAIN // open, and nothing to read
		return true
	})
	return err == nil && usable
}
