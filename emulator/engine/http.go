package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"dogwoodline.example/ring"
)

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

// bodyLimit is the largest request body in bytes. It has room for 590,000
// tokens of history.
const bodyLimit = 16 << 20

func (e *Engine) handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/admin", e.serveAdmin)
	router.Group(func(r chi.Router) {
		r.Use(e.authorize)
		r.Post("/v1/chat/completions", e.serveChat)
		r.Post("/orders/{kind}", e.serveOrder)
		r.Get("/load", e.serveQuery(func(c *core, now time.Time, _ *http.Request) any { return c.load(now) }))
		r.Get("/held", e.serveQuery(func(c *core, _ time.Time, _ *http.Request) any {
			return Held{StartID: c.startID, Programs: c.heldPrograms()}
		}))
		r.Get("/cache/events", e.serveQuery(func(c *core, now time.Time, r *http.Request) any {
			after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // absent means from the start
			until := now.Add(-c.config.real(c.config.EventLag))
			return CacheEvents{StartID: c.startID, Events: c.cache.since(after, until)}
		}))
	})
	return router
}

func (e *Engine) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.config.Credential != "" && r.Header.Get("Authorization") != "Bearer "+e.config.Credential {
			writeRefusal(w, http.StatusUnauthorized, "unauthorized")
			return
		}
		next.ServeHTTP(w, r)
	})
}

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
	req, resume, err := e.decodeChat(w, r)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	listener := req.listener
	if e.inbox.TryPush(submitMessage{request: req, resume: resume}) != nil {
		writeRefusal(w, http.StatusServiceUnavailable, string(overloaded))
		return
	}
	answer := newAnswer(w, req)
	for {
		p, err := listener.Pop(r.Context())
		if err != nil {
			// An engine that hangs reads this after it goes on.
			_ = e.inbox.TryPush(disconnectMessage{key: req.key, listener: listener})
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

func (e *Engine) decodeChat(w http.ResponseWriter, r *http.Request) (*request, bool, error) {
	var body chatBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&body); err != nil {
		return nil, false, Error.Wrap(err)
	}
	number := func(header string) int64 {
		value, _ := strconv.ParseInt(r.Header.Get(header), 10, 64) // absent means zero
		return value
	}
	req := &request{
		key:      requestKey{r.Header.Get(HeaderRequest), int(number(HeaderAttempt))},
		program:  r.Header.Get(HeaderProgram),
		model:    body.Model,
		priority: int(number(HeaderPriority)),
		fence:    uint64(number(HeaderFence)),
		prompt:   Prompt(body.Messages),
		total:    body.MaxTokens,
		silent:   !body.Stream && !strings.Contains(r.Header.Get("Accept"), "text/event-stream"),
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
		writeRefusal(a.w, statusOf(p.refused), string(p.refused))
	case p.refused != none:
		a.event(map[string]any{"error": map[string]any{"reason": p.refused}})
	case a.stream:
		a.chunk(p)
	case p.done:
		writeJSON(a.w, http.StatusOK, a.frame(p, "message", a.text))
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

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&order); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	reply := ring.New[OrderAnswer](1)
	if e.inbox.TryPush(orderMessage{kind: chi.URLParam(r, "kind"), order: order, reply: reply}) != nil {
		writeRefusal(w, http.StatusServiceUnavailable, string(overloaded))
		return
	}
	result, err := reply.Pop(r.Context())
	if err != nil {
		return
	}
	if result.Reason != "" {
		writeRefusal(w, statusOf(refusal(result.Reason)), result.Reason)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (e *Engine) serveQuery(read func(*core, time.Time, *http.Request) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		reply := ring.New[any](1)
		bound := func(c *core, now time.Time) any { return read(c, now, r) }
		if e.inbox.TryPush(queryMessage{read: bound, reply: reply}) != nil {
			writeRefusal(w, http.StatusServiceUnavailable, string(overloaded))
			return
		}
		if result, err := reply.Pop(r.Context()); err == nil {
			writeJSON(w, http.StatusOK, result)
		}
	}
}

func (e *Engine) serveAdmin(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if err := json.NewDecoder(r.Body).Decode(&switches); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := e.Set(switches); err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func statusOf(reason refusal) int {
	switch reason {
	case leaving, overloaded, notLoaded, pastDeadline:
		return http.StatusServiceUnavailable
	case unknownTarget:
		return http.StatusNotFound
	}
	return http.StatusConflict
}

func writeRefusal(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"reason": reason}})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("engine: answer cannot be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
