package httpresponse

import (
	"bufio"
	"io"
	"net/http"
)

// Reader reads the responses on a connection, one after the other.
type Reader struct {
	*bufio.Reader

	scanner *headScanner
}

// NewReader returns a Reader with a buffer of the given size in bytes.
func NewReader(source io.Reader, size int) *Reader {
	scanner := &headScanner{source: source, ended: true}
	return &Reader{Reader: bufio.NewReaderSize(scanner, size), scanner: scanner}
}

// Next reads the head of the next response. Its status is an interim one if it is below
// 200; the final response follows. The body, which the caller reads before the next call,
// ends with an error if the trailer is not sound.
func (r *Reader) Next(method string) (*http.Response, error) {
	buffered, _ := r.Peek(r.Buffered()) // cannot fail
	r.scanner.start(buffered)
	response, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if r.scanner.continued {
		return nil, Error.New("a line of the head begins with a blank")
	}
	if err := check(response); err != nil {
		return nil, err
	}
	response.Body = checkTrailer(response)
	return response, nil
}

// headScanner passes the bytes of its source on and notes whether a line of a head begins
// with a blank. Package net/http takes such a line for a part of the field before it, as
// older versions of the protocol did; a gateway may refuse it.
type headScanner struct {
	source    io.Reader
	ended     bool // no head is being read
	continued bool // a line begins with a blank
	column    int  // bytes of the current line so far, without a carriage return before them
}

// start begins a head whose first bytes were read already.
func (h *headScanner) start(first []byte) {
	h.ended, h.continued, h.column = false, false, 0
	h.scan(first)
}

// Read implements io.Reader.
func (h *headScanner) Read(into []byte) (int, error) {
	count, err := h.source.Read(into)
	h.scan(into[:count])
	return count, err
}

func (h *headScanner) scan(data []byte) {
	for _, b := range data {
		switch {
		case h.ended:
			return
		case b == '\n':
			h.ended = h.column == 0 // an empty line
			h.column = 0
		case b == '\r' && h.column == 0:
		default:
			h.continued = h.continued || h.column == 0 && (b == ' ' || b == '\t')
			h.column++
		}
	}
}
