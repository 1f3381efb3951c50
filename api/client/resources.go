package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/api"
	"dogwoodline.example/outcome"
)

const (
	// resourceTimeout bounds a request at one node. It exceeds the time that
	// the node waits for the platform store.
	resourceTimeout = 6 * time.Second
	// watchGrace is how much longer than its wait a long poll may take.
	watchGrace = 2 * time.Second
)

// ErrKey reports that the node refused the operator key.
var ErrKey = Error.New("operator key is missing or wrong")

// Resources reads and writes resources at any node.
type Resources struct {
	client *Client
}

var _ api.Resources = Resources{}

// Resources returns the operators' side of the client.
func (c *Client) Resources() Resources { return Resources{client: c} }

// Get implements api.Resources.
func (r Resources) Get(ctx context.Context, kind, name string) (api.Resource, error) {
	var found api.Resource
	err := r.do(ctx, request{method: http.MethodGet, path: resourcePath(kind, name)}, &found)
	return found, err
}

// List implements api.Resources.
func (r Resources) List(ctx context.Context, kind string) (api.ResourceList, error) {
	var list api.ResourceList
	err := r.do(ctx, request{method: http.MethodGet, path: listPath(kind)}, &list)
	return list, err
}

// Put implements api.Resources.
func (r Resources) Put(
	ctx context.Context, kind, name string, spec json.RawMessage, expected int64,
) (api.Resource, error) {
	var written api.Resource
	if !json.Valid(spec) {
		return written, &api.InvalidError{Problems: api.FieldProblems{{Field: "spec", Problem: "is not valid JSON"}}}
	}
	body := encode(api.ResourceBody{Spec: spec, Version: expected})
	err := r.do(ctx, request{method: http.MethodPut, path: resourcePath(kind, name), body: body}, &written)
	return written, err
}

// Delete implements api.Resources.
func (r Resources) Delete(ctx context.Context, kind, name string, expected int64) error {
	version := strconv.Quote(strconv.FormatInt(expected, 10))
	return r.do(ctx, request{method: http.MethodDelete, path: resourcePath(kind, name), ifMatch: version}, nil)
}

// Watch implements api.Resources.
func (r Resources) Watch(
	ctx context.Context, kind string, after int64, wait time.Duration,
) (api.ResourceList, error) {
	var list api.ResourceList
	path := fmt.Sprintf("%s?watch=true&after=%d&wait_ms=%d", listPath(kind), after, wait.Milliseconds())
	err := r.do(ctx, request{method: http.MethodGet, path: path, timeout: wait + watchGrace}, &list)
	return list, err
}

func resourcePath(kind, name string) string { return "/v1/resources/" + kind + "/" + name }

func listPath(kind string) string {
	if kind == "" {
		return "/v1/resources"
	}
	return "/v1/resources/" + kind
}

func (r Resources) do(ctx context.Context, q request, into any) error {
	q.key = r.client.cfg.OperatorKey
	if q.timeout == 0 {
		q.timeout = resourceTimeout
	}
	answer, err := r.client.any(ctx, q, func(response) error { return nil })
	if errors.Is(err, ErrUnreachable) {
		return errs.Combine(api.ErrUnavailable, err)
	}
	if err != nil {
		return err
	}
	if answer.status >= http.StatusBadRequest {
		return refusedResource(answer)
	}
	if into == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(answer.body, into))
}

// refusedResource returns the typed error that the node encoded.
func refusedResource(answer response) error {
	var refusal api.ResourceRefusal
	if err := json.Unmarshal(answer.body, &refusal); err != nil {
		return Error.New("HTTP status %d", answer.status)
	}
	switch refusal.Outcome.Reason {
	case outcome.Conflict:
		return &api.ConflictError{Current: refusal.Current}
	case api.UnknownResource:
		return api.ErrNotFound
	case api.StoreUnavailable:
		return errs.Combine(api.ErrUnavailable, Error.New("%s", refusal.Outcome.Detail))
	case api.Unauthorized:
		return ErrKey
	}
	if len(refusal.Problems) > 0 {
		return &api.InvalidError{Problems: refusal.Problems}
	}
	return errs.Combine(api.ErrInvalid, Error.New("%s", refusal.Outcome.Detail))
}
