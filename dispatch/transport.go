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

	"dogwoodline.example/httpresponse"
	"dogwoodline.example/netdial"
)

const (
	// dialTimeout bounds the time to connect. It is generous: hosts are at most
	// a few milliseconds apart.
	dialTimeout = 2 * time.Second
	// idleConnTimeout is shorter than the usual 60 s of servers, so that a server
	// rarely closes a pooled connection just as it is reused.
	idleConnTimeout = 15 * time.Second
	// maxIdleConnsPerHost is the number of idle pooled connections to one
	// backend server.
	maxIdleConnsPerHost = 64
)

// Transport holds the connections to backend servers and services. All duties
// of the package share it.
//
// Idempotent requests use pooled connections. Each other request uses a new
// connection: a server may close a pooled one just as the request is written,
// and it would then be unknown whether the request ran.
type Transport struct {
	pooled    *http.Client
	singleUse *http.Client
}

// NewTransport returns a Transport without open connections.
func NewTransport() *Transport {
	return &Transport{pooled: newClient(false), singleUse: newClient(true)}
}

// Close closes the idle pooled connections.
func (t *Transport) Close() { t.pooled.CloseIdleConnections() }

// newClient returns a client that reuses connections unless singleUse is set.
func newClient(singleUse bool) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: httpresponse.NewTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &trackedConn{Conn: netdial.ReportLoss(conn)}, nil
			},
			DisableKeepAlives:   singleUse,
			DisableCompression:  true,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
		}),
		// Following a redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// trackedConn records whether a byte of the current request was written, and
// can refuse later writes.
type trackedConn struct {
	net.Conn

	mu            sync.Mutex
	wrote         bool
	writesRefused bool
}

// Write marks the request as written before its first byte is sent.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.writesRefused {
		c.mu.Unlock()
		return 0, Error.New("request was given up before it was written")
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// startRequest forgets the bytes that earlier requests wrote.
func (c *trackedConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// refuseWrites makes later writes fail and reports whether a byte of the current
// request was written. Without it, net/http could write the request after the
// outcome "not run" was decided.
func (c *trackedConn) refuseWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesRefused = true
	return c.wrote
}

// sendTracker records whether one request can have reached the server. It needs
// no lock: net/http calls GotConn on the goroutine that sends the request.
type sendTracker struct {
	conn              *trackedConn
	sentOnEarlierConn bool
}

// send sends a request once and records in tracker on which connection. The
// request has no GetBody function, so net/http cannot repeat a request with a
// body on another connection. singleUse selects a new connection.
func (t *Transport) send(
	ctx context.Context, tracker *sendTracker, method, url string, header http.Header, body []byte, singleUse bool,
) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { tracker.useConn(info.Conn) }}
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
	client := t.pooled
	if singleUse {
		client = t.singleUse
	}
	return client.Do(request)
}

// useConn records that the request uses conn, and refuses writes on the
// connection that it used before.
func (s *sendTracker) useConn(conn net.Conn) {
	if s.conn != nil {
		s.sentOnEarlierConn = s.sentOnEarlierConn || s.conn.refuseWrites()
	}
	tracked, ok := conn.(*trackedConn)
	if !ok {
		panic("dispatch: connection was not created by Transport")
	}
	tracked.startRequest()
	s.conn = tracked
}

// mayHaveRun reports whether a byte of the request can have reached the server.
// It also refuses further writes, so that a false result remains correct.
func (s *sendTracker) mayHaveRun() bool {
	if s.conn == nil {
		return s.sentOnEarlierConn
	}
	wrote := s.conn.refuseWrites()
	return s.sentOnEarlierConn || wrote
}
