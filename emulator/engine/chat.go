package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/emulator/internal/standin"
	"dogwoodline.example/ring"
)

// Error is the class of all errors of this package.
var Error = errs.Class("engine")

// Names of the headers that carry what the chat-completion form does not.
const (
	HeaderProgram    = "X-Program-Id"
	HeaderRequest    = "X-Request-Id"
	HeaderAttempt    = "X-Attempt"
	HeaderPriority   = "X-Priority"
	HeaderDeadlineMS = "X-Deadline-Ms" // remaining time in milliseconds
	HeaderFence      = "X-Fencing-Number"
	HeaderOffset     = "X-Resume-Offset" // bytes of the answer that the client has
	HeaderStart      = "X-Start-Id"      // in answers: the start id of the engine
)

// chatBody is the part of the chat-completion form that the stand-in reads.
type chatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// OutputTokens is the length of the answer. A real model decides it
	// itself; zero means MaxTokens.
	OutputTokens int `json:"output_tokens"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var body chatBody
	if !standin.Decode(w, r, &body) {
		return
	}
	req, resume, err := e.newRequest(body, r.Header)
	if err != nil {
		standin.Refusal(http.StatusBadRequest, err.Error()).Write(w)
		return
	}
	listener := req.listener
	if e.server.Push(func(c *core, now time.Time) { c.admit(now, req, resume) }) != nil {
		standin.Refusal(http.StatusServiceUnavailable, string(overloaded)).Write(w)
		return
	}
	key, answer := req.key, newAnswer(w, req)
	for {
		p, err := listener.Pop(r.Context())
		if err != nil {
			// An engine that hangs reads this after it goes on.
			_ = e.server.Push(func(c *core, now time.Time) { c.disconnected(now, key, listener) })
			return
		}
		if p.crashed {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		answer.write(p)
		if p.last() {
			return
		}
	}
}

// newRequest returns the request and whether it resumes a stream.
func (e *Engine) newRequest(body chatBody, header http.Header) (*request, bool, error) {
	number := func(name string) int64 {
		value, _ := strconv.ParseInt(header.Get(name), 10, 64) // absent means zero
		return value
	}
	req := &request{
		key:      requestKey{header.Get(HeaderRequest), int(number(HeaderAttempt))},
		program:  header.Get(HeaderProgram),
		model:    body.Model,
		priority: int(number(HeaderPriority)),
		fence:    uint64(number(HeaderFence)),
		prompt:   Prompt(body.Messages),
		total:    body.MaxTokens,
		silent:   !body.Stream && !strings.Contains(header.Get("Accept"), "text/event-stream"),
		listener: ring.New[progress](progressSlots),
	}
	if body.OutputTokens > 0 {
		req.total = min(body.OutputTokens, body.MaxTokens)
	}
	if req.total < 1 || req.total > e.config.MaxTokens {
		return nil, false, Error.New("max_tokens is out of range")
	}
	if req.key.id == "" || req.program == "" {
		return nil, false, Error.New("request id or program id is missing")
	}
	if remaining := number(HeaderDeadlineMS); remaining > 0 {
		req.deadline = time.Now().Add(time.Duration(remaining) * time.Millisecond)
	}
	offset := number(HeaderOffset)
	req.given = min(int(offset)/TokenBytes, req.total-1)
	req.text = Text(req.key.id, req.key.attempt, req.total)
	req.prepare(e.config.BlockTokens)
	return req, offset > 0, nil
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// answer writes progress as JSON or as server-sent events.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	attempt int
	text    string
	prompt  int
	stream  bool
	sent    int // bytes that the client has
	started bool
}

func newAnswer(w http.ResponseWriter, r *request) *answer {
	return &answer{
		w: w, control: http.NewResponseController(w),
		id: r.key.id, attempt: r.key.attempt, text: r.text, prompt: Tokens(r.prompt),
		stream: !r.silent, sent: r.given * TokenBytes,
	}
}

func (a *answer) write(p progress) {
	if !a.started {
		a.w.Header().Set(HeaderRequest, a.id)
		a.w.Header().Set(HeaderAttempt, strconv.Itoa(a.attempt))
		a.w.Header().Set(HeaderStart, p.startID)
	}
	switch {
	case p.refused != none && !a.started:
		standin.Refusal(p.refused.status(), string(p.refused)).Write(a.w)
	case p.refused != none:
		a.event(map[string]any{"error": map[string]any{"reason": p.refused}})
	case a.stream:
		a.chunk(p)
	case p.done:
		standin.Answer{Status: http.StatusOK, Body: a.frame(p, "message", a.text)}.Write(a.w)
	}
}

func (a *answer) chunk(p progress) {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.WriteHeader(http.StatusOK)
	}
	if until := p.tokens * TokenBytes; until > a.sent || p.done {
		frame := a.frame(p, "delta", a.text[a.sent:max(until, a.sent)])
		frame["offset"] = a.sent
		a.event(frame)
		a.sent = max(until, a.sent)
	}
	if p.done {
		fmt.Fprint(a.w, "data: [DONE]\n\n") //nolint:errcheck // a lost client shows in the request's context
	}
	_ = a.control.Flush() // as above
}

// frame returns a chunk or a whole answer in the chat-completion form.
func (a *answer) frame(p progress, field, text string) map[string]any {
	choice := map[string]any{"index": 0, field: Message{Role: "assistant", Content: text}}
	frame := map[string]any{"id": a.id, "attempt": a.attempt, "choices": []any{choice}}
	if p.done {
		choice["finish_reason"] = "stop"
		usage := Usage{PromptTokens: a.prompt, CompletionTokens: p.tokens}
		usage.Details.CachedTokens = p.cached
		frame["usage"] = usage
	}
	return frame
}

func (a *answer) event(value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("engine: frame cannot be encoded: " + err.Error())
	}
	fmt.Fprintf(a.w, "data: %s\n\n", data) //nolint:errcheck // a lost client shows in the request's context
}

// status returns the HTTP status of a refusal.
func (reason refusal) status() int {
	switch reason {
	case leaving, overloaded, notLoaded, pastDeadline:
		return http.StatusServiceUnavailable
	case unknownTarget:
		return http.StatusNotFound
	}
	return http.StatusConflict
}
