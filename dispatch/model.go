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
	// maxModelResponseBytes bounds the response to a model call.
	maxModelResponseBytes = 8 << 20
	// maxEventBytes bounds one server-sent event, which is one data line.
	maxEventBytes = 1 << 20
	// drainTimeout bounds the wait for the end of a stream after its [DONE]
	// event. Servers that end the stream do so much sooner.
	drainTimeout = 50 * time.Millisecond
)

// ModelCaller calls model engines.
type ModelCaller struct{ transport *Transport }

// NewModelCaller returns a ModelCaller that uses the transport's connections.
func NewModelCaller(transport *Transport) *ModelCaller { return &ModelCaller{transport: transport} }

// usage holds the token counts of a model call.
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

// completion is a complete response or one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Attempt *int     `json:"attempt,omitempty"`
	Offset  *int64   `json:"offset,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	errorBody
}

// Call sends a model call and reads its answer, which may be streamed.
func (m *ModelCaller) Call(
	ctx context.Context, job Job, chunk func(string, int64, schedule.Timing),
) Result {
	started := time.Now()
	header := requestHeader(job)
	header.Set("Accept", "text/event-stream")
	if job.Offset > 0 {
		header.Set(headerOffset, strconv.FormatInt(job.Offset, 10))
	}
	// drainBody cancels this context to abort a response that does not end.
	requestContext, cancel := context.WithCancel(ctx)
	defer cancel()
	var tracker sendTracker
	url := "http://" + job.Endpoint.Address + "/v1/chat/completions"
	response, err := m.transport.send(requestContext, &tracker, http.MethodPost, url, header, job.Body, !job.Idempotent)
	if err != nil {
		mayHaveRun := tracker.mayHaveRun()
		result := resultWithoutAnswer(job, incompleteOutcome(ctx, job, mayHaveRun, err), mayHaveRun)
		result.Timing.Total = time.Since(started)
		return result
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		result := errorResult(ctx, job, response)
		result.Timing = schedule.Timing{Total: time.Since(started), Failed: true}
		return result
	}
	reader := answerReader{ctx: ctx, job: job, started: started, chunk: chunk, nextOffset: job.Offset}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		if reader.readStream(response.Body) {
			drainBody(response.Body, cancel)
		}
	} else {
		reader.readWhole(response.Body)
	}
	result := reader.result()
	result.StartID = response.Header.Get(headerStart)
	return result
}

// resultWithoutAnswer returns the result of a job that ended without an answer.
// Its cost is WorstCost if the call may have run or its outcome is Unknown.
func resultWithoutAnswer(job Job, o outcome.Outcome, mayHaveRun bool) Result {
	result := Result{Outcome: o, Timing: schedule.Timing{Failed: true}}
	if mayHaveRun || o.Code == outcome.Unknown {
		result.Cost = job.WorstCost
	}
	return result
}

// requestHeader returns the headers of a call.
func requestHeader(job Job) http.Header {
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
	setEndpointHeaders(header, job.Endpoint)
	return header
}

// setEndpointHeaders sets the fencing number and the credential.
func setEndpointHeaders(header http.Header, endpoint Endpoint) {
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

	nextOffset int64 // offset of the next byte of the answer
	text       strings.Builder
	firstToken time.Duration // from started to the first text
	usage      *usage
	failure    *outcome.Outcome // nil unless the answer cannot be used
}

// readWhole reads a response that is not streamed.
func (a *answerReader) readWhole(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxModelResponseBytes))
	if err != nil {
		a.fail(incompleteOutcome(a.ctx, a.job, true, err))
		return
	}
	var answer completion
	if err := json.Unmarshal(data, &answer); err != nil {
		a.fail(uncertainOutcome(a.job, outcome.Malformed, err.Error()))
		return
	}
	a.addEvent(answer)
}

// readStream reads server-sent events and reports whether the [DONE] event came.
func (a *answerReader) readStream(body io.Reader) bool {
	lines := bufio.NewScanner(io.LimitReader(body, maxModelResponseBytes))
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue // comments, other fields and the blank lines between events
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return true
		}
		var event completion
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			a.fail(uncertainOutcome(a.job, outcome.Malformed, err.Error()))
			return false
		}
		if a.addEvent(event); a.failure != nil {
			return false
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	a.fail(incompleteOutcome(a.ctx, a.job, true, err))
	return false
}

// drainBody reads the rest of a stream after its [DONE] event, so that the
// connection can be reused. If the server does not end the stream within
// drainTimeout, the connection is closed.
func drainBody(body io.Reader, cancel context.CancelFunc) {
	timer := time.AfterFunc(drainTimeout, cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, body) // an error is ignored because the answer is complete
}

// addEvent adds one event of the answer. An event of another request, or one
// after a gap, fails the job, because its text must not reach the client. Text
// that was already received is skipped.
func (a *answerReader) addEvent(event completion) {
	if event.Error != nil {
		a.fail(failureOutcome(a.job, event.Error.Reason, "the backend server ended the stream"))
		return
	}
	if event.ID != a.job.RequestID || (event.Attempt != nil && *event.Attempt != a.job.Attempt) {
		a.fail(uncertainOutcome(a.job, outcome.Conflict, "the answer belongs to another request"))
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
	offset := a.nextOffset
	if event.Offset != nil {
		offset = *event.Offset
	} else if a.job.Offset > 0 {
		a.fail(uncertainOutcome(a.job, outcome.Conflict, "the engine did not resume the stream"))
		return
	}
	if offset > a.nextOffset {
		a.fail(uncertainOutcome(a.job, outcome.Conflict, "the answer has a gap"))
		return
	}
	overlap := min(a.nextOffset-offset, int64(len(text)))
	a.addText(text[overlap:])
}

// addText appends text to the answer and passes it on as a chunk.
func (a *answerReader) addText(text string) {
	if text == "" {
		return
	}
	if a.firstToken == 0 {
		a.firstToken = time.Since(a.started)
	}
	a.text.WriteString(text)
	a.chunk(text, a.nextOffset, a.timing())
	a.nextOffset += int64(len(text))
}

func (a *answerReader) fail(o outcome.Outcome) { a.failure = &o }

// timing returns the measurements up to now. Until the engine reports its usage,
// the tokens are estimated from the size of the text.
func (a *answerReader) timing() schedule.Timing {
	timing := schedule.Timing{
		FirstToken: a.firstToken,
		Total:      time.Since(a.started),
		Tokens:     TokenCount(a.text.Len()),
		Failed:     a.failure != nil,
	}
	if a.usage != nil {
		timing.Tokens = a.usage.CompletionTokens
		timing.PromptTokens = a.usage.PromptTokens
		timing.CachedTokens = a.usage.Details.CachedTokens
	}
	return timing
}

// result returns the result of the job after the whole response was read.
func (a *answerReader) result() Result {
	result := Result{Timing: a.timing(), Cost: a.job.WorstCost}
	if a.usage != nil {
		result.Cost = int64(a.usage.PromptTokens + a.usage.CompletionTokens)
	}
	if a.failure != nil {
		result.Outcome = *a.failure
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
		panic("dispatch: encode answer: " + err.Error())
	}
	result.Answer = data
	return result
}
