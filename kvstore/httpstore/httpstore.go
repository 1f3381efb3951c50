// Package httpstore is the HTTP client of the platform: key-value store, host
// list and weight store.
//
// It tells apart calls that had no effect (ErrUnavailable, ErrRateLimited)
// and writes whose answer was lost (ErrAmbiguous). It never repeats a write.
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

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/wire"
)

// Error is the class of errors that are not part of the platform's protocol.
var Error = errs.Class("httpstore")

const (
	defaultDialTimeout  = 500 * time.Millisecond
	defaultReadTimeout  = 2 * time.Second
	defaultWriteTimeout = 2 * time.Second
	// defaultWatchSlack is added to the wait of a watch: the time that the
	// answer may take after the wait ended.
	defaultWatchSlack = 2 * time.Second
	// maxAnswerBytes bounds the memory of one answer. The largest lists are
	// the resources and the segments of one journal.
	maxAnswerBytes = 256 << 20
	// maxIdleConns covers the duties of a node that call at the same time.
	maxIdleConns = 32
)

// Settings of a client. Zero durations take the default.
type Settings struct {
	// URL is the address of the platform, for example http://10.0.0.1:7400.
	URL string
	// DialTimeout bounds the opening of a connection; default 500 ms.
	DialTimeout time.Duration
	// ReadTimeout bounds Get, List, Hosts and Reserve; default 2 s.
	ReadTimeout time.Duration
	// WriteTimeout bounds Put, Delete and the lease calls; default 2 s.
	WriteTimeout time.Duration
	// WatchSlack is added to the wait of a Watch; default 2 s.
	WatchSlack time.Duration
}

// Client implements kvstore.Store, kvstore.HostList and
// kvstore.WeightStore. It may be used by several duties at once.
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

// New returns a client. It opens no connection yet. It fails when the URL is
// malformed.
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
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	return &Client{settings: settings, base: base, http: &http.Client{Transport: transport}}, nil
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
	var written wire.Written
	err := c.write(ctx, http.MethodPut, "/kv/"+key, query, value, &written)
	var refused *refusal
	if errors.As(err, &refused) {
		return refused.body.Version, refused.err
	}
	return written.Version, err
}

// Delete implements kvstore.Store.
func (c *Client) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	query := url.Values{"if_version": {formatInt(expected)}}
	return c.write(ctx, http.MethodDelete, "/kv/"+key, query, nil, &wire.Written{})
}

// List implements kvstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kvstore.Item, kvstore.Version, error) {
	var answer wire.Items
	err := c.read(ctx, http.MethodGet, "/kv", url.Values{"prefix": {prefix}}, nil, &answer)
	return answer.Items, answer.Revision, err
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
	var answer wire.Events
	err := asRead(c.do(ctx, http.MethodGet, "/watch", query, nil, &answer))
	if err != nil {
		return nil, after, err
	}
	return answer.Events, answer.Revision, nil
}

// Grant implements kvstore.Store. After ErrAmbiguous an unknown lease may
// exist; it lapses by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	var granted wire.Granted
	err := c.write(ctx, http.MethodPost, "/leases", nil, encode(wire.GrantRequest{TTLMS: ttl.Milliseconds()}), &granted)
	return granted.Lease, err
}

// Renew implements kvstore.Store.
func (c *Client) Renew(ctx context.Context, lease kvstore.LeaseID) error {
	return c.write(ctx, http.MethodPost, "/leases/"+formatInt(lease)+"/renew", nil, nil, &wire.Written{})
}

// Revoke implements kvstore.Store.
func (c *Client) Revoke(ctx context.Context, lease kvstore.LeaseID) error {
	return c.write(ctx, http.MethodDelete, "/leases/"+formatInt(lease), nil, nil, &wire.Written{})
}

// Hosts implements kvstore.HostList.
func (c *Client) Hosts(ctx context.Context) ([]kvstore.Host, error) {
	var answer wire.Hosts
	err := c.read(ctx, http.MethodGet, "/hosts", nil, nil, &answer)
	return answer.Hosts, err
}

// Reserve implements kvstore.WeightStore. A lost answer is reported as
// ErrUnavailable: the reservation only delays other loads.
func (c *Client) Reserve(ctx context.Context, model string, size int64) (time.Duration, error) {
	var grant wire.WeightGrant
	err := c.read(ctx, http.MethodPost, "/weights/"+model, nil, encode(wire.WeightRequest{Bytes: size}), &grant)
	return time.Duration(grant.WaitMS) * time.Millisecond, err
}
