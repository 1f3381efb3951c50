// Package tunnel opens TCP connections to backend servers through another front,
// for a front that has no path to them itself. Only bytes pass through the other
// front: everything that is decided about a call stays at the front that took it.
// A connection leads through one other front at most.
package tunnel

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/zeebo/errs"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dogwoodline.example/duty"
	"dogwoodline.example/netdial"
	"dogwoodline.example/ring"
	"dogwoodline.example/tunnel/tunnelpb"
)

// Error is the class of all errors of this package.
var Error = errs.Class("tunnel")

const (
	// maxTunnels bounds the connections that a front opens for others, so that they
	// leave it room for its own clients.
	maxTunnels = 96
	// copyBufferSize is the size of the buffer of each connection.
	copyBufferSize = 8 << 10
)

// errLost is the status of a stream whose connection to the backend server was lost.
var errLost = status.Error(codes.Aborted, "the connection to the backend server was lost")

// Dial opens a TCP connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Server opens connections for other fronts. A writer goroutine for each of them
// writes what the other front sends.
type Server struct {
	tunnelpb.UnimplementedTunnelServer

	log    *slog.Logger
	dial   Dial
	known  func(address string) bool
	cutOff func() bool
	writes *ring.Ring[outboundCopy]
	active atomic.Int64
}

// outboundCopy is the direction of a connection to the backend server.
type outboundCopy struct {
	stream tunnelpb.Tunnel_ConnectServer
	to     net.Conn
	// result is nil once all that the other front sent is written; capacity 1, so that
	// a writer never blocks.
	result chan error
}

// NewServer returns a server whose writers run in group. It opens connections only
// to addresses that are known. cutOff reports whether this front itself reaches no
// backend server, so that what it finds says nothing about them.
func NewServer(group *duty.Group, log *slog.Logger, dial Dial, known func(address string) bool, cutOff func() bool) *Server {
	s := &Server{log: log, dial: dial, known: known, cutOff: cutOff, writes: ring.New[outboundCopy](maxTunnels)}
	for range maxTunnels {
		group.Go("tunnel-writer", s.runWriter)
	}
	group.RegisterGauge("dogwoodline_tunnels_served", s.Active)
	return s
}

// Active returns the number of connections that are open for other fronts.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connect implements the Tunnel service.
func (s *Server) Connect(stream tunnelpb.Tunnel_ConnectServer) error {
	active := s.active.Add(1)
	defer s.active.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if active > maxTunnels || !s.known(first.Address) {
		s.log.Info("tunnel: connection for another front declined", "address", first.Address, "open", active)
		return stream.Send(&tunnelpb.Inbound{Outcome: tunnelpb.Outcome_OUTCOME_DECLINED})
	}
	conn, err := s.dial(stream.Context(), first.Address)
	if err != nil {
		return stream.Send(&tunnelpb.Inbound{Outcome: s.outcome(err)})
	}
	defer func() { _ = conn.Close() }() // it may be closed already
	// Closing the connection tells the backend server that nobody waits for its answer. A
	// write that waits for the backend server notices the end of the stream by it only.
	defer context.AfterFunc(stream.Context(), func() { _ = conn.Close() })()
	if err := stream.Send(&tunnelpb.Inbound{Outcome: tunnelpb.Outcome_OUTCOME_CONNECTED}); err != nil {
		return err
	}
	outbound := outboundCopy{stream: stream, to: conn, result: make(chan error, 1)}
	if err := s.writes.TryPush(outbound); err != nil {
		return status.Error(codes.ResourceExhausted, "all writers are busy")
	}
	if err := s.copyInbound(netdial.ReportLoss(conn), stream); err != nil || !first.ConfirmsEnd {
		return err
	}
	// The backend server may end its side before it has read the whole request.
	if err := stream.Send(&tunnelpb.Inbound{Ended: true}); err != nil {
		return err
	}
	if err := <-outbound.result; err != nil {
		return errLost
	}
	return nil
}

// outcome says what an error of a dial shows of the backend server.
func (s *Server) outcome(err error) tunnelpb.Outcome {
	if Refused(err) && !s.cutOff() {
		return tunnelpb.Outcome_OUTCOME_REFUSED
	}
	return tunnelpb.Outcome_OUTCOME_SILENT
}

// copyInbound passes the bytes of the backend server on until it closes the
// connection.
func (s *Server) copyInbound(from net.Conn, stream tunnelpb.Tunnel_ConnectServer) error {
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if sendErr := stream.Send(&tunnelpb.Inbound{Data: buffer[:count]}); sendErr != nil {
				return sendErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errLost
		}
	}
}

// runWriter is a writer goroutine.
func (s *Server) runWriter(ctx context.Context) error {
	for {
		c, err := s.writes.Pop(ctx)
		if err != nil {
			return err
		}
		c.result <- c.run()
	}
}

// run writes what the other front sends until that ends its side of the stream.
func (c outboundCopy) run() error {
	for {
		message, err := c.stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := c.to.Write(message.Data); err != nil {
			return err
		}
	}
}

// Refused reports whether the error of a dial says that nobody listens.
func Refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
