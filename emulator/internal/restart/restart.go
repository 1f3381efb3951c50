// Package restart runs an HTTP server on loopback that can be stopped as a
// crash stops a process and started again on the same address.
package restart

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("restart")

// listenRetry is the wait before the address is tried again. An outgoing
// connection of another process can hold the port for a short time.
const listenRetry = 5 * time.Millisecond

// Server is an HTTP server with a fixed loopback address. One duty owns it.
type Server struct {
	handler http.Handler
	address string
	current *http.Server
}

// Listen starts serving on a loopback address. An empty address means
// 127.0.0.1 with a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{handler: handler, address: listener.Addr().String()}
	s.serve(listener)
	return s, nil
}

// Address returns host and port.
func (s *Server) Address() string { return s.address }

// Crash closes the listener and all connections at once and serves again
// after the delay. It returns the context's error when ctx ends before that.
func (s *Server) Crash(ctx context.Context, delay time.Duration) error {
	s.Close()
	wait := delay
	for {
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(listener)
			return nil
		}
		wait = listenRetry
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() { _ = s.current.Close() } // reports only that the listener is closed already

func (s *Server) serve(listener net.Listener) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	s.current = server
	go server.Serve(listener) //nolint:errcheck // ends with ErrServerClosed when Close is called
}
