// Package netdial opens TCP connections that notice a peer that went silent.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// ConnectTimeout bounds the opening of a connection. An opening packet that
	// is lost is repeated after a second, so waiting longer rarely helps.
	ConnectTimeout = 800 * time.Millisecond
	// SilenceLimit is how long sent bytes may stay unacknowledged. It is half
	// of the time after which a host with a path must act on news (3 s).
	SilenceLimit = 1500 * time.Millisecond
	// probeIdle, probeEvery and probeCount detect a silent peer on an idle
	// connection within about three seconds.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2

	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, in ms.
	tcpUserTimeout = 0x12
)

// Context opens a connection with the limits of this package.
func Context(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: ConnectTimeout, KeepAliveConfig: probes(), Control: control}
	return dialer.DialContext(ctx, network, address)
}

// Listen opens a listener whose connections have the limits of this package.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: probes(), Control: control}
	return config.Listen(ctx, "tcp", address)
}

func probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(SilenceLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Usable reports whether an idle connection is still open and has no bytes
// that nobody asked for.
func Usable(conn net.Conn) bool {
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
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = err == syscall.EAGAIN
		return true
	})
	return err == nil && usable
}
