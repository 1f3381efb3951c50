// Package responsetest serves HTTP/1.1 responses byte by byte, for tests of what reads them.
package responsetest

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// End is what a server does after a response.
type End int

const (
	// Close means that it reads the rest of the request and closes the connection.
	Close End = iota
	// Reset means that it resets the connection without reading the rest of the request.
	Reset
)

// resetDelay lets the response arrive before the reset.
const resetDelay = 2 * time.Millisecond

// readBufferSize is the size of the read buffer of a server that resets connections.
const readBufferSize = 4 << 10

// LongUpload is the length in bytes of a request body that the socket buffers do not hold.
const LongUpload = 4 << 20

// Repeats is how often a test sends a request to a server that resets the connection: either
// end of the client's connection may be the first to notice.
const Repeats = 12

// Server answers the first request on each connection with the same bytes.
type Server struct {
	Address string

	listener net.Listener
	writes   atomic.Int64
}

// Start starts a server on a free port of the loopback interface.
func Start(response string, end End) (*Server, error) {
	config := net.ListenConfig{}
	if end == Reset {
		config.Control = smallReadBuffer
	}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: listener.Addr().String(), listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn), response, end)
		}
	}()
	return s, nil
}

// smallReadBuffer lets a request fill the socket buffers sooner.
func smallReadBuffer(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBufferSize)
	})
	return errors.Join(err, optErr)
}

func (s *Server) serve(conn *net.TCPConn, response string, end End) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if request.Method != http.MethodGet {
		s.writes.Add(1)
	}
	if end == Close {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, response)
	if end == Reset {
		time.Sleep(resetDelay)
		_ = conn.SetLinger(0)
	}
}

// Writes returns the number of requests that have arrived and are not a GET.
func (s *Server) Writes() int { return int(s.writes.Load()) }

// Close stops listening.
func (s *Server) Close() { _ = s.listener.Close() }
