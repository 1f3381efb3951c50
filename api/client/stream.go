package client

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"dogwoodline.example/api"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// maxEventBytes bounds one server-sent event. The whole answer can come as
// one event when a finished call is repeated.
const maxEventBytes = 16 << 20

// errBrokenStream reports a stream that ended early or left a gap. The call
// is resumed from what was received.
var errBrokenStream = Error.New("stream broke before its end")

func isEventStream(opened *http.Response) bool {
	return strings.HasPrefix(opened.Header.Get("Content-Type"), "text/event-stream")
}

// follow reads a streamed answer to its done event.
func (r *callRun) follow(from io.Reader) (api.CallReply, error) {
	var done api.CallReply
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxEventBytes)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == api.DoneEvent {
			if err := json.Unmarshal([]byte(data), &done); err != nil {
				return done, errBrokenStream
			}
			return done, r.complete(done)
		}
		if err := r.event(event, []byte(data)); err != nil {
			return done, err
		}
	}
	return done, errBrokenStream
}

// complete checks that a completed answer is whole and of one attempt.
func (r *callRun) complete(done api.CallReply) error {
	if done.Outcome.Code != outcome.Completed {
		return nil
	}
	if done.Length != len(r.received) || (done.Length > 0 && done.Attempt != r.attempt) {
		return errBrokenStream
	}
	return nil
}

func (r *callRun) event(name string, data []byte) error {
	switch name {
	case api.RestartEvent:
		r.received = nil
	case api.ChunkEvent:
		var chunk api.ChunkData
		if json.Unmarshal(data, &chunk) != nil {
			return errBrokenStream
		}
		return r.chunk(chunk)
	}
	return nil
}

func (r *callRun) chunk(chunk api.ChunkData) error {
	if chunk.Attempt != r.attempt && len(r.received) > 0 {
		return errBrokenStream // parts of two attempts must not be joined
	}
	text := chunk.Raw()
	overlap := len(r.received) - chunk.Offset
	if overlap < 0 {
		return errBrokenStream
	}
	r.attempt = chunk.Attempt
	if overlap >= len(text) {
		return nil
	}
	text = text[overlap:]
	offset := len(r.received)
	r.received = append(r.received, text...)
	err := r.stream(program.Chunk{Attempt: chunk.Attempt, Offset: offset, Text: string(text)})
	if err != nil {
		r.stopped = err
	}
	return err
}
