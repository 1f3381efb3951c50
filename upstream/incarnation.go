package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// ErrOtherIncarnation reports that the backend server has started again since it was
// registered as the request expects. Nothing was sent.
var ErrOtherIncarnation = Error.New("the backend server has started again")

// Incarnations reads which incarnation of a backend server answers on a connection.
type Incarnations interface {
	// StatePath is the path at which backend servers state it.
	StatePath() string
	// DecodeIncarnation returns what a response body states. It reports false if it
	// states none.
	DecodeIncarnation(body []byte) (int64, bool)
}

const (
	// incarnationTimeout bounds the question which incarnation answers.
	incarnationTimeout = 500 * time.Millisecond
	// maxStateBytes bounds the answer.
	maxStateBytes = 256 << 10
	// minRestartTime is how long after its last byte another incarnation may take a
	// backend server's address at the earliest.
	minRestartTime = 300 * time.Millisecond
)

// heardIncarnations tells when which incarnation was last heard at an address, on
// connections on which it had been stated. Its lock is held for a few instructions only.
type heardIncarnations struct {
	mu        sync.Mutex
	byAddress map[string]heardIncarnation
}

type heardIncarnation struct {
	incarnation int64
	at          time.Time
}

// note notes that bytes of the incarnation have arrived.
func (h *heardIncarnations) note(address string, incarnation int64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byAddress[address] = heardIncarnation{incarnation, now}
}

// recent returns the incarnation that was heard so lately that no other can have taken
// its place, or 0.
func (h *heardIncarnations) recent(address string, now time.Time) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.byAddress[address]
	if !ok || now.Sub(known.at) > minRestartTime {
		delete(h.byAddress, address)
		return 0
	}
	return known.incarnation
}

// checkIncarnation makes sure that the incarnation that the request expects answers on
// the connection. It asks once for each connection. A backend server that does not
// state its incarnation passes.
func (p *Pool) checkIncarnation(ctx context.Context, c *conn, request Request) error {
	if request.Incarnation == 0 || p.incarnations == nil {
		return nil
	}
	if !c.asked {
		c.incarnation = p.heard.recent(c.address, time.Now())
	}
	if !c.asked && c.incarnation == 0 {
		if err := p.askIncarnation(ctx, c, request.Host); err != nil {
			return errors.Join(ErrNotConnected, err)
		}
	}
	c.asked = true
	if c.incarnation != 0 && c.incarnation != request.Incarnation {
		return ErrOtherIncarnation
	}
	return nil
}

// askIncarnation asks the backend server on a connection which incarnation it is.
func (p *Pool) askIncarnation(ctx context.Context, c *conn, host string) error {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // ends the read below
	defer stop()
	if _, err := io.WriteString(c, "GET "+p.incarnations.StatePath()+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"); err != nil {
		return err
	}
	c.bounded.limit(maxStateBytes)
	reply, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	c.bounded.unlimit()
	if reply.Close || !stop() {
		return Error.New("the connection ends after the state of the backend server")
	}
	if reply.StatusCode == http.StatusOK {
		c.incarnation, _ = p.incarnations.DecodeIncarnation(body)
	}
	if c.incarnation != 0 {
		p.heard.note(c.address, c.incarnation, time.Now())
	}
	return nil
}
