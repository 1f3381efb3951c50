package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// chunkWriteTimeout ends a stream whose reader stalls. The call continues and
// the caller can resume the stream.
const chunkWriteTimeout = 10 * time.Second

// Types of the server-sent events of a streamed call.
const (
	// ChunkEvent carries a ChunkData.
	ChunkEvent = "chunk"
	// RestartEvent carries a RestartData. The caller discards what it has
	// received.
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
	// Attempt is the attempt whose answer follows, from its beginning.
	Attempt int `json:"attempt"`
}

// eventWriter writes the answer of one call as server-sent events. It writes
// the status line with the first event, so a call that is rejected before it
// has any output gets the HTTP status of its outcome.
type eventWriter struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	kind       program.Kind
	headerSent bool
	// The caller has received the first offset bytes of the answer of attempt.
	attempt int
	offset  int
	err     error // first failed write
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

// writeChunk writes a part of the answer. It returns an error if a write to the
// caller has failed.
func (e *eventWriter) writeChunk(c program.Chunk) error {
	e.switchAttempt(c.Attempt)
	if end := c.Offset + len(c.Text); c.Text != "" && end > e.offset {
		e.offset = end
		e.send(ChunkEvent, ChunkData{Attempt: c.Attempt, Offset: c.Offset, Answer: newTextAnswer([]byte(c.Text))})
	}
	return e.err
}

// switchAttempt sends a restart event if the caller has received a part of the
// answer of another attempt.
func (e *eventWriter) switchAttempt(attempt int) {
	if e.attempt != attempt && e.offset > 0 {
		e.send(RestartEvent, RestartData{Attempt: attempt})
		e.offset = 0
	}
	e.attempt = attempt
}

// finish writes the part of a completed answer that the caller has not
// received, then the outcome.
func (e *eventWriter) finish(reply program.Reply) {
	if reply.Outcome.Code != outcome.Completed {
		e.finishIncomplete(reply)
		return
	}
	e.switchAttempt(reply.Attempt)
	if e.offset > len(reply.Answer) { // the caller sent a wrong offset
		e.send(RestartEvent, RestartData{Attempt: reply.Attempt})
		e.offset = 0
	}
	_ = e.writeChunk(program.Chunk{Attempt: reply.Attempt, Offset: e.offset, Text: string(reply.Answer[e.offset:])})
	done := callReply(e.kind, reply)
	done.Answer = Answer{} // already sent in chunks
	done.Length = len(reply.Answer)
	e.send(DoneEvent, done)
}

// finishIncomplete writes the outcome of a call that did not complete, as an
// event if events were already sent.
func (e *eventWriter) finishIncomplete(reply program.Reply) {
	body := callReply(e.kind, reply)
	if !e.headerSent {
		writeOutcome(e.w, reply.Outcome, body)
		return
	}
	e.send(DoneEvent, body)
}

// send writes one event unless an earlier write failed.
func (e *eventWriter) send(name string, data any) {
	if e.err != nil {
		return
	}
	if !e.headerSent {
		e.headerSent = true
		startEventStream(e.w)
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(chunkWriteTimeout)) // not every ResponseWriter supports deadlines
	e.err = writeEvent(e.w, name, data)
	if e.err == nil {
		e.err = e.control.Flush()
	}
}

func startEventStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", eventStreamType)
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
