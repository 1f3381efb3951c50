package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("gateway")

// errEventTooLong reports an event that is longer than maxEventBytes.
var errEventTooLong = Error.New("event too long")

// maxEventBytes limits the bytes buffered for one event.
const maxEventBytes = 1 << 20

// event is one server-sent event.
type event struct {
	raw []byte // including the empty line that ends the event
	id  string
}

// eventReader splits a stream into events. It never returns an incomplete
// event, because a backend server may stop in the middle of one.
type eventReader struct {
	reader  *bufio.Reader
	pending int // bytes read of an incomplete event
	// grow is called for the bytes that an event takes. The stream is given up if
	// it reports false.
	grow func(count int) bool
}

func newEventReader(r io.Reader, grow func(count int) bool) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10), grow: grow}
}

// incompleteBytes returns the number of bytes read of an incomplete event.
func (r *eventReader) incompleteBytes() int { return r.pending }

// next returns the next complete event. It returns io.EOF at the end of the
// stream; incompleteBytes then tells whether an incomplete event was cut off.
func (r *eventReader) next() (event, error) {
	var e event
	lineStart := 0
	for {
		part, err := r.reader.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		r.pending = len(e.raw)
		if len(e.raw) > maxEventBytes {
			return event{}, errEventTooLong
		}
		if !r.grow(len(part)) {
			return event{}, errAnswerBytes
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue // the line goes on
		}
		if err != nil {
			return event{}, err
		}
		field := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		lineStart = len(e.raw)
		if len(field) == 0 && len(bytes.TrimSpace(e.raw)) > 0 {
			r.pending = 0
			return e, nil
		}
		if value, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			e.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// follows reports whether an event of a resumed stream may come after the event
// with the given id. The ids of a stream increase; ids that are no numbers, or
// missing, cannot be compared.
func follows(id, after string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	last, afterErr := strconv.ParseInt(after, 10, 64)
	return err != nil || afterErr != nil || number > last
}

// eventData returns the values of an event's data fields, joined by newlines.
func eventData(raw []byte) []byte {
	var data []byte
	found := false
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !ok {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
	return data
}
