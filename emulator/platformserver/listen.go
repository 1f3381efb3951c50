package platformserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("platformserver")

// reopenAttempts and reopenPause limit how long a listener waits for its port
// after an outage. An outgoing connection of another process can occupy the port
// for a short time.
const (
	reopenAttempts = 50
	reopenPause    = 20 * time.Millisecond
)

// listener is an HTTP server that can be closed and reopened. The platform's one
// is closed during an OutageRefuse, so that the operating system refuses new
// connections.
type listener struct {
	address string
	handler http.Handler
	wrap    func(net.Listener) net.Listener // nil for none

	mu     sync.Mutex
	server *http.Server // nil while the port is closed
	socket net.Listener
	closed bool
}

// Listen serves the platform's API on address, and the API with the /admin
// interface on adminAddress, until ctx is done. It returns the addresses in use.
func (s *Server) Listen(ctx context.Context, address, adminAddress string) (platformAddr, adminAddr string, err error) {
	adminPort := &listener{address: adminAddress, handler: s.Handler()}
	if err := adminPort.open(); err != nil {
		return "", "", err
	}
	port := &listener{address: address, handler: s.platform(), wrap: s.wrap}
	if err := port.open(); err != nil {
		adminPort.close()
		return "", "", err
	}
	s.mu.Lock()
	s.listener = port
	s.mu.Unlock()
	context.AfterFunc(ctx, func() {
		port.close()
		adminPort.close()
	})
	return port.address, adminPort.address, nil
}

// setRefusing closes the listener or opens it again.
func (l *listener) setRefusing(refusing bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if refusing {
		l.stopLocked()
		return nil
	}
	if l.server != nil || l.closed {
		return nil
	}
	var err error
	for range reopenAttempts {
		if err = l.openLocked(); err == nil {
			return nil
		}
		time.Sleep(reopenPause)
	}
	return err
}

func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openLocked()
}

func (l *listener) openLocked() error {
	socket, err := net.Listen("tcp", l.address)
	if err != nil {
		return Error.Wrap(err)
	}
	l.address = socket.Addr().String()
	if l.wrap != nil {
		socket = l.wrap(socket)
	}
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: 10 * time.Second}
	l.server, l.socket = server, socket
	// Serve returns an error when the listener is closed, which is expected.
	go func() { _ = server.Serve(socket) }()
	return nil
}

func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.stopLocked()
}

func (l *listener) stopLocked() {
	if l.server != nil {
		// server.Close closes the socket only if the goroutine has already
		// called Serve, so the socket is closed explicitly.
		_ = l.socket.Close()
		_ = l.server.Close()
		l.server = nil
	}
}
