package turnlog

import (
	"errors"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// ErrNotReadable is returned for a record whose segment was removed or is damaged there.
var ErrNotReadable = errors.New("the record is damaged or its segment was removed")

// Read returns the payload of the record at a position.
func (l *Log) Read(at Position) ([]byte, error) {
	file, err := l.reader(at.Segment)
	if err != nil {
		return nil, err
	}
	content := make([]byte, at.Length)
	if _, err := file.ReadAt(content, int64(at.Offset)); err != nil {
		return nil, errors.Join(ErrNotReadable, Error.Wrap(err))
	}
	payload, ok := decode(content)
	if !ok || len(payload)+headerBytes != int(at.Length) {
		return nil, ErrNotReadable
	}
	return payload, nil
}

// Prefetch asks the kernel to read the records, so that those of one conversation, which
// are in several places, take the time of one read or two. It is only a hint.
func (l *Log) Prefetch(positions []Position) {
	for _, at := range positions {
		if file, err := l.reader(at.Segment); err == nil {
			advise(file, at)
		}
	}
}

func advise(file *os.File, at Position) {
	connection, err := file.SyscallConn()
	if err != nil {
		return
	}
	_ = connection.Control(func(descriptor uintptr) {
		_ = unix.Fadvise(int(descriptor), int64(at.Offset), int64(at.Length), unix.FADV_WILLNEED)
	})
}

// reader returns the file of a segment for reading.
func (l *Log) reader(number uint64) (*os.File, error) {
	l.readersMutex.Lock()
	defer l.readersMutex.Unlock()
	if file := l.readers[number]; file != nil {
		return file, nil
	}
	if l.readers == nil {
		return nil, ErrNotReadable // the log was closed
	}
	file, err := os.Open(l.segmentPath(number))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotReadable
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l.readers[number] = file
	return file, nil
}
