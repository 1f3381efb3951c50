package upstream

import "io"

// ErrHeadTooLong reports that more than maxHeadBytes arrived without the end of
// the response's head.
var ErrHeadTooLong = Error.New("the head of the response has more than %d bytes", maxHeadBytes)

// unlimited is the limit of a reader that may read any number of bytes.
const unlimited = -1

// boundedReader reads from source until its limit is used up. It keeps the memory
// for a response's head bounded, because package net/http reads a head of any
// length.
type boundedReader struct {
	source io.Reader
	left   int64
}

// limit sets how many bytes may be read.
func (b *boundedReader) limit(bytes int64) { b.left = bytes }

// unlimit removes the limit and returns what was left of it.
func (b *boundedReader) unlimit() int64 {
	left := b.left
	b.left = unlimited
	return left
}

// exhausted reports whether the limit is used up. A parser that met the end of
// the limit may return an error of its own.
func (b *boundedReader) exhausted() bool { return b.left == 0 }

// Read implements io.Reader.
func (b *boundedReader) Read(into []byte) (int, error) {
	if b.left == 0 {
		return 0, ErrHeadTooLong
	}
	if b.left > 0 && int64(len(into)) > b.left {
		into = into[:b.left]
	}
	count, err := b.source.Read(into)
	if b.left > 0 {
		b.left -= int64(count)
	}
	return count, err
}
