// Package turnlog implements an append-only log of records in segment files on
// one disk.
//
// Each record is preceded by its length and its checksum. A batch is durable
// when Append returns nil. After a power failure, Open ignores the rest of a
// segment from its first damaged record on. Nothing from there on had been
// reported as durable.
package turnlog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("turnlog")

const (
	// segmentBytes is the size at which a new segment is started. Disk space is
	// freed by removing whole segments, so small ones free it sooner.
	segmentBytes = 8 << 20
	headerBytes  = 8 // length and checksum of a record, 4 bytes each
	// maxRecordBytes is the largest length that is read as valid; a greater one
	// is taken for damage.
	maxRecordBytes = 16 << 20
	segmentSuffix  = ".log"
	identityFile   = "identity"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is the log of one disk. It is not safe for concurrent use.
type Log struct {
	folder       string
	identity     string
	file         *os.File
	current      uint64 // number of the segment that is written
	currentBytes int64
	mustRotate   bool     // the last write failed, so the segment may end in a partial record
	segments     []uint64 // numbers of all segments, ascending
	buffer       []byte   // reused by Append
}

// Open opens the log in a folder, calls replay for each durable record, oldest
// first, and starts a new segment. An empty folder gets a new identity.
func Open(folder string, replay func(segment uint64, payload []byte) error) (*Log, error) {
	l := &Log{folder: folder}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := l.loadIdentity(); err != nil {
		return nil, err
	}
	names, err := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(filepath.Base(name), "%d"+segmentSuffix, &number); err != nil {
			return nil, Error.New("unexpected file %s", filepath.Base(name))
		}
		l.segments = append(l.segments, number)
	}
	slices.Sort(l.segments)
	for _, number := range l.segments {
		if err := l.replaySegment(number, replay); err != nil {
			return nil, err
		}
	}
	if len(l.segments) > 0 {
		l.current = l.segments[len(l.segments)-1]
	}
	return l, l.startSegment()
}

// Identity returns the random identifier that was stored on the disk when its
// log was created. A disk that was emptied gets another one.
func (l *Log) Identity() string { return l.identity }

// loadIdentity reads the identity, or creates one if the disk has none or only
// a partially written one. The identity is durable before the first record.
func (l *Log) loadIdentity() error {
	path := filepath.Join(l.folder, identityFile)
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Error.Wrap(err)
	}
	if identity, complete := strings.CutSuffix(string(content), "\n"); complete && len(identity) == 26 {
		l.identity = identity
		return nil
	}
	l.identity = rand.Text()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = file.WriteString(l.identity + "\n")
	err = errors.Join(err, file.Sync(), file.Close(), l.syncFolder())
	return Error.Wrap(err)
}

func (l *Log) segmentPath(number uint64) string {
	return filepath.Join(l.folder, fmt.Sprintf("%016d%s", number, segmentSuffix))
}

// replaySegment reads a segment up to its end or its first damaged record.
func (l *Log) replaySegment(number uint64, apply func(uint64, []byte) error) error {
	content, err := os.ReadFile(l.segmentPath(number))
	if err != nil {
		return Error.Wrap(err)
	}
	for len(content) >= headerBytes {
		length := binary.LittleEndian.Uint32(content)
		checksum := binary.LittleEndian.Uint32(content[4:])
		if length > maxRecordBytes || int(length) > len(content)-headerBytes {
			return nil
		}
		payload := content[headerBytes : headerBytes+int(length)]
		if crc32.Checksum(payload, castagnoli) != checksum {
			return nil
		}
		if err := apply(number, payload); err != nil {
			return err
		}
		content = content[headerBytes+int(length):]
	}
	return nil
}

// startSegment creates a segment and makes it the current one. Nothing is
// appended to an earlier segment, because it may end in a partial record, which
// would hide what follows it.
func (l *Log) startSegment() error {
	number := l.current + 1
	file, err := os.OpenFile(l.segmentPath(number), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := errors.Join(file.Sync(), l.syncFolder()); err != nil {
		return Error.Wrap(errors.Join(err, file.Close()))
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return Error.Wrap(err)
		}
	}
	l.file, l.current, l.currentBytes, l.mustRotate = file, number, 0, false
	l.segments = append(l.segments, number)
	return nil
}

func (l *Log) syncFolder() error {
	folder, err := os.Open(l.folder)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// CurrentSegment returns the number of the current segment. Append writes to this
// segment or, if it has to start a new one, to the next.
func (l *Log) CurrentSegment() uint64 { return l.current }

// Append makes the payloads durable. If it returns an error, the next Open may
// still find some of them.
func (l *Log) Append(payloads [][]byte) error {
	if l.mustRotate || l.currentBytes >= segmentBytes {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	l.buffer = l.buffer[:0]
	for _, payload := range payloads {
		l.buffer = binary.LittleEndian.AppendUint32(l.buffer, uint32(len(payload)))
		l.buffer = binary.LittleEndian.AppendUint32(l.buffer, crc32.Checksum(payload, castagnoli))
		l.buffer = append(l.buffer, payload...)
	}
	_, err := l.file.Write(l.buffer)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.mustRotate = true
		return Error.Wrap(err)
	}
	l.currentBytes += int64(len(l.buffer))
	return nil
}

// OldestSegment returns the number of the oldest segment. It reports false if that
// segment is the current one.
func (l *Log) OldestSegment() (uint64, bool) {
	if len(l.segments) == 0 || l.segments[0] == l.current {
		return 0, false
	}
	return l.segments[0], true
}

// RemoveOldestSegment removes the oldest segment, unless it is the current one. The
// caller no longer needs any of its records.
func (l *Log) RemoveOldestSegment() error {
	number, ok := l.OldestSegment()
	if !ok {
		return nil
	}
	if err := os.Remove(l.segmentPath(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Error.Wrap(err)
	}
	l.segments = l.segments[1:]
	return nil
}

// Close closes the file of the current segment.
func (l *Log) Close() error { return Error.Wrap(l.file.Close()) }
