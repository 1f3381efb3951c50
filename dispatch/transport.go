package dispatch

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the time to connect. Hosts are at most a few
	// milliseconds apart.
	dialTimeout = 2 * time.Second
	// idleTimeout is shorter than the usual 60 s of servers, so that a kept
	// connection is rarely closed by the server just when it is used.
	idleTimeout = 15 * time.Second
	// idlePerHost is the number of kept connections to one backend server.
	idlePerHost = 64
)

// Transport holds the connections to backend servers and services. It is
// shared by all duties of the package.
//
// Idempotent requests use kept connections. Other requests each use a new
// connection: a server may close a kept one just when the request is written,
// and it would then not be known whether the request ran.
type Transport struct {
	kept  *http.Client
	fresh *http.Client
}

// NewTransport returns a transport without connections.
func NewTransport() *Transport {
	return &Transport{kept: newClient(false), fresh: newClient(true)}
}

// Close closes the kept connections that are idle.
func (t *Transport) Close() { t.kept.CloseIdleConnections() }

func newClient(fresh bool) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &watchedConn{Conn: conn}, nil
			},
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: idlePerHost,
		},
		// A followed redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// watchedConn knows whether a byte of the current request was written.
type watchedConn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write marks the request as sent before the first byte leaves.
func (c *watchedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, Error.New("request was given up before it was written")
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// begin starts a request on the connection.
func (c *watchedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal refuses later writes and reports whether there was one. Without it,
// net/http could write the request after the outcome "not run" was decided.
func (c *watchedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}

// exchange is one request with what is known about its sending. net/http
// calls gotConn on the goroutine that sends the request.
type exchange struct {
	conn *watchedConn
	sent bool
}

// send sends a request once. The body has no GetBody function, so net/http
// cannot repeat the request on another connection.
func (t *Transport) send(
	ctx context.Context, x *exchange, method, url string, header http.Header, body []byte, fresh bool,
) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { x.begin(info.Conn) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header = header
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	client := t.kept
	if fresh {
		client = t.fresh
	}
	return client.Do(request)
}

func (x *exchange) begin(conn net.Conn) {
	if x.conn != nil {
		x.sent = x.sent || x.conn.seal()
	}
	watched, ok := conn.(*watchedConn)
	if !ok {
		panic("dispatch: connection was not made by the transport")
	}
	watched.begin()
	x.conn = watched
}

// mayHaveRun reports whether a byte of the request can have reached the
// server. No byte is written after this call.
func (x *exchange) mayHaveRun() bool {
	if x.conn == nil {
		return x.sent
	}
	wrote := x.conn.seal()
	return x.sent || wrote
}
