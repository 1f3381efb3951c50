package standin

import (
	"context"
	"net"
	"net/http"
	"time"
)

// listenRetry is the wait before the address is tried again. An outgoing
// connection of another process can hold the port for a short time.
const listenRetry = 5 * time.Millisecond

// listener is an HTTP server that keeps its address over crashes. The
// listener duty owns it.
type listener struct {
	handler http.Handler
	address string
	current *http.Server
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

// crash closes all connections at once and listens again after the delay.
func (l *listener) crash(ctx context.Context, delay time.Duration) error {
	l.close()
	for wait := delay; ; wait = listenRetry {
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

func (l *listener) close() { _ = l.current.Close() } // reports only that it is closed already

func (l *listener) serve(socket net.Listener) {
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: time.Minute}
	l.current = server
	go server.Serve(socket) //nolint:errcheck // ends with ErrServerClosed when Close is called
}
