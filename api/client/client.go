// Package client calls nodes over HTTP.
//
// There is no load balancer. The client asks any node which address serves a
// program, keeps that answer for the time it states, and falls back to the
// second choice in another availability zone. Every request may be repeated,
// because nodes recognise request ids, program ids and resource versions.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/api"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// Error is the class of all errors of this package.
var Error = errs.Class("client")

// ErrUnreachable reports that no node answered.
var ErrUnreachable = Error.New("no node answered")

const (
	// askTimeout bounds one question for an address.
	askTimeout = 2 * time.Second
	// dialTimeout is short because hosts are at most 2 ms apart.
	dialTimeout = time.Second
	// keptAddresses bounds the kept answers. All are dropped when it is
	// exceeded, and asked for again.
	keptAddresses = 16384
	// firstWait and longestWait bound the exponential delay between tries.
	firstWait   = 20 * time.Millisecond
	longestWait = 2 * time.Second
	// maxReplyBytes bounds an answer. A history has up to 590,000 tokens.
	maxReplyBytes = 64 << 20
	// connectionsPerNode keeps connections of a load tool open.
	connectionsPerNode = 512
)

// Config says which nodes to call and as whom.
type Config struct {
	// Nodes are base URLs of nodes that can be asked for addresses.
	Nodes []string
	// Key is the tenant's key, OperatorKey the operators'.
	Key         string
	OperatorKey string
	// SingleTry makes every request once, so that a caller sees each refusal.
	SingleTry bool
	// Transport carries the requests. Nil means a transport with a short dial
	// timeout and keepalive probes that find half-open connections.
	Transport http.RoundTripper
}

// Client calls nodes. It may be used by many goroutines.
type Client struct {
	cfg  Config
	http *http.Client

	mu   sync.Mutex
	kept map[string]keptAddress
}

type keptAddress struct {
	api.Address
	until time.Time
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Transport == nil {
		cfg.Transport = newTransport()
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: cfg.Transport}, kept: map[string]keptAddress{}}
}

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: connectionsPerNode,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// Address tells which node serves a program. It answers from what it kept
// while that is fresh, else it asks the nodes in turn. It returns
// ErrUnreachable when none answers.
func (c *Client) Address(ctx context.Context, programID string) (api.Address, error) {
	family := program.Root(programID)
	c.mu.Lock()
	kept, ok := c.kept[family]
	c.mu.Unlock()
	if ok && time.Now().Before(kept.until) {
		return kept.Address, nil
	}
	path := "/v1/address?program=" + url.QueryEscape(programID)
	r := request{method: http.MethodGet, path: path, timeout: askTimeout}
	var address api.Address
	_, err := c.any(ctx, r, func(answer response) error {
		if answer.status != http.StatusOK || json.Unmarshal(answer.body, &address) != nil || address.Address == "" {
			return Error.New("address question: %s", refusalOf(answer))
		}
		return nil
	})
	if err == nil {
		c.keep(family, address)
	}
	return address, err
}

func (c *Client) keep(family string, address api.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.kept) >= keptAddresses {
		clear(c.kept)
	}
	until := time.Now().Add(time.Duration(address.KeepMS) * time.Millisecond)
	c.kept[family] = keptAddress{Address: address, until: until}
}

func (c *Client) forget(programID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.kept, program.Root(programID))
}

// request is one HTTP request, before it is known which node gets it.
type request struct {
	method  string
	path    string
	key     string
	accept  string
	ifMatch string
	body    []byte
	// timeout bounds the try at one node, when it is above zero.
	timeout time.Duration
}

type response struct {
	status int
	body   []byte
}

// any sends the request to the configured nodes in turn, from a random one
// on, until accept returns nil for an answer.
func (c *Client) any(ctx context.Context, r request, accept func(response) error) (response, error) {
	var failures error
	first := rand.IntN(max(1, len(c.cfg.Nodes)))
	for i := range c.cfg.Nodes {
		node := c.cfg.Nodes[(first+i)%len(c.cfg.Nodes)]
		answer, err := c.fetch(ctx, node, r)
		if err == nil {
			err = accept(answer)
		}
		if err == nil {
			return answer, nil
		}
		failures = errs.Combine(failures, err)
	}
	return response{}, errs.Combine(ErrUnreachable, failures)
}

// fetch sends the request to one node and reads the whole answer.
func (c *Client) fetch(ctx context.Context, node string, r request) (response, error) {
	if r.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.timeout)
		defer cancel()
	}
	opened, err := c.open(ctx, node, r)
	if err != nil {
		return response{}, err
	}
	defer opened.Body.Close()
	return readAll(opened)
}

func readAll(opened *http.Response) (response, error) {
	body, err := io.ReadAll(io.LimitReader(opened.Body, maxReplyBytes))
	if err != nil {
		return response{}, Error.Wrap(err)
	}
	return response{status: opened.StatusCode, body: body}, nil
}

func (c *Client) open(ctx context.Context, node string, r request) (*http.Response, error) {
	target := strings.TrimSuffix(node, "/") + r.path
	built, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for header, value := range map[string]string{
		"Authorization": bearer(r.key), "Accept": r.accept, "If-Match": r.ifMatch,
	} {
		if value != "" {
			built.Header.Set(header, value)
		}
	}
	opened, err := c.http.Do(built)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return opened, nil
}

func bearer(key string) string {
	if key == "" {
		return ""
	}
	return "Bearer " + key
}

// neverSent reports whether no byte of a failed request can have arrived.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// tries spaces the repetitions of a request.
type tries struct {
	single bool // no repetition
	next   time.Duration
}

// wait sleeps before the next try. It returns false when the deadline of ctx
// comes first, so that no try is made that cannot be answered.
func (t *tries) wait(ctx context.Context, o outcome.Outcome) bool {
	if t.single {
		return false
	}
	t.next = min(max(2*t.next, firstWait), longestWait)
	pause := max(t.next, time.Duration(o.RetryAfterMS)*time.Millisecond)
	// Callers that were refused together must not come back together.
	pause += time.Duration(rand.Int64N(int64(pause)/2 + 1))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// refusalOf describes an answer that is not the expected one.
func refusalOf(r response) string {
	var refusal api.CallReply
	if json.Unmarshal(r.body, &refusal) == nil && refusal.Outcome.Code != "" {
		o := refusal.Outcome
		return fmt.Sprintf("%s %s: %s", o.Code, o.Reason, o.Detail)
	}
	return fmt.Sprintf("HTTP status %d", r.status)
}
