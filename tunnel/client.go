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

	errEnded = Error.New("the other front has ended the connection")
)

const (
	// maxPeerTries is how many other fronts are asked for one connection, and
	// maxSilent how many of them may find no answer, which takes each some time.
	maxPeerTries = 4
	maxSilent    = 2
	// failedMemory is how long a front that opened no connection is asked after the
	// others: it may be cut off itself and not know it yet.
	failedMemory = 2 * time.Second
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
	// failed tells when a front last opened no connection, by address.
	failed map[string]time.Time
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
	return &Client{log: log, connect: connect, links: map[string]*peerLink{}, failed: map[string]time.Time{}}
}

// SetPeers replaces the fronts that may be asked. Connections that lead through
// others stay open.
func (c *Client) SetPeers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = addresses
	now := time.Now()
	for address, failed := range c.failed {
		if now.Sub(failed) > failedMemory {
			delete(c.failed, address)
		}
	}
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
// ErrNoPeer, ErrRefused or ErrSilent. What one front finds is not taken for the
// state of the server before others were asked: it may be cut off too.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	silent, refused := 0, 0
	for _, peer := range c.choosePeers() {
		conn, outcome, err := c.dialThrough(ctx, peer, address)
		if conn != nil {
			c.note(peer, true)
			return conn, nil // also if ctx has ended since: its user closes it
		}
		if ctx.Err() != nil {
			return nil, errors.Join(ErrNoPeer, ctx.Err())
		}
		if err != nil {
			c.log.Info("tunnel: front not reached for a connection to a backend server", "front", peer, "address", address, "error", err)
		}
		c.note(peer, false)
		switch outcome {
		case tunnelpb.Outcome_OUTCOME_REFUSED:
			refused++
		case tunnelpb.Outcome_OUTCOME_SILENT:
			silent++
		}
		if silent == maxSilent {
			break
		}
	}
	switch {
	case silent > 0:
		return nil, ErrSilent
	case refused > 0:
		return nil, ErrRefused
	}
	return nil, ErrNoPeer
}

// note notes whether a front opened a connection.
func (c *Client) note(peer string, opened bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if opened {
		delete(c.failed, peer)
	} else {
		c.failed[peer] = time.Now()
	}
}

// Refused reports whether an error of Dial says that nobody listens.
func (c *Client) Refused(err error) bool { return errors.Is(err, ErrRefused) }

// choosePeers returns the fronts to ask, in random order so that their load is
// even, but first those that have not failed lately.
func (c *Client) choosePeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var sound, doubtful []string
	for _, i := range rand.Perm(len(c.peers)) {
		if peer := c.peers[i]; now.Sub(c.failed[peer]) > failedMemory {
			sound = append(sound, peer)
		} else {
			doubtful = append(doubtful, peer)
		}
	}
	chosen := slices.Concat(sound, doubtful)
	return chosen[:min(len(chosen), maxPeerTries)]
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
	return &conn{stream: stream, cancel: cancel, address: address, sending: make(chan struct{}, 1)}, outcome, nil
}

// open starts a stream and returns the outcome of the connection.
func open(ctx context.Context, client tunnelpb.TunnelClient, address string) (tunnelpb.Tunnel_ConnectClient, tunnelpb.Outcome, error) {
	stream, err := client.Connect(ctx)
	if err != nil {
		return nil, 0, err
	}
	if err := stream.Send(&tunnelpb.Outbound{Address: address, ConfirmsEnd: true}); err != nil {
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
	sending chan struct{} // holds a value while Write or confirmEnd uses the stream
}

// Read implements net.Conn. It returns io.EOF only if the backend server closed the
// connection, and not if that or the other front was lost. If a Write is in progress then,
// Read waits for it, and returns io.EOF only if the other front has written everything.
func (c *conn) Read(into []byte) (int, error) {
	for len(c.unread) == 0 {
		message, err := c.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, Error.Wrap(err)
		}
		if message.Ended {
			c.confirmEnd()
		}
		c.unread = message.Data
	}
	count := copy(into, c.unread)
	c.unread = c.unread[count:]
	return count, nil
}

// confirmEnd ends this side of the stream once no Write is in progress.
func (c *conn) confirmEnd() {
	select {
	case c.sending <- struct{}{}:
		_ = c.stream.CloseSend() // the stream's status says whether it has failed
		<-c.sending
	case <-c.stream.Context().Done():
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.sending <- struct{}{}
	defer func() { <-c.sending }()
	for written := 0; written < len(data); {
		part := data[written:min(len(data), written+copyBufferSize)]
		err := c.stream.Send(&tunnelpb.Outbound{Data: part})
		if errors.Is(err, io.EOF) {
			return written, errEnded // Read returns the status
		}
		if err != nil {
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
