package standin

import (
	"context"
	"net"
	"net/http"
	"time"
)

// listenRetryDelay is the wait before the next attempt to listen. An outgoing
// connection of another process can occupy the port for a short time.
const listenRetryDelay = 5 * time.Millisecond

// listener is an HTTP server that keeps its address across simulated crashes.
// It is owned by the worker that runs Server.runListener.
type listener struct {
	handler http.Handler
	address string
	server  *http.Server
}

func listen(address string, handler http.Handler) (*listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l := &listener{handler: handler, address: socket.Addr().String()}
	l.serve(socket)
	return l, nil
}

// restart closes the listener and all connections, and listens on the same
// address after the delay.
func (l *listener) restart(ctx context.Context, delay time.Duration) error {
	l.close()
	for wait := delay; ; wait = listenRetryDelay {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
		if socket, err := net.Listen("tcp", l.address); err == nil {
			l.serve(socket)
			return nil
		}
	}
}

func (l *listener) close() { _ = l.server.Close() } // the error only says that it was already closed

func (l *listener) serve(socket net.Listener) {
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: time.Minute}
	l.server = server
	go server.Serve(socket) //nolint:errcheck // ends with ErrServerClosed when Close is called
}
