package slopes

import (
	"net"
	"sync/atomic"
)

// counter counts the bytes that are sent and received on all connections that its
// listeners accept, without the headers of TCP and IP.
type counter struct {
	bytes       atomic.Int64
	connections atomic.Int64
}

// wrap returns a listener whose connections are counted.
func (c *counter) wrap(l net.Listener) net.Listener { return countingListener{l, c} }

type countingListener struct {
	net.Listener
	counter *counter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // the server compares it with its own sentinels
	}
	l.counter.connections.Add(1)
	return countingConn{conn, l.counter}, nil
}

type countingConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.counter.bytes.Add(int64(n))
	return n, err //nolint:wrapcheck // callers compare it with io.EOF
}

// Write implements net.Conn.
func (c countingConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.counter.bytes.Add(int64(n))
	return n, err //nolint:wrapcheck // callers compare it with net.ErrClosed
}
