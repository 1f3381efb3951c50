package tunnel

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"dogwoodline.example/netdial"
	"dogwoodline.example/tunnel/tunnelpb"
)

var (
	// ErrNoPeer reports that no other front opened the connection, so that nothing
	// is known about the backend server.
	ErrNoPeer = Error.New("no other front opened the connection")
	// ErrRefused reports that another front found that nobody listens.
	ErrRefused = Error.New("another front finds the connection refused")
	// ErrSilent reports that another front got no answer either.
	ErrSilent = Error.New("another front gets no answer either")
)

const (
	// maxPeerTries is how many other fronts are asked for one connection.
	maxPeerTries = 2
	// linkRetention is how long the gRPC connection to a front is kept that may not be
	// asked any more. It is above the longest time of a request, since connections to
	// backend servers may still lead through it.
	linkRetention = time.Minute
)

// Client opens connections to backend servers through other fronts. Callers share
// its lock, which is held for a few instructions only.
type Client struct {
	log     *slog.Logger
	connect func(address string) (grpc.ClientConnInterface, func(), error)

	mu    sync.Mutex
	peers []string             // addresses of the fronts that may be asked
	links map[string]*peerLink // by address
}

// peerLink is the gRPC connection to another front.
type peerLink struct {
	client tunnelpb.TunnelClient
	close  func()
	unused time.Time // since when the front may not be asked; zero while it may
}

// NewClient returns a client that knows no other front yet. connect opens a gRPC
// connection and returns it with a function that closes it.
func NewClient(log *slog.Logger, connect func(address string) (grpc.ClientConnInterface, func(), error)) *Client {
	return &Client{log: log, connect: connect, links: map[string]*peerLink{}}
}

// SetPeers replaces the fronts that may be asked. Connections that lead through
// others stay open.
func (c *Client) SetPeers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = addresses
	now := time.Now()
	for address, link := range c.links {
		switch {
		case slices.Contains(addresses, address):
			link.unused = time.Time{}
		case link.unused.IsZero():
			link.unused = now
		case now.Sub(link.unused) > linkRetention:
			link.close()
			delete(c.links, address)
		}
	}
}

// HasPeers reports whether there is a front to ask.
func (c *Client) HasPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers) > 0
}

// Close closes the connections to all other fronts.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range c.links {
		link.close()
	}
	c.links = map[string]*peerLink{}
}

// Dial opens a connection to a backend server through another front. The error is
// ErrNoPeer, ErrRefused or ErrSilent.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	for _, peer := range c.choosePeers() {
		conn, outcome, err := c.dialThrough(ctx, peer, address)
		switch {
		case ctx.Err() != nil:
			return nil, errors.Join(ErrNoPeer, ctx.Err())
		case err != nil:
			c.log.Info("tunnel: front not reached for a connection to a backend server", "front", peer, "address", address, "error", err)
		case outcome == tunnelpb.Outcome_OUTCOME_CONNECTED:
			return conn, nil
		case outcome == tunnelpb.Outcome_OUTCOME_REFUSED:
			return nil, ErrRefused
		case outcome == tunnelpb.Outcome_OUTCOME_SILENT:
			return nil, ErrSilent
		}
	}
	return nil, ErrNoPeer
}

// Refused reports whether an error of Dial says that nobody listens.
func (c *Client) Refused(err error) bool { return errors.Is(err, ErrRefused) }

// choosePeers returns the fronts to ask, in random order so that their load is
// even.
func (c *Client) choosePeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chosen []string
	for _, i := range rand.Perm(len(c.peers)) {
		if chosen = append(chosen, c.peers[i]); len(chosen) == maxPeerTries {
			break
		}
	}
	return chosen
}

// link returns the connection to a front, and opens it if there is none.
func (c *Client) link(peer string) (*peerLink, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.links[peer]; known != nil {
		return known, nil
	}
	conn, closeConn, err := c.connect(peer) // opens no connection yet
	if err != nil {
		return nil, err
	}
	c.links[peer] = &peerLink{client: tunnelpb.NewTunnelClient(conn), close: closeConn}
	return c.links[peer], nil
}

// dialThrough asks one front for a connection.
func (c *Client) dialThrough(ctx context.Context, peer, address string) (net.Conn, tunnelpb.Outcome, error) {
	link, err := c.link(peer)
	if err != nil {
		return nil, 0, err
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the connection outlives the dial
	limit := time.AfterFunc(netdial.ConnectTimeout, cancel)
	stop := context.AfterFunc(ctx, cancel)
	stream, outcome, err := open(streamCtx, link.client, address)
	inTime := limit.Stop()
	if waiting := stop(); err != nil || !inTime || !waiting || outcome != tunnelpb.Outcome_OUTCOME_CONNECTED {
		cancel()
		if err == nil && (!inTime || !waiting) {
			err = Error.New("the front did not answer in time")
		}
		return nil, outcome, err
	}
	return &conn{stream: stream, cancel: cancel, address: address}, outcome, nil
}

// open starts a stream and returns the outcome of the connection.
func open(ctx context.Context, client tunnelpb.TunnelClient, address string) (tunnelpb.Tunnel_ConnectClient, tunnelpb.Outcome, error) {
	stream, err := client.Connect(ctx)
	if err != nil {
		return nil, 0, err
	}
	if err := stream.Send(&tunnelpb.Outbound{Address: address}); err != nil {
		return nil, 0, err
	}
	first, err := stream.Recv()
	if err != nil {
		return nil, 0, err
	}
	return stream, first.Outcome, nil
}

// conn is a connection to a backend server that leads through another front. It
// has no deadlines; its user closes it instead.
type conn struct {
	net.Conn // nil; the methods that are not defined here are never called

	stream  tunnelpb.Tunnel_ConnectClient
	cancel  context.CancelFunc
	address string
	unread  []byte
}

// Read implements net.Conn. It returns io.EOF only if the backend server closed
// the connection, and not if the other front was lost.
func (c *conn) Read(into []byte) (int, error) {
	for len(c.unread) == 0 {
		message, err := c.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, Error.Wrap(err)
		}
		c.unread = message.Data
	}
	count := copy(into, c.unread)
	c.unread = c.unread[count:]
	return count, nil
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	for written := 0; written < len(data); {
		part := data[written:min(len(data), written+copyBufferSize)]
		if err := c.stream.Send(&tunnelpb.Outbound{Data: part}); err != nil {
			return written, Error.Wrap(err)
		}
		written += len(part)
	}
	return len(data), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.cancel()
	return nil
}

// String returns the address of the backend server.
func (c *conn) String() string { return c.address + " through another front" }
