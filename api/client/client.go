// Package client calls nodes over HTTP.
//
// There is no load balancer. The client asks any node for the address of the
// node that serves a program, caches the address for the time that the response
// states, and falls back to the second address in another availability zone.
// Every request may be repeated, because nodes detect repetitions by request
// ids, program ids and resource versions.
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
	"dogwoodline.example/httpresponse"
	"dogwoodline.example/netdial"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// Error is the error class of this package.
var Error = errs.Class("client")

// ErrUnreachable means that no node gave a usable response.
var ErrUnreachable = Error.New("no node answered")

const (
	// addressTimeout bounds one address lookup at one node.
	addressTimeout = 2 * time.Second
	// dialTimeout is short because hosts are at most 2 ms apart.
	dialTimeout = time.Second
	// maxCachedAddresses bounds the address cache. When the cache is full it is
	// cleared and addresses are looked up again.
	maxCachedAddresses = 16384
	// minBackoff and maxBackoff bound the exponential backoff between tries,
	// before jitter.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxReplyBytes bounds the size of a response. A history has up to 590,000
	// tokens.
	maxReplyBytes = 64 << 20
	// maxIdleConnsPerNode is high enough for load tools to reuse their
	// connections.
	maxIdleConnsPerNode = 512
)

// Config configures a Client.
type Config struct {
	// Nodes are the base URLs of the nodes that serve address lookups and
	// resources.
	Nodes []string
	// Key is the key of the tenant, OperatorKey the key of the operators.
	Key         string
	OperatorKey string
	// SingleTry disables retries, so that the user of the client sees each
	// rejection.
	SingleTry bool
	// Transport sends the requests. Nil means a transport with a short dial
	// timeout and with keepalive probes that detect half-open connections.
	Transport http.RoundTripper
}

// Client sends requests to nodes. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client

	mu sync.Mutex
	// addresses is keyed by the id of the root program, because a root program
	// and its descendants are on the same node.
	addresses map[string]cachedAddress
}

type cachedAddress struct {
	api.Address
	expires time.Time
}

// New returns a client. It opens no connection.
func New(cfg Config) *Client {
	if cfg.Transport == nil {
		cfg.Transport = newTransport()
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: httpresponse.NewTransport(cfg.Transport)}, addresses: map[string]cachedAddress{}}
}

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
		},
	}
	return &http.Transport{
		DialContext:         netdial.ReportLosses(dialer.DialContext),
		MaxIdleConnsPerHost: maxIdleConnsPerNode,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// Address returns the address of the node that serves a program, from the cache
// or from the first node that knows it. It returns ErrUnreachable if no node
// responds with an address.
func (c *Client) Address(ctx context.Context, programID string) (api.Address, error) {
	rootID := program.Root(programID)
	c.mu.Lock()
	cached, ok := c.addresses[rootID]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.expires) {
		return cached.Address, nil
	}
	path := "/v1/address?program=" + url.QueryEscape(programID)
	r := request{method: http.MethodGet, path: path, timeout: addressTimeout}
	var address api.Address
	_, err := c.tryNodes(ctx, r, func(resp response) error {
		if resp.status != http.StatusOK || json.Unmarshal(resp.body, &address) != nil || address.Address == "" {
			return Error.New("look up address: %s", describeResponse(resp))
		}
		return nil
	})
	if err == nil {
		c.cacheAddress(rootID, address)
	}
	return address, err
}

func (c *Client) cacheAddress(rootID string, address api.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) >= maxCachedAddresses {
		clear(c.addresses)
	}
	expires := time.Now().Add(time.Duration(address.MaxAgeMS) * time.Millisecond)
	c.addresses[rootID] = cachedAddress{Address: address, expires: expires}
}

func (c *Client) dropAddress(programID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addresses, program.Root(programID))
}

// request is one HTTP request, before it is known which node gets it.
type request struct {
	method  string
	path    string
	key     string
	accept  string
	ifMatch string
	body    []byte
	// timeout bounds the request to one node if it is above zero.
	timeout time.Duration
}

// response is an HTTP response whose body was read.
type response struct {
	status int
	body   []byte
}

// tryNodes sends the request to the configured nodes in turn, beginning with a
// random one, until accept returns nil for a response.
func (c *Client) tryNodes(ctx context.Context, r request, accept func(response) error) (response, error) {
	var failures error
	first := rand.IntN(max(1, len(c.cfg.Nodes)))
	for i := range c.cfg.Nodes {
		node := c.cfg.Nodes[(first+i)%len(c.cfg.Nodes)]
		resp, err := c.fetch(ctx, node, r)
		if err == nil {
			err = accept(resp)
		}
		if err == nil {
			return resp, nil
		}
		failures = errs.Combine(failures, err)
	}
	return response{}, errs.Combine(ErrUnreachable, failures)
}

// fetch sends the request to one node and reads the whole response.
func (c *Client) fetch(ctx context.Context, node string, r request) (response, error) {
	if r.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.timeout)
		defer cancel()
	}
	httpResponse, err := c.do(ctx, node, r)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	return readAll(httpResponse)
}

func readAll(httpResponse *http.Response) (response, error) {
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxReplyBytes))
	if err != nil {
		return response{}, Error.Wrap(err)
	}
	return response{status: httpResponse.StatusCode, body: body}, nil
}

func (c *Client) do(ctx context.Context, node string, r request) (*http.Response, error) {
	target := strings.TrimSuffix(node, "/") + r.path
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for header, value := range map[string]string{
		"Authorization": bearerHeader(r.key), "Accept": r.accept, "If-Match": r.ifMatch,
	} {
		if value != "" {
			httpRequest.Header.Set(header, value)
		}
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return httpResponse, nil
}

func bearerHeader(key string) string {
	if key == "" {
		return ""
	}
	return "Bearer " + key
}

// isDialError reports whether a request failed before a connection was made, so
// that the node cannot have received any of it.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// backoff delays the retries of a request.
type backoff struct {
	noRetry bool
	delay   time.Duration
}

// wait sleeps before the next try, at least for the RetryAfterMS of o. It returns
// false if there is to be no other try: retries are disabled, ctx is done, or the
// deadline of ctx would pass during the wait, so that no response could arrive in
// time.
func (b *backoff) wait(ctx context.Context, o outcome.Outcome) bool {
	if b.noRetry {
		return false
	}
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	pause := max(b.delay, time.Duration(o.RetryAfterMS)*time.Millisecond)
	// Add jitter, so that callers that were rejected together do not retry
	// together.
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

// describeResponse returns an error text for an unexpected response.
func describeResponse(r response) string {
	var reply api.CallReply
	if json.Unmarshal(r.body, &reply) == nil && reply.Outcome.Code != "" {
		o := reply.Outcome
		return fmt.Sprintf("%s %s: %s", o.Code, o.Reason, o.Detail)
	}
	return fmt.Sprintf("HTTP status %d", r.status)
}
