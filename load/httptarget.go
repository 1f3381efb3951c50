package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"dogwoodline.example/outcome"
)

// HTTPTarget calls the HTTP interface for callers. Like any caller it asks
// some node for the address of a program, caches the answer and connects to
// that address itself.
type HTTPTarget struct {
	// Entries are base URLs of nodes, for example http://127.0.0.1:8080.
	Entries []string
	// AddressTTL is how long an address answer is used.
	AddressTTL time.Duration
	Client     *http.Client

	mu    sync.Mutex
	known map[string]address
	turn  int
}

type address struct {
	base  string
	until time.Time
}

// maxAnswerBytes bounds one answer, and one event of a streamed one.
const maxAnswerBytes = 4 << 20

var _ Target = (*HTTPTarget)(nil)

// StartProgram implements Target.
func (t *HTTPTarget) StartProgram(ctx context.Context, p ProgramStart) (outcome.Outcome, error) {
	var answer CallResult
	err := t.exchange(ctx, http.MethodPost, root(p.ID), "/v1/programs", p, &answer)
	if answer.Outcome.Code == "" && err == nil {
		answer.Outcome.Code = outcome.Completed
	}
	return answer.Outcome, err
}

// EndProgram implements Target.
func (t *HTTPTarget) EndProgram(ctx context.Context, id string) error {
	return t.exchange(ctx, http.MethodDelete, root(id), "/v1/programs/"+url.PathEscape(id), nil, &CallResult{})
}

// Call implements Target.
func (t *HTTPTarget) Call(ctx context.Context, call CallRequest) (CallResult, error) {
	var result CallResult
	path := "/v1/programs/" + url.PathEscape(call.Program) + "/calls"
	if !call.Stream {
		err := t.exchange(ctx, http.MethodPost, root(call.Program), path, call, &result)
		return result, err
	}
	began := time.Now()
	response, err := t.send(ctx, http.MethodPost, root(call.Program), path, call, "text/event-stream")
	if err != nil {
		return result, err
	}
	defer response.Body.Close()
	result, err = readEvents(response.Body, began)
	return result, t.note(root(call.Program), err)
}

// readEvents reads server-sent events up to the one with the outcome.
func readEvents(body io.Reader, began time.Time) (CallResult, error) {
	var first time.Duration
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxAnswerBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		if first == 0 {
			first = time.Since(began)
		}
		var result CallResult
		if json.Unmarshal([]byte(data), &result) == nil && result.Outcome.Code != "" {
			result.FirstToken = first
			return result, nil
		}
	}
	if lines.Err() != nil {
		return CallResult{}, Error.Wrap(lines.Err())
	}
	return CallResult{}, Error.New("the stream ended without an outcome")
}

// root returns the id of the root program, which alone decides the address.
func root(id string) string {
	base, _, _ := strings.Cut(id, ".")
	return base
}

func (t *HTTPTarget) exchange(ctx context.Context, method, program, path string, body, answer any) error {
	response, err := t.send(ctx, method, program, path, body, "application/json")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return t.note(program, Error.Wrap(err))
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return nil
	}
	return t.note(program, Error.Wrap(json.Unmarshal(data, answer)))
}

func (t *HTTPTarget) send(ctx context.Context, method, program, path string, body any, accept string) (*http.Response, error) {
	base, err := t.address(ctx, program)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(data))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", accept)
	response, err := t.Client.Do(request)
	if err != nil {
		return nil, t.note(program, Error.Wrap(err))
	}
	return response, nil
}

// note forgets the cached address of a program after an error, because its
// node may be gone.
func (t *HTTPTarget) note(program string, err error) error {
	if err != nil {
		t.mu.Lock()
		delete(t.known, program)
		t.mu.Unlock()
	}
	return err
}

// address returns the cached address of a program or asks the entries in turn.
func (t *HTTPTarget) address(ctx context.Context, program string) (string, error) {
	t.mu.Lock()
	known, ok := t.known[program]
	t.turn++
	turn := t.turn
	t.mu.Unlock()
	if ok && time.Now().Before(known.until) {
		return known.base, nil
	}
	var last error
	for i := range t.Entries {
		base, err := t.ask(ctx, t.Entries[(turn+i)%len(t.Entries)], program)
		if err != nil {
			last = err
			continue
		}
		t.mu.Lock()
		if t.known == nil {
			t.known = map[string]address{}
		}
		t.known[program] = address{base: base, until: time.Now().Add(t.AddressTTL)}
		t.mu.Unlock()
		return base, nil
	}
	return "", Error.New("no entry answered: %v", last)
}

func (t *HTTPTarget) ask(ctx context.Context, entry, program string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/address?program="+url.QueryEscape(program), nil)
	if err != nil {
		return "", Error.Wrap(err)
	}
	response, err := t.Client.Do(request)
	if err != nil {
		return "", Error.Wrap(err)
	}
	defer response.Body.Close()
	var answer struct {
		Address string `json:"address"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return "", Error.Wrap(err)
	}
	if answer.Address == "" {
		return "", Error.New("empty address")
	}
	if !strings.Contains(answer.Address, "://") {
		answer.Address = "http://" + answer.Address
	}
	return answer.Address, nil
}
