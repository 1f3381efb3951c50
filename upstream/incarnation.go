package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"dogwoodline.example/call"
)

// ErrOtherIncarnation reports that the backend server has started again since it was
// registered as the request expects. Nothing was sent.
var ErrOtherIncarnation = Error.New("the backend server has started again")

// Incarnations reads which incarnation of a backend server answers on a connection.
type Incarnations interface {
	// StatePath is the path at which backend servers state it.
	StatePath() string
	// StateType is the media type of the response there.
	StateType() string
	// DecodeIncarnation returns what a response body states. It reports false if it
	// states none.
	DecodeIncarnation(body []byte) (int64, bool)
}

const (
	// incarnationTimeout bounds the question which incarnation answers.
	incarnationTimeout = 500 * time.Millisecond
	// maxStateBytes bounds the answer.
	maxStateBytes = 256 << 10
)

// MinRestartTime is how soon after its end a backend server may run calls again, at the
// earliest.
const MinRestartTime = 300 * time.Millisecond

// errNoState reports that a backend server answers the question which incarnation it
// is with something else. It runs anything that it gets, whatever the path.
var errNoState = Error.New("the backend server has answered with something else than its state")

// heardIncarnations tells when which incarnation was last heard at an address, on
// connections on which it had been stated. Its lock is held for a few instructions only.
type heardIncarnations struct {
	mu        sync.Mutex
	byAddress map[string]heardIncarnation
	// stateless holds the registered incarnation of the backend servers that state none.
	stateless map[string]int64
}

func newHeardIncarnations() heardIncarnations {
	return heardIncarnations{byAddress: map[string]heardIncarnation{}, stateless: map[string]int64{}}
}

// noteStateless notes that the backend server registered as the given incarnation
// states none.
func (h *heardIncarnations) noteStateless(address string, registered int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stateless[address] = registered
}

// isStateless reports whether the backend server registered as the given incarnation
// is known to state none.
func (h *heardIncarnations) isStateless(address string, registered int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.stateless[address]
	return ok && known == registered
}

// forget forgets a backend server that is gone.
func (h *heardIncarnations) forget(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byAddress, address)
	delete(h.stateless, address)
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
	if !ok || now.Sub(known.at) > MinRestartTime {
		delete(h.byAddress, address)
		return 0
	}
	return known.incarnation
}

// checkIncarnation makes sure that the incarnation that the request expects answers on
// the connection. It asks once for each connection. A backend server that does not
// state its incarnation passes. It returns the connection to use, which is another one
// if the answer to the question occupies the first.
func (p *Pool) checkIncarnation(ctx context.Context, c *conn, request Request) (*conn, error) {
	if request.Incarnation == 0 || p.incarnations == nil {
		return c, nil
	}
	if !c.asked {
		c.incarnation = p.heard.recent(c.address, time.Now())
	}
	if !c.asked && c.incarnation == 0 && !p.heard.isStateless(c.address, request.Incarnation) {
		err := p.askIncarnation(ctx, c, request.Host)
		if errors.Is(err, errNoState) {
			p.log.Warn("upstream: the incarnation of a backend server is not known", "address", c.address, "registered", request.Incarnation, "error", err)
			p.heard.noteStateless(c.address, request.Incarnation)
			p.discard(c)
			return p.connect(ctx, request.Address)
		}
		if err != nil {
			return c, errors.Join(ErrNotConnected, err)
		}
	}
	c.asked = true
	if c.incarnation != 0 && c.incarnation != request.Incarnation {
		return c, ErrOtherIncarnation
	}
	return c, nil
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
	// The question has no id. An answer with the id of an earlier request is a copy.
	reply, _, err := p.nextResponse(c, http.MethodGet, func(response call.Response, _ bool) bool {
		return response.RequestID == "" || !c.carried.has(p.hash(response.RequestID))
	})
	if err != nil {
		return err
	}
	if kind := reply.Header.Get("Content-Type"); kind != "" && !strings.HasPrefix(kind, p.incarnations.StateType()) && reply.StatusCode == http.StatusOK {
		return errNoState // the body may be without end
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
