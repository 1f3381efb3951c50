package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// controlAnswerLimit bounds the answer to an order or a report, in bytes.
const controlAnswerLimit = 16 << 20

// RefusedError tells that a backend server refused an order. The order had no
// effect.
type RefusedError struct {
	Status int
	// Reason is the server's own, such as "fenced" or "not_found".
	Reason string
}

// Error returns the reason and the status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("dispatch: order refused: %s (status %d)", e.Reason, e.Status)
}

// LoadReport is a backend server's own view of its load. It lags.
type LoadReport struct {
	StartID string   `json:"start_id"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Slots   int      `json:"slots"`
	Held    int64    `json:"held_tokens"`
	Leaving bool     `json:"leaving"`
	Role    string   `json:"role"`
	Models  []string `json:"models"`
	TakenMS int64    `json:"taken_unix_ms"`
}

// CacheLog holds the cache events after a sequence number. Events come late;
// a missing sequence number is a lost event.
type CacheLog struct {
	StartID string `json:"start_id"`
	Events  []struct {
		Sequence uint64 `json:"sequence"`
		Hash     uint64 `json:"hash,string"`
		Evicted  bool   `json:"evicted"`
	} `json:"events"`
}

// HeldMemory is the memory per program on a backend server, in tokens.
type HeldMemory struct {
	StartID  string           `json:"start_id"`
	Programs map[string]int64 `json:"programs"`
}

// Control reads reports from engines and gives them orders. Every order
// carries the endpoint's fencing number. Errors of orders are RefusedError, or
// others when it is not known whether the order had an effect; orders may be
// repeated.
type Control struct{ transport *Transport }

// NewControl returns a control that uses the transport's connections.
func NewControl(transport *Transport) *Control { return &Control{transport: transport} }

// Load returns the load report.
func (c *Control) Load(ctx context.Context, to Endpoint) (LoadReport, error) {
	var report LoadReport
	err := c.ask(ctx, to, http.MethodGet, "/load", nil, &report)
	return report, err
}

// CacheEvents returns the cache events after a sequence number.
func (c *Control) CacheEvents(ctx context.Context, to Endpoint, after uint64) (CacheLog, error) {
	var events CacheLog
	err := c.ask(ctx, to, http.MethodGet, fmt.Sprintf("/cache/events?after=%d", after), nil, &events)
	return events, err
}

// Held returns the memory that each program holds.
func (c *Control) Held(ctx context.Context, to Endpoint) (HeldMemory, error) {
	var held HeldMemory
	err := c.ask(ctx, to, http.MethodGet, "/held", nil, &held)
	return held, err
}

// order is the body of an order.
type order struct {
	Fence     uint64   `json:"fence"`
	Program   string   `json:"program,omitempty"`
	RequestID string   `json:"request_id,omitempty"`
	Attempt   int      `json:"attempt,omitempty"`
	Name      string   `json:"name,omitempty"`
	Blocks    []uint64 `json:"blocks,omitempty"`
}

// orderAnswer is the answer to an order.
type orderAnswer struct {
	Released int64    `json:"released_tokens"`
	Blocks   []uint64 `json:"blocks"`
	ReadyMS  int64    `json:"ready_ms"`
}

// Cancel stops a running or waiting attempt of a call.
func (c *Control) Cancel(ctx context.Context, to Endpoint, requestID string, attempt int) error {
	_, err := c.order(ctx, to, "cancel", order{RequestID: requestID, Attempt: attempt})
	return err
}

// Release frees the memory of a program and returns its size in tokens.
func (c *Control) Release(ctx context.Context, to Endpoint, program string) (int64, error) {
	answer, err := c.order(ctx, to, "release", order{Program: program})
	return answer.Released, err
}

// Export returns the KV cache blocks of a program.
func (c *Control) Export(ctx context.Context, to Endpoint, program string) ([]uint64, error) {
	answer, err := c.order(ctx, to, "export", order{Program: program})
	return answer.Blocks, err
}

// Import stores the KV cache blocks of a program.
func (c *Control) Import(ctx context.Context, to Endpoint, program string, blocks []uint64) error {
	_, err := c.order(ctx, to, "import", order{Program: program, Blocks: blocks})
	return err
}

// LoadModel loads a model or adapter and returns the time until it is ready.
func (c *Control) LoadModel(ctx context.Context, to Endpoint, name string) (time.Duration, error) {
	answer, err := c.order(ctx, to, "load", order{Name: name})
	return time.Duration(answer.ReadyMS) * time.Millisecond, err
}

// UnloadModel removes a model or adapter.
func (c *Control) UnloadModel(ctx context.Context, to Endpoint, name string) error {
	_, err := c.order(ctx, to, "unload", order{Name: name})
	return err
}

// SetRole changes the role of a backend server.
func (c *Control) SetRole(ctx context.Context, to Endpoint, role string) error {
	_, err := c.order(ctx, to, "role", order{Name: role})
	return err
}

func (c *Control) order(ctx context.Context, to Endpoint, kind string, o order) (orderAnswer, error) {
	o.Fence = to.Fence
	body, err := json.Marshal(o)
	if err != nil {
		panic("dispatch: order cannot be encoded: " + err.Error())
	}
	var answer orderAnswer
	err = c.ask(ctx, to, http.MethodPost, "/orders/"+kind, body, &answer)
	return answer, err
}

func (c *Control) ask(ctx context.Context, to Endpoint, method, path string, body []byte, answer any) error {
	header := make(http.Header)
	authorize(header, to)
	var x exchange
	response, err := c.transport.send(ctx, &x, method, "http://"+to.Address+path, header, body, false)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, controlAnswerLimit))
	if err != nil {
		return Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return &RefusedError{Status: response.StatusCode, Reason: errorReason(data)}
	}
	return Error.Wrap(json.Unmarshal(data, answer))
}
