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

// Names of the headers that carry what the chat-completion API has no field for.
const (
	HeaderProgram    = "X-Program-Id"
	HeaderRequest    = "X-Request-Id"
	HeaderAttempt    = "X-Attempt"
	HeaderPriority   = "X-Priority"
	HeaderDeadlineMS = "X-Deadline-Ms" // remaining time in milliseconds
	HeaderFence      = "X-Fencing-Number"
	HeaderOffset     = "X-Resume-Offset" // bytes of the answer that the client already has
	HeaderStart      = "X-Start-Id"      // in responses: the start id of the engine
)

// chatBody holds the fields of a chat-completion request that the stand-in
// reads.
type chatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// OutputTokens is the length of the answer, which a real model decides
	// itself. Zero means MaxTokens.
	OutputTokens int `json:"output_tokens"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var body chatBody
	if !standin.Decode(w, r, &body) {
		return
	}
	req, resume, err := e.newRequest(body, r.Header)
	if err != nil {
		standin.ErrorResponse(http.StatusBadRequest, err.Error()).Write(w)
		return
	}
	updates := req.updates
	if e.server.Submit(func(c *core, now time.Time) { c.admit(now, req, resume) }) != nil {
		standin.ErrorResponse(http.StatusServiceUnavailable, string(overloaded)).Write(w)
		return
	}
	key, answer := req.key, newAnswerWriter(w, req)
	for {
		p, err := updates.Pop(r.Context())
		if err != nil {
			// An engine that hangs handles this when the hang ends.
			_ = e.server.Submit(func(c *core, now time.Time) { c.handleDisconnect(now, key, updates) })
			return
		}
		if p.crashed {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		answer.write(p)
		if p.last() {
			return
		}
	}
}

// newRequest returns the request that a body and its headers describe, and
// whether it resumes a stream.
func (e *Engine) newRequest(body chatBody, header http.Header) (*request, bool, error) {
	intHeader := func(name string) int64 {
		value, _ := strconv.ParseInt(header.Get(name), 10, 64) // an absent header means zero
		return value
	}
	req := &request{
		key:         requestKey{header.Get(HeaderRequest), int(intHeader(HeaderAttempt))},
		program:     header.Get(HeaderProgram),
		model:       body.Model,
		priority:    int(intHeader(HeaderPriority)),
		fence:       uint64(intHeader(HeaderFence)),
		prompt:      Prompt(body.Messages),
		totalTokens: body.MaxTokens,
		buffered:    !body.Stream && !strings.Contains(header.Get("Accept"), "text/event-stream"),
		updates:     ring.New[progress](progressSlots),
	}
	if body.OutputTokens > 0 {
		req.totalTokens = min(body.OutputTokens, body.MaxTokens)
	}
	if req.totalTokens < 1 || req.totalTokens > e.config.MaxTokens {
		return nil, false, Error.New("max_tokens is out of range")
	}
	if req.key.id == "" || req.program == "" {
		return nil, false, Error.New("request id or program id is missing")
	}
	if remaining := intHeader(HeaderDeadlineMS); remaining > 0 {
		req.deadline = time.Now().Add(time.Duration(remaining) * time.Millisecond)
	}
	offset := intHeader(HeaderOffset)
	req.resumeTokens = min(int(offset)/BytesPerToken, req.totalTokens-1)
	req.answerText = AnswerText(req.key.id, req.key.attempt, req.totalTokens)
	req.prepare(e.config.BlockTokens)
	return req, offset > 0, nil
}

// Usage reports the tokens of a prompt and its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// answerWriter sends the progress of a request to its client, as one JSON
// response or as server-sent events.
type answerWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	id           string
	attempt      int
	text         string
	promptTokens int
	stream       bool
	sentBytes    int // bytes of the answer that the client has
	started      bool
}

func newAnswerWriter(w http.ResponseWriter, r *request) *answerWriter {
	return &answerWriter{
		w: w, control: http.NewResponseController(w),
		id: r.key.id, attempt: r.key.attempt, text: r.answerText, promptTokens: TokenCount(r.prompt),
		stream: !r.buffered, sentBytes: r.resumeTokens * BytesPerToken,
	}
}

func (a *answerWriter) write(p progress) {
	if !a.started {
		a.w.Header().Set(HeaderRequest, a.id)
		a.w.Header().Set(HeaderAttempt, strconv.Itoa(a.attempt))
		a.w.Header().Set(HeaderStart, p.startID)
	}
	switch {
	case p.refusal != notRefused && !a.started:
		standin.ErrorResponse(p.refusal.status(), string(p.refusal)).Write(a.w)
	case p.refusal != notRefused:
		a.writeEvent(map[string]any{"error": map[string]any{"reason": p.refusal}})
	case a.stream:
		a.writeChunk(p)
	case p.done:
		standin.Response{Status: http.StatusOK, Body: a.frame(p, "message", a.text)}.Write(a.w)
	}
}

func (a *answerWriter) writeChunk(p progress) {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.WriteHeader(http.StatusOK)
	}
	if end := p.tokens * BytesPerToken; end > a.sentBytes || p.done {
		frame := a.frame(p, "delta", a.text[a.sentBytes:max(end, a.sentBytes)])
		frame["offset"] = a.sentBytes
		a.writeEvent(frame)
		a.sentBytes = max(end, a.sentBytes)
	}
	if p.done {
		fmt.Fprint(a.w, "data: [DONE]\n\n") //nolint:errcheck // the request's context tells of a lost client
	}
	_ = a.control.Flush() // as above
}

// frame returns the chat-completion object of a chunk or of a whole answer.
func (a *answerWriter) frame(p progress, field, text string) map[string]any {
	choice := map[string]any{"index": 0, field: Message{Role: "assistant", Content: text}}
	frame := map[string]any{"id": a.id, "attempt": a.attempt, "choices": []any{choice}}
	if p.done {
		choice["finish_reason"] = "stop"
		usage := Usage{PromptTokens: a.promptTokens, CompletionTokens: p.tokens}
		usage.Details.CachedTokens = p.cachedTokens
		frame["usage"] = usage
	}
	return frame
}

func (a *answerWriter) writeEvent(value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("engine: encode event: " + err.Error())
	}
	fmt.Fprintf(a.w, "data: %s\n\n", data) //nolint:errcheck // the request's context tells of a lost client
}

// status returns the HTTP status of a refusal.
func (reason refusalReason) status() int {
	switch reason {
	case leaving, overloaded, notLoaded, pastDeadline:
		return http.StatusServiceUnavailable
	case unknownTarget:
		return http.StatusNotFound
	}
	return http.StatusConflict
}
