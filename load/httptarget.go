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

// HTTPTarget calls the HTTP interface for callers with the client library,
// which asks for addresses, keeps them, and resumes broken streams. It makes
// each request once, so that the run sees and counts every refusal.
type HTTPTarget struct {
	entries []string
	keyOf   func(tenant string) string

	mu      sync.Mutex
	clients map[string]*client.Client // by tenant
	owners  map[string]*client.Client // by root program
}

var _ Target = (*HTTPTarget)(nil)

// endTimeout bounds the request that ends a program.
const endTimeout = 5 * time.Second

// startTimeout bounds the request that starts a program.
const startTimeout = 10 * time.Second

// NewHTTPTarget returns a target. Entries are base URLs of nodes, for example
// http://127.0.0.1:8080; keyOf returns the key of a tenant.
func NewHTTPTarget(entries []string, keyOf func(tenant string) string) *HTTPTarget {
	return &HTTPTarget{
		entries: entries, keyOf: keyOf, clients: map[string]*client.Client{}, owners: map[string]*client.Client{},
	}
}

// StartProgram implements Target.
func (t *HTTPTarget) StartProgram(ctx context.Context, p ProgramStart) (outcome.Outcome, error) {
	caller := t.tenant(p.Tenant)
	t.mu.Lock()
	t.owners[program.Root(p.ID)] = caller
	t.mu.Unlock()
	reply, err := caller.Start(ctx, api.StartRequest{
		ID: p.ID, Class: p.Class, Budget: budget.Units(p.Budget), DeadlineMS: startTimeout.Milliseconds(),
	})
	return reply.Outcome, err
}

// EndProgram implements Target.
func (t *HTTPTarget) EndProgram(ctx context.Context, id string) error {
	caller, err := t.owner(id)
	if err != nil {
		return err
	}
	if program.Root(id) == id {
		t.mu.Lock()
		delete(t.owners, id)
		t.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	_, err = caller.End(ctx, id)
	return err
}

// Call implements Target.
func (t *HTTPTarget) Call(ctx context.Context, call CallRequest) (CallResult, error) {
	caller, err := t.owner(call.Program)
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
	var stream func(program.Chunk) error
	var first time.Duration
	if call.Stream {
		began := time.Now()
		stream = func(program.Chunk) error {
			if first == 0 {
				first = time.Since(began)
			}
			return nil
		}
	}
	result, err := caller.Call(ctx, call.Program, body, stream)
	lost := result.Outcome.Code == outcome.Unknown && result.Outcome.Reason == outcome.ConnectionLost
	if err == nil && lost && result.Attempt == 0 { // told by the client, not by a node
		err = Error.New("connection lost")
	}
	return CallResult{
		Outcome: result.Outcome, Answer: result.Answer, Recorded: result.Recorded, Attempt: result.Attempt, FirstToken: first,
	}, err
}

func (t *HTTPTarget) tenant(name string) *client.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.clients[name]
	if !ok {
		known = client.New(client.Config{Nodes: t.entries, Key: t.keyOf(name), SingleTry: true})
		t.clients[name] = known
	}
	return known
}

// owner returns the client of the tenant that started a program. Children
// belong to the tenant of their root.
func (t *HTTPTarget) owner(id string) (*client.Client, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.owners[program.Root(id)]
	if !ok {
		return nil, Error.New("program %s was not started", id)
	}
	return known, nil
}
