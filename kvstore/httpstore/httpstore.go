// Package httpstore is the HTTP client of the platform: key-value store, host
// list and weight store.
//
// It distinguishes calls that had no effect (ErrUnavailable, ErrRateLimited)
// from writes whose response was lost (ErrAmbiguous). It never repeats a write.
package httpstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/httpresponse"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/wire"
	"dogwoodline.example/netdial"
)

// Error is the class of errors that are not part of the platform's protocol.
var Error = errs.Class("httpstore")

const (
	defaultDialTimeout  = 500 * time.Millisecond
	defaultReadTimeout  = 2 * time.Second
	defaultWriteTimeout = 2 * time.Second
	// defaultWatchSlack is the time that the response to a watch may take
	// after the wait of the watch has ended.
	defaultWatchSlack = 2 * time.Second
	// maxResponseBytes bounds the memory for one response. The largest
	// responses are the list of all resources and the list of the segments of
	// one journal.
	maxResponseBytes = 256 << 20
	// maxIdleConns covers the goroutines of a node that call the platform at
	// the same time.
	maxIdleConns = 32
)

// Settings of a client. Zero durations take the default.
type Settings struct {
	// URL is the base URL of the platform, for example http://10.0.0.1:7400.
	URL string
	// DialTimeout bounds the time to open a connection; default 500 ms.
	DialTimeout time.Duration
	// ReadTimeout bounds Get, List, Hosts and Reserve; default 2 s.
	ReadTimeout time.Duration
	// WriteTimeout bounds Put, Delete and the lease calls; default 2 s.
	WriteTimeout time.Duration
	// WatchSlack is added to the wait of a Watch; default 2 s.
	WatchSlack time.Duration
}

// Client implements kvstore.Store, kvstore.HostList and kvstore.WeightStore. It
// is safe for concurrent use.
type Client struct {
	settings Settings
	base     *url.URL
	http     *http.Client
}

var (
	_ kvstore.Store       = (*Client)(nil)
	_ kvstore.HostList    = (*Client)(nil)
	_ kvstore.WeightStore = (*Client)(nil)
)

// New returns a client. It does not connect to the platform. It fails if the
// URL is malformed.
func New(settings Settings) (*Client, error) {
	base, err := url.Parse(settings.URL)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if base.Host == "" || base.Scheme != "http" {
		return nil, Error.New("platform URL must have the form http://address:port, got %q", settings.URL)
	}
	settings.DialTimeout = orDefault(settings.DialTimeout, defaultDialTimeout)
	settings.ReadTimeout = orDefault(settings.ReadTimeout, defaultReadTimeout)
	settings.WriteTimeout = orDefault(settings.WriteTimeout, defaultWriteTimeout)
	settings.WatchSlack = orDefault(settings.WatchSlack, defaultWatchSlack)
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	transport := &http.Transport{
		DialContext:         netdial.ReportLosses(dialer.DialContext),
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	return &Client{settings: settings, base: base, http: &http.Client{Transport: httpresponse.NewTransport(transport)}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements kvstore.Store.
func (c *Client) Get(ctx context.Context, key string) (kvstore.Item, error) {
	var item kvstore.Item
	err := c.read(ctx, http.MethodGet, "/kv/"+key, nil, nil, &item)
	return item, err
}

// Put implements kvstore.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	if len(value) > kvstore.MaxValueBytes {
		return 0, kvstore.ErrTooLarge
	}
	query := url.Values{}
	query.Set("if_version", formatInt(expected))
	if lease != 0 {
		query.Set("lease", formatInt(lease))
	}
	var written wire.WriteResponse
	err := c.write(ctx, http.MethodPut, "/kv/"+key, query, value, &written)
	var apiErr *apiError
	if errors.As(err, &apiErr) {
		return apiErr.body.Version, apiErr.err
	}
	return written.Version, err
}

// Delete implements kvstore.Store.
func (c *Client) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	query := url.Values{"if_version": {formatInt(expected)}}
	return c.write(ctx, http.MethodDelete, "/kv/"+key, query, nil, &wire.WriteResponse{})
}

// List implements kvstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	var result wire.ListResponse
	err := c.read(ctx, http.MethodGet, "/kv", url.Values{"prefix": {prefix}}, nil, &result)
	return result.Items, result.Revision, err
}

// Watch implements kvstore.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {formatInt(after)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.settings.WatchSlack)
	defer cancel()
	var result wire.WatchResponse
	err := asUnavailable(c.do(ctx, http.MethodGet, "/watch", query, nil, &result))
	if err != nil {
		return nil, after, err
	}
	return result.Events, result.Revision, nil
}

// Grant implements kvstore.Store. After ErrAmbiguous a lease may exist whose ID
// is unknown; it expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	var granted wire.GrantResponse
	err := c.write(ctx, http.MethodPost, "/leases", nil, encode(wire.GrantRequest{TTLMS: ttl.Milliseconds()}), &granted)
	return granted.Lease, err
}

// Renew implements kvstore.Store.
func (c *Client) Renew(ctx context.Context, lease kvstore.LeaseID) error {
	return c.write(ctx, http.MethodPost, "/leases/"+formatInt(lease)+"/renew", nil, nil, &wire.WriteResponse{})
}

// Revoke implements kvstore.Store.
func (c *Client) Revoke(ctx context.Context, lease kvstore.LeaseID) error {
	return c.write(ctx, http.MethodDelete, "/leases/"+formatInt(lease), nil, nil, &wire.WriteResponse{})
}

// Hosts implements kvstore.HostList.
func (c *Client) Hosts(ctx context.Context) ([]kvstore.Host, error) {
	var result wire.HostsMessage
	err := c.read(ctx, http.MethodGet, "/hosts", nil, nil, &result)
	return result.Hosts, err
}

// Reserve implements kvstore.WeightStore. A lost response is reported as
// ErrUnavailable, because an unused reservation only delays other loads.
func (c *Client) Reserve(ctx context.Context, model string, size int64) (time.Duration, error) {
	var grant wire.WeightResponse
	err := c.read(ctx, http.MethodPost, "/weights/"+model, nil, encode(wire.WeightRequest{Bytes: size}), &grant)
	return time.Duration(grant.WaitMS) * time.Millisecond, err
}
