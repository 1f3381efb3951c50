package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/wire"
)

// apiError is an error response with a code of the protocol. The call had no
// effect.
type apiError struct {
	err  error
	body wire.Error
}

func (e *apiError) Error() string { return e.err.Error() }
func (e *apiError) Unwrap() error { return e.err }

// noResponseError reports that no usable response arrived. If sent is false, the
// request headers were not written, so the server cannot have acted on the
// request.
type noResponseError struct {
	sent  bool
	cause error
}

func (e *noResponseError) Error() string { return "no answer: " + e.cause.Error() }

// read sends a call that the caller may repeat without harm, so a lost response
// is reported as ErrUnavailable.
func (c *Client) read(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ReadTimeout)
	defer cancel()
	return asUnavailable(c.do(ctx, method, path, query, body, result))
}

// write sends a call that must not be repeated blindly. It returns ErrAmbiguous
// if the request was sent and no usable response arrived.
func (c *Client) write(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.WriteTimeout)
	defer cancel()
	err := c.do(ctx, method, path, query, body, result)
	var noResponse *noResponseError
	if errors.As(err, &noResponse) && noResponse.sent {
		return kvstore.ErrAmbiguous
	}
	return asUnavailable(err)
}

// asUnavailable replaces a noResponseError by ErrUnavailable.
func asUnavailable(err error) error {
	var noResponse *noResponseError
	if errors.As(err, &noResponse) {
		return kvstore.ErrUnavailable
	}
	return err
}

// do sends a request and decodes the body of the response into result.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, result any) error {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	target := *c.base
	target.Path = path
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &noResponseError{sent: sent.Load(), cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &noResponseError{sent: true, cause: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return decodeError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &noResponseError{sent: true, cause: err}
	}
	return nil
}

// decodeError decodes an error response. A 5xx response without a known code
// leaves open whether the call took effect.
func decodeError(status int, data []byte) error {
	var body wire.Error
	if err := json.Unmarshal(data, &body); err != nil {
		return &noResponseError{sent: true, cause: err}
	}
	if known, ok := wire.ErrorForCode(body.Code); ok {
		return &apiError{err: known, body: body}
	}
	if status >= http.StatusInternalServerError {
		return &noResponseError{sent: true, cause: Error.New("status %d", status)}
	}
	return Error.New("call refused with status %d: %s", status, body.Detail)
}

func encode(message any) []byte {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err) // the messages have only integer fields
	}
	return data
}

func formatInt[T ~int64](number T) string { return strconv.FormatInt(int64(number), 10) }

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
