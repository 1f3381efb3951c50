package clientlimits

import "bytes"

// Head judges the bytes of one request head as they arrive. The zero value is at the
// start of a head.
type Head struct {
	bytes, lines, emptyLines int
	lineBytes                int  // of the line that has begun
	lineIsCR                 bool // the line that has begun consists of a carriage return
	ended                    bool
	unknown                  bool // the head may have begun in bytes that another request brought
}

// memoryOfLine is what the server holds for a line besides its text: an entry in the map
// of header fields, which net/http makes for all lines that it can see in advance.
const memoryOfLine = 80

// Held returns how many bytes of memory the head takes so far.
func (h *Head) Held() int { return h.bytes + memoryOfLine*h.lines }

// Restart begins the next head of a connection. If bytes arrived after the end of the
// last head, the server may hold the begin of the next one: then lines cannot be told any
// more, but bytes can.
func (h *Head) Restart(bytesAfterHead bool) {
	*h = Head{unknown: h.unknown || !h.ended || bytesAfterHead}
}

// Scan judges the bytes that have arrived. It returns them without empty lines before
// the request, and a cause if a limit is exceeded.
func (h *Head) Scan(arrived []byte, limits Limits) (request []byte, cause Cause) {
	if h.unknown {
		h.bytes += len(arrived)
		if h.bytes > limits.HeadBytes+headSlack+bufferedBytes {
			return arrived, HeadTooLong
		}
		return arrived, None
	}
	rest := arrived
	for len(rest) > 0 && !h.ended {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			h.bytes += len(rest)
			h.lineIsCR = h.lineBytes == 0 && string(rest) == "\r"
			h.lineBytes += len(rest)
			if h.lineIsCR && h.lines == 0 {
				arrived = nil // the begin of an empty line before the request
			}
			break
		}
		line := rest[:end+1]
		rest = rest[end+1:]
		empty := string(line) == "\r\n" && h.lineBytes == 0 || string(line) == "\n" && (h.lineBytes == 0 || h.lineIsCR)
		h.lineBytes, h.lineIsCR = 0, false
		switch {
		case !empty:
			h.bytes += len(line)
			h.lines++
		case h.lines == 0:
			h.emptyLines++
			h.bytes = 0
			arrived = rest
		default:
			h.bytes += len(line)
			h.ended = true
			h.unknown = len(rest) > 0
		}
		if cause := h.exceeded(limits); cause != None {
			return arrived, cause
		}
	}
	return arrived, h.exceeded(limits)
}

// bufferedBytes is how much of a body may arrive together with a head. It is the size of
// the buffers of net/http.
const bufferedBytes = 4 << 10

// headSlack is added to the limit of a head, because clients differ in whether they count
// the request line.
const headSlack = 1 << 10

func (h *Head) exceeded(limits Limits) Cause {
	switch {
	case h.emptyLines > limits.EmptyLines:
		return TooManyEmptyLines
	case h.bytes > limits.HeadBytes+headSlack:
		return HeadTooLong
	case h.lines > limits.HeadLines:
		return TooManyLines
	}
	return None
}
