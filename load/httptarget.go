package load

import (
	"context"
	"sync"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/budget"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// HTTPTarget sends requests to the HTTP API through the client library, which
// looks up and caches the addresses of programs and resumes interrupted streams.
// The retries of the library are off, so that the run counts every refusal.
type HTTPTarget struct {
	nodeURLs  []string
	tenantKey func(tenant string) string

	mu              sync.Mutex
	clientsByTenant map[string]*client.Client
	clientsByRoot   map[string]*client.Client
}

var _ Target = (*HTTPTarget)(nil)

// endTimeout bounds the request that ends a program.
const endTimeout = 5 * time.Second

// startTimeout bounds the request that starts a program.
const startTimeout = 10 * time.Second

// NewHTTPTarget returns a target that sends requests to the nodes at nodeURLs,
// base URLs such as http://127.0.0.1:8080. tenantKey returns the API key of a
// tenant.
func NewHTTPTarget(nodeURLs []string, tenantKey func(tenant string) string) *HTTPTarget {
	return &HTTPTarget{
		nodeURLs: nodeURLs, tenantKey: tenantKey, clientsByTenant: map[string]*client.Client{}, clientsByRoot: map[string]*client.Client{},
	}
}

// StartProgram implements Target.
func (t *HTTPTarget) StartProgram(ctx context.Context, p ProgramStart) (outcome.Outcome, error) {
	c := t.tenantClient(p.Tenant)
	t.mu.Lock()
	t.clientsByRoot[program.Root(p.ID)] = c
	t.mu.Unlock()
	reply, err := c.Start(ctx, api.StartRequest{
		ID: p.ID, Class: p.Class, Budget: budget.Units(p.Budget), DeadlineMS: startTimeout.Milliseconds(),
	})
	return reply.Outcome, err
}

// EndProgram implements Target.
func (t *HTTPTarget) EndProgram(ctx context.Context, id string) error {
	c, err := t.programClient(id)
	if err != nil {
		return err
	}
	if program.Root(id) == id {
		t.mu.Lock()
		delete(t.clientsByRoot, id)
		t.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	_, err = c.End(ctx, id)
	return err
}

// Call implements Target.
func (t *HTTPTarget) Call(ctx context.Context, call CallRequest) (CallResult, error) {
	c, err := t.programClient(call.Program)
	if err != nil {
		return CallResult{}, err
	}
	body := api.CallBody{Body: call.Body, CallRequest: api.CallRequest{
		RequestID: call.RequestID, Order: call.Order, Kind: program.Kind(call.Kind), Service: call.Service,
		Operation: call.Operation, MaxTokens: call.MaxTokens, DeadlineMS: call.DeadlineMS,
	}}
	for _, m := range call.Messages {
		body.Messages = append(body.Messages, program.Message{Role: m.Role, Content: m.Content})
	}
	var onChunk func(program.Chunk) error
	var firstToken time.Duration
	if call.Stream {
		began := time.Now()
		onChunk = func(program.Chunk) error {
			if firstToken == 0 {
				firstToken = time.Since(began)
			}
			return nil
		}
	}
	result, err := c.Call(ctx, call.Program, body, onChunk)
	connectionLost := result.Outcome.Code == outcome.Unknown && result.Outcome.Reason == outcome.ConnectionLost
	if err == nil && connectionLost && result.Attempt == 0 { // set by the client library, not by a node
		err = Error.New("connection lost")
	}
	return CallResult{
		Outcome: result.Outcome, Answer: result.Answer, Recorded: result.Recorded, Attempt: result.Attempt, FirstToken: firstToken,
	}, err
}

// tenantClient returns the client of a tenant and creates it on first use.
func (t *HTTPTarget) tenantClient(name string) *client.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.clientsByTenant[name]
	if !ok {
		c = client.New(client.Config{Nodes: t.nodeURLs, Key: t.tenantKey(name), SingleTry: true})
		t.clientsByTenant[name] = c
	}
	return c
}

// programClient returns the client of the tenant that started a program.
// Sub-agents belong to the tenant of their root program.
func (t *HTTPTarget) programClient(id string) (*client.Client, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.clientsByRoot[program.Root(id)]
	if !ok {
		return nil, Error.New("program %s was not started", id)
	}
	return c, nil
}
