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

// maxEventBytes bounds one server-sent event. The whole answer can arrive in
// one event if a completed call is repeated.
const maxEventBytes = 16 << 20

// errIncompleteStream means that a stream ended early, has a gap or is
// malformed. The next try resumes the call after the bytes that were received.
var errIncompleteStream = Error.New("stream is incomplete")

func isEventStream(httpResponse *http.Response) bool {
	return strings.HasPrefix(httpResponse.Header.Get("Content-Type"), "text/event-stream")
}

// readStream reads a streamed answer up to its done event.
func (s *callState) readStream(from io.Reader) (api.CallReply, error) {
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
				return done, errIncompleteStream
			}
			return done, s.checkComplete(done)
		}
		if err := s.handleEvent(event, []byte(data)); err != nil {
			return done, err
		}
	}
	return done, errIncompleteStream
}

// checkComplete checks that a completed answer was received whole and belongs
// to the attempt that completed.
func (s *callState) checkComplete(done api.CallReply) error {
	if done.Outcome.Code != outcome.Completed {
		return nil
	}
	if done.Length != len(s.received) || (done.Length > 0 && done.Attempt != s.attempt) {
		return errIncompleteStream
	}
	return nil
}

func (s *callState) handleEvent(name string, data []byte) error {
	switch name {
	case api.RestartEvent:
		s.received = nil
	case api.ChunkEvent:
		var chunk api.ChunkData
		if json.Unmarshal(data, &chunk) != nil {
			return errIncompleteStream
		}
		return s.handleChunk(chunk)
	}
	return nil
}

// handleChunk appends a chunk to the answer and passes the bytes that are new to
// stream.
func (s *callState) handleChunk(chunk api.ChunkData) error {
	if chunk.Attempt != s.attempt && len(s.received) > 0 {
		return errIncompleteStream // the answers of two attempts must not be joined
	}
	text := chunk.Raw()
	overlap := len(s.received) - chunk.Offset
	if overlap < 0 {
		return errIncompleteStream
	}
	s.attempt = chunk.Attempt
	if overlap >= len(text) {
		return nil
	}
	text = text[overlap:]
	offset := len(s.received)
	s.received = append(s.received, text...)
	err := s.stream(program.Chunk{Attempt: chunk.Attempt, Offset: offset, Text: string(text)})
	if err != nil {
		s.streamErr = err
	}
	return err
}
