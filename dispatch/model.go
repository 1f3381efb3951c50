package dispatch

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwoodline.example/outcome"
	"dogwoodline.example/schedule"
)

// Headers of the engine and service protocols.
const (
	headerProgram    = "X-Program-Id"
	headerRequest    = "X-Request-Id"
	headerAttempt    = "X-Attempt"
	headerPriority   = "X-Priority"
	headerDeadlineMS = "X-Deadline-Ms"
	headerFence      = "X-Fencing-Number"
	headerOffset     = "X-Resume-Offset"
	headerStart      = "X-Start-Id"
)

const (
	// answerLimit bounds an answer in bytes.
	answerLimit = 8 << 20
	// eventLimit bounds one server-sent event in bytes.
	eventLimit = 1 << 20
)

// ModelCaller calls model engines.
type ModelCaller struct{ transport *Transport }

// NewModelCaller returns a caller that uses the transport's connections.
func NewModelCaller(transport *Transport) *ModelCaller { return &ModelCaller{transport: transport} }

// usage is the token count of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// completion is a whole answer or one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Attempt *int     `json:"attempt,omitempty"`
	Offset  *int64   `json:"offset,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	errorBody
}

// Call sends a model call and reads its answer.
func (m *ModelCaller) Call(
	ctx context.Context, job Job, chunk func(string, int64, schedule.Timing),
) Result {
	started := time.Now()
	header := baseHeader(job)
	header.Set("Accept", "text/event-stream")
	if job.Offset > 0 {
		header.Set(headerOffset, strconv.FormatInt(job.Offset, 10))
	}
	var x exchange
	url := "http://" + job.Endpoint.Address + "/v1/chat/completions"
	response, err := m.transport.send(ctx, &x, http.MethodPost, url, header, job.Body, !job.Idempotent)
	if err != nil {
		mayHaveRun := x.mayHaveRun()
		result := ended(job, broken(ctx, job, mayHaveRun, err), mayHaveRun)
		result.Timing.Total = time.Since(started)
		return result
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		result := refused(job, response)
		result.Timing = schedule.Timing{Total: time.Since(started), Failed: true}
		return result
	}
	reader := answerReader{ctx: ctx, job: job, started: started, chunk: chunk, next: job.Offset}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		reader.stream(response.Body)
	} else {
		reader.whole(response.Body)
	}
	result := reader.result()
	result.StartID = response.Header.Get(headerStart)
	return result
}

// ended returns the result of a job without an answer.
func ended(job Job, o outcome.Outcome, mayHaveRun bool) Result {
	result := Result{Outcome: o, Timing: schedule.Timing{Failed: true}}
	if mayHaveRun || o.Code == outcome.Unknown {
		result.Cost = job.WorstCost
	}
	return result
}

func baseHeader(job Job) http.Header {
	header := make(http.Header)
	header.Set("Content-Type", "application/json")
	header.Set(headerProgram, job.Program)
	header.Set(headerRequest, job.RequestID)
	header.Set(headerAttempt, strconv.Itoa(job.Attempt))
	header.Set(headerPriority, strconv.Itoa(job.Priority))
	if !job.Deadline.IsZero() {
		remaining := max(time.Until(job.Deadline).Milliseconds(), 1)
		header.Set(headerDeadlineMS, strconv.FormatInt(remaining, 10))
	}
	authorize(header, job.Endpoint)
	return header
}

func authorize(header http.Header, endpoint Endpoint) {
	header.Set(headerFence, strconv.FormatUint(endpoint.Fence, 10))
	if endpoint.Credential != "" {
		header.Set("Authorization", "Bearer "+endpoint.Credential)
	}
}

// answerReader reads one answer and checks that it belongs to the job.
type answerReader struct {
	ctx     context.Context
	job     Job
	started time.Time
	chunk   func(string, int64, schedule.Timing)

	next    int64 // offset of the next byte of the answer
	text    strings.Builder
	first   time.Duration
	usage   *usage
	problem *outcome.Outcome
}

// whole reads an answer in one piece.
func (a *answerReader) whole(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, answerLimit))
	if err != nil {
		a.fail(broken(a.ctx, a.job, true, err))
		return
	}
	var answer completion
	if err := json.Unmarshal(data, &answer); err != nil {
		a.fail(uncertain(a.job, outcome.Malformed, err.Error()))
		return
	}
	a.take(answer)
}

// stream reads server-sent events up to the end mark.
func (a *answerReader) stream(body io.Reader) {
	lines := bufio.NewScanner(io.LimitReader(body, answerLimit))
	lines.Buffer(nil, eventLimit)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue // comments, other fields and the blank lines between events
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return
		}
		var event completion
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			a.fail(uncertain(a.job, outcome.Malformed, err.Error()))
			return
		}
		if a.take(event); a.problem != nil {
			return
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	a.fail(broken(a.ctx, a.job, true, err))
}

// take adds one event. An event of another request, or one that leaves a gap,
// ends the job: its text must not reach the caller.
func (a *answerReader) take(event completion) {
	if event.Error != nil {
		a.fail(failure(a.job, event.Error.Reason, "the backend server ended the stream"))
		return
	}
	if event.ID != a.job.RequestID || (event.Attempt != nil && *event.Attempt != a.job.Attempt) {
		a.fail(uncertain(a.job, outcome.Conflict, "the answer belongs to another request"))
		return
	}
	if event.Usage != nil {
		a.usage = event.Usage
	}
	text := ""
	if len(event.Choices) > 0 {
		if part := event.Choices[0].Delta; part != nil {
			text = part.Content
		} else if part := event.Choices[0].Message; part != nil {
			text = part.Content
		}
	}
	if text == "" {
		return
	}
	offset := a.next
	if event.Offset != nil {
		offset = *event.Offset
	} else if a.job.Offset > 0 {
		a.fail(uncertain(a.job, outcome.Conflict, "the engine did not resume the stream"))
		return
	}
	if offset > a.next {
		a.fail(uncertain(a.job, outcome.Conflict, "the answer has a gap"))
		return
	}
	known := min(a.next-offset, int64(len(text)))
	a.add(text[known:])
}

func (a *answerReader) add(text string) {
	if text == "" {
		return
	}
	if a.first == 0 {
		a.first = time.Since(a.started)
	}
	a.text.WriteString(text)
	a.chunk(text, a.next, a.timing())
	a.next += int64(len(text))
}

func (a *answerReader) fail(o outcome.Outcome) { a.problem = &o }

func (a *answerReader) timing() schedule.Timing {
	timing := schedule.Timing{
		FirstToken: a.first,
		Total:      time.Since(a.started),
		Tokens:     TokenCount(a.text.Len()),
		Failed:     a.problem != nil,
	}
	if a.usage != nil {
		timing.Tokens = a.usage.CompletionTokens
		timing.PromptTokens = a.usage.PromptTokens
		timing.CachedTokens = a.usage.Details.CachedTokens
	}
	return timing
}

func (a *answerReader) result() Result {
	result := Result{Timing: a.timing(), Cost: a.job.WorstCost}
	if a.usage != nil {
		result.Cost = int64(a.usage.PromptTokens + a.usage.CompletionTokens)
	}
	if a.problem != nil {
		result.Outcome = *a.problem
		return result
	}
	result.Outcome = outcome.Outcome{Code: outcome.Completed}
	answer := completion{
		ID:      a.job.RequestID,
		Attempt: &a.job.Attempt,
		Choices: []choice{{
			Message:      &message{Role: "assistant", Content: a.text.String()},
			FinishReason: "stop",
		}},
		Usage: a.usage,
	}
	data, err := json.Marshal(answer)
	if err != nil {
		panic("dispatch: answer cannot be encoded: " + err.Error())
	}
	result.Answer = data
	return result
}
