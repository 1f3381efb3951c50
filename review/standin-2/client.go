package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// siteHost is the host of all routes.
const siteHost = "ficu95.example"

// turn is a request of a client.
type turn struct {
	id, path       string
	body           []byte
	previous       string
	program        string
	budget         int
	deadline       time.Duration
	finish         time.Duration // left until the program should be finished; 0 for 8 s
	plain          bool          // no turn: without a number of tokens
	ctx            context.Context
	lastEvent      string
	parts          string // of the prompt
	prompt, output int
}

// answer is what a client got.
type answer struct {
	status int // 0 if there was no answer
	body   string
	whole  bool // the answer came to its end
	err    error
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer (%v)", a.err)
	case !a.whole:
		return fmt.Sprintf("%d, broken off after %d bytes (%v)", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d, whole, %d bytes", a.status, len(a.body))
}

// newClient returns a client with connections of its own, which it keeps.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// send sends a request to a front and reads the answer.
func send(client *http.Client, front string, t turn) answer {
	ctx := t.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	deadline := t.deadline
	if deadline == 0 {
		deadline = 3 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+t.path, bytes.NewReader(t.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = siteHost
	set := func(name, value string) {
		if value != "" {
			request.Header[name] = []string{value}
		}
	}
	set(names.RequestID, t.id)
	set(names.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	set(names.Previous, t.previous)
	set(names.LastEvent, t.lastEvent)
	set(names.Parts, t.parts)
	if !t.plain {
		set(names.Tokens, fmt.Sprintf("%d,%d", max(t.prompt, 100), max(t.output, 40)))
	}
	if t.program != "" {
		set(names.Program, t.program)
		set(names.Session, "s"+strings.ToValidUTF8(t.program, ""))
		set(names.Finish, strconv.FormatInt(cmp.Or(t.finish, 8*time.Second).Milliseconds(), 10))
		set(names.Budget, strconv.Itoa(t.budget))
	}
	reply, err := client.Do(request)
	if err != nil {
		return answer{err: errors.Unwrap(err)}
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	return answer{status: reply.StatusCode, body: string(body), whole: err == nil, err: err}
}
