package netdial

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// ReportLoss returns the connection with a Read that returns io.EOF only if the peer has
// ended its side. The kernel reports a loss (a reset, or SilenceLimit) to one call only:
// if that is a Write, a plain Read returns io.EOF. A connection that is not a socket is
// returned as it is.
func ReportLoss(conn net.Conn) net.Conn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return conn
	}
	return lossReporter{Conn: conn, socket: socket}
}

// Dial opens a connection. It is the type of http.Transport.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// ReportLosses returns a Dial whose connections are those of dial with ReportLoss.
func ReportLosses(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return ReportLoss(conn), nil
	}
}

type lossReporter struct {
	net.Conn

	socket syscall.Conn
}

// Read implements net.Conn.
func (l lossReporter) Read(into []byte) (int, error) {
	count, err := l.Conn.Read(into)
	if errors.Is(err, io.EOF) && l.lost() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: l.LocalAddr(), Addr: l.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return count, err
}

// SyscallConn implements syscall.Conn.
func (l lossReporter) SyscallConn() (syscall.RawConn, error) { return l.socket.SyscallConn() }

// lost reports whether the connection has failed. A socket has a peer until then, also
// after the peer has ended its side.
func (l lossReporter) lost() bool {
	raw, err := l.socket.SyscallConn()
	if err != nil {
		return true
	}
	lost := true
	err = raw.Control(func(fd uintptr) {
		_, err := syscall.Getpeername(int(fd))
		lost = err != nil
	})
	return err != nil || lost
}
