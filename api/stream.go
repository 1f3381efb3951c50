package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// chunkWriteTimeout ends a stream whose reader has stalled. The call goes on
// and the caller can resume it.
const chunkWriteTimeout = 10 * time.Second

// Events of a streamed call.
const (
	// ChunkEvent carries a ChunkData.
	ChunkEvent = "chunk"
	// RestartEvent carries a RestartData. The caller drops what it has.
	RestartEvent = "restart"
	// DoneEvent carries a CallReply and ends the stream.
	DoneEvent = "done"
)

// ChunkData is the data of a chunk event.
type ChunkData struct {
	Attempt int `json:"attempt"`
	// Offset is the position of the text in the answer, in bytes.
	Offset int `json:"offset"`
	Answer
}

// RestartData is the data of a restart event.
type RestartData struct {
	// Attempt is the attempt whose answer follows from its beginning.
	Attempt int `json:"attempt"`
}

// eventWriter writes one call as server-sent events. The status line is
// written with the first event, so a call that is refused before it has any
// output gets the HTTP status of its outcome.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	kind    program.Kind
	begun   bool
	// attempt and offset tell what the caller has.
	attempt int
	offset  int
	err     error
}

func newEventWriter(w http.ResponseWriter, request CallRequest) *eventWriter {
	return &eventWriter{
		w:       w,
		control: http.NewResponseController(w),
		kind:    request.Kind,
		attempt: request.Attempt,
		offset:  request.Offset,
	}
}

// chunk writes a part of the answer. It returns an error when the caller can
// no longer be reached.
func (e *eventWriter) chunk(c program.Chunk) error {
	e.moveTo(c.Attempt)
	if end := c.Offset + len(c.Text); c.Text != "" && end > e.offset {
		e.offset = end
		e.event(ChunkEvent, ChunkData{Attempt: c.Attempt, Offset: c.Offset, Answer: textAnswer([]byte(c.Text))})
	}
	return e.err
}

// moveTo tells the caller when what it has belongs to another attempt.
func (e *eventWriter) moveTo(attempt int) {
	if e.attempt != attempt && e.offset > 0 {
		e.event(RestartEvent, RestartData{Attempt: attempt})
		e.offset = 0
	}
	e.attempt = attempt
}

// finish writes what the caller has not got of a complete answer, then the
// outcome.
func (e *eventWriter) finish(reply program.Reply) {
	if reply.Outcome.Code != outcome.Completed {
		e.fail(reply)
		return
	}
	e.moveTo(reply.Attempt)
	if e.offset > len(reply.Answer) { // the caller's offset was wrong
		e.event(RestartEvent, RestartData{Attempt: reply.Attempt})
		e.offset = 0
	}
	_ = e.chunk(program.Chunk{Attempt: reply.Attempt, Offset: e.offset, Text: string(reply.Answer[e.offset:])})
	done := callReply(e.kind, reply)
	done.Answer = Answer{} // it was sent in chunks
	done.Length = len(reply.Answer)
	e.event(DoneEvent, done)
}

// fail ends a call that is not complete.
func (e *eventWriter) fail(reply program.Reply) {
	body := callReply(e.kind, reply)
	if !e.begun {
		writeOutcome(e.w, reply.Outcome, body)
		return
	}
	e.event(DoneEvent, body)
}

func (e *eventWriter) event(name string, data any) {
	if e.err != nil {
		return
	}
	if !e.begun {
		e.begun = true
		beginEvents(e.w)
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(chunkWriteTimeout)) // not all writers have deadlines
	e.err = writeEvent(e.w, name, data)
	if e.err == nil {
		e.err = e.control.Flush()
	}
}

func beginEvents(w http.ResponseWriter) {
	w.Header().Set("Content-Type", eventStream)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

func writeEvent(w http.ResponseWriter, name string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, encoded)
	return err
}
