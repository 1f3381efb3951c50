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
	// resourceTimeout bounds a request to one node. It is longer than the 5 s
	// that the node waits for the platform store.
	resourceTimeout = 6 * time.Second
	// watchGrace is the time that a long poll may take beyond its wait.
	watchGrace = 2 * time.Second
)

// ErrUnauthorized means that the node rejected the operator key.
var ErrUnauthorized = Error.New("operator key is missing or wrong")

// Resources reads and writes resources through any node.
type Resources struct {
	client *Client
}

var _ api.Resources = Resources{}

// Resources returns the API for operators. It uses Config.OperatorKey.
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
	body := mustMarshal(api.ResourceBody{Spec: spec, Version: expected})
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

// do sends a request to the first node that responds. It decodes the response
// into target, or returns the error that it stands for.
func (r Resources) do(ctx context.Context, q request, target any) error {
	q.key = r.client.cfg.OperatorKey
	if q.timeout == 0 {
		q.timeout = resourceTimeout
	}
	resp, err := r.client.tryNodes(ctx, q, func(response) error { return nil })
	if errors.Is(err, ErrUnreachable) {
		return errs.Combine(api.ErrUnavailable, err)
	}
	if err != nil {
		return err
	}
	if resp.status >= http.StatusBadRequest {
		return decodeResourceError(resp)
	}
	if target == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(resp.body, target))
}

// decodeResourceError returns the error of package api that the node encoded in
// its response.
func decodeResourceError(resp response) error {
	var reply api.ResourceErrorReply
	if err := json.Unmarshal(resp.body, &reply); err != nil {
		return Error.New("HTTP status %d", resp.status)
	}
	switch reply.Outcome.Reason {
	case outcome.Conflict:
		return &api.ConflictError{CurrentVersion: reply.CurrentVersion}
	case api.UnknownResource:
		return api.ErrNotFound
	case api.StoreUnavailable:
		return errs.Combine(api.ErrUnavailable, Error.New("%s", reply.Outcome.Detail))
	case api.Unauthorized:
		return ErrUnauthorized
	}
	if len(reply.Problems) > 0 {
		return &api.InvalidError{Problems: reply.Problems}
	}
	return errs.Combine(api.ErrInvalid, Error.New("%s", reply.Outcome.Detail))
}
