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

// refusal is an error answer of the server. The call had no effect.
type refusal struct {
	err  error
	body wire.Error
}

func (r *refusal) Error() string { return r.err.Error() }
func (r *refusal) Unwrap() error { return r.err }

// noAnswer reports that no usable answer arrived. While sent is false the
// request headers were not written, so the server cannot have acted.
type noAnswer struct {
	sent  bool
	cause error
}

func (n *noAnswer) Error() string { return "no answer: " + n.cause.Error() }

func (c *Client) read(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ReadTimeout)
	defer cancel()
	return asRead(c.do(ctx, method, path, query, body, answer))
}

func (c *Client) write(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.WriteTimeout)
	defer cancel()
	err := c.do(ctx, method, path, query, body, answer)
	var lost *noAnswer
	if errors.As(err, &lost) && lost.sent {
		return kvstore.ErrAmbiguous
	}
	return asRead(err)
}

func asRead(err error) error {
	var lost *noAnswer
	if errors.As(err, &lost) {
		return kvstore.ErrUnavailable
	}
	return err
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
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
		return &noAnswer{sent: sent.Load(), cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &noAnswer{sent: true, cause: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return refused(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &noAnswer{sent: true, cause: err}
	}
	return nil
}

// refused decodes an error answer. A server error without a code of the
// protocol says nothing about the effect of the call.
func refused(status int, data []byte) error {
	var body wire.Error
	if err := json.Unmarshal(data, &body); err != nil {
		return &noAnswer{sent: true, cause: err}
	}
	if known, ok := wire.ToError(body.Code); ok {
		return &refusal{err: known, body: body}
	}
	if status >= http.StatusInternalServerError {
		return &noAnswer{sent: true, cause: Error.New("status %d", status)}
	}
	return Error.New("call refused with status %d: %s", status, body.Detail)
}

func encode(message any) []byte {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err) // the messages hold only integers
	}
	return data
}

func formatInt[T ~int64](number T) string { return strconv.FormatInt(int64(number), 10) }

func orDefault(value, standard time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return standard
}
