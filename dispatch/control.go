package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxControlResponseBytes bounds the response to an order or a report request.
const maxControlResponseBytes = 16 << 20

// RefusedError means that a backend server refused an order or a report
// request. A refused order had no effect.
type RefusedError struct {
	Status int
	// Reason is the reason in the response, such as "fenced" or "not_found". It
	// is empty if the response has none.
	Reason string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("dispatch: order refused: %s (status %d)", e.Reason, e.Status)
}

// LoadReport is the load that a backend server reports about itself. It lags
// behind the actual load.
type LoadReport struct {
	StartID     string   `json:"start_id"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Slots       int      `json:"slots"`
	HeldTokens  int64    `json:"held_tokens"`
	Leaving     bool     `json:"leaving"`
	Role        string   `json:"role"`
	Models      []string `json:"models"`
	TakenUnixMS int64    `json:"taken_unix_ms"`
}

// CacheLog holds the cache events after a sequence number. Events arrive with a
// delay; a missing sequence number means a lost event.
type CacheLog struct {
	StartID string `json:"start_id"`
	Events  []struct {
		Sequence uint64 `json:"sequence"`
		Hash     uint64 `json:"hash,string"`
		Evicted  bool   `json:"evicted"`
	} `json:"events"`
}

// HeldMemory is the KV cache that each program holds on a backend server, in
// tokens.
type HeldMemory struct {
	StartID  string           `json:"start_id"`
	Programs map[string]int64 `json:"programs"`
}

// ControlClient reads reports from engines and sends them orders (control requests).
// Each order carries the endpoint's fencing number. An order that fails with a
// RefusedError had no effect; after any other error it is unknown whether it
// had one. Orders may be repeated.
type ControlClient struct{ transport *Transport }

// NewControlClient returns a Control that uses the transport's connections.
func NewControlClient(transport *Transport) *ControlClient {
	return &ControlClient{transport: transport}
}

// Load returns the load report of a backend server.
func (c *ControlClient) Load(ctx context.Context, to Endpoint) (LoadReport, error) {
	var report LoadReport
	err := c.do(ctx, to, http.MethodGet, "/load", nil, &report)
	return report, err
}

// CacheEvents returns the cache events after a sequence number.
func (c *ControlClient) CacheEvents(ctx context.Context, to Endpoint, after uint64) (CacheLog, error) {
	var events CacheLog
	err := c.do(ctx, to, http.MethodGet, fmt.Sprintf("/cache/events?after=%d", after), nil, &events)
	return events, err
}

// Held returns the KV cache that each program holds.
func (c *ControlClient) Held(ctx context.Context, to Endpoint) (HeldMemory, error) {
	var held HeldMemory
	err := c.do(ctx, to, http.MethodGet, "/held", nil, &held)
	return held, err
}

// orderRequest is the body of an order. Each kind of order sets the fields that
// it needs.
type orderRequest struct {
	Fence     uint64   `json:"fence"`
	Program   string   `json:"program,omitempty"`
	RequestID string   `json:"request_id,omitempty"`
	Attempt   int      `json:"attempt,omitempty"`
	Name      string   `json:"name,omitempty"`
	Blocks    []uint64 `json:"blocks,omitempty"`
}

// orderResponse is the body of the response to an order.
type orderResponse struct {
	Released int64    `json:"released_tokens"`
	Blocks   []uint64 `json:"blocks"`
	ReadyMS  int64    `json:"ready_ms"`
}

// Cancel stops a running or waiting attempt of a call.
func (c *ControlClient) Cancel(ctx context.Context, to Endpoint, requestID string, attempt int) error {
	_, err := c.sendOrder(ctx, to, "cancel", orderRequest{RequestID: requestID, Attempt: attempt})
	return err
}

// Release frees the KV cache of a program and returns its size in tokens.
func (c *ControlClient) Release(ctx context.Context, to Endpoint, program string) (int64, error) {
	response, err := c.sendOrder(ctx, to, "release", orderRequest{Program: program})
	return response.Released, err
}

// Export returns the hashes of the KV cache blocks of a program.
func (c *ControlClient) Export(ctx context.Context, to Endpoint, program string) ([]uint64, error) {
	response, err := c.sendOrder(ctx, to, "export", orderRequest{Program: program})
	return response.Blocks, err
}

// Import stores KV cache blocks, given by their hashes, for a program.
func (c *ControlClient) Import(ctx context.Context, to Endpoint, program string, blocks []uint64) error {
	_, err := c.sendOrder(ctx, to, "import", orderRequest{Program: program, Blocks: blocks})
	return err
}

// LoadModel loads a model or adapter and returns the time until it is ready.
func (c *ControlClient) LoadModel(ctx context.Context, to Endpoint, name string) (time.Duration, error) {
	response, err := c.sendOrder(ctx, to, "load", orderRequest{Name: name})
	return time.Duration(response.ReadyMS) * time.Millisecond, err
}

// UnloadModel removes a model or adapter.
func (c *ControlClient) UnloadModel(ctx context.Context, to Endpoint, name string) error {
	_, err := c.sendOrder(ctx, to, "unload", orderRequest{Name: name})
	return err
}

// SetRole changes the role of a backend server, such as "prefill" or "decode".
func (c *ControlClient) SetRole(ctx context.Context, to Endpoint, role string) error {
	_, err := c.sendOrder(ctx, to, "role", orderRequest{Name: role})
	return err
}

// sendOrder sends an order with the endpoint's fencing number.
func (c *ControlClient) sendOrder(
	ctx context.Context, to Endpoint, kind string, request orderRequest,
) (orderResponse, error) {
	request.Fence = to.Fence
	body, err := json.Marshal(request)
	if err != nil {
		panic("dispatch: encode order: " + err.Error())
	}
	var response orderResponse
	err = c.do(ctx, to, http.MethodPost, "/orders/"+kind, body, &response)
	return response, err
}

// do sends one request and decodes the JSON response into out.
func (c *ControlClient) do(ctx context.Context, to Endpoint, method, path string, body []byte, out any) error {
	header := make(http.Header)
	setEndpointHeaders(header, to)
	var tracker sendTracker
	response, err := c.transport.send(ctx, &tracker, method, "http://"+to.Address+path, header, body, false)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxControlResponseBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return &RefusedError{Status: response.StatusCode, Reason: parseErrorReason(data)}
	}
	return Error.Wrap(json.Unmarshal(data, out))
}
