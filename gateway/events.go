package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("gateway")

// errEventTooLong reports an event beyond longestEvent.
var errEventTooLong = Error.New("event too long")

// longestEvent bounds what is held of an event that is not complete.
const longestEvent = 1 << 20

// event is one event of a stream.
type event struct {
	raw []byte // with the empty line that ends it
	id  string
}

// eventReader cuts a stream into events. An event that is not complete is
// never returned, because its backend server may stop in the middle of it.
type eventReader struct {
	reader  *bufio.Reader
	pending int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// rest is the number of bytes of an event that has not ended.
func (r *eventReader) rest() int { return r.pending }

func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		r.pending = len(e.raw)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < longestEvent {
			continue
		}
		if err != nil {
			return event{}, err
		}
		if len(e.raw) > longestEvent {
			return event{}, errEventTooLong
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 && len(bytes.TrimSpace(e.raw)) > 0 {
			r.pending = 0
			return e, nil
		}
		if value, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			e.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// eventData returns the data of an event, its lines joined by line feeds.
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
